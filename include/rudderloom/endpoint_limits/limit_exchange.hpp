/// @file
/// Spreads what one node observes of endpoints' limits to all nodes.
#ifndef RUDDERLOOM_ENDPOINT_LIMITS_LIMIT_EXCHANGE_HPP
#define RUDDERLOOM_ENDPOINT_LIMITS_LIMIT_EXCHANGE_HPP

#include <cstdint>   // for uint64_t
#include <optional>  // for optional

#include "rudderloom/endpoint_limits/limit_book.hpp"  // for LimitBook

namespace rudderloom {

/// @brief A limit on its way between nodes, whose clocks are not compared.
/// @ingroup endpoint_limits
struct SentLimit {
  std::optional<double> requests_per_second;  ///< Empty: the limit has ended.
  Duration age{0};                            ///< Since it was observed.

  bool operator==(const SentLimit&) const = default;
};

/// @brief Such limits by endpoint.
/// @ingroup endpoint_limits
using SentLimits = std::map<EndpointKey, SentLimit>;

/// @brief As they are sent at `now`.
/// @ingroup endpoint_limits
SentLimits WithAges(const EndpointLimits& limits, TimePoint now);

/// @brief All limits that the holder of the lease knows.
/// @ingroup endpoint_limits
struct LimitTable {
  std::uint64_t version = 0;  ///< Differs whenever there is something new; 0 for an empty table.
  SentLimits limits;          ///< Their ages as the holder sent its message.
};

/// @brief The control state's part in it: observations go to the holder of the lease with each
/// node's reports, for some seconds, and the holder's table comes back when it differs. Pure; time
/// is passed in.
/// @ingroup endpoint_limits
class LimitExchange {
 public:
  /// @brief This node's traffic, or a node that reports here, has observed these; true when the
  /// holder should receive them at once.
  bool Observed(const SentLimits& limits, TimePoint now);

  /// @brief What is sent to the holder now.
  SentLimits ToReport(TimePoint now) const;

  /// @brief The holder's table has arrived.
  /// @param sent_at When the holder sent it, by this node's clock.
  void Received(const LimitTable& table, TimePoint sent_at);

  /// @brief This node has taken the lease. Its own table counts from now on.
  void Begin(std::uint64_t epoch);

  /// @brief This node no longer holds the lease.
  void End() { holding_epoch_.reset(); }

  /// @brief Version of the holder's table that this node knows.
  std::uint64_t Version() const { return version_; }

  /// @brief The table to answer other nodes with.
  /// @param sent_at When the holder sent the message that it goes along with.
  LimitTable Table(TimePoint sent_at) const;

  /// @brief Forgets limits that ended some time ago, and endpoints that are gone.
  void Expire(const std::function<bool(EndpointKey)>& listed, TimePoint now);

  /// @brief Null while no endpoint has a limit.
  const EndpointLimitsPtr& ForTraffic() const { return for_traffic_; }

  /// @brief True once after `ForTraffic` has changed.
  bool TakeChanged();

 private:
  void Merge(const EndpointLimits& limits, TimePoint now);
  void Publish();
  void RaiseVersion(TimePoint now);

  LimitBook known_;     // from wherever
  LimitBook observed_;  // by this node and those that report to it
  EndpointLimitsPtr for_traffic_;
  bool changed_ = false;
  std::optional<std::uint64_t> holding_epoch_;
  std::uint64_t changes_ = 0;  // of the table, since the lease was taken
  std::uint64_t version_ = 0;
  TimePoint version_raised_at_;
};

}  // namespace rudderloom

#endif
