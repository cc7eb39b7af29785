/// @file
/// Follows the objects of one kind: lists them, then watches for changes.
#ifndef RUDDERLOOM_STORE_STORE_FOLLOWER_HPP
#define RUDDERLOOM_STORE_STORE_FOLLOWER_HPP

#include <functional>  // for function
#include <memory>      // for shared_ptr
#include <optional>    // for optional
#include <string>      // for string

#include "rudderloom/base/backoff.hpp"        // for Backoff
#include "rudderloom/store/object_store.hpp"  // for ObjectStore

namespace rudderloom {

/// @brief How often the platform is called. May be changed while a kind is followed, on the thread
/// of the io_context.
/// @ingroup store
class FollowPace {
 public:
  explicit FollowPace(asio::io_context& context) : resumed_(context) {}

  /// @brief Minimum time between the starts of two watches. Batches changes that arrive in between.
  Duration min_interval{0};
  /// @brief Duration of a watch without changes; empty: the default of the store.
  std::optional<Duration> watch_time;

  /// @brief Interval at which objects are listed again, in case a watch missed a change; empty:
  /// never.
  std::optional<Duration> relist_interval;

  /// @brief Pause after the first successful list until `Resume` is called.
  bool once = false;

  /// @brief Pauses after the current call until `Resume` is called.
  void Pause() { paused_ = true; }

  /// @brief Continues with a list, because changes may have been missed.
  void Resume();

  bool Paused() const { return paused_; }

  /// @brief Waits until following is not paused.
  Awaitable<void> WhilePaused();

 private:
  bool paused_ = false;
  Timer resumed_;
};

/// @brief Options for following a kind.
/// @ingroup store
struct FollowOptions {
  std::string kind;
  Backoff backoff;  ///< Delay after failed calls.
  std::shared_ptr<FollowPace> pace;
  /// @brief A kind with few, small objects. After a failure or a pause, a stale list of this kind
  /// probes whether the store responds. It costs a tenth of a regular call, so an outage does not
  /// cause a series of full lists: nodes that listed two kinds every 1.6 s during a store outage of
  /// 9 s made half of the calls of a day. Empty: no probe.
  std::string probe_kind;
};

/// @brief Callbacks of a follower.
/// @ingroup store
struct FollowHooks {
  std::function<void(const ObjectList&)> on_list;
  std::function<void(const WatchEvent&)> on_event;  ///< Never a bookmark.
  /// @brief Called when all changes up to this version were received.
  std::function<void(const StoreRevision& version)> on_reached = [](const StoreRevision&) {};
  std::function<void(const StoreError&)> on_error;
};

/// @brief Follows a kind until the io_context stops. Lists the objects again after a failed watch.
/// @ingroup store
Awaitable<void> FollowKind(asio::io_context& context,
                           ObjectStore& store,
                           FollowOptions options,
                           FollowHooks hooks);

}  // namespace rudderloom

#endif
