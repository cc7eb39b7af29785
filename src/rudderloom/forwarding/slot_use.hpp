// A granted slot at an endpoint that crashes from rejections.
#ifndef RUDDERLOOM_FORWARDING_SLOT_USE_HPP
#define RUDDERLOOM_FORWARDING_SLOT_USE_HPP

#include <memory>  // for enable_shared_from_this
#include <string>  // for string

#include "rudderloom/forwarding/forwarder.hpp"  // for ForwardingState

namespace rudderloom {

// Tells the node that granted the slot what becomes of the request; its end at destruction.
class SlotUse : public std::enable_shared_from_this<SlotUse> {
 public:
  SlotUse(ForwardingState& state,
          std::string granter,
          EndpointKey endpoint,
          GrantId grant,
          TimePoint asked_at);
  SlotUse(const SlotUse&) = delete;
  SlotUse& operator=(const SlotUse&) = delete;
  ~SlotUse();

  // The request must not be sent later.
  TimePoint SendBy() const { return asked_at_ + kGrantSendTime; }

  // Called when the request is written. Without a rejection soon afterwards it counts as accepted.
  void Sent();
  // Called when the endpoint begins to answer.
  void Accepted() { outcome_ = SlotOutcome::kEnded; }
  void Rejected() { outcome_ = SlotOutcome::kRejected; }

 private:
  void Report(SlotOutcome outcome) const;

  ForwardingState& state_;
  std::string granter_;
  EndpointKey endpoint_;
  GrantId grant_;
  TimePoint asked_at_;
  Timer timer_;
  SlotOutcome outcome_ = SlotOutcome::kUnsent;
};

}  // namespace rudderloom

#endif
