#include "rudderloom/forwarding/balancer.hpp"

#include <algorithm>   // for max, min
#include <functional>  // for hash
#include <limits>      // for numeric_limits

namespace rudderloom {

namespace {

// Costs are counted in prompt tokens that an endpoint would have to read before this request.
constexpr double kRunningCost = 60.0;       // a running request slows the others a little
constexpr double kFullCost = 200'000.0;     // the endpoint has no place or memory left
constexpr double kAvoidCost = 1'000'000.0;  // it failed lately
constexpr double kLastResortCost = 10'000'000.0;
constexpr double kOtherZoneCost = 60.0;
constexpr double kPlainRequestCost = 1'000.0;
constexpr double kHomeDiscount = 0.5;  // share of the common prompt that its home is likely to keep
constexpr Duration kAvoidLeast{400};
constexpr Duration kAvoidMost{5'000};
constexpr std::uint32_t kMostDoublings = 4;
constexpr std::size_t kPromptsKept = 4'000;
constexpr Duration kPromptsKeptFor{60'000};

std::uint64_t Mix(std::uint64_t value) {
  value ^= value >> 33U;
  value *= 0xff51afd7ed558ccdULL;
  value ^= value >> 33U;
  value *= 0xc4ceb9fe1a85ec53ULL;
  value ^= value >> 33U;
  return value;
}

// The same in every entry node: where a prompt's beginning is at home without anybody agreeing.
std::uint64_t HomeRank(std::uint64_t prompt, const std::string& instance) {
  return Mix(prompt ^ std::hash<std::string>{}(instance));
}

bool Holds(const EndpointRecord& record, const RequestTerms& terms) {
  if (terms.model.empty()) {
    return true;
  }
  const ResidentModel* model = FindModel(record.models, terms.model);
  return model != nullptr && (terms.adapter.empty() || model->adapters.contains(terms.adapter));
}

}  // namespace

std::uint64_t PromptHash(const RequestTerms& terms, std::size_t count) {
  std::uint64_t hash = std::hash<std::string>{}(terms.model + "/" + terms.adapter);
  for (std::size_t i = 0; i < std::min(count, terms.prompt.size()); ++i) {
    hash = Mix(hash * 31 + terms.prompt[i].id);
  }
  return hash;
}

std::uint64_t Balancer::UnreadTokens(const Endpoint& endpoint, const RequestTerms& terms) const {
  std::uint64_t unread = terms.tokens_in;
  for (std::size_t i = 0; i < terms.prompt.size(); ++i) {
    if (!endpoint.read_prompts.contains(PromptHash(terms, i + 1))) {
      break;
    }
    unread -= std::min(unread, terms.prompt[i].tokens);
  }
  return unread;
}

double Balancer::Cost(const FleetEndpoint& view,
                      const Endpoint& endpoint,
                      const BalancerAsk& ask,
                      bool engine,
                      TimePoint now) {
  EndpointLoad load = endpoint.load;
  load += view.others;
  double cost = load.requests * (engine ? kRunningCost : kPlainRequestCost);
  cost += static_cast<double>(load.unread_tokens);
  if (engine) {
    cost += static_cast<double>(UnreadTokens(endpoint, ask.terms));
  }
  if (load.requests >= view.record.slots) {
    cost += kFullCost;
  }
  if (view.record.availability_zone != zone_) {
    cost += kOtherZoneCost;
  }
  if (now < endpoint.avoid_until) {
    cost += kAvoidCost;
  }
  if (view.last_resort) {
    cost += kLastResortCost;
  }
  return cost;
}

std::variant<Choice, NoEndpoint> Balancer::Choose(const FleetView& view,
                                                  const BalancerAsk& ask,
                                                  TimePoint now) {
  const auto listed = view.by_service.find(ask.service);
  if (listed == view.by_service.end() || listed->second.empty()) {
    return NoEndpoint::kNone;
  }
  const bool engine = !ask.terms.model.empty();
  // The prompt's beginning without its last part, which is the request's own.
  const std::size_t common = ask.terms.prompt.empty() ? 0 : ask.terms.prompt.size() - 1;
  const std::uint64_t common_hash = PromptHash(ask.terms, common);
  std::uint64_t common_tokens = 0;
  for (std::size_t i = 0; i < common; ++i) {
    common_tokens += ask.terms.prompt[i].tokens;
  }
  std::optional<std::uint32_t> home;
  std::vector<std::pair<double, std::uint32_t>> costs;
  for (const std::uint32_t index : listed->second) {
    const FleetEndpoint& endpoint = view.endpoints[index];
    if (ask.excluded.contains(endpoint.record.instance) || !Holds(endpoint.record, ask.terms)) {
      continue;
    }
    const bool nearer = !home || HomeRank(common_hash, endpoint.record.instance) >
                                     HomeRank(common_hash, view.endpoints[*home].record.instance);
    home = nearer && !endpoint.last_resort ? index : home;
    costs.emplace_back(Cost(endpoint, endpoints_[endpoint.record.instance], ask, engine, now),
                       index);
  }
  if (costs.empty()) {
    return NoEndpoint::kNotResident;
  }
  std::pair<double, std::uint32_t> best{std::numeric_limits<double>::max(), 0};
  for (auto& [cost, index] : costs) {
    if (engine && home && index == *home) {
      cost -= kHomeDiscount * static_cast<double>(common_tokens);
    }
    // Equal costs are common; a small draw keeps nodes from choosing the same one.
    const double drawn = cost + static_cast<double>(random_() % 64);
    best = std::min(best, {drawn, index});
  }
  Choice choice;
  choice.index = best.second;
  const Endpoint& chosen = endpoints_[view.endpoints[choice.index].record.instance];
  choice.load = chosen.load;
  choice.load += view.endpoints[choice.index].others;
  choice.holding = static_cast<std::uint32_t>(costs.size());
  choice.added.requests = 1;
  if (engine) {
    choice.added.unread_tokens = UnreadTokens(chosen, ask.terms);
  }
  return choice;
}

void Balancer::Started(const std::string& instance,
                       const RequestTerms& terms,
                       const EndpointLoad& added,
                       TimePoint now) {
  Endpoint& endpoint = endpoints_[instance];
  endpoint.load += added;
  for (std::size_t i = 0; i < terms.prompt.size(); ++i) {
    endpoint.read_prompts[PromptHash(terms, i + 1)] = now;
  }
}

void Balancer::Begun(const std::string& instance, EndpointLoad& added) {
  Endpoint& endpoint = endpoints_[instance];
  endpoint.load.unread_tokens -= std::min(endpoint.load.unread_tokens, added.unread_tokens);
  added.unread_tokens = 0;
}

void Balancer::Ended(const std::string& instance,
                     const EndpointLoad& added,
                     AttemptMark mark,
                     TimePoint now) {
  Endpoint& endpoint = endpoints_[instance];
  endpoint.load.requests -= std::min(endpoint.load.requests, added.requests);
  endpoint.load.unread_tokens -= std::min(endpoint.load.unread_tokens, added.unread_tokens);
  if (mark == AttemptMark::kServed) {
    endpoint.failures = 0;
    endpoint.avoid_until = TimePoint();
  } else if (mark == AttemptMark::kFailed || mark == AttemptMark::kShed) {
    const std::uint32_t doublings = std::min(endpoint.failures, kMostDoublings);
    endpoint.avoid_until = now + std::min(kAvoidMost, kAvoidLeast * (1 << doublings));
    ++endpoint.failures;
  }
}

LoadTable Balancer::Loads() const {
  LoadTable loads;
  for (const auto& [instance, endpoint] : endpoints_) {
    if (endpoint.load.requests > 0) {
      loads[KeyOf(instance)] += endpoint.load;
    }
  }
  return loads;
}

void Balancer::Trim(const FleetView& view, TimePoint now) {
  std::set<std::string> known;
  for (const FleetEndpoint& endpoint : view.endpoints) {
    known.insert(endpoint.record.instance);
  }
  std::erase_if(endpoints_, [&](const auto& entry) {
    return !known.contains(entry.first) && entry.second.load.requests == 0;
  });
  for (auto& [instance, endpoint] : endpoints_) {
    const bool many = endpoint.read_prompts.size() > kPromptsKept;
    const Duration kept = many ? kPromptsKeptFor / 6 : kPromptsKeptFor;
    std::erase_if(endpoint.read_prompts,
                  [&](const auto& prompt) { return now - prompt.second > kept; });
  }
}

}  // namespace rudderloom
