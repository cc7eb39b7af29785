// One pool on a virtual clock: nodes with the real PoolKeeper, a fake platform and fake endpoints.
// A fault is switched on when a chosen step is reached for the first time.
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
  kPlatformRestored,  // as it was some seconds ago; versions go back and are given out again
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

struct WorldSettings {
  bool checks_fences = false;
  Step step = Step::kSent;
  bool on_load = true;  // whether the step is one of a load order or of an unload order
  std::vector<Fault> faults;
  std::uint64_t seed = 1;
};

// What went wrong over the whole run; all zero is what the tests ask for.
struct Findings {
  int overcommits = 0;
  int lost_last_copies = 0;  // a name stopped being served though no endpoint was taken away
  Duration longest_gap{0};   // during which some name was not served
  bool converged = false;    // at the end every declared unit is served
  bool step_reached = false;
  int moves = 0;
  std::string story;  // for the message of a failed check
};

class PoolWorld {
 public:
  explicit PoolWorld(WorldSettings settings);
  ~PoolWorld();

  // Runs some virtual minutes: models are loaded, then new versions of them are declared.
  Findings Run();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace rudderloom::fakes

#endif
