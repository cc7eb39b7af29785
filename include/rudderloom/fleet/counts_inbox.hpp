/// @file
/// Counts of other nodes that the control state has not taken yet.
#ifndef RUDDERLOOM_FLEET_COUNTS_INBOX_HPP
#define RUDDERLOOM_FLEET_COUNTS_INBOX_HPP

#include <map>     // for map
#include <mutex>   // for mutex
#include <string>  // for string
#include <vector>  // for vector

#include "rudderloom/placement/demand.hpp"  // for NodeCounts

namespace rudderloom {

/// @brief Keeps the newest counts of each node, so that a control thread that falls behind has no
/// more to do than one message a node: queued one by one, the reports of 86 nodes kept a
/// configuration waiting for 5 s. May be used from any thread.
/// @ingroup fleet
class CountsInbox {
 public:
  /// @brief Replaces what the same node told before; what came in since then is added up.
  /// @return True when the inbox was empty: whoever empties it must be told.
  bool Put(NodeCounts counts);

  /// @brief Takes everything out.
  std::vector<NodeCounts> TakeAll();

 private:
  std::mutex mutex_;
  std::map<std::string, NodeCounts> by_node_;
};

}  // namespace rudderloom

#endif
