/// @file
/// Where a node learns something that the store keeps: from the store, or from another node.
#ifndef RUDDERLOOM_DISSEMINATION_SOURCE_CHOICE_HPP
#define RUDDERLOOM_DISSEMINATION_SOURCE_CHOICE_HPP

#include <optional>     // for optional
#include <string_view>  // for string_view

#include "rudderloom/base/clock.hpp"  // for TimePoint

namespace rudderloom {

/// @brief How a node follows one kind of the store's objects.
/// @ingroup dissemination
enum class Following {
  kStore,      ///< By a watch of its own.
  kStoreOnce,  ///< By one list; then the store is not called until that changes.
  kForOthers,  ///< By a watch of its own whose answers come often: other nodes rely on them.
  kHolder,     ///< By what the holder's word tells; the store is not called.
};

/// @brief The word for logs.
/// @ingroup dissemination
std::string_view NameOf(Following following);

/// @brief What a node does for others.
/// @ingroup dissemination
enum class NodeDuty {
  kNone,
  kRelay,    ///< Hands the holder's word on.
  kStandby,  ///< The same, and relays without a word ask it.
  kHolder,   ///< Holds the lease, and tells what it knows.
};

/// @brief Whether all processes begin together, before there are clients.
/// @ingroup dissemination
enum class StartKind {
  kFirst,    ///< Of the whole system: nobody waits yet.
  kRestart,  ///< Clients may be waiting.
};

/// @brief Decides where from. Pure; time is passed in.
///
/// Each call to the store has its price, so one node calls for all. The others rely on its word
/// only while they hear it, and only while what it tells was confirmed by the store a short while
/// ago: a holder that is cut off, frozen or slow is as good as none. Standbys stop relying on it
/// first and ask the store; relays ask them, and only if that does not help the store, before the
/// nodes that hear them would have to. So a fleet whose holder is lost calls the store as often as
/// its few standbys do, however large it is.
/// @ingroup dissemination
class SourceChoice {
 public:
  /// @param oldest How old the word may be before a node asks the store itself.
  /// @param start Begun with a list of its own on a restart, with waiting for a word otherwise.
  /// @param spread From 0 to 1, another one at each node: they don't all stop waiting at once.
  SourceChoice(Duration oldest, StartKind start, double spread);

  /// @brief The store has just confirmed what this node knows.
  void Confirmed(TimePoint now) { confirmed_at_ = now; }

  /// @brief When the store last confirmed it, to this node or to the one that told it; nothing
  /// before the first time.
  std::optional<TimePoint> ConfirmedAt() const;

  /// @brief A word came; `age` is how long ago the store confirmed what it tells.
  void Heard(Duration age, TimePoint now);

  /// @brief Words don't tell this in a fleet of this size: the store must be asked.
  void NotTold();

  /// @brief How to follow from now on.
  Following Choose(NodeDuty duty, TimePoint now);

 private:
  bool WordIsFresh(Duration oldest, TimePoint now) const;
  bool Waits(TimePoint now);

  Duration oldest_;
  StartKind start_;
  Duration wait_at_start_;
  std::optional<TimePoint> started_at_;
  bool may_wait_ = true;  // for the first word
  std::optional<TimePoint> confirmed_at_;
  std::optional<TimePoint> word_confirmed_at_;
  std::optional<TimePoint> fresh_since_;
};

}  // namespace rudderloom

#endif
