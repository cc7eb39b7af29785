#include "rudderloom/store/store_follower.hpp"

#include "rudderloom/http/pause.hpp"  // for PauseFor

namespace rudderloom {

void FollowPace::Resume() {
  paused_ = false;
  resumed_.cancel();
}

Awaitable<void> FollowPace::WhilePaused() {
  while (paused_) {
    resumed_.expires_at(TimePoint::max());
    co_await resumed_.async_wait(kAsTuple);
  }
}

namespace {

class Follower {
 public:
  Follower(asio::io_context& context, ObjectStore& store, FollowOptions options, FollowHooks hooks)
      : context_(context), store_(store), options_(std::move(options)), hooks_(std::move(hooks)) {}

  Awaitable<void> Run() {
    while (true) {
      if (options_.pace->Paused()) {
        co_await options_.pace->WhilePaused();
        version_.reset();
        must_probe_ = true;
      }
      if (must_probe_ && !options_.probe_kind.empty()) {
        const bool responds = co_await ProbeStore();
        if (!responds) {
          co_await PauseFor(context_, options_.backoff.Next());
          continue;
        }
      }
      must_probe_ = false;
      if (options_.pace->relist_interval && Now() - listed_at_ >= *options_.pace->relist_interval) {
        version_.reset();
      }
      const bool succeeded = !version_ ? co_await List() : co_await Watch();
      if (!succeeded) {
        co_await PauseFor(context_, options_.backoff.Next());
        must_probe_ = true;
      }
    }
  }

 private:
  // Checks with a cheap call whether the store responds.
  Awaitable<bool> ProbeStore() {
    auto listed = co_await store_.ListStale(options_.probe_kind);
    auto* error = std::get_if<StoreError>(&listed);
    if (error != nullptr) {
      hooks_.on_error(*error);
    }
    co_return error == nullptr;
  }

  Awaitable<bool> List() {
    auto listed = co_await store_.List(options_.kind);
    if (auto* error = std::get_if<StoreError>(&listed)) {
      hooks_.on_error(*error);
      co_return false;
    }
    const ObjectList& list = std::get<ObjectList>(listed);
    version_ = list.version;
    listed_at_ = Now();
    hooks_.on_list(list);
    options_.backoff.Reset();
    if (options_.pace->once) {
      options_.pace->Pause();
    }
    co_return true;
  }

  Awaitable<bool> Watch() {
    const TimePoint started = Now();
    std::function<void(WatchEvent)> on_event = [this](const WatchEvent& event) {
      HandleEvent(event);
    };
    const StoreError ended = co_await WatchOnce(std::move(on_event));
    if (!ended.message.empty()) {
      // A watch resumed after a lost connection may report nothing although its history was
      // deleted, so objects are listed again after any error.
      version_.reset();
      hooks_.on_error(ended);
      co_return ended.kind == StoreError::Kind::kExpired;
    }
    options_.backoff.Reset();
    const Duration elapsed = Between(started, Now());
    if (elapsed < options_.pace->min_interval) {
      co_await PauseFor(context_, options_.pace->min_interval - elapsed);
    }
    co_return true;
  }

  Awaitable<StoreError> WatchOnce(std::function<void(WatchEvent)> on_event) {
    if (options_.pace->watch_time) {
      return store_.WatchFor(options_.kind, *version_, *options_.pace->watch_time,
                             std::move(on_event));
    }
    return store_.Watch(options_.kind, *version_, std::move(on_event));
  }

  void HandleEvent(const WatchEvent& event) {
    version_ = event.object.version;
    if (event.kind == WatchEvent::Kind::kBookmark) {
      hooks_.on_reached(*version_);
    } else {
      hooks_.on_event(event);
    }
  }

  asio::io_context& context_;
  ObjectStore& store_;
  FollowOptions options_;
  FollowHooks hooks_;
  std::optional<StoreRevision> version_;  // empty if a list is needed
  TimePoint listed_at_;
  bool must_probe_ = false;  // the store may be unavailable
};

}  // namespace

Awaitable<void> FollowKind(asio::io_context& context,
                           ObjectStore& store,
                           FollowOptions options,
                           FollowHooks hooks) {
  Follower follower(context, store, std::move(options), std::move(hooks));
  co_await follower.Run();
}

}  // namespace rudderloom
