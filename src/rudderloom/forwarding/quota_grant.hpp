// The share of a customer's quota that one request uses.
#ifndef RUDDERLOOM_FORWARDING_QUOTA_GRANT_HPP
#define RUDDERLOOM_FORWARDING_QUOTA_GRANT_HPP

#include <optional>  // for optional

#include "rudderloom/forwarding/forwarder.hpp"  // for ForwardingState

namespace rudderloom {

// The amount that a request is charged, in the limit's unit.
std::uint64_t AmountOf(const QuotaLimit& limit, const RequestMetadata& terms);

// Charges a request to its customer's quota, and refunds it on destruction unless the request may
// have run.
class QuotaGrant {
 public:
  explicit QuotaGrant(ForwardingState& state) : state_(state) {}
  QuotaGrant(const QuotaGrant&) = delete;
  QuotaGrant& operator=(const QuotaGrant&) = delete;
  ~QuotaGrant();

  // Returns empty if the request is within the limit, else how long until the next one is likely to
  // be.
  Awaitable<std::optional<Duration>> Acquire(CallGuard& guard,
                                             const Customer& customer,
                                             const RequestMetadata& terms);

  void MarkMayHaveRun() { may_have_run_ = true; }

 private:
  // Decides from this node's local quota account.
  QuotaDecision Decide(GranterReach reach);
  void CountAlone(const QuotaDecision& decision);

  ForwardingState& state_;
  SpendRequest spend_;
  bool granted_ = false;
  bool may_have_run_ = false;
};

}  // namespace rudderloom

#endif
