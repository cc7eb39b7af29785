// What one request takes of its customer's limit.
#ifndef RUDDERLOOM_FORWARDING_QUOTA_GRANT_HPP
#define RUDDERLOOM_FORWARDING_QUOTA_GRANT_HPP

#include <optional>  // for optional

#include "rudderloom/forwarding/dialect.hpp"   // for RequestTerms
#include "rudderloom/quota/quota_account.hpp"  // for QuotaAccount
#include "rudderloom/routes/caller.hpp"        // for Caller

namespace rudderloom {

// How much a request counts for, in the limit's unit.
std::uint64_t AmountOf(const QuotaLimit& limit, const RequestTerms& terms);

// Holds a request's part of its customer's limit, and gives it back unless the request has run or
// may have.
class QuotaGrant {
 public:
  explicit QuotaGrant(QuotaAccount& account) : account_(account) {}
  QuotaGrant(const QuotaGrant&) = delete;
  QuotaGrant& operator=(const QuotaGrant&) = delete;
  ~QuotaGrant();

  // Nothing when the request is inside the limit; else when the next one is likely to be.
  std::optional<Duration> Take(const Customer& customer, const RequestTerms& terms, TimePoint now);

  void MayHaveRun() { ran_ = true; }

 private:
  QuotaAccount& account_;
  CustomerKey customer_ = 0;
  std::uint64_t amount_ = 0;
  bool ran_ = false;
};

}  // namespace rudderloom

#endif
