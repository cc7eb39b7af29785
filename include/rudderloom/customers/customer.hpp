/// @file
/// A customer: whose keys its callers show, how urgent they are and how much they may ask for.
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

/// @brief Stands for a customer's name where nodes tell each other what was spent: a hash of it,
/// the same on all nodes.
/// @ingroup customers
using CustomerKey = std::uint32_t;

/// @brief In what a customer's requests are counted.
/// @ingroup customers
enum class QuotaUnit {
  kRequests,
  kTokens,  ///< Of the prompt and of the answer at most, together.
};

/// @brief How much a customer may have run, over all nodes together.
/// @ingroup customers
struct QuotaLimit {
  QuotaUnit unit = QuotaUnit::kRequests;
  std::uint64_t per_second = 0;    ///< 0: no limit.
  std::uint64_t burst = 0;         ///< Beyond, at once.
  std::uint64_t plain_tokens = 1;  ///< Counted for a request that names no tokens.

  bool Limited() const { return per_second > 0; }
  bool operator==(const QuotaLimit&) const = default;
};

/// @brief One customer, as the configuration names it.
/// @ingroup customers
struct Customer {
  std::string name;
  std::vector<KeyDigest> keys;
  std::optional<std::uint32_t> priority;  ///< In place of the route's; 0 is the most urgent.
  QuotaLimit quota;
  bool operator==(const Customer&) const = default;
};

/// @brief The key that stands for a customer of this name.
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
  /// @param customers Where two name one key, the first name has it.
  explicit CustomerTable(std::vector<Customer> customers);

  /// @brief The customer that holds a key; null when nobody does.
  const Customer* Find(const KeyDigest& key) const;

  const std::vector<Customer>& All() const { return customers_; }

  /// @brief Limits of those that have one.
  const QuotaLimits& Limits() const { return limits_; }

 private:
  std::vector<Customer> customers_;
  std::map<KeyDigest, std::size_t> by_key_;
  QuotaLimits limits_;
};

}  // namespace rudderloom

#endif
