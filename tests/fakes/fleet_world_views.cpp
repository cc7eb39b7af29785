// Functions by which tests feed node traffic into the simulation and observe the result.
#include <algorithm>  // for any_of, count_if

#include "fakes/fleet_world.hpp"

namespace rudderloom::fakes {

namespace {

constexpr int kSampleDelayMs = 5;  // milliseconds

}  // namespace

void FleetWorld::Spend(int node, const std::string& customer, std::int64_t amount) {
  Spending& spending = NodeAt(node).spending[CustomerKeyOf(customer)];
  spending.spent += amount;
  spending.asked += static_cast<std::uint64_t>(amount);
  spending.nodes = 1;
}

std::optional<std::int64_t> FleetWorld::BalanceAt(int node, const std::string& customer) const {
  const FleetViewPtr& view = NodeAt(node).view;
  if (!view || !view->quota) {
    return std::nullopt;
  }
  const auto found = view->quota->balances.find(CustomerKeyOf(customer));
  return found == view->quota->balances.end() ? std::nullopt : std::optional(found->second.level);
}

TurnPlan FleetWorld::TurnsOf(int node) const {
  const FleetViewPtr& view = NodeAt(node).view;
  return view && view->quota ? view->quota->turns : TurnPlan();
}

// Traffic requests a sample soon after crash news.
void FleetWorld::See(int node, const CrashNews& news) {
  MergeNews(news, NodeAt(node).crash_news);
  ScheduleOnNode(NodeAt(node), kSampleDelayMs, [this, node] { Sample(NodeAt(node)); });
}

int FleetWorld::NodeOfGateway(const Gateway& gateway) const {
  return std::stoi(gateway.address.substr(1));
}

void FleetWorld::Observe(int node, const SentLimits& limits) {
  for (const auto& [endpoint, limit] : limits) {
    NodeAt(node).limits[endpoint] = limit;
  }
  ScheduleOnNode(NodeAt(node), kSampleDelayMs, [this, node] { Sample(NodeAt(node)); });
}

std::optional<int> FleetWorld::ReachableNodeAt(int from, const std::string& address) const {
  for (int i = 0; i < Nodes(); ++i) {
    const bool cut = i != from && (NodeAt(i).cut_from_nodes || NodeAt(from).cut_from_nodes);
    if (NodeAt(i).address == address && Runs(i) && !cut) {
      return i;
    }
  }
  return std::nullopt;
}

bool FleetWorld::HoldsBack(int node, const RequestDigest& request) const {
  const FleetViewPtr& view = NodeAt(node).view;
  return view && view->quarantine && view->quarantine->quarantined.contains(request);
}

bool FleetWorld::AllHoldBack(const RequestDigest& request) const {
  for (int i = 0; i < Nodes(); ++i) {
    if (Alive(i) && !HoldsBack(i, request)) {
      return false;
    }
  }
  return true;
}

std::shared_ptr<const GrantBasis> FleetWorld::GrantBasisOf(int node) const {
  const auto& statement = NodeAt(node).statement;
  return statement ? statement->grants : nullptr;
}

std::optional<int> FleetWorld::Holder() const {
  for (int i = 0; i < Nodes(); ++i) {
    if (NodeAt(i).state && NodeAt(i).holds_lease) {
      return i;
    }
  }
  return std::nullopt;
}

std::uint64_t FleetWorld::EpochOf(int node) const {
  const auto& statement = NodeAt(node).statement;
  return statement ? statement->common.epoch : 0;
}

int FleetWorld::Holders() const {
  return static_cast<int>(std::count_if(nodes_.begin(), nodes_.end(), [&](const Node& node) {
    return node.state && node.holds_lease && !Suspended(node);
  }));
}

bool FleetWorld::Sends(int node, const std::string& instance) const {
  if (!NodeAt(node).view) {
    return false;
  }
  const auto& endpoints = NodeAt(node).view->endpoints;
  return std::any_of(endpoints.begin(), endpoints.end(), [&](const FleetEndpoint& endpoint) {
    return endpoint.record.instance == instance;
  });
}

int FleetWorld::ReportsTo(int node) const {
  const auto& report_times = NodeAt(node).report_times;
  return static_cast<int>(std::count_if(report_times.begin(), report_times.end(),
                                        [&](int at) { return at > now_ - 1'000; }));
}

}  // namespace rudderloom::fakes
