/// @file
/// Counts of other nodes that the control state has not processed yet.
#ifndef RUDDERLOOM_FLEET_COUNTS_INBOX_HPP
#define RUDDERLOOM_FLEET_COUNTS_INBOX_HPP

#include <map>     // for map
#include <mutex>   // for mutex
#include <string>  // for string
#include <vector>  // for vector

#include "rudderloom/placement/demand.hpp"  // for NodeCounts

namespace rudderloom {

/// @brief Keeps only the newest counts of each node, so that a control thread that falls behind has
/// at most one message per node to process: queued one by one, the reports of 86 nodes delayed a
/// configuration by 5 s. Thread-safe.
/// @ingroup fleet
class CountsInbox {
 public:
  /// @brief Replaces the counts that the same node sent before; amounts that accumulated since are
  /// added up.
  /// @return True when the inbox was empty, so the consumer has to be notified.
  bool Put(NodeCounts counts);

  /// @brief Removes and returns all counts.
  std::vector<NodeCounts> TakeAll();

 private:
  std::mutex mutex_;
  std::map<std::string, NodeCounts> by_node_;
};

}  // namespace rudderloom

#endif
