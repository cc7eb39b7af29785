#include "fakes/version_schedule.hpp"

#include <algorithm>  // for any_of, clamp, stable_sort
#include <array>      // for array
#include <memory>     // for make_shared
#include <sstream>    // for ostringstream
#include <utility>    // for move

namespace rudderloom::fakes {

namespace {

constexpr int kEndpointsOfVersion = 2;
constexpr int kWarmUp = 6'000;
constexpr int kFaultsEnd = 16'000;
constexpr int kEnd = 22'000;
constexpr int kTakeUpEnd = 26'000;

}  // namespace

FleetWorldOptions FleetOf(unsigned seed) {
  constexpr std::array kNodes{7, 3, 7, 14};
  FleetWorldOptions options;
  options.nodes = kNodes[seed % kNodes.size()];
  options.group_size = 3;
  return options;
}

VersionSchedule::VersionSchedule(unsigned seed, FaultSet faults)
    : random_(seed), world_(FleetOf(seed)), traffic_(world_, seed + 1) {
  world_.RemoveEndpoint("e1");
  world_.RemoveEndpoint("e2");
  StartVersion("v1");
  PlanVersions();
  const int count = Below(5);
  for (int i = 0; i < count; ++i) {
    PlanFault(FaultTime());
  }
  if (faults == FaultSet::kStoreWrites) {
    PlanStoreFaults();
  }
  std::stable_sort(events_.begin(), events_.end(),
                   [](const Event& a, const Event& b) { return a.at < b.at; });
}

void VersionSchedule::Run() {
  world_.Play(kWarmUp);
  for (const Event& event : events_) {
    traffic_.Play(kWarmUp + event.at - world_.Now());
    event.run();
  }
  traffic_.Play(kWarmUp + kEnd - world_.Now());
  traffic_.Play(kTakeUpEnd, false);
}

std::string VersionSchedule::Text() const {
  std::ostringstream text;
  for (std::size_t i = 0; i < events_.size(); ++i) {
    text << "  #" << i << " " << kWarmUp + events_[i].at << " ms: " << events_[i].text << "\n";
  }
  return text.str();
}

Outcome VersionSchedule::GoneOn(bool without_unsaved) const {
  Outcome outcome;
  for (const TakenStream& stream : traffic_.Streams()) {
    if (CouldGoOn(stream) && !(without_unsaved && MayBeUnsaved(stream))) {
      ++outcome.could;
      outcome.went_on += stream.decided_right ? 1 : 0;
    }
  }
  return outcome;
}

// Half of the faults come about when a version appears or goes.
int VersionSchedule::FaultTime() {
  const int at = change_times_[random_() % change_times_.size()] - 500 + Below(2'000);
  return Below(2) == 0 ? Below(kFaultsEnd) : std::clamp(at, 0, kFaultsEnd);
}

void VersionSchedule::Plan(int at, std::string text, std::function<void()> run) {
  events_.push_back({at, std::move(text), std::move(run)});
}

// The instances of a version that is rolled back to are new ones.
void VersionSchedule::StartVersion(const std::string& version) {
  for (int i = 0; i < kEndpointsOfVersion; ++i) {
    const std::string instance = version + "-" + std::to_string(++instances_);
    of_version_[version].push_back(instance);
    traffic_.StartEndpoint(instance, version);
  }
}

void VersionSchedule::PlanStart(int at, const std::string& version) {
  change_times_.push_back(at);
  Plan(at, "start " + version, [this, version] { StartVersion(version); });
}

// Leaves first, or ends at once.
void VersionSchedule::PlanEnd(int at, const std::string& version) {
  const int gone_at = at + (Below(3) == 0 ? 0 : Below(3'000));
  change_times_.push_back(gone_at);
  Plan(at, version + " leaves", [this, version] {
    for (const std::string& instance : of_version_[version]) {
      traffic_.LeaveEndpoint(instance);
    }
  });
  Plan(gone_at, version + " ends", [this, version] {
    for (const std::string& instance : of_version_[version]) {
      traffic_.EndEndpoint(instance);
    }
    of_version_[version].clear();
  });
}

void VersionSchedule::PlanVersions() {
  int at = 500 + Below(8'000);
  PlanStart(at, "v2");
  if (Below(4) == 0) {
    return;
  }
  at += Below(5'000);
  PlanEnd(at, "v1");
  at += 3'000 + Below(5'000);
  const std::string next = Below(2) == 0 ? "v1" : "v3";
  if (Below(2) == 0) {
    PlanStart(at, next);
    PlanEnd(at + Below(3'000), "v2");
  }
}

void VersionSchedule::PlanRestart(int at, int node, int pause) {
  const std::string name = " n" + std::to_string(node);
  Plan(at, "kill" + name, [this, node] { world_.Kill(node); });
  Plan(at + pause, "start" + name, [this, node] { world_.Start(node); });
}

void VersionSchedule::PlanRestartOfAll(int at) {
  killed_all_at_.push_back(kWarmUp + at);
  const int pause = Below(2'500);
  for (int node = 0; node < world_.Nodes(); ++node) {
    PlanRestart(at, node, pause + Below(200));
  }
}

void VersionSchedule::PlanRestartsInTurn(int at) {
  const int interval = 300 + Below(2'500);
  const int restarts = 2 + Below(world_.Nodes());
  const int first = Below(world_.Nodes());
  for (int i = 0; i < restarts; ++i) {
    PlanRestart(at + i * interval, (first + i) % world_.Nodes(), Below(1'500));
  }
}

// Of the present lease holder, half of the time.
void VersionSchedule::PlanRestartOfOne(int at) {
  const int node = Below(world_.Nodes());
  const int pause = Below(4'000);
  const bool holder = Below(2) == 0;
  auto killed = std::make_shared<int>(node);
  Plan(at, holder ? "kill the holder" : "kill n" + std::to_string(node), [this, holder, killed] {
    *killed = holder ? world_.Holder().value_or(*killed) : *killed;
    world_.Kill(*killed);
  });
  Plan(at + pause, "start it", [this, killed] {
    if (!world_.Alive(*killed)) {
      world_.Start(*killed);
    }
  });
}

void VersionSchedule::PlanSuspension(int at) {
  const int node = Below(world_.Nodes());
  const int time = 500 + Below(6'000);
  const bool holder = Below(2) == 0;
  Plan(at,
       "suspend " + (holder ? "the holder" : "n" + std::to_string(node)) + " for " +
           std::to_string(time) + " ms",
       [this, node, time, holder] {
         world_.Suspend(holder ? world_.Holder().value_or(node) : node, time);
       });
}

void VersionSchedule::PlanCut(int at) {
  const int node = Below(world_.Nodes());
  const int kind = Below(3);
  const bool holder = Below(2) == 0;
  auto cut = std::make_shared<int>(node);
  const std::string from = kind == 0 ? "the store" : kind == 1 ? "the nodes" : "both";
  const auto set = [this, kind, cut](bool is_cut) {
    if (kind != 1) {
      world_.CutFromStore(*cut, is_cut);
    }
    if (kind != 0) {
      world_.CutFromNodes(*cut, is_cut);
    }
  };
  Plan(at, "cut " + (holder ? "the holder" : "n" + std::to_string(node)) + " from " + from,
       [this, holder, cut, set] {
         *cut = holder ? world_.Holder().value_or(*cut) : *cut;
         set(true);
       });
  Plan(at + 500 + Below(8'000), "end of the cut", [set] { set(false); });
}

void VersionSchedule::PlanFault(int at) {
  const int kind = Below(8);
  only_restarts_ = only_restarts_ && kind < 5;
  if (kind == 0) {
    PlanRestartOfOne(at);
  } else if (kind == 1) {
    PlanRestartsInTurn(at);
  } else if (kind <= 3) {
    PlanRestartOfAll(at);
  } else if (kind == 4) {
    PlanSuspension(at);
  } else if (kind == 5) {
    PlanCut(at);
  } else if (kind == 6) {
    Plan(at, "store down", [this] { world_.SetStoreDown(true); });
    Plan(at + 300 + Below(6'000), "store up", [this] { world_.SetStoreDown(false); });
  } else {
    const int age = Below(4'000);
    const int delay = Below(2'000);
    Plan(at, "restore the store of " + std::to_string(age) + " ms before",
         [this, age, delay] { traffic_.RestoreStore(age, delay); });
  }
}

void VersionSchedule::PlanStoreFaults() {
  constexpr int kOneStartsUnwritable = 6;
  if (Below(kOneStartsUnwritable) == 0) {
    world_.SetStoreWrites(StoreWrites::kRefused);
    Plan(Below(kFaultsEnd), "first writes", [this] { world_.SetStoreWrites(StoreWrites::kDone); });
  }
  const int count = 1 + Below(2);
  for (int i = 0; i < count; ++i) {
    PlanStoreFault(FaultTime());
  }
}

void VersionSchedule::PlanStoreFault(int at) {
  const int kind = Below(4);
  if (kind <= 1) {
    const auto writes = kind == 0 ? StoreWrites::kRefused : StoreWrites::kUnanswered;
    Plan(at, kind == 0 ? "writes are refused" : "writes are not answered",
         [this, writes] { world_.SetStoreWrites(writes); });
    Plan(at + 300 + Below(8'000), "writes are done",
         [this] { world_.SetStoreWrites(StoreWrites::kDone); });
  } else {
    PlanRestartAsFirst(at, kind == 2);
  }
}

// All nodes restart with the settings of the first start of the whole system, after a store that
// came back empty or not.
void VersionSchedule::PlanRestartAsFirst(int at, bool store_is_lost) {
  const int delay = Below(2'000);
  Plan(at, store_is_lost ? "the store is lost, a first start" : "a first start",
       [this, store_is_lost, delay] {
         world_.SetRestartsAsFirst();
         if (store_is_lost) {
           traffic_.RestoreStore(world_.Now() + 1, delay);
         }
       });
  PlanRestartOfAll(at);
}

// Starts are saved each 100 ms.
bool VersionSchedule::MayBeUnsaved(const TakenStream& stream) const {
  constexpr int kSavedWithin = 400;
  return std::any_of(killed_all_at_.begin(), killed_all_at_.end(), [&](int at) {
    return stream.began_at <= at && stream.began_at > at - kSavedWithin;
  });
}

}  // namespace rudderloom::fakes
