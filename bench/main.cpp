// rudderloom_bench: compares the policies on a virtual clock; prints a table and writes JSON.
#include <algorithm>       // for sort
#include <boost/json.hpp>  // for object
#include <cstdio>          // for printf
#include <fstream>         // for ofstream

#include "bench/simulation.hpp"  // for Simulate

namespace {

namespace json = boost::json;
using namespace rudderloom::bench;

constexpr std::uint64_t kSeed = 1;

std::int64_t Percentile(std::vector<std::int64_t> values, double share) {
  if (values.empty()) {
    return 0;
  }
  std::sort(values.begin(), values.end());
  return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
}

double AttainedPerAcceleratorMinute(const Result& result, const Workload& workload) {
  const double minutes = static_cast<double>(workload.duration) / 60'000.0;
  return static_cast<double>(result.Attained()) / workload.endpoints / minutes;
}

json::object ToJson(const Result& result, const Workload& workload, double bound) {
  json::object refused;
  for (const auto& [reason, count] : result.refused) {
    refused[reason] = count;
  }
  json::array kinds;
  for (int i = 0; i < 3; ++i) {
    kinds.push_back(json::object{
        {"kind", kPriorityClasses[i]}, {"sent", result.sent[i]}, {"attained", result.attained[i]}});
  }
  return {{"attained_per_accelerator_minute", AttainedPerAcceleratorMinute(result, workload)},
          {"of_bound", AttainedPerAcceleratorMinute(result, workload) / bound},
          {"moves", result.moves},
          {"reload_s", result.load_ms / 1000},
          {"kinds", kinds},
          {"refused", refused}};
}

void PrintRow(const Workload& workload,
              Scenario scenario,
              Policy policy,
              const Result& result,
              double bound) {
  std::printf("%-14s %-15s %-14s %8.1f %7.3f %6lld %7lld  ", workload.name.c_str(),
              NameOf(scenario).c_str(), NameOf(policy).c_str(),
              AttainedPerAcceleratorMinute(result, workload),
              AttainedPerAcceleratorMinute(result, workload) / bound,
              static_cast<long long>(result.moves), static_cast<long long>(result.load_ms / 1000));
  for (int i = 0; i < 3; ++i) {
    const double share = result.sent[i] == 0 ? 1.0
                                             : static_cast<double>(result.attained[i]) /
                                                   static_cast<double>(result.sent[i]);
    std::printf(" %5.3f", share);
  }
  std::printf("  %5lld %6lld %6lld", static_cast<long long>(Percentile(result.wait_ms, 0.5)),
              static_cast<long long>(Percentile(result.wait_ms, 0.95)),
              static_cast<long long>(Percentile(result.wait_ms, 0.99)));
  for (const auto& [reason, count] : result.refused) {
    std::printf(" %s=%lld", reason.c_str(), static_cast<long long>(count));
  }
  std::printf("\n");
}

}  // namespace

int main(int argc, char** argv) {
  json::object results;
  std::printf("%-14s %-15s %-14s %8s %7s %6s %7s  %5s %5s %5s  %5s %6s %6s\n", "workload",
              "scenario", "policy", "att/acc", "of bnd", "moves", "reload", "urgen", "norm",
              "fills", "p50", "p95", "p99");
  const std::vector<std::pair<std::string, std::vector<Scenario>>> runs{
      {"fault-commons",
       {Scenario::kCalm, Scenario::kEvent, Scenario::kWrongForecast, Scenario::kEndpointsLost}},
      {"port-board",
       {Scenario::kCalm, Scenario::kEvent, Scenario::kWrongForecast, Scenario::kEndpointsLost}},
      {"growth", {Scenario::kTenfold}}};
  for (const auto& [name, scenarios] : runs) {
    for (const Scenario scenario : scenarios) {
      if (argc > 2 && (name + ", " + NameOf(scenario)).find(argv[2]) == std::string::npos) {
        continue;
      }
      const Workload workload = MakeWorkload(name, scenario, kSeed);
      const Result relaxed = Simulate(workload, Policy::kRelaxedBound, kSeed);
      const double bound = AttainedPerAcceleratorMinute(relaxed, workload);
      json::object policies;
      for (const Policy policy : {Policy::kRudderloom, Policy::kStatic, Policy::kOnDemand}) {
        const Result result = Simulate(workload, policy, kSeed);
        PrintRow(workload, scenario, policy, result, bound);
        policies[NameOf(policy)] = ToJson(result, workload, bound);
      }
      PrintRow(workload, scenario, Policy::kRelaxedBound, relaxed, bound);
      results[name + ", " + NameOf(scenario)] = policies;
    }
  }
  if (argc > 1) {
    std::ofstream(argv[1]) << json::serialize(results) << "\n";
  }
  return 0;
}
