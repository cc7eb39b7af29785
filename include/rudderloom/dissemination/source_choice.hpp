/// @file
/// Selects the source of stored objects: the store itself, or another node's digests.
#ifndef RUDDERLOOM_DISSEMINATION_SOURCE_CHOICE_HPP
#define RUDDERLOOM_DISSEMINATION_SOURCE_CHOICE_HPP

#include <optional>     // for optional
#include <string_view>  // for string_view

#include "rudderloom/base/clock.hpp"  // for TimePoint

namespace rudderloom {

/// @brief How a node keeps up with one kind of stored objects.
/// @ingroup dissemination
enum class FollowMode {
  kStore,           ///< By its own watch on the store.
  kStoreOnce,       ///< By a single list request; no further store calls until the mode changes.
  kStoreForOthers,  ///< By its own watch with frequent answers, since other nodes rely on them.
  kHolder,          ///< By the holder's digests; the store is not called.
};

/// @brief Returns the name used in logs.
/// @ingroup dissemination
std::string_view NameOf(FollowMode following);

/// @brief Role of a node in the distribution of digests.
/// @ingroup dissemination
enum class NodeRole {
  kNone,
  kRelay,    ///< Forwards the holder's digests.
  kStandby,  ///< Forwards them too, and answers relays that have no fresh digest.
  kHolder,   ///< Holds the lease and creates the digests.
};

/// @brief Whether a node starts along with the whole system, before there are clients.
/// @ingroup dissemination
enum class StartKind {
  kFirst,    ///< First start of the whole system: no clients wait yet.
  kRestart,  ///< Clients may be waiting.
};

/// @brief Decides between the store and the digests. Does no I/O; time is passed in.
///
/// Store calls are costly, so one node makes them for all. The others rely on its digests only
/// while they arrive and while the store has confirmed their contents recently: a holder that is
/// cut off, frozen or slow counts as lost. Standbys are the first to stop relying on it and call
/// the store. Relays then ask the standbys, and call the store only if that fails, before their
/// members would have to. A fleet without a holder thus calls the store only as often as its few
/// standbys do, regardless of its size.
/// @ingroup dissemination
class SourceSelector {
 public:
  /// @param max_age Maximum age of the digest contents before a node calls the store itself.
  /// @param start On a restart the node begins with its own list request, otherwise it waits for a
  /// digest.
  /// @param spread From 0 to 1, different on each node, so that they don't all stop waiting at
  /// once.
  SourceSelector(Duration max_age, StartKind start, double spread);

  /// @brief Records that the store has just confirmed this node's data.
  void Confirmed(TimePoint now) { confirmed_at_ = now; }

  /// @brief Returns when the store last confirmed the data, to this node or to the creator of the
  /// digest; empty before the first confirmation.
  std::optional<TimePoint> ConfirmedAt() const;

  /// @brief Records a received digest; `age` is the time since the store confirmed its contents.
  void RecordDigest(Duration age, TimePoint now);

  /// @brief Records that digests don't carry this data in a fleet of this size: only the store
  /// does.
  void NotInDigest();

  /// @brief Returns the mode to use from now on.
  FollowMode Choose(NodeRole duty, TimePoint now);

 private:
  bool DigestIsFresh(Duration max_age, TimePoint now) const;
  bool WaitsForFirstDigest(TimePoint now);

  Duration max_age_;
  StartKind start_;
  Duration initial_wait_;
  std::optional<TimePoint> started_at_;
  bool may_wait_ = true;  // for the first digest
  std::optional<TimePoint> confirmed_at_;
  std::optional<TimePoint> digest_confirmed_at_;
  std::optional<TimePoint> fresh_since_;
};

}  // namespace rudderloom

#endif
