/// @file
/// Cap'n Proto link between entry nodes: counts go to the holder of the placement lease or to a
/// relay, and its word comes back.
#ifndef RUDDERLOOM_PEERS_HOLDER_LINK_HPP
#define RUDDERLOOM_PEERS_HOLDER_LINK_HPP

#include <functional>  // for function
#include <memory>      // for shared_ptr
#include <optional>    // for optional
#include <string>      // for string

#include "rudderloom/dissemination/digest.hpp"         // for HolderDigest
#include "rudderloom/endpoint_limits/permit_book.hpp"  // for PermitAsk
#include "rudderloom/placement/demand.hpp"             // for NodeCounts
#include "rudderloom/quota/grant_book.hpp"             // for SpendAsk

namespace rudderloom {

/// @brief What the link hands on. All are called on the link's thread.
/// @ingroup peers
struct HolderLinkHooks {
  /// @brief Another node reported its counts to this one.
  std::function<void(NodeCounts)> on_counts;
  /// @brief The digest for a node that reported; must not block.
  std::function<HolderDigest(const NodeCounts& asking)> digest_for;
  /// @brief The node at `from` answered this node's report of a number.
  std::function<void(HolderDigest, const std::string& from, std::uint64_t number)> on_digest;
  /// @brief Another node asks this one whether a request may run; must not block.
  std::function<SpendAnswer(const SpendAsk&)> on_spend;
  /// @brief Another node asks this one whether it may send a request to an endpoint; must not
  /// block.
  std::function<PermitAnswer(const PermitAsk&)> on_permit;
  /// @brief A report to the node at `to` got no answer.
  std::function<void(const std::string& to, std::uint64_t number)> on_failure;
};

/// @brief Takes the holder's answer, or nothing when none came; called on the link's thread.
/// @ingroup peers
using SpendCallback = std::function<void(std::optional<SpendAnswer>)>;

/// @brief The same for permits.
/// @ingroup peers
using PermitCallback = std::function<void(std::optional<PermitAnswer>)>;

/// @brief Runs Cap'n Proto's event loop on a thread of its own.
/// @ingroup peers
class HolderLink {
 public:
  /// @param address IP number and port to listen on.
  /// @param answer_limit A report without an answer for so long has failed.
  HolderLink(const std::string& address, Duration answer_limit);
  HolderLink(const HolderLink&) = delete;
  HolderLink& operator=(const HolderLink&) = delete;
  ~HolderLink();

  /// @brief The address taken, as IP number and port; port 0 takes one from the kernel.
  const std::string& Address() const { return address_; }

  /// @brief Begins to answer and to report. Nothing is answered before.
  void Start(HolderLinkHooks hooks);

  /// @brief Tells counts to the node at this address. While an earlier report is under way, the
  /// newest counts wait for its end. May be called from any thread.
  void Report(const std::string& to, NodeCounts counts);

  /// @brief Asks the node at this address whether a request may run. `done` is called once, unless
  /// the link is stopped before. May be called from any thread.
  void Ask(const std::string& holder, const SpendAsk& ask, SpendCallback done);

  /// @brief The same for a permit, of the holder or its deputy.
  void Ask(const std::string& granter, const PermitAsk& ask, PermitCallback done);

  /// @brief Ends the event loop; no hook is called after this, and no callback is kept.
  void Stop();

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
  std::string address_;
};

}  // namespace rudderloom

#endif
