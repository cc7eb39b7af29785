/// @file
/// Counts of a node together with those of the nodes that report through it.
#ifndef RUDDERLOOM_DISSEMINATION_GROUP_COUNTS_HPP
#define RUDDERLOOM_DISSEMINATION_GROUP_COUNTS_HPP

#include <cstdint>   // for uint32_t
#include <map>       // for map
#include <optional>  // for optional
#include <string>    // for string

#include "rudderloom/placement/demand.hpp"  // for NodeCounts

namespace rudderloom {

/// @brief Adds up the counts of a group, so that the holder of the lease hears one node in place of
/// the whole group. Pure; time is passed in.
/// @ingroup dissemination
class GroupCounts {
 public:
  /// @brief Takes this node's own newest counts.
  void CountedSelf(const NodeCounts& counts);

  /// @brief Takes the newest counts of a node that reports to this one. Nodes that stand for others
  /// don't count: they report here only while they take this node for the holder.
  void Counted(const NodeCounts& counts, TimePoint now);

  /// @brief The whole group's counts under this node's name; nothing before its own first ones.
  /// What was offered is told once, at the next call it begins anew.
  std::optional<NodeCounts> Take(TimePoint now);

  /// @brief Loads that the whole group puts on endpoints, and each node of it.
  LoadSums Sums(TimePoint now) const;

  /// @brief True when other nodes report to this one.
  bool HasMembers(TimePoint now) const;

  /// @brief True once this node's own counts are known.
  bool Known() const { return own_.has_value(); }

  /// @brief True when requests have come at a member that wait for something to be loaded.
  bool Waiting() const { return waiting_; }

 private:
  struct Member {
    std::map<UnitName, UnitCount> units;
    std::shared_ptr<const LoadTable> loads;
    TimePoint heard_at;
  };

  void AddOffered(const NodeCounts& counts);

  std::optional<NodeCounts> own_;
  std::map<std::string, Member> members_;
  std::map<UnitName, Duration> offered_;  // since the last call of `Take`
  bool waiting_ = false;                  // the same
};

}  // namespace rudderloom

#endif
