#include "rudderloom/fleet/counts_inbox.hpp"

#include <utility>  // for move

namespace rudderloom {

bool CountsInbox::Put(NodeCounts counts) {
  const std::lock_guard lock(mutex_);
  const bool was_empty = by_node_.empty();
  const auto [entry, is_new] = by_node_.try_emplace(counts.node);
  NodeCounts& kept = entry->second;
  MergeUnreported(kept, counts);
  kept = std::move(counts);
  return was_empty;
}

std::vector<NodeCounts> CountsInbox::TakeAll() {
  std::map<std::string, NodeCounts> taken;
  {
    const std::lock_guard lock(mutex_);
    taken.swap(by_node_);
  }
  std::vector<NodeCounts> all;
  all.reserve(taken.size());
  for (auto& [node, counts] : taken) {
    all.push_back(std::move(counts));
  }
  return all;
}

}  // namespace rudderloom
