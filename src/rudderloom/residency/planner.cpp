#include "rudderloom/residency/planner.hpp"

#include <algorithm>  // for sort, find_if
#include <cmath>      // for ceil
#include <limits>     // for numeric_limits
#include <optional>   // for optional

namespace rudderloom {

namespace {

using Kind = PlanAction::Kind;
using Reason = PlanAction::Reason;

// A unit gets another copy if all endpoints that serve it have at least the high load, and only on
// an endpoint with at most the low load. The gap prevents flapping.
constexpr double kHighLoad = 0.75;
constexpr double kLowLoad = 0.5;
// Target load of a copy's endpoint after copies are added for demand.
constexpr double kTargetLoad = 0.6;
// Cost factor for unloading an old version before its successor serves.
constexpr std::uint64_t kServiceGapPenalty = 64;
constexpr std::uint64_t kNewest = std::numeric_limits<std::uint64_t>::max();

// The units to unload to make room on one endpoint, with the cost.
struct EvictionPlan {
  std::vector<PlanIndex> victims;
  std::uint64_t cost = 0;          // bytes to reload, with penalties
  std::uint64_t oldest = kNewest;  // sequence number of the oldest victim

  bool IsCheaperThan(const EvictionPlan& other) const {
    return cost != other.cost ? cost < other.cost : oldest < other.oldest;
  }
};

struct CopyRequest {
  PlanIndex unit;
  Reason reason;
  double urgency;  // higher values go first among equal reasons
};

class Planner {
 public:
  explicit Planner(PlanInput input) : input_(std::move(input)) {
    serving_.resize(input_.units.size());
    loading_.resize(input_.units.size());
    dependants_.resize(input_.units.size());
    for (const PlanEndpoint& endpoint : input_.endpoints) {
      for (const PlanEntry& entry : endpoint.entries) {
        CountEntry(endpoint, entry);
      }
    }
    for (std::size_t i = 0; i < input_.units.size(); ++i) {
      const PlanIndex base = input_.units[i].base;
      if (base != kNoIndex) {
        dependants_[ToSize(base)].push_back(static_cast<PlanIndex>(i));
      }
    }
  }

  std::vector<PlanAction> Run() {
    for (const CopyRequest& copy_request : CopyRequests()) {
      if (input_.loads <= 0) {
        break;
      }
      Satisfy(copy_request);
    }
    return std::move(actions_);
  }

 private:
  static std::size_t ToSize(PlanIndex index) { return static_cast<std::size_t>(index); }

  PlanUnit& Unit(PlanIndex index) { return input_.units[ToSize(index)]; }
  PlanEndpoint& Endpoint(PlanIndex index) { return input_.endpoints[ToSize(index)]; }

  void CountEntry(const PlanEndpoint& endpoint, const PlanEntry& entry) {
    if (!endpoint.usable) {
      return;
    }
    changes_pending_ = changes_pending_ || entry.state != UnitState::kResident;
    if (entry.state == UnitState::kResident) {
      ++serving_[ToSize(entry.unit)];
    } else if (entry.state == UnitState::kLoading) {
      ++loading_[ToSize(entry.unit)];
    }
  }

  std::int64_t Copies(PlanIndex unit) const {
    return serving_[ToSize(unit)] + loading_[ToSize(unit)];
  }

  static const PlanEntry* Find(const PlanEndpoint& endpoint, PlanIndex unit) {
    const auto found = std::find_if(endpoint.entries.begin(), endpoint.entries.end(),
                                    [&](const PlanEntry& entry) { return entry.unit == unit; });
    return found == endpoint.entries.end() ? nullptr : &*found;
  }

  std::uint64_t FreeMemory(const PlanEndpoint& endpoint) const {
    return endpoint.memory > endpoint.taken ? endpoint.memory - endpoint.taken : 0;
  }

