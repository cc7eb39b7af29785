/// @file
/// Cap'n Proto link between entry nodes and the holder of the placement lease.
#ifndef RUDDERLOOM_PEERS_HOLDER_LINK_HPP
#define RUDDERLOOM_PEERS_HOLDER_LINK_HPP

#include <functional>  // for function
#include <memory>      // for shared_ptr
#include <string>      // for string

#include "rudderloom/placement/demand.hpp"  // for NodeCounts
#include "rudderloom/placement/digest.hpp"  // for HolderDigest

namespace rudderloom {

/// @brief What the link hands on. All are called on the link's thread.
/// @ingroup peers
struct HolderLinkHooks {
  /// @brief Another node reported its counts, while this one may hold the lease.
  std::function<void(NodeCounts)> on_counts;
  /// @brief The digest for a node that reported; must not block.
  std::function<HolderDigest(const NodeCounts& asking)> digest_for;
  /// @brief The holder answered this node's report.
  std::function<void(HolderDigest)> on_digest;
  /// @brief A report got no answer.
  std::function<void(const std::string& error)> on_failure;
};

/// @brief Runs Cap'n Proto's event loop on a thread of its own.
/// @ingroup peers
class HolderLink {
 public:
  /// @param address IP number and port to listen on.
  /// @param every How often counts are reported.
  /// @param least_between Between two reports, also when one is asked for at once.
  HolderLink(const std::string& address,
             Duration every,
             Duration least_between,
             Duration answer_limit);
  HolderLink(const HolderLink&) = delete;
  HolderLink& operator=(const HolderLink&) = delete;
  ~HolderLink();

  /// @brief The address taken, as IP number and port; port 0 takes one from the kernel.
  const std::string& Address() const { return address_; }

  /// @brief Begins to answer and to report. Nothing is answered before.
  void Start(HolderLinkHooks hooks);

  /// @brief Whom to report to; empty for nobody. May be called from any thread.
  void SetHolder(const std::string& address);

  /// @brief Takes the newest counts; `at_once` sends them without waiting for the next turn.
  /// May be called from any thread.
  void SetCounts(NodeCounts counts, bool at_once);

  /// @brief Ends the event loop; no hook is called after this.
  void Stop();

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
  std::string address_;
};

}  // namespace rudderloom

#endif
