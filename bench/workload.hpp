// Seeded demand of the two users' sizes and of the size that letter 1 describes.
#ifndef RUDDERLOOM_BENCH_WORKLOAD_HPP
#define RUDDERLOOM_BENCH_WORKLOAD_HPP

#include <cstdint>  // for int64_t
#include <string>   // for string
#include <vector>   // for vector

namespace rudderloom::bench {

// What happens within one run.
enum class Scenario { kCalm, kEvent, kWrongForecast, kEndpointsLost, kTenfold };

struct ModelSpec {
  std::string name;
  std::uint64_t memory = 0;  // GiB
  double usual = 0.0;        // requests a second in quiet times
  double event = 0.0;        // requests a second while the event runs
  std::int64_t copies = 1;   // declared for the event
};

struct Request {
  std::int64_t at = 0;  // ms
  int model = 0;
  int kind = 0;               // 0 urgent, 1 normal, 2 fills
  std::int64_t deadline = 0;  // ms, absolute, for the whole answer
  std::int64_t length = 0;    // ms that it occupies a slot
  std::uint64_t prefix = 0;
};

struct Workload {
  std::string name;
  int endpoints = 18;
  int slots = 8;
  std::uint64_t memory = 48;  // GiB an endpoint
  int zones = 4;
  int nodes = 8;
  std::int64_t length = 600'000;       // ms
  std::int64_t event_start = 240'000;  // ms
  std::int64_t event_end = 480'000;
  std::vector<ModelSpec> models;
  std::vector<Request> requests;  // in the order of their coming
  std::vector<int> lost;          // endpoints that go when the event starts
};

inline constexpr const char* kKinds[] = {"urgent", "normal", "fills"};

// `fault-commons`, `port-board` or `growth`.
Workload MakeWorkload(const std::string& name, Scenario scenario, std::uint64_t seed);

std::string NameOf(Scenario scenario);

}  // namespace rudderloom::bench

#endif
