// Runs a workload on a virtual clock against fake endpoints, under one policy.
#ifndef RUDDERLOOM_BENCH_SIMULATION_HPP
#define RUDDERLOOM_BENCH_SIMULATION_HPP

#include <map>     // for map
#include <string>  // for string
#include <vector>  // for vector

#include "bench/workload.hpp"  // for Workload

namespace rudderloom::bench {

enum class Policy {
  kRudderloom,  // the production planner, router and admission queue
  kStatic,      // fixed placement by declared share, least-loaded routing
  kOnDemand,    // loads on request, evicts the least recently used model; round robin
  // Upper bound for every policy: all models on all endpoints at no cost, with perfect knowledge.
  kRelaxedBound,
};

/// @brief Returns the name of the policy in tables and results.
std::string NameOf(Policy policy);

struct Result {
  std::int64_t sent[3] = {0, 0, 0};      // by priority class
  std::int64_t attained[3] = {0, 0, 0};  // completed within the deadline
  std::map<std::string, std::int64_t> refused;
  std::int64_t moves = 0;             // loads and unloads after the warm-up of one minute
  std::int64_t load_ms = 0;           // total time spent loading models
  std::vector<std::int64_t> wait_ms;  // time from arrival to start, one entry per started request
  std::int64_t Attained() const { return attained[0] + attained[1] + attained[2]; }
  std::int64_t Sent() const { return sent[0] + sent[1] + sent[2]; }
};

/// @brief Runs the workload under one policy until all requests have ended and returns its
/// measurements.
Result Simulate(const Workload& workload, Policy policy, std::uint64_t seed);

}  // namespace rudderloom::bench

#endif
