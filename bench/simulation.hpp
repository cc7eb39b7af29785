// Runs a workload on a virtual clock against fake endpoints, under one policy.
#ifndef RUDDERLOOM_BENCH_SIMULATION_HPP
#define RUDDERLOOM_BENCH_SIMULATION_HPP

#include <map>     // for map
#include <string>  // for string
#include <vector>  // for vector

#include "bench/workload.hpp"  // for Workload

namespace rudderloom::bench {

enum class Policy {
  kOurs,      // the real planner, router and admission queue
  kStatic,    // placement by declared share, never changed; least loaded
  kOnDemand,  // load when asked for, evict the least recently used; round robin
  kRelaxed,   // every model on every endpoint at no cost, perfect knowledge: no policy does better
};

std::string NameOf(Policy policy);

struct Result {
  std::int64_t sent[3] = {0, 0, 0};      // by kind
  std::int64_t attained[3] = {0, 0, 0};  // whole within their deadline
  std::map<std::string, std::int64_t> refused;
  std::int64_t moves = 0;          // loads and unloads after the first minute
  std::int64_t reload_ms = 0;      // time that loads took
  std::vector<std::int64_t> wait;  // ms until a request started
  std::int64_t Attained() const { return attained[0] + attained[1] + attained[2]; }
  std::int64_t Sent() const { return sent[0] + sent[1] + sent[2]; }
};

Result Simulate(const Workload& workload, Policy policy, std::uint64_t seed);

}  // namespace rudderloom::bench

#endif
