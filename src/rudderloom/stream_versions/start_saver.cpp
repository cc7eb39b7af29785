#include "rudderloom/stream_versions/start_saver.hpp"

#include <algorithm>  // for max, sort
#include <utility>    // for move
#include <vector>     // for vector

#include "rudderloom/base/log_line.hpp"  // for LogLine
#include "rudderloom/http/pause.hpp"     // for PauseFor

namespace rudderloom {

namespace {

// Between two writes.
constexpr Duration kSaveInterval{100};
// The first start after a pause is saved this much later at the most, with those that follow at
// once.
constexpr Duration kCheckInterval{20};
// At nodes that don't hold the lease.
constexpr Duration kHolderCheckInterval{100};
// Together with the interval, a little longer than a start is remembered.
constexpr std::uint64_t kObjects = 640;
// With the longest ids, two thirds of the largest object that the platform's store takes.
constexpr std::size_t kMaxStartsPerWrite = 8'000;
// Between two reads for streams that clients take up while nobody holds the lease: as long as a
// takeover of the lease takes, after which the new holder has read them.
constexpr Duration kMinReadInterval{2'000};

}  // namespace

StartSaver::StartSaver(asio::io_context& context,
                       ObjectStore& store,
                       std::string kind,
                       KeptStarts& starts,
                       Metrics& metrics)
    : context_(context),
      store_(store),
      kind_(std::move(kind)),
      starts_(starts),
      metrics_(metrics) {}

void StartSaver::Start() {
  asio::co_spawn(context_, Run(), asio::detached);
}

Awaitable<void> StartSaver::Run() {
  while (true) {
    Duration pause = kCheckInterval;
    const auto epoch = starts_.HeldEpoch(Now());
    if (epoch && epoch != loaded_epoch_) {
      starts_.SetHasLoaded(false);
      const bool loaded = co_await Load();
      if (loaded) {
        loaded_epoch_ = epoch;
        starts_.SetHasLoaded(true);
      }
    } else if (epoch || (loaded_epoch_ && starts_.SavesWhileStopping())) {
      const bool tried = co_await Save();
      pause = tried ? kSaveInterval : kCheckInterval;
    } else {
      loaded_epoch_.reset();
      starts_.SetHasLoaded(false);
      pause = kHolderCheckInterval;
    }
    co_await PauseFor(context_, pause);
  }
}

Awaitable<bool> StartSaver::Load() {
  auto listed = co_await store_.List(kind_);
  if (const auto* error = std::get_if<StoreError>(&listed)) {
    OnError(*error);
    co_return false;
  }
  std::vector<StartBatch> batches;
  objects_.clear();
  for (const StoredObject& object : std::get<ObjectList>(listed).objects) {
    objects_.insert(object.name);
    batches.push_back(StartBatchFromJson(object.spec));
    last_number_ = std::max(last_number_, batches.back().number);
  }
  // What is known already is kept, so the newest batch comes first.
  std::sort(batches.begin(), batches.end(),
            [](const StartBatch& a, const StartBatch& b) { return a.number > b.number; });
  std::size_t count = 0;
  for (const StartBatch& batch : batches) {
    starts_.RecordSaved(batch.starts, Now());
    count += batch.starts.size();
  }
  read_at_ = Now();
  LogLine("stream_starts_loaded").With("objects", batches.size()).With("starts", count);
  co_return true;
}

Awaitable<void> StartSaver::ReadIfDue() {
  if (!reading_ && Now() - read_at_ >= kMinReadInterval) {
    reading_ = true;
    co_await Load();
    reading_ = false;
  }
}

void StartSaver::Find(const StreamQuery& query, std::function<void(StreamAnswer)> done) {
  asio::co_spawn(
      context_,
      [this, query, done = std::move(done)]() -> Awaitable<void> {
        co_await ReadIfDue();
        done(starts_.Answer(query, Now()));
      },
      asio::detached);
}

// Returns false if there was nothing to save. A batch whose write failed is written again, before
// later ones.
Awaitable<bool> StartSaver::Save() {
  if (pending_.starts.empty()) {
    pending_ = {++last_number_, starts_.TakeUnsaved(kMaxStartsPerWrite)};
  }
  if (pending_.starts.empty()) {
    --last_number_;
    co_return false;
  }
  StoredObject object;
  object.name = std::to_string(pending_.number % kObjects);
  object.spec = ToJson(pending_);
  const bool written = co_await Write(std::move(object));
  metrics_.Count({"rudderloom_stream_start_saves_total", "result", written ? "ok" : "failed"});
  if (written) {
    pending_ = StartBatch();
  }
  co_return true;
}

Awaitable<bool> StartSaver::Write(StoredObject object) {
  std::string name = object.name;
  if (!objects_.contains(name)) {
    object.version = kMustNotExist;
  }
  auto written = co_await store_.Put(kind_, std::move(object));
  const auto* error = std::get_if<StoreError>(&written);
  if (error == nullptr) {
    objects_.insert(std::move(name));
    co_return true;
  }
  if (error->kind == StoreError::Kind::kRefused) {
    LogLine("stream_starts_refused", Severity::kWarning)
        .With("starts", pending_.starts.size())
        .With("error", error->message);
    pending_ = StartBatch();
  }
  // A store that came back from an older copy may have lost the object or have it again.
  if (error->kind == StoreError::Kind::kNotFound) {
    objects_.erase(name);
  } else if (error->kind == StoreError::Kind::kConflict) {
    objects_.insert(std::move(name));
  }
  OnError(*error);
  co_return false;
}

void StartSaver::OnError(const StoreError& error) {
  metrics_.Count({"rudderloom_platform_errors_total", "kind", NameOf(error.kind)});
}

}  // namespace rudderloom