  // All requests for a copy, unreachable units first.
  std::vector<CopyRequest> CopyRequests() {
    std::vector<CopyRequest> copy_requests;
    for (std::size_t i = 0; i < input_.units.size(); ++i) {
      const auto index = static_cast<PlanIndex>(i);
      const PlanUnit& unit = input_.units[i];
      if (unit.copies == 0) {
        continue;
      }
      if (Copies(index) == 0) {
        // Large units first: small ones fit into the remaining memory.
        copy_requests.push_back({index, Reason::kUnreachable, static_cast<double>(unit.memory)});
      } else if (Copies(index) < unit.copies) {
        copy_requests.push_back({index, Reason::kWanted, unit.demand});
      } else if (DemandExceedsCopies(index)) {
        copy_requests.push_back({index, Reason::kDemand, unit.demand});
      }
    }
    std::stable_sort(copy_requests.begin(), copy_requests.end(),
                     [](const CopyRequest& a, const CopyRequest& b) {
                       return a.reason != b.reason ? a.reason < b.reason : a.urgency > b.urgency;
                     });
    return copy_requests;
  }

  // True if every endpoint that serves the unit is busy and demand exceeds the current copies.
  bool DemandExceedsCopies(PlanIndex index) {
    if (loading_[ToSize(index)] > 0) {
      return false;
    }
    double slots = 0.0;
    for (const PlanEndpoint& endpoint : input_.endpoints) {
      const PlanEntry* entry = Find(endpoint, index);
      if (!endpoint.usable || entry == nullptr || entry->state != UnitState::kResident) {
        continue;
      }
      if (endpoint.load < kHighLoad) {
        return false;
      }
      slots = std::max(slots, endpoint.slots);
    }
    const double copies = std::ceil(Unit(index).demand / (slots * kTargetLoad + 1e-9));
    return static_cast<double>(serving_[ToSize(index)]) < copies;
  }

  void Satisfy(const CopyRequest& copy_request) {
    if (LoadIntoFreeMemory(copy_request)) {
      return;
    }
    if (MakeRoom(copy_request)) {
      return;
    }
    if (copy_request.reason == Reason::kUnreachable) {
      Relocate(copy_request.unit);
    }
  }

  bool CanHost(const PlanEndpoint& endpoint, const CopyRequest& copy_request) {
    if (!endpoint.usable || Find(endpoint, copy_request.unit) != nullptr) {
      return false;
    }
    if (copy_request.reason == Reason::kDemand && endpoint.load > kLowLoad) {
      return false;
    }
    const PlanIndex base = Unit(copy_request.unit).base;
    if (base == kNoIndex) {
      return true;
    }
    const PlanEntry* entry = Find(endpoint, base);
    return entry != nullptr && entry->state == UnitState::kResident;
  }

  std::int64_t CopiesInZone(PlanIndex unit, int zone) {
    std::int64_t count = 0;
    for (const PlanEndpoint& endpoint : input_.endpoints) {
      count += endpoint.usable && endpoint.zone == zone && Find(endpoint, unit) != nullptr ? 1 : 0;
    }
    return count;
  }

  bool LoadIntoFreeMemory(const CopyRequest& copy_request) {
    PlanIndex best = kNoIndex;
    std::int64_t best_zone = 0;
    const bool spread = Copies(copy_request.unit) > 0;
    for (std::size_t i = 0; i < input_.endpoints.size(); ++i) {
      const PlanEndpoint& endpoint = input_.endpoints[i];
      if (!CanHost(endpoint, copy_request) ||
          FreeMemory(endpoint) < Unit(copy_request.unit).memory) {
        continue;
      }
      const std::int64_t in_zone = spread ? CopiesInZone(copy_request.unit, endpoint.zone) : 0;
      const bool better = best == kNoIndex || in_zone < best_zone ||
                          (in_zone == best_zone && IsBetterTarget(endpoint, Endpoint(best)));
      if (better) {
        best = static_cast<PlanIndex>(i);
        best_zone = in_zone;
      }
    }
    if (best == kNoIndex) {
      return false;
    }
    Load(best, copy_request.unit, copy_request.reason);
    return true;
  }

  // Prefers the endpoint with less load, and at similar load the one with more free memory.
  bool IsBetterTarget(const PlanEndpoint& a, const PlanEndpoint& b) const {
    constexpr double kSameLoad = 0.25;
    if (std::abs(a.load - b.load) > kSameLoad) {
      return a.load < b.load;
    }
    return FreeMemory(a) > FreeMemory(b);
  }

