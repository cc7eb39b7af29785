/// @file
/// Which nodes hand the holder's word on, and which take the lease over first.
#ifndef RUDDERLOOM_DISSEMINATION_ROSTER_HPP
#define RUDDERLOOM_DISSEMINATION_ROSTER_HPP

#include <cstdint>  // for uint32_t
#include <map>      // for map
#include <set>      // for set
#include <string>   // for string
#include <vector>   // for vector

#include "rudderloom/placement/demand.hpp"  // for NodeCounts, ReportingNode

namespace rudderloom {

/// @brief Chosen by the holder of the lease from the nodes that report to it. Pure.
///
/// What the holder does grows with the nodes that it hears and answers. In a fleet of more than a
/// group and a half it therefore hears only some: in each availability zone a relay for each group,
/// those with the most processor time first. All other nodes report to a relay of their zone. With
/// groups of 16 the holder of 295 nodes answers some 20 relays, and each relay 16 nodes.
/// @ingroup dissemination
class Roster {
 public:
  /// @param group_size Nodes that one relay is to stand for, itself included.
  explicit Roster(std::uint32_t group_size) : group_size_(group_size) {}

  /// @brief Chooses anew from the nodes whose counts are fresh, the holder itself left out.
  void Update(std::vector<ReportingNode> nodes);

  bool HasRelays() const { return !relays_by_zone_.empty(); }

  /// @brief True when the node of this name is to hand the word on.
  bool IsRelay(const std::string& node) const { return relay_names_.contains(node); }

  /// @brief True when the node of this name is one of the first that take the lease over.
  bool IsStandby(const std::string& node) const { return standby_names_.contains(node); }

  /// @brief Addresses of the nodes that take the lease over first.
  const std::vector<std::string>& StandbyAddresses() const { return standby_addresses_; }

  /// @brief Address of the relay that the node is to report to; empty: to the holder. Relays that
  /// did not answer the node are left out.
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

/// @brief Most nodes that one relay answers: more than its share while another one is missing.
/// @ingroup dissemination
std::uint32_t MostMembers(std::uint32_t group_size);

}  // namespace rudderloom

#endif
