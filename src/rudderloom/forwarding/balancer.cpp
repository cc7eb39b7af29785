#include "rudderloom/forwarding/balancer.hpp"

#include <algorithm>   // for any_of, min, min_element
#include <functional>  // for hash
#include <limits>      // for numeric_limits

namespace rudderloom {

namespace {

// Costs are counted in prompt tokens that an endpoint would have to read before this request.
constexpr double kRunningCost = 60.0;       // a running request slows the others a little
constexpr double kFullCost = 200'000.0;     // no place is left, and nothing is known of the wait
constexpr double kAvoidCost = 1'000'000.0;  // it failed lately
constexpr double kLastResortCost = 10'000'000.0;
constexpr double kOtherZoneCost = 60.0;
constexpr double kPlainRequestCost = 1'000.0;
// About half a second of reading: an endpoint in need comes after others that have room.
constexpr double kLimitedCost = 20'000.0;
constexpr double kHomeDiscount = 0.5;  // share of the common prompt that its home is likely to keep
// A node hears of the others' loads each 250 ms, and these were counted some 100 ms before that.
constexpr double kLoadsAgeMilliseconds = 300.0;
constexpr std::uint32_t kMostReckoned = 64;
// Tokens that must be saved for a request to follow its prompt against the spread over endpoints:
// about 25 ms of reading.
constexpr double kWorthFollowing = 1'000.0;
// An endpoint's entry is written each heartbeat, 1.2 s, and read a little later.
constexpr Duration kAbsentFor{1'500};
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

LimitStanding StandingOf(const FleetView& view,
                         const BalancerAsk& ask,
                         const std::string& instance,
                         TimePoint now) {
  return ask.limits == nullptr ? LimitStanding::kUnlimited
                               : ask.limits->StandingOf(KeyOf(instance), view.live_nodes, now);
}

// One that has not answered for a while comes first, as by its answers the end of its limit is
// noticed.
double LimitCost(LimitStanding standing) {
  switch (standing) {
    case LimitStanding::kLimited:
      return kLimitedCost;
    case LimitStanding::kUnobserved:
      return -kLimitedCost;
    case LimitStanding::kUnlimited:
    case LimitStanding::kRefused:
      return 0.0;
  }
  return 0.0;
}

std::string UnitOf(const RequestTerms& terms) {
  return terms.model + "/" + terms.adapter;
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

Balancer::Candidates Balancer::FindCandidates(const FleetView& view,
                                              const BalancerAsk& ask,
                                              const std::vector<std::uint32_t>& listed,
                                              TimePoint now) {
  // The prompt's beginning without its last part, which is the request's own.
  const std::size_t common = ask.terms.prompt.empty() ? 0 : ask.terms.prompt.size() - 1;
  const std::uint64_t common_hash = PromptHash(ask.terms, common);
  std::uint64_t common_tokens = 0;
  for (std::size_t i = 0; i < common; ++i) {
    common_tokens += ask.terms.prompt[i].tokens;
  }
  Candidates found;
  std::vector<Candidate>& candidates = found.usable;
  std::optional<std::size_t> home;
  std::uint64_t home_rank = 0;
  for (const std::uint32_t index : listed) {
    const FleetEndpoint& listed_endpoint = view.endpoints[index];
    const EndpointRecord& record = listed_endpoint.record;
    if (ask.excluded.contains(record.instance) || !Holds(record, ask.terms)) {
      continue;
    }
    const Endpoint& own = endpoints_[record.instance];
    const auto absent = own.absent_until.find(UnitOf(ask.terms));
    if (absent != own.absent_until.end() && now < absent->second) {
      continue;
    }
    const LimitStanding standing = StandingOf(view, ask, record.instance, now);
    const bool limited = standing != LimitStanding::kUnlimited;
    if (standing == LimitStanding::kRefused || (limited && ask.skip_limited)) {
      found.limit_reached = true;
      continue;
    }
    Candidate candidate;
    candidate.index = index;
    candidate.limited = limited;
    candidate.fixed += LimitCost(standing);
    candidate.slots = record.slots;
    candidate.own = own.load;
    candidate.load = own.load;
    candidate.load += listed_endpoint.others;
    candidate.fixed += record.availability_zone != zone_ ? kOtherZoneCost : 0.0;
    candidate.fixed += now < own.avoid_until ? kAvoidCost : 0.0;
    candidate.fixed += listed_endpoint.last_resort ? kLastResortCost : 0.0;
    if (!ask.terms.model.empty()) {
      candidate.unread_tokens = UnreadTokens(own, ask.terms);
      candidate.affinity =
          static_cast<double>(ask.terms.tokens_in) - static_cast<double>(candidate.unread_tokens);
    }
    const std::uint64_t rank = HomeRank(common_hash, record.instance);
    if (!listed_endpoint.last_resort && (!home || rank > home_rank)) {
      home = candidates.size();
      home_rank = rank;
    }
    candidates.push_back(candidate);
  }
  if (home && !ask.terms.model.empty()) {
    candidates[*home].affinity += kHomeDiscount * static_cast<double>(common_tokens);
  }
  return found;
}

// Without the request's own prompt, and without what is saved of it.
double Balancer::Cost(const Candidate& candidate, const Weights& weights) const {
  const std::uint32_t requests = candidate.load.requests + candidate.others_sent;
  double cost = candidate.fixed + static_cast<double>(candidate.load.unread_tokens);
  cost += requests * (weights.engine ? kRunningCost : kPlainRequestCost);
  cost += candidate.others_sent * weights.prompt_tokens;
  if (requests < candidate.slots) {
    return cost;
  }
  if (!weights.engine || weights.hold == Duration(0)) {
    return cost + kFullCost;
  }
  const Duration wait = WaitForPlace(requests, candidate.slots, weights.hold);
  return cost + static_cast<double>(wait.count()) * weights.tokens_per_millisecond;
}

// In the time that the loads are old, a part of what runs has ended, and as much has come: lets
// that go where each request finds least to do.
void Balancer::ReckonOthers(std::vector<Candidate>& candidates, const Weights& weights) const {
  if (weights.hold == Duration(0)) {
    return;
  }
  const double part = kLoadsAgeMilliseconds / static_cast<double>(weights.hold.count());
  double expected = 0.0;
  for (Candidate& candidate : candidates) {
    const std::uint32_t others = candidate.load.requests - candidate.own.requests;
    const double ended = std::min(1.0, part) * std::min(others, candidate.slots);
    expected += ended;
    candidate.load.requests -= static_cast<std::uint32_t>(ended);
  }
  const auto count = std::min(kMostReckoned, static_cast<std::uint32_t>(expected));
  for (std::uint32_t i = 0; i < count; ++i) {
    const auto least = std::min_element(candidates.begin(), candidates.end(),
                                        [&](const Candidate& left, const Candidate& right) {
                                          return Cost(left, weights) < Cost(right, weights);
                                        });
    ++least->others_sent;
  }
}

const Balancer::Candidate& Balancer::Pick(const std::vector<Candidate>& candidates,
                                          const Weights& weights) {
  const Candidate* best = nullptr;
  double best_cost = std::numeric_limits<double>::max();
  std::uint64_t reckoned = 0;
  for (const Candidate& candidate : candidates) {
    // Equal costs are common; a small draw keeps nodes from choosing the same one.
    const double drawn =
        Cost(candidate, weights) - candidate.affinity + static_cast<double>(random_() % 64);
    if (drawn < best_cost) {
      best_cost = drawn;
      best = &candidate;
    }
    reckoned += candidate.others_sent;
  }
  if (reckoned == 0) {
    return *best;
  }
  // Like the others' requests: with the share of them that goes to each.
  std::uint64_t draw = random_() % reckoned;
  for (const Candidate& candidate : candidates) {
    if (draw < candidate.others_sent) {
      const bool follows = best->affinity - candidate.affinity >= kWorthFollowing;
      return follows ? *best : candidate;
    }
    draw -= candidate.others_sent;
  }
  return *best;
}

StartForecast Balancer::Forecast(const Candidate& candidate, const BalancerAsk& ask) const {
  const Duration hold = times_.TypicalHoldTime(ask.service, ask.terms.model);
  const std::uint32_t requests = candidate.load.requests + candidate.others_sent;
  const std::uint32_t deferred = std::min(requests, candidate.load.deferred);
  // What the others' prompts were when their loads were told has been read on since.
  const auto read_since = static_cast<std::uint64_t>(
      kLoadsAgeMilliseconds * times_.TokensPerMillisecond(ask.service, ask.terms.model));
  const std::uint64_t others = candidate.load.unread_tokens - candidate.own.unread_tokens;
  const std::uint64_t unread = candidate.own.unread_tokens + candidate.unread_tokens +
                               (others - std::min(others, read_since));
  const Duration read = times_.FirstEventTime(ask.service, ask.terms.model, unread);
  StartForecast forecast;
  forecast.behind_all = WaitForPlace(requests, candidate.slots, hold) + read;
  forecast.in_turn = WaitForPlace(requests - deferred, candidate.slots, hold) + read;
  return forecast;
}

std::variant<Choice, NoEndpoint> Balancer::Choose(const FleetView& view,
                                                  const BalancerAsk& ask,
                                                  TimePoint now) {
  const auto listed = view.by_service.find(ask.service);
  if (listed == view.by_service.end() || listed->second.empty()) {
    return NoEndpoint::kNone;
  }
  Candidates found = FindCandidates(view, ask, listed->second, now);
  std::vector<Candidate>& candidates = found.usable;
  if (candidates.empty()) {
    return found.limit_reached ? NoEndpoint::kLimited : NoEndpoint::kNotResident;
  }
  Weights weights;
  weights.engine = !ask.terms.model.empty();
  if (weights.engine) {
    weights.hold = times_.TypicalHoldTime(ask.service, ask.terms.model);
    weights.tokens_per_millisecond = times_.TokensPerMillisecond(ask.service, ask.terms.model);
    weights.prompt_tokens = static_cast<double>(ask.terms.tokens_in);
    ReckonOthers(candidates, weights);
  }
  const Candidate& picked = Pick(candidates, weights);
  Choice choice;
  choice.index = picked.index;
  choice.load = picked.load;
  choice.load.requests += picked.others_sent;
  choice.holding = static_cast<std::uint32_t>(candidates.size());
  choice.others_unlimited = std::any_of(
      candidates.begin(), candidates.end(),
      [&](const Candidate& candidate) { return !candidate.limited && &candidate != &picked; });
  choice.added.requests = 1;
  if (weights.engine) {
    choice.added.unread_tokens = picked.unread_tokens;
    choice.forecast = Forecast(picked, ask);
    choice.hold = times_.HoldTime(ask.service, ask.terms.model, ask.terms.tokens_out);
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
  endpoint.load.deferred -= std::min(endpoint.load.deferred, added.deferred);
  added.unread_tokens = 0;
  added.deferred = 0;
}

void Balancer::Ended(const std::string& instance,
                     const EndpointLoad& added,
                     AttemptMark mark,
                     TimePoint now) {
  Endpoint& endpoint = endpoints_[instance];
  endpoint.load -= added;
  if (mark == AttemptMark::kServed) {
    endpoint.failures = 0;
    endpoint.avoid_until = TimePoint();
  } else if (mark == AttemptMark::kFailed || mark == AttemptMark::kShed) {
    const std::uint32_t doublings = std::min(endpoint.failures, kMostDoublings);
    endpoint.avoid_until = now + std::min(kAvoidMost, kAvoidLeast * (1 << doublings));
    ++endpoint.failures;
  }
}

void Balancer::NotResident(const std::string& instance, const RequestTerms& terms, TimePoint now) {
  endpoints_[instance].absent_until[UnitOf(terms)] = now + kAbsentFor;
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
    std::erase_if(endpoint.absent_until, [&](const auto& unit) { return unit.second <= now; });
    const bool many = endpoint.read_prompts.size() > kPromptsKept;
    const Duration kept = many ? kPromptsKeptFor / 6 : kPromptsKeptFor;
    std::erase_if(endpoint.read_prompts,
                  [&](const auto& prompt) { return now - prompt.second > kept; });
  }
}

}  // namespace rudderloom