  void Load(PlanIndex endpoint, PlanIndex unit, Reason reason) {
    actions_.push_back({Kind::kLoad, reason, endpoint, unit});
    Endpoint(endpoint).entries.push_back({unit, UnitState::kLoading, kNewest});
    Endpoint(endpoint).taken += Unit(unit).memory;
    ++loading_[ToSize(unit)];
    --input_.loads;
    changes_pending_ = true;
  }

  // True if this copy may be unloaded to satisfy `copy_request`.
  bool MayUnload(const PlanEndpoint& endpoint,
                 const PlanEntry& entry,
                 const CopyRequest& copy_request) {
    if (entry.state != UnitState::kResident) {
      return false;
    }
    const PlanUnit& unit = Unit(entry.unit);
    for (const PlanIndex dependant : dependants_[ToSize(entry.unit)]) {
      if (Find(endpoint, dependant) != nullptr) {
        return false;
      }
    }
    if (unit.copies == 0) {
      // An old version may be unloaded while another version serves, or if the new one cannot be
      // loaded otherwise.
      return !InterruptsService(entry.unit) ||
             (unit.successor == copy_request.unit && !changes_pending_);
    }
    const std::int64_t remaining_copies = serving_[ToSize(entry.unit)] - 1;
    const bool needed_by_demand = unit.demand > 0.0 && endpoint.load >= kHighLoad;
    if (copy_request.reason == Reason::kUnreachable) {
      return remaining_copies >= 1;
    }
    return remaining_copies >= unit.copies && !needed_by_demand &&
           unit.demand <= Unit(copy_request.unit).demand;
  }

  // Unloads copies on the endpoint where making room costs least.
  bool MakeRoom(const CopyRequest& copy_request) {
    PlanIndex best = kNoIndex;
    EvictionPlan best_eviction;
    const std::uint64_t needed = Unit(copy_request.unit).memory;
    for (std::size_t i = 0; i < input_.endpoints.size(); ++i) {
      const PlanEndpoint& endpoint = input_.endpoints[i];
      if (!CanHost(endpoint, copy_request)) {
        continue;
      }
      if (FreeMemory(endpoint) + UnloadingMemory(endpoint) >= needed) {
        return true;  // room is already being made on this endpoint
      }
      auto eviction = PlanEviction(endpoint, copy_request);
      if (eviction && (best == kNoIndex || eviction->IsCheaperThan(best_eviction))) {
        best = static_cast<PlanIndex>(i);
        best_eviction = std::move(*eviction);
      }
    }
    if (best == kNoIndex) {
      return false;
    }
    for (const PlanIndex victim : best_eviction.victims) {
      Unload(best, victim);
    }
    return true;
  }

  // Memory of units that are being unloaded.
  std::uint64_t UnloadingMemory(const PlanEndpoint& endpoint) {
    std::uint64_t bytes = 0;
    for (const PlanEntry& entry : endpoint.entries) {
      if (entry.state == UnitState::kUnloading || entry.state == UnitState::kLingering) {
        bytes += Unit(entry.unit).memory;
      }
    }
    return bytes;
  }

  std::optional<EvictionPlan> PlanEviction(const PlanEndpoint& endpoint,
                                           const CopyRequest& copy_request) {
    const std::uint64_t needed = Unit(copy_request.unit).memory;
    std::uint64_t free = FreeMemory(endpoint) + UnloadingMemory(endpoint);
    EvictionPlan eviction;
    for (const PlanEntry& entry : Candidates(endpoint, copy_request)) {
      if (free >= needed) {
        break;
      }
      free += Unit(entry.unit).memory;
      eviction.cost +=
          Unit(entry.unit).memory * (InterruptsService(entry.unit) ? kServiceGapPenalty : 1);
      eviction.oldest = std::min(eviction.oldest, entry.sequence);
      eviction.victims.push_back(entry.unit);
    }
    if (free < needed) {
      return std::nullopt;
    }
    return eviction;
  }

