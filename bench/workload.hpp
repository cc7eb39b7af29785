// Generates seeded request workloads for two reference deployments and one larger deployment.
#ifndef RUDDERLOOM_BENCH_WORKLOAD_HPP
#define RUDDERLOOM_BENCH_WORKLOAD_HPP

#include <cstdint>  // for int64_t
#include <string>   // for string
#include <vector>   // for vector

namespace rudderloom::bench {

/// @brief Conditions that a run simulates.
enum class Scenario { kCalm, kEvent, kWrongForecast, kEndpointsLost, kTenfold };

struct ModelSpec {
  std::string name;
  std::uint64_t memory = 0;          // GiB
  double base_rate = 0.0;            // requests per second outside the event
  double event_rate = 0.0;           // additional requests per second during the event
  std::int64_t declared_copies = 1;  // copies declared for the event
};

struct Request {
  std::int64_t arrival = 0;  // ms
  int model = 0;
  int priority_class = 0;     // index into kPriorityClasses
  std::int64_t deadline = 0;  // ms since the start of the run, for the complete response
  std::int64_t duration = 0;  // ms for which the request occupies a slot
  std::uint64_t prefix = 0;
};

struct Workload {
  std::string name;
  int endpoints = 18;
  int slots = 8;
  std::uint64_t memory = 48;  // GiB per endpoint
  int zones = 4;
  int nodes = 8;
  std::int64_t duration = 600'000;     // ms
  std::int64_t event_start = 240'000;  // ms
  std::int64_t event_end = 480'000;
  std::vector<ModelSpec> models;
  std::vector<Request> requests;    // in order of arrival
  std::vector<int> lost_endpoints;  // fail when the event starts
};

inline constexpr const char* kPriorityClasses[] = {"urgent", "normal", "fills"};

/// @brief Generates the workload `fault-commons`, `port-board` or `growth`; the same seed gives the
/// same requests.
Workload MakeWorkload(const std::string& name, Scenario scenario, std::uint64_t seed);

/// @brief Returns the name of the scenario in tables and results.
std::string NameOf(Scenario scenario);

}  // namespace rudderloom::bench

#endif
