/// @file
/// What a node answers when others ask at which software version a stream began.
#ifndef RUDDERLOOM_STREAM_VERSIONS_KEPT_STARTS_HPP
#define RUDDERLOOM_STREAM_VERSIONS_KEPT_STARTS_HPP

#include <cstdint>   // for uint64_t
#include <mutex>     // for mutex
#include <optional>  // for optional
#include <set>       // for set
#include <string>    // for string

#include "rudderloom/stream_versions/service_versions.hpp"  // for VersionsByService
#include "rudderloom/stream_versions/version_book.hpp"      // for VersionBook

namespace rudderloom {

/// @brief A question for the software version at which a stream began.
/// @ingroup stream_versions
struct StreamQuery {
  std::string began_as;  ///< Id of the client's attempt; empty: not named.
  std::string service;
};

/// @brief Starts of streams in a service that the lease holder is asked to confirm.
/// @ingroup stream_versions
struct StartsToConfirm {
  StreamStarts starts;
  std::string service;
};

/// @brief What a node knows about a stream.
/// @ingroup stream_versions
struct StreamAnswer {
  std::string software_version;    ///< At which it began; empty: not known.
  std::set<std::string> versions;  ///< That have served in its service lately.
  /// @brief `versions` includes what served before this process started.
  bool knows_history = false;
  /// @brief The node holds the lease, so no other node knows of a further version.
  bool is_holder = false;
  /// @brief The node has read the starts that earlier holders saved.
  bool has_loaded = false;
  bool from_self = false;  ///< The node has asked itself.
  /// @brief At which it began if no node knows it, see `UnrecordedVersions`; empty: that proves
  /// nothing.
  std::string unrecorded_version;
};

/// @brief Versions that have served lately, as the control state knows them.
/// @ingroup stream_versions
struct VersionKnowledge {
  VersionsByService lately;
  bool knows_history = false;  ///< See `StreamAnswer`.
  TimePoint held_until;        ///< End of this node's lease; in the past if it holds none.
  std::uint64_t epoch = 0;     ///< Of that lease.
  /// @brief The node is stopping and has released the lease, and no other node is known to have
  /// taken it: it still saves the starts that it is told.
  bool saves_while_stopping = false;
  VersionsByService recorded;   ///< At the lease holder: by the lease record as written last.
  VersionOfService unrecorded;  ///< At the lease holder, see `UnrecordedVersions`.
  /// @brief At which streams may begin before the lease holder has confirmed their start.
  VersionsByService settled;
};

/// @brief The starts of streams of all nodes, at a node that keeps them: the lease holder and those
/// of which one is the next holder. May be used from any thread.
/// @ingroup stream_versions
class KeptStarts {
 public:
  /// @brief Records starts of which a node tells.
  void Record(const StreamStarts& starts, TimePoint now);

  /// @brief Records starts. Returns true if every later answer of a lease holder takes them into
  /// account: this node holds the lease, its record lists their versions, and it knows of no later
  /// attempts.
  bool Confirm(const StartsToConfirm& told, TimePoint now);

  /// @brief Replaces what is known of versions.
  void SetKnowledge(VersionKnowledge knowledge);

  StreamAnswer Answer(const StreamQuery& query, TimePoint now) const;

  /// @brief Returns the epoch of the lease that this node holds; empty if it holds none.
  std::optional<std::uint64_t> HeldEpoch(TimePoint now) const;

  /// @brief See `VersionKnowledge::saves_while_stopping`.
  bool SavesWhileStopping() const;

  /// @brief Records starts that earlier holders saved, the latest first.
  void RecordSaved(const StreamStarts& starts, TimePoint now);

  /// @brief Sets whether all that earlier holders saved has been recorded.
  void SetHasLoaded(bool has_loaded);

  /// @brief Returns the next starts to be saved, at most `count`.
  StreamStarts TakeUnsaved(std::size_t count);

 private:
  mutable std::mutex mutex_;  // guards all that follows
  VersionBook book_;
  VersionKnowledge knowledge_;
  bool has_loaded_ = false;
};

}  // namespace rudderloom

#endif