  // Units that may be unloaded from an endpoint: undeclared units first, then by demand, lowest
  // first, and the oldest first among equals, so that the previous version stays available for a
  // rollback.
  std::vector<PlanEntry> Candidates(const PlanEndpoint& endpoint, const CopyRequest& copy_request) {
    std::vector<PlanEntry> candidates;
    for (const PlanEntry& entry : endpoint.entries) {
      if (MayUnload(endpoint, entry, copy_request) && entry.unit != Unit(copy_request.unit).base) {
        candidates.push_back(entry);
      }
    }
    std::stable_sort(candidates.begin(), candidates.end(),
                     [&](const PlanEntry& a, const PlanEntry& b) {
                       const PlanUnit& first = Unit(a.unit);
                       const PlanUnit& second = Unit(b.unit);
                       if ((first.copies == 0) != (second.copies == 0)) {
                         return first.copies == 0;
                       }
                       if (first.demand != second.demand) {
                         return first.demand < second.demand;
                       }
                       return a.sequence < b.sequence;
                     });
    return candidates;
  }

  // True if unloading this copy leaves its name unserved until the new version is loaded.
  bool InterruptsService(PlanIndex unit) {
    const PlanIndex successor = Unit(unit).successor;
    if (successor == kNoIndex) {
      return false;
    }
    std::int64_t others = serving_[ToSize(successor)] - 1;
    for (std::size_t i = 0; i < input_.units.size(); ++i) {
      others += input_.units[i].successor == successor ? serving_[i] : 0;
    }
    return others <= 0;
  }

  void Unload(PlanIndex endpoint, PlanIndex unit) {
    actions_.push_back({Kind::kUnload, Reason::kMakeRoom, endpoint, unit});
    for (PlanEntry& entry : Endpoint(endpoint).entries) {
      if (entry.unit == unit) {
        entry.state = UnitState::kUnloading;
      }
    }
    --serving_[ToSize(unit)];
    changes_pending_ = true;
  }

  // Handles a unit that fits nowhere: copies one unit to another endpoint, so that a later plan may
  // unload it here.
  void Relocate(PlanIndex unit) {
    const std::uint64_t needed = Unit(unit).memory;
    for (PlanEndpoint& endpoint : input_.endpoints) {
      const CopyRequest copy_request{unit, Reason::kUnreachable, 0.0};
      if (!CanHost(endpoint, copy_request)) {
        continue;
      }
      for (const PlanEntry& entry : endpoint.entries) {
        const bool frees_enough = FreeMemory(endpoint) + Unit(entry.unit).memory >= needed;
        if (entry.state != UnitState::kResident || !frees_enough ||
            loading_[ToSize(entry.unit)] > 0 || HasDependants(endpoint, entry.unit)) {
          continue;
        }
        if (LoadIntoFreeMemory({entry.unit, Reason::kRelocate, 0.0})) {
          return;
        }
      }
    }
  }

  bool HasDependants(const PlanEndpoint& endpoint, PlanIndex unit) {
    const auto& dependants = dependants_[ToSize(unit)];
    return std::any_of(dependants.begin(), dependants.end(),
                       [&](PlanIndex dependant) { return Find(endpoint, dependant) != nullptr; });
  }

  PlanInput input_;
  std::vector<std::int64_t> serving_;
  std::vector<std::int64_t> loading_;
  std::vector<std::vector<PlanIndex>> dependants_;
  std::vector<PlanAction> actions_;
  bool changes_pending_ = false;  // a pending change may make room without interrupting service
};

}  // namespace

std::string_view NameOf(PlanAction::Reason reason) {
  switch (reason) {
    case Reason::kUnreachable:
      return "unreachable";
    case Reason::kWanted:
      return "wanted";
    case Reason::kDemand:
      return "demand";
    case Reason::kMakeRoom:
      return "make_room";
    case Reason::kRelocate:
      return "relocate";
  }
  return "wanted";
}

std::vector<PlanAction> Plan(PlanInput input) {
  return Planner(std::move(input)).Run();
}

}  // namespace rudderloom
