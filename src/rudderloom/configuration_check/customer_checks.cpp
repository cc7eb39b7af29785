#include <algorithm>  // for any_of
#include <set>        // for set

#include "configuration_check/places.hpp"                          // for PlaceOf
#include "rudderloom/configuration_check/configuration_check.hpp"  // for CheckCustomers

namespace rudderloom {

namespace {

constexpr std::uint32_t kLeastUrgentPriority = 9;  // Endpoints receive an urgency from 0 to 9.

class CustomerChecker {
 public:
  explicit CustomerChecker(const RouteTable& table) : table_(table) {}

  Findings Run() {
    for (const Customer& customer : table_.Customers().All()) {
      CheckName(customer);
      CheckKeys(customer);
      CheckQuota(customer);
      if (customer.priority && *customer.priority > kLeastUrgentPriority) {
        Warn(customer, "priority " + std::to_string(*customer.priority) + " is not in 0..9");
      }
    }
    CheckAnyCaller();
    return std::move(findings_);
  }

 private:
  void CheckName(const Customer& customer) {
    if (!names_.insert(customer.name).second) {
      Fail(customer, "listed twice; requests of both count against one limit");
    }
  }

  // Keys themselves are never part of a message.
  void CheckKeys(const Customer& customer) {
    if (customer.keys.empty()) {
      Warn(customer, "has no keys: no caller is this customer");
    }
    for (const KeyDigest& key : customer.keys) {
      const Customer* owner = table_.Customers().Find(key);
      if (owner != nullptr && owner != &customer) {
        Fail(customer, "shares a key with " + PlaceOf(*owner) + ", which the key belongs to");
      }
    }
  }

  void CheckQuota(const Customer& customer) {
    const QuotaLimit& quota = customer.quota;
    if (!quota.Limited()) {
      if (quota.burst > 0) {
        Warn(customer, "a burst without a rate: requests are not limited");
      }
      return;
    }
    const std::uint64_t request = quota.unit == QuotaUnit::kRequests ? 1 : quota.default_tokens;
    if (quota.burst >= request) {
      return;
    }
    Warn(customer, "the burst of " + std::to_string(quota.burst) +
                       " is smaller than one request of the default amount, " +
                       std::to_string(request));
    if (quota.per_second < request - quota.burst) {
      Warn(customer,
           "the rate of " + std::to_string(quota.per_second) +
               " and the burst together do not admit one request of the default amount, " +
               std::to_string(request) + ", within a second");
    }
  }

  void CheckAnyCaller() {
    const auto& all = table_.Customers().All();
    const bool any_key = std::any_of(
        all.begin(), all.end(), [](const Customer& customer) { return !customer.keys.empty(); });
    if (!table_.NeedsKeys() || any_key) {
      return;
    }
    for (const Route& route : table_.Routes()) {
      if (!route.is_public) {
        findings_.push_back(
            {FindingSeverity::kError, PlaceOf(route), "requires a key, but no customer has one"});
      }
    }
  }

  void Warn(const Customer& customer, std::string message) {
    findings_.push_back({FindingSeverity::kWarning, PlaceOf(customer), std::move(message)});
  }

  void Fail(const Customer& customer, std::string message) {
    findings_.push_back({FindingSeverity::kError, PlaceOf(customer), std::move(message)});
  }

  const RouteTable& table_;
  std::set<std::string> names_;
  Findings findings_;
};

}  // namespace

Findings CheckCustomers(const RouteTable& table) {
  return CustomerChecker(table).Run();
}

}  // namespace rudderloom
