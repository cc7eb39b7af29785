// Simulates one pool on a virtual clock: nodes with the production PoolKeeper, a fake platform and
// fake endpoints. A fault starts when a chosen step is reached for the first time.
#ifndef RUDDERLOOM_TESTS_FAKES_POOL_WORLD_HPP
#define RUDDERLOOM_TESTS_FAKES_POOL_WORLD_HPP

#include <functional>  // for function
#include <map>         // for multimap
#include <memory>      // for unique_ptr
#include <string>      // for string
#include <vector>      // for vector

#include "rudderloom/residency/pool_keeper.hpp"  // for PoolKeeper

namespace rudderloom::fakes {

enum class Step {
  kDecided,
  kIntended,
  kSent,
  kTakingEffect,
  kConfirmed,
  kRecorded,
  kLeaseTaken,
  kLeaseRenewed,
  kLeaseHandedOver,
  kLeaseLapsed,
};

enum class Fault {
  kNone,
  kNodeKilled,
  kNodeFrozen,
  kCutBefore,
  kCutDuring,
  kCutAfter,
  kOrderLost,
  kOrderLate,
  kOrderDoubled,
  kPlatformDown,
  kPlatformSlow,
  kPlatformErrors,
  kPlatformLosesAnswer,
  kPlatformRestored,  // to a state some seconds old; versions go back and are assigned again
  kWatchSilent,
  kWatchBehind,
  kNodeListStale,
  kReportLate,
  kEndpointKilled,
  kEndpointRestarted,
  kEndpointLeaving,
  kWeightStoreBusy,
  kPlannedStop,
};

std::string NameOf(Step step);
std::string NameOf(Fault fault);

struct PoolWorldSettings {
  bool checks_fences = false;
  Step step = Step::kSent;
  bool on_load = true;  // whether the step belongs to a load order or to an unload order
  std::vector<Fault> faults;
  std::uint64_t seed = 1;
};

/// @brief Faulty outcomes and measurements of one run. The tests require the counts of faulty
/// outcomes to be zero.
struct PoolWorldResult {
  int overcommits = 0;
  int lost_last_copies = 0;  // a name was no longer served although no endpoint was lost
  Duration longest_gap{0};   // longest time for which a name was not served
  bool converged = false;    // whether every declared unit is served at the end
  bool step_reached = false;
  int moves = 0;
  std::string event_log;  // event log for the messages of failed checks
};

class PoolWorld {
 public:
  explicit PoolWorld(PoolWorldSettings settings);
  ~PoolWorld();

  /// @brief Runs for several virtual minutes: loads models, then declares new versions of them.
  PoolWorldResult Run();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace rudderloom::fakes

#endif
