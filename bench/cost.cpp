// rudderloom_cost: measures the cost of single decisions at growing sizes with Google Benchmark.
#include <benchmark/benchmark.h>  // for BENCHMARK

#include "rudderloom/admission/admission_queue.hpp"  // for AdmissionQueue
#include "rudderloom/quarantine/crash_book.hpp"      // for CrashBook
#include "rudderloom/residency/planner.hpp"          // for Plan
#include "rudderloom/routing/router.hpp"             // for Router

namespace rudderloom {
namespace {

// Routes to one model that every endpoint serves, the largest possible serving set.
void BM_Route(benchmark::State& state) {
  Snapshot snapshot;
  ServingSet set;
  std::vector<std::string> names;
  for (std::uint32_t i = 0; i < state.range(0); ++i) {
    EndpointView view;
    view.id = i;
    view.name = "endpoint-" + std::to_string(i);
    view.slots = 8;
    names.push_back(view.name);
    snapshot.endpoints.push_back(view);
    set.endpoints.push_back(i);
  }
  set.affinity = BuildAffinity(names);
  Router router(1);
  const TimePoint now;
  RouteQuery ask;
  for (auto iteration : state) {
    ++ask.prefix;
    const auto chosen = router.Choose(snapshot, set, ask, now);
    router.RequestStarted(*chosen);
    router.RequestEnded(*chosen, RouteResult::kServed, Duration(5), now);
    benchmark::DoNotOptimize(chosen);
  }
}
BENCHMARK(BM_Route)->Arg(18)->Arg(180)->Arg(1600);

// Enqueues and dequeues one request while `range` requests of 50 callers wait.
void BM_Admit(benchmark::State& state) {
  AdmissionQueue queue(10'000);
  const TimePoint now;
  Ticket ticket = 0;
  const auto make_applicant = [&] {
    QueuedRequest applicant;
    applicant.ticket = ++ticket;
    applicant.target = "model";
    applicant.caller = "caller-" + std::to_string(ticket % 50);
    applicant.deadline = now + Duration(10'000);
    return applicant;
  };
  for (int i = 0; i < state.range(0); ++i) {
    queue.Enqueue(make_applicant(), 1, now);
  }
  for (auto iteration : state) {
    queue.Enqueue(make_applicant(), 1, now);
    benchmark::DoNotOptimize(queue.Next([](const QueuedRequest&) { return true; }));
  }
}
BENCHMARK(BM_Admit)->Arg(10)->Arg(100)->Arg(500);

PlanInput MakeInput(int models, int endpoints, bool placed) {
  PlanInput input;
  for (int i = 0; i < models; ++i) {
    PlanUnit unit;
    unit.name = "model-" + std::to_string(i);
    unit.memory = 8 + static_cast<std::uint64_t>(i) % 9;
    unit.copies = 1 + endpoints / models / 4;
    input.units.push_back(unit);
  }
  for (int i = 0; i < endpoints; ++i) {
    PlanEndpoint endpoint;
    endpoint.memory = 48;
    endpoint.zone = i % 4;
    input.endpoints.push_back(endpoint);
  }
  if (placed) {
    for (int i = 0; i < models; ++i) {
      for (int copy = 0; copy < input.units[static_cast<std::size_t>(i)].copies; ++copy) {
        PlanEndpoint& endpoint =
            input.endpoints[static_cast<std::size_t>((i + copy * models) % endpoints)];
        endpoint.entries.push_back({i, UnitState::kResident, 1});
        endpoint.taken += input.units[static_cast<std::size_t>(i)].memory;
      }
    }
  }
  input.loads = placed ? 8 : models * 100;
  return input;
}

// Plans the placement of all models onto empty endpoints.
void BM_PlanWhole(benchmark::State& state) {
  const PlanInput input =
      MakeInput(static_cast<int>(state.range(0)), static_cast<int>(state.range(1)), false);
  for (auto iteration : state) {
    benchmark::DoNotOptimize(Plan(input));
  }
}
BENCHMARK(BM_PlanWhole)->Args({40, 22})->Args({200, 1600})->Unit(benchmark::kMillisecond);

// Replans after one endpoint of a fully placed pool is lost.
void BM_PlanAgain(benchmark::State& state) {
  PlanInput input =
      MakeInput(static_cast<int>(state.range(0)), static_cast<int>(state.range(1)), true);
  input.endpoints.front().usable = false;
  for (auto iteration : state) {
    benchmark::DoNotOptimize(Plan(input));
  }
}
BENCHMARK(BM_PlanAgain)->Args({40, 22})->Args({200, 1600})->Unit(benchmark::kMillisecond);

// Hashes a request of the platform interface so that a repeat is recognized: a typical body, a long
// prompt, and the largest body that the settings allow.
void BM_RequestDigest(benchmark::State& state) {
  const std::string body(static_cast<std::size_t>(state.range(0)), 'x');
  for (auto iteration : state) {
    benchmark::DoNotOptimize(DigestOf(RequestIdentity{"host.example", "/a/b", "member-a", body}));
  }
}
BENCHMARK(BM_RequestDigest)->Arg(1 << 10)->Arg(64 << 10)->Arg(4 << 20);

// Records one more crash while the failure of a rack has left the maximum number of suspects.
void BM_CrashTaken(benchmark::State& state) {
  CrashBook book;
  const TimePoint now = TimePoint() + std::chrono::hours(1);
  for (std::uint32_t i = 0; i < state.range(0); ++i) {
    const RequestDigest digest = DigestOf(RequestIdentity{"h", "/", "", std::to_string(i)});
    book.Take({{{digest, i % 50}}, {}}, now);
  }
  const RequestDigest last = DigestOf(RequestIdentity{"h", "/", "", "last"});
  std::uint32_t endpoint = 100;
  for (auto iteration : state) {
    benchmark::DoNotOptimize(book.Take({{{last, ++endpoint}}, {}}, now));
    book.Take({{}, {last}}, now);
  }
}
BENCHMARK(BM_CrashTaken)->Arg(20)->Arg(2'000);

}  // namespace
}  // namespace rudderloom

BENCHMARK_MAIN();
