/// @file
/// Distributes the endpoint limits observed by one node to all nodes.
#ifndef RUDDERLOOM_ENDPOINT_LIMITS_LIMIT_EXCHANGE_HPP
#define RUDDERLOOM_ENDPOINT_LIMITS_LIMIT_EXCHANGE_HPP

#include <cstdint>   // for uint64_t
#include <optional>  // for optional

#include "rudderloom/endpoint_limits/limit_book.hpp"  // for LimitBook

namespace rudderloom {

/// @brief A limit as sent between nodes. It carries an age, since their clocks are not compared.
/// @ingroup endpoint_limits
struct SentLimit {
  std::optional<double> requests_per_second;  ///< Empty: the limit has ended.
  Duration age{0};                            ///< Since it was observed.
  /// @brief Empty: the endpoint tolerates any number of rejections.
  std::optional<double> rejections_per_second = {};

  bool operator==(const SentLimit&) const = default;
};

/// @brief Sent limits by endpoint.
/// @ingroup endpoint_limits
using SentLimits = std::map<EndpointKey, SentLimit>;

/// @brief Converts limits to their ages at `now`.
/// @ingroup endpoint_limits
SentLimits ToSentLimits(const EndpointLimits& limits, TimePoint now);

/// @brief All limits known to the lease holder.
/// @ingroup endpoint_limits
struct LimitTable {
  std::uint64_t version = 0;  ///< Changes with every update; 0 for an empty table.
  SentLimits limits;          ///< With ages as of the holder's message.
};

/// @brief The control state's part of the distribution: observations are included in each node's
/// reports to the lease holder for some seconds, and the holder returns its table if it differs.
/// Does no I/O; time is passed in.
/// @ingroup endpoint_limits
class LimitExchange {
 public:
  /// @brief Adds observations of this node's traffic or of a member; returns true if the holder
  /// should receive them immediately.
  bool Observed(const SentLimits& limits, TimePoint now);

  /// @brief Returns the observations to send to the holder at `now`.
  SentLimits ToReport(TimePoint now) const;

  /// @brief Merges a table received from the holder.
  /// @param sent_at When the holder sent it, by this node's clock.
  void Received(const LimitTable& table, TimePoint sent_at);

  /// @brief Called when this node acquires the lease; its own table is authoritative from now on.
  void Begin(std::uint64_t epoch);

  /// @brief Called when this node no longer holds the lease.
  void End() { holding_epoch_.reset(); }

  /// @brief Returns the version of the holder's table that this node has.
  std::uint64_t Version() const { return version_; }

  /// @brief Returns the table for answers to other nodes.
  /// @param sent_at When the holder sent the message that contains it.
  LimitTable Table(TimePoint sent_at) const;

  /// @brief Removes limits that ended some time ago, and endpoints that are no longer listed.
  void Expire(const std::function<bool(EndpointKey)>& listed, TimePoint now);

  /// @brief Returns the limits for the traffic thread; null while no endpoint has one.
  const EndpointLimitsPtr& ForTraffic() const { return for_traffic_; }

  /// @brief Returns true once after `ForTraffic` has changed.
  bool TakeChanged();

 private:
  void Merge(const EndpointLimits& limits, TimePoint now);
  void Publish();
  void RaiseVersion(TimePoint now);

  LimitBook known_;     // from all sources
  LimitBook observed_;  // by this node and its members
  EndpointLimitsPtr for_traffic_;
  bool changed_ = false;
  std::optional<std::uint64_t> holding_epoch_;
  std::uint64_t changes_ = 0;  // of the table, since the lease was acquired
  std::uint64_t version_ = 0;
  TimePoint version_raised_at_;
};

}  // namespace rudderloom

#endif
