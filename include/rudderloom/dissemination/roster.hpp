/// @file
/// Assignment of the relays that forward digests and of the standbys for the lease.
#ifndef RUDDERLOOM_DISSEMINATION_ROSTER_HPP
#define RUDDERLOOM_DISSEMINATION_ROSTER_HPP

#include <cstdint>  // for uint32_t
#include <map>      // for map
#include <set>      // for set
#include <string>   // for string
#include <vector>   // for vector

#include "rudderloom/placement/demand.hpp"  // for NodeCounts, ReportingNode

namespace rudderloom {

/// @brief Relays and standbys that the lease holder selects among the reporting nodes. Does no I/O.
///
/// The holder's work grows with the number of nodes that report to it. In a fleet larger than one
/// and a half groups, only relays report to it: one per group in each availability zone, selected
/// by most CPU time. All other nodes report to a relay of their zone. With groups of 16, the holder
/// of 295 nodes answers some 20 relays, and each relay 16 nodes.
/// @ingroup dissemination
class Roster {
 public:
  /// @param group_size Number of nodes per relay, including the relay itself.
  explicit Roster(std::uint32_t group_size) : group_size_(group_size) {}

  /// @brief Reselects among `nodes`: those with fresh reports, without the holder itself.
  void Update(std::vector<ReportingNode> nodes);

  bool HasRelays() const { return !relays_by_zone_.empty(); }

  /// @brief Returns true if the named node is a relay.
  bool IsRelay(const std::string& node) const { return relay_names_.contains(node); }

  /// @brief Returns true if the named node is a standby.
  bool IsStandby(const std::string& node) const { return standby_names_.contains(node); }

  /// @brief Returns the addresses of the standbys.
  const std::vector<std::string>& StandbyAddresses() const { return standby_addresses_; }

  /// @brief Returns the address of the relay that the node must report to; empty means the holder.
  /// Relays that failed to answer the node are skipped.
  std::string RelayFor(const NodeCounts& asking) const;

 private:
  void ChooseStandbys(const std::vector<ReportingNode>& nodes);
  void ChooseRelays(const std::vector<ReportingNode>& nodes);

  std::uint32_t group_size_;
  std::map<std::string, std::vector<std::string>> relays_by_zone_;  // addresses
  std::set<std::string> relay_names_;
  std::set<std::string> standby_names_;
  std::vector<std::string> standby_addresses_;
};

/// @brief Returns the maximum number of nodes that one relay answers: more than its group, so that
/// it can take over members of a failed relay.
/// @ingroup dissemination
std::uint32_t MaxRelayMembers(std::uint32_t group_size);

}  // namespace rudderloom

#endif
