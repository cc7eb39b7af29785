/// @file
/// Aggregated load counts of a node and of the nodes that report through it.
#ifndef RUDDERLOOM_DISSEMINATION_GROUP_COUNTS_HPP
#define RUDDERLOOM_DISSEMINATION_GROUP_COUNTS_HPP

#include <cstdint>   // for uint32_t
#include <map>       // for map
#include <optional>  // for optional
#include <string>    // for string

#include "rudderloom/placement/demand.hpp"  // for NodeCounts

namespace rudderloom {

/// @brief Aggregates the counts of a group, so that the lease holder receives one report for the
/// whole group. Does no I/O; time is passed in.
/// @ingroup dissemination
class GroupCounts {
 public:
  /// @brief Stores this node's own latest counts.
  void RecordOwn(const NodeCounts& counts);

  /// @brief Stores the latest counts of a node that reports to this one. Relays are ignored: they
  /// report here only while they take this node for the holder.
  void RecordMember(const NodeCounts& counts, TimePoint now);

  /// @brief Returns the group's total counts under this node's name; empty before its own first
  /// counts. The offered load is reset by each call, so it is reported once.
  /// @param max_gateways Maximum number of gateways that are named.
  std::optional<NodeCounts> Take(TimePoint now, std::size_t max_gateways);

  /// @brief Returns the loads that the group and each of its nodes put on endpoints.
  LoadSums Sums(TimePoint now) const;

  /// @brief Returns the gateways among the group.
  GatewayList Gateways(TimePoint now) const;

  /// @brief Returns true if other nodes report to this one.
  bool HasMembers(TimePoint now) const;

  /// @brief Returns true once this node's own counts are known.
  bool Known() const { return own_.has_value(); }

  /// @brief Returns true if a member has reported requests that wait for a load since `Take`.
  bool Waiting() const { return waiting_; }

 private:
  struct Member {
    std::map<UnitName, UnitCount> units;
    std::shared_ptr<const LoadTable> loads;
    TimePoint heard_at;
    bool needs_gateways = false;
    GatewayList gateways;
    bool confirms_starts = true;
  };

  void AddOffered(const NodeCounts& counts);

  std::optional<NodeCounts> own_;
  std::map<std::string, Member> members_;
  std::map<UnitName, Duration> offered_;  // since the last call of `Take`
  bool waiting_ = false;                  // since the last call of `Take`
};

}  // namespace rudderloom

#endif
