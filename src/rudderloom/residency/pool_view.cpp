#include "rudderloom/residency/pool_view.hpp"

#include <algorithm>  // for max

namespace rudderloom {

namespace {

std::string BaseName(const std::string& unit) {
  return unit.substr(0, unit.find('@'));
}

// Builds a PlanInput and maps names to indices.
class PlanInputBuilder {
 public:
  void AddWanted(const std::vector<WantedUnit>& wanted) {
    for (const WantedUnit& wanted_unit : wanted) {
      const PlanIndex index = Add(wanted_unit.unit, wanted_unit.memory);
      by_name_[wanted_unit.name] = index;
      Unit(index).copies = wanted_unit.copies;
      Unit(index).demand = wanted_unit.demand;
    }
    for (const WantedUnit& wanted_unit : wanted) {
      const auto base = units_.find(wanted_unit.base);
      if (base != units_.end()) {
        Unit(units_.at(wanted_unit.unit)).base = base->second;
      }
    }
  }

  void AddEndpoints(const std::vector<PoolEndpoint>& endpoints) {
    std::map<std::string, int> zones;
    for (const PoolEndpoint& known : endpoints) {
      PlanEndpoint endpoint;
      endpoint.name = known.name;
      endpoint.memory = known.memory;
      endpoint.usable = known.usable;
      endpoint.slots = known.slots;
      endpoint.load = known.load;
      const int next = static_cast<int>(zones.size());
      endpoint.zone = zones.try_emplace(known.availability_zone, next).first->second;
      positions_[known.name] = input_.endpoints.size();
      input_.endpoints.push_back(std::move(endpoint));
    }
  }

  void AddReservation(const UnitKey& key, const Reservation& reservation) {
    const auto position = positions_.find(key.first);
    if (position == positions_.end()) {
      return;
    }
    PlanEndpoint& endpoint = input_.endpoints[position->second];
    endpoint.taken += reservation.memory;
    endpoint.entries.push_back(
        {IndexOf(key.second, reservation.memory), reservation.state, reservation.sequence});
    loading_ += reservation.state == UnitState::kLoading ? 1 : 0;
  }

  // Raises the used memory to the endpoints' reported use where that exceeds the reservations.
  void ApplyReportedUsage(const std::vector<PoolEndpoint>& endpoints,
                          const std::set<std::string>& full) {
    for (std::size_t i = 0; i < endpoints.size(); ++i) {
      PlanEndpoint& endpoint = input_.endpoints[i];
      endpoint.taken = std::max(endpoint.taken, endpoints[i].used);
      if (full.contains(endpoint.name)) {
        endpoint.taken = std::max(endpoint.taken, endpoint.memory);
      }
    }
  }

  PlanInput Build(std::int64_t loads_at_once) {
    input_.loads = std::max<std::int64_t>(0, loads_at_once - loading_);
    return std::move(input_);
  }

 private:
  PlanUnit& Unit(PlanIndex index) { return input_.units[static_cast<std::size_t>(index)]; }

  PlanIndex Add(const std::string& name, std::uint64_t memory) {
    const auto index = static_cast<PlanIndex>(input_.units.size());
    units_[name] = index;
    PlanUnit unit;
    unit.name = name;
    unit.memory = memory;
    input_.units.push_back(std::move(unit));
    return index;
  }

  // A unit that is loaded but not declared may be an old version of a declared one.
  PlanIndex IndexOf(const std::string& unit, std::uint64_t memory) {
    const auto known = units_.find(unit);
    if (known != units_.end()) {
      return known->second;
    }
    const PlanIndex index = Add(unit, memory);
    const auto successor = by_name_.find(BaseName(unit));
    Unit(index).successor = successor == by_name_.end() ? kNoIndex : successor->second;
    return index;
  }

  PlanInput input_;
  std::map<std::string, PlanIndex> units_;
  std::map<std::string, PlanIndex> by_name_;
  std::map<std::string, std::size_t> positions_;
  std::int64_t loading_ = 0;
};

}  // namespace

PlanInput MakePlanInput(const PoolView& view,
                        const std::map<UnitKey, Reservation>& reservations,
                        const std::set<std::string>& full,
                        std::int64_t loads_at_once) {
  PlanInputBuilder builder;
  builder.AddWanted(view.wanted);
  builder.AddEndpoints(view.endpoints);
  for (const auto& [key, reservation] : reservations) {
    builder.AddReservation(key, reservation);
  }
  builder.ApplyReportedUsage(view.endpoints, full);
  return builder.Build(loads_at_once);
}

}  // namespace rudderloom
