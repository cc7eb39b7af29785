// What one request takes of its customer's limit.
#ifndef RUDDERLOOM_FORWARDING_QUOTA_GRANT_HPP
#define RUDDERLOOM_FORWARDING_QUOTA_GRANT_HPP

#include <optional>  // for optional

#include "rudderloom/forwarding/forwarder.hpp"  // for ForwardingState

namespace rudderloom {

// How much a request counts for, in the limit's unit.
std::uint64_t AmountOf(const QuotaLimit& limit, const RequestTerms& terms);

// Holds a request's part of its customer's limit, and gives it back unless the request has run or
// may have.
class QuotaGrant {
 public:
  explicit QuotaGrant(ForwardingState& state) : state_(state) {}
  QuotaGrant(const QuotaGrant&) = delete;
  QuotaGrant& operator=(const QuotaGrant&) = delete;
  ~QuotaGrant();

  // Nothing when the request is inside the limit; else when the next one is likely to be.
  Awaitable<std::optional<Duration>> Take(const Customer& customer, const RequestTerms& terms);

  void MayHaveRun() { ran_ = true; }

 private:
  // By this node's own account.
  QuotaDecision Decide(GranterReach reach);

  ForwardingState& state_;
  SpendAsk part_;
  bool taken_ = false;
  bool ran_ = false;
};

}  // namespace rudderloom

#endif
