// Changes of software versions in a simulated fleet, and faults at random times.
#ifndef RUDDERLOOM_TESTS_FAKES_VERSION_SCHEDULE_HPP
#define RUDDERLOOM_TESTS_FAKES_VERSION_SCHEDULE_HPP

#include <functional>  // for function
#include <map>         // for map
#include <random>      // for mt19937
#include <string>      // for string
#include <vector>      // for vector

#include "fakes/fleet_world.hpp"     // for FleetWorld
#include "fakes/stream_traffic.hpp"  // for StreamTraffic

namespace rudderloom::fakes {

/// @brief Share of the streams that went on of those that could.
struct Outcome {
  int could = 0;
  int went_on = 0;

  double Share() const { return could == 0 ? 1.0 : static_cast<double>(went_on) / could; }
};

/// @brief Returns whether a stream was taken up while its version served.
inline bool CouldGoOn(const TakenStream& stream) {
  return stream.ended && stream.counts;
}

/// @brief Fleets in which all nodes keep starts, and larger ones with relays.
FleetWorldOptions FleetOf(unsigned seed);

/// @brief Faults of a schedule.
enum class FaultSet {
  kNodesAndLinks,  ///< Restarts, suspensions and cuts, a store that is down or restored.
  kStoreWrites,    ///< Also writes that fail, and restarts with the settings of a first start.
};

/// @brief Changes of versions and faults at random times.
class VersionSchedule {
 public:
  explicit VersionSchedule(unsigned seed, FaultSet faults = FaultSet::kNodesAndLinks);

  void Run();
  std::string Text() const;
  const std::vector<std::string>& Wrong() const { return traffic_.Wrong(); }
  bool OnlyRestarts() const { return only_restarts_; }
  Outcome GoneOn(bool without_unsaved) const;

 private:
  struct Event {
    int at = 0;
    std::string text;
    std::function<void()> run;
  };

  int Below(int bound) { return static_cast<int>(random_() % static_cast<unsigned>(bound)); }
  int FaultTime();
  void Plan(int at, std::string text, std::function<void()> run);
  void StartVersion(const std::string& version);
  void PlanStart(int at, const std::string& version);
  void PlanEnd(int at, const std::string& version);
  void PlanVersions();
  void PlanRestart(int at, int node, int pause);
  void PlanRestartOfAll(int at);
  void PlanRestartsInTurn(int at);
  void PlanRestartOfOne(int at);
  void PlanSuspension(int at);
  void PlanCut(int at);
  void PlanFault(int at);
  void PlanStoreFaults();
  void PlanStoreFault(int at);
  void PlanRestartAsFirst(int at, bool store_is_lost);
  bool MayBeUnsaved(const TakenStream& stream) const;

  std::mt19937 random_;
  FleetWorld world_;
  StreamTraffic traffic_;
  std::vector<Event> events_;
  std::map<std::string, std::vector<std::string>> of_version_;
  std::vector<int> change_times_;
  std::vector<int> killed_all_at_;
  int instances_ = 0;
  bool only_restarts_ = true;
};

}  // namespace rudderloom::fakes

#endif
