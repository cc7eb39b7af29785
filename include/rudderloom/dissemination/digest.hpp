/// @file
/// What a node hears in answer to its counts: the holder's word, from itself or through a relay.
#ifndef RUDDERLOOM_DISSEMINATION_DIGEST_HPP
#define RUDDERLOOM_DISSEMINATION_DIGEST_HPP

#include <cstdint>   // for uint32_t, uint64_t
#include <optional>  // for optional
#include <string>    // for string
#include <vector>    // for vector

#include "rudderloom/dissemination/configuration_log.hpp"  // for ConfigurationChanges
#include "rudderloom/endpoint_limits/limit_exchange.hpp"   // for LimitTable
#include "rudderloom/fleet/endpoint_record.hpp"            // for EndpointChanges
#include "rudderloom/fleet/fleet_view.hpp"                 // for LoadTable
#include "rudderloom/placement/serving.hpp"                // for ServingChanges
#include "rudderloom/quarantine/crash_news.hpp"            // for QuarantineTable
#include "rudderloom/quota/spending.hpp"                   // for BalanceTable

namespace rudderloom {

/// @brief A word that is older is neither handed on nor heeded. A takeover of the lease takes about
/// 2 s, in which relays have no newer one and are as good as the holder; after that they have lost
/// touch with a holder that may be well.
/// @ingroup dissemination
constexpr Duration kOldestWord{3'000};

/// @brief The holder's word, as one node hears it.
/// @ingroup dissemination
struct HolderDigest {
  /// @brief False: the node that was asked neither holds the lease nor has a word of its holder to
  /// hand on. Then only `holder` and `epoch` are told, as that node last knew them, and
  /// `crash_news`.
  bool holds = false;
  std::uint64_t epoch = 0;  ///< Of the lease.
  std::string holder;       ///< Address of its holder.
  Duration age{0};          ///< Since the holder made its word.
  std::uint32_t nodes = 1;  ///< Entry nodes whose counts are fresh, with the holder.
  LoadTable loads;          ///< Of all nodes but the one that asked and those it stands for.
  std::string relay;        ///< Address to report to from now on; empty: to whoever answered.
  bool is_relay = false;    ///< The asking node is to hand the word on to nodes that ask it.
  Duration relay_pause{0};  ///< Between two reports of a relay, as the holder's processor bears it.
  bool standby = false;     ///< The asking node is one of the first that take over.
  std::vector<std::string> standby_addresses;  ///< Of all of these.
  bool renewals_fail = false;                  ///< The holder can't renew its lease at present.
  std::uint64_t routes_version = 0;            ///< Of the holder's configuration; 0 for none.
  ServingChanges serving;                      ///< That the asking node lacks.
  EndpointChanges endpoints;                   ///< That the asking node lacks.
  bool tells_era = true;  ///< False: told by a node of an earlier version, which knows of no eras.
  /// @brief Since the store confirmed the list of endpoints.
  std::optional<Duration> endpoints_age;
  /// @brief The configuration is handed on; false in a small fleet, whose nodes ask the store.
  bool tells_configuration = false;
  ConfigurationChanges configuration;  ///< That the asking node lacks.
  /// @brief Since the store confirmed the configuration.
  std::optional<Duration> configuration_age;
  /// @brief What customers may still spend, when the holder made its word: to a node that takes the
  /// lease over first all of them, to others those that its report names.
  BalanceTable balances;
  std::uint64_t report_counted = 0;  ///< The asking node's last report that these take in.
  /// @brief Requests that end the endpoints that run them; empty: as the asking node knows them.
  std::optional<QuarantineTable> quarantine;
  /// @brief What the node that answers is telling the holder, if it is another one: the holder may
  /// be out of its reach, and out of the asking node's.
  CrashNews crash_news;
  /// @brief Limits that endpoints have announced; empty: as the asking node knows them.
  std::optional<LimitTable> limits;
  /// @brief Remaining load times of units that the asking node's report names, counted from when
  /// the holder made its statement.
  LoadsDue loads_due;
};

/// @brief Makes a digest, and what it tells, as old as it is after a time on its way.
/// @ingroup dissemination
void MakeOlder(HolderDigest& digest, Duration on_its_way);

}  // namespace rudderloom

#endif
