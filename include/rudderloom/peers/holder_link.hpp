/// @file
/// Cap'n Proto link between entry nodes: sends counts to the holder of the placement lease or to a
/// relay, and receives its digest.
#ifndef RUDDERLOOM_PEERS_HOLDER_LINK_HPP
#define RUDDERLOOM_PEERS_HOLDER_LINK_HPP

#include <functional>  // for function
#include <memory>      // for shared_ptr
#include <optional>    // for optional
#include <string>      // for string

#include "rudderloom/dissemination/digest.hpp"          // for HolderDigest
#include "rudderloom/endpoint_limits/permit_book.hpp"   // for PermitRequest
#include "rudderloom/placement/demand.hpp"              // for NodeCounts
#include "rudderloom/quota/grant_book.hpp"              // for SpendRequest
#include "rudderloom/stream_versions/kept_starts.hpp"   // for StreamQuery
#include "rudderloom/stream_versions/version_book.hpp"  // for StreamStarts

namespace rudderloom {

/// @brief Callbacks of the link, called on the link's thread.
/// @ingroup peers
struct HolderLinkHooks {
  /// @brief Called when another node has reported its counts.
  std::function<void(NodeCounts)> on_counts;
  /// @brief Returns the digest for the reporting node. Must not block.
  std::function<HolderDigest(const NodeCounts& asking)> digest_for;
  /// @brief Called when the node at `from` has responded to the report with this number.
  std::function<void(HolderDigest, const std::string& from, std::uint64_t number)> on_digest;
  /// @brief Decides for another node whether a request is within the quota. Must not block.
  std::function<SpendAnswer(const SpendRequest&)> on_spend;
  /// @brief Decides for another node whether it may send a request to an endpoint. Must not block.
  std::function<PermitAnswer(const PermitRequest&)> on_permit;
  /// @brief Called with what became of a request that this node granted. Must not block.
  std::function<void(const SlotReport&)> on_slot_report;
  /// @brief Called when another node is about to begin streams. Returns whether this node confirms
  /// it, see `KeptStarts::Confirm`. Must not block.
  std::function<bool(const StartsToConfirm&)> on_streams_begin;
  /// @brief Returns what this node knows of a stream. Must not block.
  std::function<StreamAnswer(const StreamQuery&)> stream_version;
  /// @brief Called when the report to the node at `to` failed.
  std::function<void(const std::string& to, std::uint64_t number)> on_failure;
};

/// @brief Receives the holder's answer; empty if the call failed. Called on the link's thread.
/// @ingroup peers
using SpendCallback = std::function<void(std::optional<SpendAnswer>)>;

/// @brief Receives the answer to a permit call; empty if the call failed. Called on the link's
/// thread.
/// @ingroup peers
using PermitCallback = std::function<void(std::optional<PermitAnswer>)>;

/// @brief Receives whether the node confirms starts of streams; empty if the call failed. Called on
/// the link's thread.
/// @ingroup peers
using ConfirmationCallback = std::function<void(std::optional<bool>)>;

/// @brief Receives what the node knows; empty if the call failed. Called on the link's thread.
/// @ingroup peers
using StreamQueryCallback = std::function<void(std::optional<StreamAnswer>)>;

/// @brief Runs a Cap'n Proto event loop on its own thread.
/// @ingroup peers
class HolderLink {
 public:
  /// @param address IP address and port to listen on.
  /// @param answer_limit Timeout of a report.
  HolderLink(const std::string& address, Duration answer_limit);
  HolderLink(const HolderLink&) = delete;
  HolderLink& operator=(const HolderLink&) = delete;
  ~HolderLink();

  /// @brief Returns the bound IP address and port. With port 0 the kernel chooses a free port.
  const std::string& Address() const { return address_; }

  /// @brief Starts to serve calls and to send reports. Calls are not served before.
  void Start(HolderLinkHooks hooks);

  /// @brief Reports counts to the node at this address. While another report is in flight, only the
  /// latest counts are queued. May be called from any thread.
  void Report(const std::string& to, NodeCounts counts);

  /// @brief Asks the node at this address whether a request is within the quota. `done` is called
  /// once, unless the link is stopped before. May be called from any thread.
  void Ask(const std::string& holder, const SpendRequest& ask, SpendCallback done);

  /// @brief Asks the holder or its deputy for a permit. See the overload above.
  void Ask(const std::string& granter, const PermitRequest& ask, PermitCallback done);

  /// @brief Tells the node at this address what became of a request that it granted. May be called
  /// from any thread.
  void Tell(const std::string& granter, const SlotReport& report);

  /// @brief Tells the node at this address which streams begin. May be called from any thread.
  void Tell(const std::string& node, const StreamStarts& starts);

  /// @brief Tells the node at this address which streams begin and asks it to confirm that. See the
  /// first overload.
  void Ask(const std::string& node, const StartsToConfirm& starts, ConfirmationCallback done);

  /// @brief Asks the node at this address at which version a stream began. See the first overload.
  void Ask(const std::string& node, const StreamQuery& query, StreamQueryCallback done);

  /// @brief Stops the event loop. No hook is called afterwards, and pending callbacks are
  /// destroyed.
  void Stop();

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
  std::string address_;
};

}  // namespace rudderloom

#endif
