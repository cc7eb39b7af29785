/// @file
/// A customer with its API keys, request priority and quota.
#ifndef RUDDERLOOM_CUSTOMERS_CUSTOMER_HPP
#define RUDDERLOOM_CUSTOMERS_CUSTOMER_HPP

#include <cstdint>      // for uint32_t, uint64_t
#include <map>          // for map
#include <optional>     // for optional
#include <string>       // for string
#include <string_view>  // for string_view
#include <vector>       // for vector

#include "rudderloom/customers/key_digest.hpp"  // for KeyDigest

namespace rudderloom {

/// @brief Hash of a customer's name, equal on all nodes. Identifies the customer in spending
/// reports.
/// @ingroup customers
using CustomerKey = std::uint32_t;

/// @brief Unit in which a customer's requests are counted.
/// @ingroup customers
enum class QuotaUnit {
  kRequests,
  kTokens,  ///< Prompt tokens plus maximum answer tokens.
};

/// @brief Fleet-wide rate limit of a customer.
/// @ingroup customers
struct QuotaLimit {
  QuotaUnit unit = QuotaUnit::kRequests;
  std::uint64_t per_second = 0;      ///< 0: no limit.
  std::uint64_t burst = 0;           ///< Additional amount at once.
  std::uint64_t default_tokens = 1;  ///< Counted for a request without token counts.

  bool Limited() const { return per_second > 0; }
  bool operator==(const QuotaLimit&) const = default;
};

/// @brief A customer as configured.
/// @ingroup customers
struct Customer {
  std::string name;
  std::vector<KeyDigest> keys;
  std::optional<std::uint32_t> priority;  ///< Overrides the route's; 0 is the most urgent.
  QuotaLimit quota;
  bool operator==(const Customer&) const = default;
};

/// @brief Returns the hash of a customer's name.
/// @ingroup customers
CustomerKey CustomerKeyOf(std::string_view name);

/// @brief Limits by customer.
/// @ingroup customers
using QuotaLimits = std::map<CustomerKey, QuotaLimit>;

/// @brief All customers of a configuration. Immutable.
/// @ingroup customers
class CustomerTable {
 public:
  CustomerTable() = default;
  /// @param customers If several have the same key, it belongs to the first of them by name.
  explicit CustomerTable(std::vector<Customer> customers);

  /// @brief Returns the customer that owns a key; null if there is none.
  const Customer* Find(const KeyDigest& key) const;

  const std::vector<Customer>& All() const { return customers_; }

  /// @brief Returns the limits of the customers that have one.
  const QuotaLimits& Limits() const { return limits_; }

 private:
  std::vector<Customer> customers_;
  std::map<KeyDigest, std::size_t> by_key_;
  QuotaLimits limits_;
};

}  // namespace rudderloom

#endif
