// What tests put into the traffic of a fleet's nodes, and what they see of it.
#include <algorithm>  // for any_of, count_if

#include "fakes/fleet_world.hpp"

namespace rudderloom::fakes {

namespace {

constexpr int kSampledWithin = 5;  // milliseconds

}  // namespace

void FleetWorld::Spend(int node, const std::string& customer, std::int64_t amount) {
  Spending& spending = At(node).spending[CustomerKeyOf(customer)];
  spending.spent += amount;
  spending.asked += static_cast<std::uint64_t>(amount);
  spending.nodes = 1;
}

std::optional<std::int64_t> FleetWorld::LevelAt(int node, const std::string& customer) const {
  const FleetViewPtr& view = At(node).view;
  if (!view || !view->quota) {
    return std::nullopt;
  }
  const auto found = view->quota->balances.find(CustomerKeyOf(customer));
  return found == view->quota->balances.end() ? std::nullopt : std::optional(found->second.level);
}

// Traffic has itself sampled soon after it has seen such a thing.
void FleetWorld::See(int node, const CrashNews& news) {
  AddNews(news, At(node).crash_news);
  AfterIn(At(node), kSampledWithin, [this, node] { Sample(At(node)); });
}

void FleetWorld::Observe(int node, const SentLimits& limits) {
  for (const auto& [endpoint, limit] : limits) {
    At(node).limits[endpoint] = limit;
  }
  AfterIn(At(node), kSampledWithin, [this, node] { Sample(At(node)); });
}

std::optional<int> FleetWorld::Answering(int from, const std::string& address) const {
  for (int i = 0; i < Nodes(); ++i) {
    const bool cut = i != from && (At(i).cut_from_nodes || At(from).cut_from_nodes);
    if (At(i).address == address && Runs(i) && !cut) {
      return i;
    }
  }
  return std::nullopt;
}

bool FleetWorld::HoldsBack(int node, const RequestDigest& request) const {
  const FleetViewPtr& view = At(node).view;
  return view && view->quarantine && view->quarantine->quarantined.contains(request);
}

std::shared_ptr<const GrantBasis> FleetWorld::GrantsOf(int node) const {
  const auto& statement = At(node).statement;
  return statement ? statement->grants : nullptr;
}

std::optional<int> FleetWorld::Holder() const {
  for (int i = 0; i < Nodes(); ++i) {
    if (At(i).state && At(i).holds) {
      return i;
    }
  }
  return std::nullopt;
}

std::uint64_t FleetWorld::EpochOf(int node) const {
  const auto& statement = At(node).statement;
  return statement ? statement->common.epoch : 0;
}

int FleetWorld::Holders() const {
  return static_cast<int>(std::count_if(nodes_.begin(), nodes_.end(), [&](const Node& node) {
    return node.state && node.holds && !Suspended(node);
  }));
}

bool FleetWorld::Sends(int node, const std::string& instance) const {
  if (!At(node).view) {
    return false;
  }
  const auto& endpoints = At(node).view->endpoints;
  return std::any_of(endpoints.begin(), endpoints.end(), [&](const FleetEndpoint& endpoint) {
    return endpoint.record.instance == instance;
  });
}

int FleetWorld::ReportsTo(int node) const {
  const auto& heard = At(node).heard_reports_at;
  return static_cast<int>(
      std::count_if(heard.begin(), heard.end(), [&](int at) { return at > now_ - 1'000; }));
}

}  // namespace rudderloom::fakes
