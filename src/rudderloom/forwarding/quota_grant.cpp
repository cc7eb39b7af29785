#include "forwarding/quota_grant.hpp"

namespace rudderloom {

std::uint64_t AmountOf(const QuotaLimit& limit, const RequestTerms& terms) {
  if (limit.unit == QuotaUnit::kRequests) {
    return 1;
  }
  return terms.names_tokens ? terms.most_tokens : limit.plain_tokens;
}

QuotaGrant::~QuotaGrant() {
  if (amount_ > 0 && !ran_) {
    account_.GiveBack(customer_, amount_);
  }
}

std::optional<Duration> QuotaGrant::Take(const Customer& customer,
                                         const RequestTerms& terms,
                                         TimePoint now) {
  if (!customer.quota.Limited()) {
    return std::nullopt;
  }
  customer_ = CustomerKeyOf(customer.name);
  const std::uint64_t amount = AmountOf(customer.quota, terms);
  if (auto wait = account_.Spend(customer_, customer.quota, amount, now)) {
    return wait;
  }
  amount_ = amount;
  return std::nullopt;
}

}  // namespace rudderloom
