#include "fakes/stream_traffic.hpp"

#include <algorithm>  // for any_of, sort
#include <sstream>    // for ostringstream

namespace rudderloom::fakes {

namespace {

const std::string kService = "desk";
constexpr int kStep = 20;
constexpr int kBeginInterval = 60;
// As in request handling.
constexpr int kKeeperWait = 1'000;
constexpr int kKeeperRetryInterval = 100;
constexpr int kHolderWait = 300;
constexpr int kCallTimeout = 160;
constexpr int kConfirmationWait = 600;
constexpr int kConfirmationWaitAfterFailure = 100;
constexpr int kAvoidUnsettledTime = 2'000;
// As in `StartSaver`.
constexpr int kSaveInterval = 100;
constexpr int kCheckInterval = 20;
constexpr int kMinReadInterval = 2'000;
constexpr int kStoreTimeout = 1'000;
// Of clients.
constexpr int kMaxTries = 3;
constexpr int kTryInterval = 1'000;

bool SeveralLately(const VersionsByService& versions) {
  const auto found = versions.find(kService);
  return found != versions.end() && found->second.size() > 1;
}

}  // namespace

StreamTraffic::StreamTraffic(FleetWorld& world, unsigned seed) : world_(world), random_(seed) {
  processes_.resize(static_cast<std::size_t>(world.Nodes()));
}

void StreamTraffic::Play(int milliseconds, bool begins) {
  for (const int until = world_.Now() + milliseconds; world_.Now() < until;) {
    for (int node = 0; node < world_.Nodes(); ++node) {
      if (world_.Runs(node)) {
        Follow(node);
      }
    }
    if (begins && world_.Now() % kBeginInterval == 0) {
      Begin();
    }
    AdvanceStarts();
    StartTries();
    for (Try& attempt : tries_) {
      Advance(attempt);
    }
    std::erase_if(tries_, [](const Try& attempt) { return attempt.ended; });
    world_.Play(kStep);
  }
}

void StreamTraffic::StartEndpoint(const std::string& instance, const std::string& version) {
  running_[instance] = version;
  world_.PutEndpoint(instance, false, version);
}

void StreamTraffic::LeaveEndpoint(const std::string& instance) {
  if (running_.contains(instance)) {
    world_.PutEndpoint(instance, true, running_.at(instance));
  }
}

void StreamTraffic::EndEndpoint(const std::string& instance) {
  running_.erase(instance);
  world_.RemoveEndpoint(instance);
}

void StreamTraffic::RestoreStore(int age, int replay_delay_ms) {
  world_.RestoreStore(age, replay_delay_ms);
  std::erase_if(saved_,
                [&](const SavedBatch& saved) { return saved.saved_at > world_.Now() - age; });
}

// A node that has started again has forgotten everything.
StreamTraffic::Process& StreamTraffic::ProcessOf(int node) {
  auto& process = processes_[static_cast<std::size_t>(node)];
  if (!process || process->generation != world_.GenerationOf(node)) {
    process = std::make_unique<Process>();
    process->generation = world_.GenerationOf(node);
  }
  return *process;
}

bool StreamTraffic::Usable(int node) {
  return world_.Runs(node) && ProcessOf(node).view && !ProcessOf(node).view->endpoints.empty();
}

std::optional<int> StreamTraffic::RandomNode() {
  std::vector<int> usable;
  for (int node = 0; node < world_.Nodes(); ++node) {
    if (Usable(node)) {
      usable.push_back(node);
    }
  }
  return usable.empty() ? std::nullopt : std::optional(usable[random_() % usable.size()]);
}

std::vector<std::string> StreamTraffic::Keepers(int node) {
  const Process& process = ProcessOf(node);
  const std::string& holder = process.view->quota_holder;
  std::vector<std::string> keepers;
  if (!holder.empty()) {
    keepers.push_back(holder);
  }
  for (const std::string& standby : process.standbys) {
    if (standby != holder) {
      keepers.push_back(standby);
    }
  }
  return keepers;
}

void StreamTraffic::Report(int node, const StreamStarts& starts) {
  for (const std::string& keeper : Keepers(node)) {
    if (const auto to = world_.ReachableNodeAt(node, keeper)) {
      ProcessOf(*to).kept.Record(starts, world_.Time());
    }
  }
}

void StreamTraffic::Follow(int node) {
  Process& process = ProcessOf(node);
  process.kept.SetKnowledge(world_.KnowledgeOf(node));
  if (process.view != world_.ViewOf(node)) {
    process.view = world_.ViewOf(node);
    ObserveView(node);
  }
  RunSaver(node);
}

void StreamTraffic::ObserveView(int node) {
  Process& process = ProcessOf(node);
  if (!process.view->standbys.empty()) {
    process.standbys = process.view->standbys;
  }
  const bool any_new =
      SeveralLately(process.view->software_versions) && !SeveralLately(process.versions);
  const bool forgot = process.knows_history && !process.view->knows_version_history;
  process.versions = process.view->software_versions;
  process.knows_history = process.view->knows_version_history;
  const StreamStarts starts = any_new || forgot ? process.own_streams.All() : StreamStarts();
  if (!starts.empty()) {
    Report(node, starts);
  }
}

void StreamTraffic::RunSaver(int node) {
  Process& process = ProcessOf(node);
  if (world_.Now() < process.saver_runs_at) {
    return;
  }
  process.saver_runs_at = world_.Now() + kCheckInterval;
  const auto epoch = process.kept.HeldEpoch(world_.Time());
  if (epoch && epoch != process.loaded_epoch) {
    process.kept.SetHasLoaded(false);
    if (world_.ReachesStore(node)) {
      Load(process);
      process.loaded_epoch = epoch;
      process.kept.SetHasLoaded(true);
    }
  } else if (epoch) {
    Save(node, process);
  }
}

void StreamTraffic::Load(Process& process) {
  std::vector<StartBatch> batches;
  for (const SavedBatch& saved : saved_) {
    batches.push_back(saved.batch);
    process.last_number = std::max(process.last_number, saved.batch.number);
  }
  std::sort(batches.begin(), batches.end(),
            [](const StartBatch& a, const StartBatch& b) { return a.number > b.number; });
  for (const StartBatch& batch : batches) {
    process.kept.RecordSaved(batch.starts, world_.Time());
  }
  process.read_at = world_.Now();
}

void StreamTraffic::Save(int node, Process& process) {
  constexpr std::size_t kMaxStarts = 8'000;
  if (process.pending.starts.empty()) {
    process.pending.starts = process.kept.TakeUnsaved(kMaxStarts);
  }
  if (process.pending.starts.empty()) {
    return;
  }
  process.saver_runs_at = world_.Now() + kSaveInterval;
  const StoreWrites writes = world_.Writes();
  if (!world_.ReachesStore(node) || writes == StoreWrites::kRefused) {
    process.saver_runs_at = world_.Now() + kStoreTimeout;
    return;
  }
  if (process.pending.number == 0) {
    process.pending.number = ++process.last_number;
  }
  saved_.push_back({world_.Now(), process.pending});
  if (writes == StoreWrites::kUnanswered) {
    process.saver_runs_at = world_.Now() + kStoreTimeout;
    return;
  }
  process.pending = {};
}

void StreamTraffic::RecordStart(int node, const StreamStart& start) {
  Process& process = ProcessOf(node);
  process.own_streams.Record(start, world_.Time());
  if (SeveralLately(process.versions) || !process.knows_history) {
    Report(node, {start});
  }
}

void StreamTraffic::Begin() {
  constexpr unsigned kOneIsReplacedOf = 10;
  constexpr unsigned kShortPause = 3'000;
  constexpr unsigned kLongPause = 20'000;
  const auto node = RandomNode();
  if (!node) {
    return;
  }
  if (!ProcessOf(*node).view->streams_may_begin) {
    return;
  }
  const auto endpoint = ChooseEndpoint(*node);
  // The platform lists an endpoint for some time after its end.
  if (!endpoint || !running_.contains(endpoint->instance)) {
    return;
  }
  Start start;
  start.generation = world_.GenerationOf(*node);
  TakenStream& stream = start.stream;
  stream.began_as = "s" + std::to_string(begun_++);
  stream.version = endpoint->software_version;
  stream.began_at = world_.Now();
  stream.began_node = *node;
  start.pause = static_cast<int>(50 + random_() % (random_() % 2 == 0 ? kShortPause : kLongPause));
  // The first endpoint of some ends before it has sent an event, so another one begins the stream.
  const auto& endpoints = ProcessOf(*node).view->endpoints;
  const std::string first = endpoints[random_() % endpoints.size()].record.software_version;
  bool needs_confirmation = NeedsConfirmation(*node, stream.version);
  if (random_() % kOneIsReplacedOf == 0) {
    RecordStart(*node, {stream.began_as, first});
    needs_confirmation = needs_confirmation || first != stream.version;
    start.attempt = 1;
  }
  RecordStart(*node, {stream.began_as, stream.version, start.attempt});
  if (needs_confirmation) {
    starts_.push_back(start);
  } else {
    AddStream(start);
  }
}

// Of a settled version, if the node can't count on a holder to confirm other starts.
std::optional<EndpointRecord> StreamTraffic::ChooseEndpoint(int node) {
  const Process& process = ProcessOf(node);
  const bool confirms = world_.Time() < process.view->holder_permits_until &&
                        world_.Now() - process.unconfirmed_at >= kAvoidUnsettledTime;
  const std::set<std::string> settled = ServingSettledVersions(node);
  const bool prefers = !confirms && SeveralLately(process.versions) && settled.size() == 1;
  std::vector<EndpointRecord> choices;
  for (const FleetEndpoint& endpoint : process.view->endpoints) {
    if (!prefers || settled.contains(endpoint.record.software_version)) {
      choices.push_back(endpoint.record);
    }
  }
  return choices.empty() ? std::nullopt : std::optional(choices[random_() % choices.size()]);
}

std::set<std::string> StreamTraffic::ServingSettledVersions(int node) {
  std::set<std::string> serving;
  const FleetView& view = *ProcessOf(node).view;
  for (const FleetEndpoint& endpoint : view.endpoints) {
    if (HasVersion(view.settled_versions, kService, endpoint.record.software_version)) {
      serving.insert(endpoint.record.software_version);
    }
  }
  return serving;
}

bool StreamTraffic::NeedsConfirmation(int node, const std::string& version) {
  const FleetView& view = *ProcessOf(node).view;
  return SeveralLately(view.software_versions) &&
         !HasVersion(view.settled_versions, kService, version);
}

bool StreamTraffic::Confirms(const Start& start) {
  const int node = start.stream.began_node;
  const auto holder = world_.ReachableNodeAt(node, ProcessOf(node).view->quota_holder);
  return holder && ProcessOf(*holder).kept.Confirm(
                       {{{start.stream.began_as, start.stream.version, start.attempt}}, kService},
                       world_.Time());
}

bool StreamTraffic::GivesUp(const Start& start) {
  const int node = start.stream.began_node;
  const Process& process = ProcessOf(node);
  const bool failed_lately = world_.Now() - process.unconfirmed_at < kAvoidUnsettledTime;
  const int wait = failed_lately ? kConfirmationWaitAfterFailure : kConfirmationWait;
  if (world_.Now() - start.stream.began_at < wait) {
    return false;
  }
  return !process.view->settled_versions.contains(kService) ||
         !ServingSettledVersions(node).empty();
}

// A client whose node ends before the first event knows of no stream.
void StreamTraffic::AdvanceStarts() {
  std::vector<Start> waiting;
  for (const Start& start : starts_) {
    const int node = start.stream.began_node;
    if (world_.GenerationOf(node) != start.generation) {
      continue;
    }
    if (world_.Runs(node) && Confirms(start)) {
      AddStream(start);
    } else if (!world_.Runs(node) || !GivesUp(start)) {
      waiting.push_back(start);
    } else {
      ProcessOf(node).unconfirmed_at = world_.Now();
      const std::set<std::string> settled = ServingSettledVersions(node);
      if (settled.empty() || settled.contains(start.stream.version)) {
        AddStream(start);
      }
    }
  }
  starts_ = std::move(waiting);
}

void StreamTraffic::AddStream(const Start& start) {
  TakenStream stream = start.stream;
  stream.began_at = world_.Now();
  stream.next_try_at = world_.Now() + start.pause;
  streams_.push_back(stream);
}

void StreamTraffic::StartTries() {
  for (std::size_t i = 0; i < streams_.size(); ++i) {
    const TakenStream& stream = streams_[i];
    if (!stream.ended && !stream.trying && stream.next_try_at <= world_.Now()) {
      StartTry(i);
    }
  }
}

void StreamTraffic::StartTry(std::size_t index) {
  TakenStream& stream = streams_[index];
  const auto node = RandomNode();
  if (!node) {
    stream.next_try_at += kTryInterval;
    return;
  }
  ++stream.tries;
  stream.trying = true;
  Try& attempt = tries_.emplace_back();
  attempt.stream = index;
  attempt.node = *node;
  attempt.generation = world_.GenerationOf(*node);
  attempt.until = world_.Now() + kKeeperWait;
  attempt.node_was_cut = IsCut(*node);
  const std::string own = ProcessOf(*node).own_streams.Find(stream.began_as);
  if (!own.empty()) {
    Decide(attempt, {VersionVerdict::kBegan, own});
  }
}

void StreamTraffic::BeginPass(Try& attempt) {
  const Process& process = ProcessOf(attempt.node);
  attempt.keepers = Keepers(attempt.node);
  attempt.inquiry = {};
  attempt.inquiry.own.knows_history = process.view->knows_version_history;
  const auto& versions = process.view->software_versions;
  if (const auto found = versions.find(kService); found != versions.end()) {
    attempt.inquiry.own.versions = found->second;
  }
  attempt.last = world_.Now() >= attempt.until;
  attempt.between_passes = false;
}

// Asks one keeper after the other; one that doesn't answer takes the time limit of the call.
void StreamTraffic::Advance(Try& attempt) {
  if (!attempt.ended && world_.GenerationOf(attempt.node) != attempt.generation) {
    EndTry(attempt, false, false);
  }
  attempt.node_was_cut = attempt.node_was_cut || IsCut(attempt.node);
  while (!attempt.ended && world_.Runs(attempt.node) && attempt.next_at <= world_.Now()) {
    if (attempt.between_passes) {
      BeginPass(attempt);
    }
    auto& answers = attempt.inquiry.answers;
    if (attempt.keepers.size() == answers.size()) {
      EndPass(attempt);
      return;
    }
    answers.push_back(Ask(attempt, attempt.keepers[answers.size()]));
    attempt.next_at = world_.Now() + (answers.back() ? 0 : kCallTimeout);
    Decide(attempt, DecideVersion(attempt.inquiry));
  }
}

// A node that finds no holder reads the saved starts itself.
void StreamTraffic::AddSavedStart(Try& attempt) {
  Process& process = ProcessOf(attempt.node);
  auto& answers = attempt.inquiry.answers;
  const bool holder_answered = std::any_of(answers.begin(), answers.end(), [](const auto& answer) {
    return answer && answer->is_holder;
  });
  if (holder_answered || world_.Now() < attempt.until - kKeeperWait + kHolderWait) {
    return;
  }
  if (world_.ReachesStore(attempt.node) && world_.Now() - process.read_at >= kMinReadInterval) {
    Load(process);
  }
  StreamAnswer answer =
      process.kept.Answer({streams_[attempt.stream].began_as, kService}, world_.Time());
  answer.from_self = true;
  answers.push_back(std::move(answer));
}

void StreamTraffic::EndPass(Try& attempt) {
  const Process& process = ProcessOf(attempt.node);
  AddSavedStart(attempt);
  attempt.inquiry.all_asked = !process.standbys.empty() || process.view->live_nodes <= 1;
  attempt.inquiry.last_try = attempt.last;
  Decide(attempt, DecideVersion(attempt.inquiry));
  attempt.between_passes = true;
  attempt.next_at = std::min(world_.Now() + kKeeperRetryInterval, attempt.until);
}

std::optional<StreamAnswer> StreamTraffic::Ask(const Try& attempt, const std::string& keeper) {
  const auto node = world_.ReachableNodeAt(attempt.node, keeper);
  if (!node) {
    return std::nullopt;
  }
  StreamAnswer answer =
      ProcessOf(*node).kept.Answer({streams_[attempt.stream].began_as, kService}, world_.Time());
  answer.from_self = *node == attempt.node;
  return answer;
}

void StreamTraffic::Decide(Try& attempt, const VersionDecision& decision) {
  if (decision.verdict == VersionVerdict::kAskAgain) {
    return;
  }
  if (decision.verdict == VersionVerdict::kUnknown) {
    EndTry(attempt, false, false);
    return;
  }
  const bool is_wrong = IsWrong(attempt, decision);
  if (is_wrong) {
    wrong_.push_back(Describe(attempt, decision));
  }
  EndTry(attempt, true, !is_wrong);
}

void StreamTraffic::EndTry(Try& attempt, bool decided, bool right) {
  TakenStream& stream = streams_[attempt.stream];
  attempt.ended = true;
  stream.trying = false;
  stream.ended = decided || stream.tries >= kMaxTries;
  stream.decided_right = right;
  stream.next_try_at = world_.Now() + kTryInterval;
  stream.counts = !attempt.node_was_cut && Serves(attempt.node, stream.version);
}

// Without any stated version, a stream may be sent to every endpoint of the node's view.
bool StreamTraffic::IsWrong(const Try& attempt, const VersionDecision& decision) {
  const std::string& version = streams_[attempt.stream].version;
  if (!decision.software_version.empty()) {
    return decision.software_version != version;
  }
  const auto& endpoints = ProcessOf(attempt.node).view->endpoints;
  return std::any_of(endpoints.begin(), endpoints.end(), [&](const FleetEndpoint& endpoint) {
    return endpoint.record.software_version != version;
  });
}

std::string StreamTraffic::Describe(const Try& attempt, const VersionDecision& decision) const {
  const TakenStream& stream = streams_[attempt.stream];
  std::ostringstream text;
  text << stream.began_as << " began at " << stream.version << " at n" << stream.began_node
       << ", at " << stream.began_at << " ms; at " << world_.Now() << " ms n" << attempt.node
       << " decided " << (decision.verdict == VersionVerdict::kOnly ? "only " : "began ")
       << decision.software_version;
  const auto add = [&](const StreamAnswer& answer) {
    text << "\"" << answer.software_version << "\" versions "
         << VersionsText({{kService, answer.versions}}, kService)
         << (answer.knows_history ? " history" : "") << (answer.is_holder ? " holder" : "")
         << (answer.has_loaded ? " loaded" : "") << (answer.from_self ? " self" : "")
         << (answer.unrecorded_version.empty() ? "" : " unrecorded " + answer.unrecorded_version);
  };
  text << "; own: ";
  add(attempt.inquiry.own);
  for (std::size_t i = 0; i < attempt.inquiry.answers.size(); ++i) {
    text << "; " << (i < attempt.keepers.size() ? attempt.keepers[i] : "saved") << ": ";
    if (const auto& answer = attempt.inquiry.answers[i]) {
      add(*answer);
    } else {
      text << "no answer";
    }
  }
  return text.str();
}

bool StreamTraffic::IsCut(int node) const {
  return world_.IsCutFromNodes(node) || !world_.ReachesStore(node);
}

bool StreamTraffic::Serves(int node, const std::string& version) {
  if (!Usable(node)) {
    return false;
  }
  const auto& endpoints = ProcessOf(node).view->endpoints;
  return std::any_of(endpoints.begin(), endpoints.end(), [&](const FleetEndpoint& endpoint) {
    return endpoint.record.software_version == version;
  });
}

}  // namespace rudderloom::fakes
