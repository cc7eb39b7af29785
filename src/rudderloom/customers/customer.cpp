#include "rudderloom/customers/customer.hpp"

#include <algorithm>  // for sort
#include <utility>    // for move

namespace rudderloom {

CustomerKey CustomerKeyOf(std::string_view name) {
  constexpr CustomerKey kFnvOffsetBasis = 2'166'136'261U;
  constexpr CustomerKey kFnvPrime = 16'777'619U;
  CustomerKey key = kFnvOffsetBasis;
  for (const char c : name) {
    key = (key ^ static_cast<unsigned char>(c)) * kFnvPrime;
  }
  return key;
}

CustomerTable::CustomerTable(std::vector<Customer> customers) : customers_(std::move(customers)) {
  // Sorted, so that all nodes resolve duplicate keys alike, regardless of the input order.
  std::sort(customers_.begin(), customers_.end(),
            [](const Customer& left, const Customer& right) { return left.name < right.name; });
  for (std::size_t i = 0; i < customers_.size(); ++i) {
    for (const KeyDigest& key : customers_[i].keys) {
      by_key_.emplace(key, i);
    }
    if (customers_[i].quota.Limited()) {
      limits_.emplace(CustomerKeyOf(customers_[i].name), customers_[i].quota);
    }
  }
}

const Customer* CustomerTable::Find(const KeyDigest& key) const {
  const auto found = by_key_.find(key);
  return found == by_key_.end() ? nullptr : &customers_[found->second];
}

}  // namespace rudderloom
