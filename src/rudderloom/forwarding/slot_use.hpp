// A granted request at an endpoint that crashes from rejections, or whose work in flight is
// bounded.
#ifndef RUDDERLOOM_FORWARDING_SLOT_USE_HPP
#define RUDDERLOOM_FORWARDING_SLOT_USE_HPP

#include <memory>    // for enable_shared_from_this
#include <optional>  // for optional
#include <string>    // for string

#include "rudderloom/forwarding/forwarder.hpp"  // for ForwardingState

namespace rudderloom {

// Tells the node that granted the slot what becomes of the request; its end at destruction.
class SlotUse : public std::enable_shared_from_this<SlotUse> {
 public:
  SlotUse(ForwardingState& state,
          std::string granter,
          EndpointKey endpoint,
          GrantId grant,
          TimePoint asked_at,
          std::optional<InFlightUntil> in_flight_until = {});
  SlotUse(const SlotUse&) = delete;
  SlotUse& operator=(const SlotUse&) = delete;
  ~SlotUse();

  // The request must not be sent later.
  TimePoint SendBy() const { return asked_at_ + kGrantSendTime; }

  // Called when the request is written. A slot without a rejection soon afterwards counts as
  // accepted.
  void Sent();
  // Called when the endpoint begins to answer. A request that counts until then is reported on at
  // once, and its end is not.
  void Accepted();
  void Rejected() { outcome_ = SlotOutcome::kRejected; }

 private:
  void Report(SlotOutcome outcome) const;

  ForwardingState& state_;
  std::string granter_;
  EndpointKey endpoint_;
  GrantId grant_;
  TimePoint asked_at_;
  std::optional<InFlightUntil> in_flight_until_;  // empty: a slot
  Timer timer_;
  SlotOutcome outcome_ = SlotOutcome::kUnsent;
  bool reported_ = false;  // all that the granting node needs to know
};

}  // namespace rudderloom

#endif
