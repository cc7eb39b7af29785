// Exhaustive model test: for all schedules of two faults in a small fleet with saturating callers,
// the amount granted within any window stays within the bound. Uses the production classes.
#include <doctest/doctest.h>  // for TEST_CASE

#include "quota_model.hpp"

namespace rudderloom::quota_model {
namespace {

std::vector<Fault> AllFaults(int every) {
  std::vector<Fault> faults;
  for (int step = kFirstFault; step < kLastFault; step += every) {
    for (int node = 0; node < kNodes; ++node) {
      for (const FaultKind kind :
           {FaultKind::kReportLost, FaultKind::kAnswerLost, FaultKind::kSilent, FaultKind::kKilled,
            FaultKind::kAskLost, FaultKind::kGrantLost}) {
        faults.push_back({step, node, kind});
      }
    }
    faults.push_back({step, 0, FaultKind::kHolderGone});
    faults.push_back({step, 0, FaultKind::kAllKilled});
  }
  return faults;
}

TEST_CASE("a saturating customer gets its rate and no more than the bound") {
  const auto most = static_cast<double>(Model().Run({}));
  MESSAGE("most in a window: ", most, " of ", kSmallFleet.WindowBound());
  CHECK(most <= kSmallFleet.WindowBound());
  CHECK(most >= 8'000.0);
}

TEST_CASE("no schedule of two faults exceeds the bound") {
  const std::vector<Fault> faults = AllFaults(1);
  std::uint64_t most = 0;
  std::size_t schedules = 0;
  for (std::size_t i = 0; i < faults.size(); ++i) {
    for (std::size_t j = i; j < faults.size(); ++j) {
      const std::uint64_t ran = Model().Run({faults[i], faults[j]});
      most = std::max(most, ran);
      ++schedules;
    }
  }
  MESSAGE("schedules: ", schedules, ", most in a window: ", most, " of ",
          kSmallFleet.WindowBound());
  CHECK(static_cast<double>(most) <= kSmallFleet.WindowBound());
}

}  // namespace
}  // namespace rudderloom::quota_model
