#include "rudderloom/claims/claim_keeper.hpp"

#include <algorithm>  // for any_of

#include "rudderloom/base/backoff.hpp"   // for Backoff
#include "rudderloom/base/log_line.hpp"  // for LogLine

namespace rudderloom {

namespace {

// Shards above this size, close to the platform's limit on values, accept no more claims.
constexpr std::size_t kMaxShardBytes = 900 * 1024;
constexpr Duration kMinBackoff{50};
constexpr Duration kMaxBackoff{2'000};
constexpr Duration kStopBackoff{50};
constexpr Duration kSettleLimit{1'500};
constexpr Duration kSettlePause{50};

}  // namespace

ClaimKeeper::ClaimKeeper(asio::io_context& context,
                         ObjectStore& store,
                         std::string incarnation,
                         ClaimSettings settings,
                         Metrics& metrics)
    : context_(context),
      store_(store),
      incarnation_(std::move(incarnation)),
      settings_(settings),
      metrics_(metrics) {}

std::size_t ClaimKeeper::Pending() const {
  std::size_t count = 0;
  for (const auto& [number, shard] : shards_) {
    count += shard.pending.size() + shard.committing_count;
  }
  return count;
}

// True while any shard is trying to reach the platform, so that further claims can fail fast.
bool ClaimKeeper::ProbeInProgress() const {
  return std::any_of(shards_.begin(), shards_.end(),
                     [](const auto& entry) { return entry.second.running; });
}

Awaitable<ClaimResult> ClaimKeeper::Take(std::string key,
                                         std::string fingerprint,
                                         Duration limit,
                                         CallGuard* guard,
                                         std::int64_t runs_until) {
  if (failing_ && ProbeInProgress()) {
    co_return ClaimUnavailable{"the platform does not answer"};
  }
  Change change;
  change.kind = ChangeKind::kTake;
  change.key = key;
  change.claim.owner = incarnation_ + "/" + std::to_string(++sequence_);
  change.claim.fingerprint = std::move(fingerprint);
  change.claim.claimed_at = UnixSeconds();
  change.claim.runs_until = runs_until;
  change.deadline = Now() + limit;
  change.result = std::make_shared<std::variant<std::monostate, ClaimResult>>();
  change.waiter = std::make_shared<Timer>(context_);
  change.waiter->expires_at(TimePoint::max());
  const auto waiter = change.waiter;
  const auto result = change.result;
  Enqueue(std::move(change));
  if (guard != nullptr) {
    guard->SetCancel([waiter, result] {
      if (std::holds_alternative<std::monostate>(*result)) {
        *result = ClaimUnavailable{"interrupted"};
        waiter->cancel();
      }
    });
  }
  while (std::holds_alternative<std::monostate>(*result)) {
    co_await waiter->async_wait(kAsTuple);
  }
  if (guard != nullptr) {
    guard->SetCancel({});
  }
  co_return std::get<ClaimResult>(*result);
}

void ClaimKeeper::Finish(const std::string& key, const Claim& ended) {
  Change change;
  change.kind = ChangeKind::kFinish;
  change.key = key;
  change.claim = ended;
  Enqueue(std::move(change));
}

void ClaimKeeper::Release(const std::string& key, const Claim& claim) {
  Change change;
  change.kind = ChangeKind::kRelease;
  change.key = key;
  change.claim = claim;
  Enqueue(std::move(change));
}

void ClaimKeeper::Enqueue(Change change) {
  const std::int64_t number = ShardOf(change.key, settings_.shards);
  Shard& shard = shards_[number];
  shard.name = "shard-" + std::to_string(number);
  shard.pending.push_back(std::move(change));
  if (!shard.running) {
    shard.running = true;
    asio::co_spawn(context_, CommitLoop(shard), asio::detached);
  }
}

void ClaimKeeper::BeginStop() {
  stopping_ = true;
  for (auto& [number, shard] : shards_) {
    if (shard.pause != nullptr) {
      shard.pause->cancel();
    }
  }
}

void ClaimKeeper::Resolve(Change& change, ClaimResult result) {
  *change.result = std::move(result);
  change.waiter->cancel();
}

// Runs commits sequentially, each with all changes that arrived in the meantime.
Awaitable<void> ClaimKeeper::CommitLoop(Shard& shard) {
  Backoff backoff(kMinBackoff, kMaxBackoff, std::hash<std::string>{}(incarnation_ + shard.name));
  while (!shard.pending.empty()) {
    Timer batch(context_, settings_.batch);
    co_await batch.async_wait(kAsTuple);
    const bool known = shard.version && !NeedsRefresh(shard);
    const bool done = (known || co_await Read(shard)) && co_await Commit(shard);
    failing_ = !done;
    if (done) {
      backoff.Reset();
      continue;
    }
    ExpireOverdue(shard, "the platform does not answer");
    Timer pause(context_, stopping_ ? kStopBackoff : backoff.Next());
    shard.pause = &pause;
    co_await pause.async_wait(kAsTuple);
    shard.pause = nullptr;
  }
  shard.running = false;
}

Awaitable<bool> ClaimKeeper::Read(Shard& shard) {
  auto got = co_await store_.Get(std::string(object_kind::kClaims), shard.name);
  if (auto* object = std::get_if<StoredObject>(&got)) {
    shard.book = ClaimBook::FromJson(object->spec);
    shard.version = object->version;
    shard.writers = object->writers;
    co_return true;
  }
  if (std::get<StoreError>(got).kind == StoreError::Kind::kNotFound) {
    shard.book = ClaimBook();
    shard.version = kMustNotExist;
    shard.writers.clear();
    co_return true;
  }
  co_return false;
}

// Returns the outcome of a claim of this process that is not stored yet; null if there is none.
const Claim* ClaimKeeper::PendingOutcome(const Shard& shard, const std::string& key) {
  for (const Change& change : shard.pending) {
    if (change.kind == ChangeKind::kFinish && change.key == key) {
      return &change.claim;
    }
  }
  return nullptr;
}

// True if a requested key was still claimed by a running call when the shard was last read.
bool ClaimKeeper::NeedsRefresh(const Shard& shard) {
  return std::any_of(shard.pending.begin(), shard.pending.end(), [&](const Change& change) {
    const Claim* existing =
        change.kind == ChangeKind::kTake ? shard.book.Find(change.key) : nullptr;
    return existing != nullptr && existing->state == ClaimState::kClaimed;
  });
}

// Resolves the waiting claims whose key is already claimed in the book as last read or written.
void ClaimKeeper::ResolveTaken(Shard& shard) {
  for (auto change = shard.pending.begin(); change != shard.pending.end();) {
    const Claim* existing =
        change->kind == ChangeKind::kTake ? shard.book.Find(change->key) : nullptr;
    if (existing != nullptr && existing->owner != change->claim.owner) {
      const Claim* ended = PendingOutcome(shard, change->key);
      Resolve(*change, ClaimTaken{ended != nullptr ? *ended : *existing});
      change = shard.pending.erase(change);
    } else {
      ++change;
    }
  }
}

// The calls of these claims were interrupted and are never sent.
void ClaimKeeper::ReleaseAbandoned(Shard& shard) {
  for (Change& change : shard.pending) {
    if (change.kind == ChangeKind::kTake && !change.IsWaiting()) {
      change.kind = ChangeKind::kRelease;
    }
  }
}

// Fails the waiting claims whose deadline has passed. Such a claim may have been stored, so it is
// released in the background; its call is never sent.
void ClaimKeeper::ExpireOverdue(Shard& shard, const std::string& reason) {
  const TimePoint now = Now();
  for (Change& change : shard.pending) {
    if (change.kind == ChangeKind::kTake && now >= change.deadline) {
      Resolve(change, ClaimUnavailable{reason});
      change.kind = ChangeKind::kRelease;
    }
  }
}

// Resolves a claim of a commit that was stored, or releases it if its call was interrupted.
void ClaimKeeper::ResolveCommitted(const Shard& shard, Change& change) {
  const Claim* existing = shard.book.Find(change.key);
  const bool own = existing != nullptr && existing->owner == change.claim.owner;
  if (!change.IsWaiting()) {
    if (own) {
      Release(change.key, change.claim);
    }
  } else if (own) {
    Resolve(change, ClaimGranted{change.claim});
  } else if (existing != nullptr) {
    Resolve(change, ClaimTaken{*existing});
  } else {
    Resolve(change, ClaimUnavailable{"the claim was not kept"});
  }
}

Awaitable<bool> ClaimKeeper::Commit(Shard& shard) {
  shard.book.Prune(UnixSeconds() - settings_.retention.count() / 1000);
  ReleaseAbandoned(shard);
  ResolveTaken(shard);
  if (shard.book.Bytes() > kMaxShardBytes) {
    for (Change& change : shard.pending) {
      if (change.kind == ChangeKind::kTake) {
        Resolve(change, ClaimUnavailable{"the shard of this key is full"});
        change.kind = ChangeKind::kRelease;
      }
    }
  }
  if (shard.pending.empty()) {
    co_return true;
  }
  ClaimBook book = shard.book;
  std::list<Change> batch;
  batch.swap(shard.pending);
  shard.committing_count = batch.size();
  for (const Change& change : batch) {
    switch (change.kind) {
      case ChangeKind::kTake:
        book.TryClaim(change.key, change.claim);
        break;
      case ChangeKind::kFinish:
        book.Finish(change.key, change.claim);
        break;
      case ChangeKind::kRelease:
        book.Release(change.key, change.claim.owner);
        break;
    }
  }
  StoredObject object;
  object.name = shard.name;
  object.version = shard.version;
  object.writers = shard.writers;
  object.spec = book.ToJson();
  const std::string token = incarnation_ + "/w" + std::to_string(++sequence_);
  const ConfirmTimes times{kSettleLimit, kSettlePause};
  auto written = co_await PutAndConfirm(context_, store_, std::string(object_kind::kClaims),
                                        std::move(object), token, times);
  shard.committing_count = 0;
  if (auto* stored = std::get_if<StoredObject>(&written)) {
    // After a lost answer, the stored object may already include later writes of other nodes.
    shard.book = stored->spec.empty() ? std::move(book) : ClaimBook::FromJson(stored->spec);
    shard.version = stored->version;
    shard.writers = stored->writers;
    metrics_.Count({"rudderloom_claim_commits_total", "result", "done"});
    metrics_.Count({"rudderloom_claim_changes_total"}, batch.size());
    for (Change& change : batch) {
      if (change.kind == ChangeKind::kTake) {
        ResolveCommitted(shard, change);
      }
    }
    co_return true;
  }
  const StoreError& error = std::get<StoreError>(written);
  metrics_.Count({"rudderloom_claim_commits_total", "result", NameOf(error.kind)});
  // Requeue before newer changes; the next read shows which of them were stored.
  shard.pending.splice(shard.pending.begin(), batch);
  shard.version.reset();
  if (error.kind == StoreError::Kind::kConflict) {
    // Another node wrote first: reread and retry immediately.
    const bool read = co_await Read(shard);
    co_return read;
  }
  LogLine("claim_commit_failed", Severity::kWarning)
      .With("shard", shard.name)
      .With("kind", NameOf(error.kind))
      .With("message", error.message);
  co_return false;
}

}  // namespace rudderloom
