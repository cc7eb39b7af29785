#include "rudderloom/forwarding/balancer.hpp"

#include <algorithm>   // for any_of, min, min_element
#include <functional>  // for hash
#include <limits>      // for numeric_limits

namespace rudderloom {

namespace {

// Costs are in prompt tokens that an endpoint has to process before this request.
constexpr double kRunningCost = 60.0;       // each running request slows the others slightly
constexpr double kFullCost = 200'000.0;     // no free slot and no estimate of the wait
constexpr double kAvoidCost = 1'000'000.0;  // failed recently
constexpr double kLastResortCost = 10'000'000.0;
constexpr double kOtherZoneCost = 60.0;
constexpr double kPlainRequestCost = 1'000.0;
// About half a second of prompt processing: rate-limited endpoints are chosen after others with
// free capacity.
constexpr double kLimitedCost = 20'000.0;
constexpr double kHomeAffinityShare =
    0.5;  // share of the common prefix that its home endpoint likely has cached
// Loads of other nodes arrive every 250 ms and were counted about 100 ms earlier.
constexpr double kLoadsAgeMilliseconds = 300.0;
constexpr std::uint32_t kMaxExpectedArrivals = 64;
// Minimum saved tokens for prefix affinity to override the spread over endpoints: about 25 ms of
// prompt processing.
constexpr double kMinAffinityAdvantage = 1'000.0;
// An endpoint's entry is written with each heartbeat, every 1.2 s, and read shortly afterwards.
constexpr Duration kNotResidentTime{1'500};
constexpr Duration kMinAvoidTime{400};
constexpr Duration kMaxAvoidTime{5'000};
constexpr std::uint32_t kMaxDoublings = 4;
constexpr std::size_t kMaxCachedPrefixes = 4'000;
constexpr Duration kCachedPrefixLifetime{60'000};

std::uint64_t MixBits(std::uint64_t value) {
  value ^= value >> 33U;
  value *= 0xff51afd7ed558ccdULL;
  value ^= value >> 33U;
  value *= 0xc4ceb9fe1a85ec53ULL;
  value ^= value >> 33U;
  return value;
}

// Rendezvous rank of an endpoint for a prompt prefix. Equal on every entry node, so that all agree
// on a prefix's home endpoint without coordination.
std::uint64_t HomeRank(std::uint64_t prompt, const std::string& instance) {
  return MixBits(prompt ^ std::hash<std::string>{}(instance));
}

LimitState LimitStateOf(const FleetView& view,
                        const BalancerQuery& query,
                        const std::string& instance,
                        TimePoint now) {
  return query.limits == nullptr
             ? LimitState::kUnlimited
             : query.limits->LimitStateOf(KeyOf(instance), view.live_nodes, now);
}

// An endpoint without recent answers is preferred, since only its answers show that its limit has
// ended.
double LimitCost(LimitState standing) {
  switch (standing) {
    case LimitState::kLimited:
      return kLimitedCost;
    case LimitState::kUnobserved:
      return -kLimitedCost;
    case LimitState::kUnlimited:
    case LimitState::kRefused:
      return 0.0;
  }
  return 0.0;
}

// The fewest rejections per second that an endpoint of the service has lately been observed to
// tolerate; empty if any number.
std::optional<double> ServiceTolerance(const FleetView& view,
                                       const BalancerQuery& query,
                                       const std::vector<std::uint32_t>& listed,
                                       TimePoint now) {
  std::optional<double> lowest;
  if (query.limits == nullptr || !query.limits->AnyKnown()) {
    return lowest;
  }
  for (const std::uint32_t index : listed) {
    const EndpointKey key = KeyOf(view.endpoints[index].record.instance);
    const auto tolerated = query.limits->RecentToleranceOf(key, now);
    if (tolerated && (!lowest || *tolerated < *lowest)) {
      lowest = tolerated;
    }
  }
  return lowest;
}

std::string UnitOf(const RequestMetadata& terms) {
  return terms.model + "/" + terms.adapter;
}

bool Holds(const EndpointRecord& record, const RequestMetadata& terms) {
  if (terms.model.empty()) {
    return true;
  }
  const ResidentModel* model = FindModel(record.models, terms.model);
  return model != nullptr && (terms.adapter.empty() || model->adapters.contains(terms.adapter));
}

}  // namespace

std::uint64_t PromptPrefixHash(const RequestMetadata& terms, std::size_t count) {
  std::uint64_t hash = std::hash<std::string>{}(terms.model + "/" + terms.adapter);
  for (std::size_t i = 0; i < std::min(count, terms.prompt.size()); ++i) {
    hash = MixBits(hash * 31 + terms.prompt[i].id);
  }
  return hash;
}

std::uint64_t Balancer::UnreadTokens(const Endpoint& endpoint, const RequestMetadata& terms) const {
  std::uint64_t unread = terms.tokens_in;
  for (std::size_t i = 0; i < terms.prompt.size(); ++i) {
    if (!endpoint.cached_prefixes.contains(PromptPrefixHash(terms, i + 1))) {
      break;
    }
    unread -= std::min(unread, terms.prompt[i].tokens);
  }
  return unread;
}

Balancer::Candidates Balancer::FindCandidates(const FleetView& view,
                                              const BalancerQuery& query,
                                              const std::vector<std::uint32_t>& listed,
                                              TimePoint now) {
  // The prompt without its last part, which is specific to the request.
  const std::size_t common = query.terms.prompt.empty() ? 0 : query.terms.prompt.size() - 1;
  const std::uint64_t common_hash = PromptPrefixHash(query.terms, common);
  std::uint64_t common_tokens = 0;
  for (std::size_t i = 0; i < common; ++i) {
    common_tokens += query.terms.prompt[i].tokens;
  }
  const auto service_tolerance = ServiceTolerance(view, query, listed, now);
  Candidates found;
  std::vector<Candidate>& candidates = found.usable;
  std::optional<std::size_t> home;
  std::uint64_t home_rank = 0;
  for (const std::uint32_t index : listed) {
    const FleetEndpoint& listed_endpoint = view.endpoints[index];
    const EndpointRecord& record = listed_endpoint.record;
    const bool other_version =
        !query.software_version.empty() && record.software_version != query.software_version;
    if (other_version || !Holds(record, query.terms)) {
      continue;
    }
    if (query.pauses != nullptr && query.pauses->Paused(KeyOf(record.instance), now)) {
      found.any_paused = true;
      continue;
    }
    const bool leaves = query.leaving != nullptr && query.leaving->contains(record.instance);
    if (leaves || query.excluded.contains(record.instance)) {
      continue;
    }
    const Endpoint& own = endpoints_[record.instance];
    const auto not_resident = own.not_resident_until.find(UnitOf(query.terms));
    if (not_resident != own.not_resident_until.end() && now < not_resident->second) {
      continue;
    }
    const LimitState standing = LimitStateOf(view, query, record.instance, now);
    const bool rate_limited = standing != LimitState::kUnlimited;
    if (standing == LimitState::kRefused || (rate_limited && query.skip_limited)) {
      found.any_rate_limited = true;
      continue;
    }
    Candidate candidate;
    if (query.limits != nullptr) {
      const EndpointKey key = KeyOf(record.instance);
      const auto tolerated = query.limits->ToleranceOf(key);
      candidate.tolerated_rejections = tolerated ? tolerated : service_tolerance;
      if (candidate.tolerated_rejections &&
          (query.skip_limited || query.limits->PermitRefused(key, now))) {
        found.any_full = true;
        continue;
      }
    }
    EndpointLoad load = own.load;
    load += listed_endpoint.other_nodes_load;
    candidate.index = index;
    candidate.rate_limited = rate_limited;
    candidate.base_cost += LimitCost(standing);
    candidate.slots = record.slots;
    candidate.own = own.load;
    candidate.load = load;
    candidate.base_cost += record.availability_zone != availability_zone_ ? kOtherZoneCost : 0.0;
    candidate.base_cost += now < own.avoid_until ? kAvoidCost : 0.0;
    candidate.base_cost += listed_endpoint.last_resort ? kLastResortCost : 0.0;
    if (!query.terms.model.empty()) {
      candidate.unread_tokens = UnreadTokens(own, query.terms);
      candidate.affinity_tokens =
          static_cast<double>(query.terms.tokens_in) - static_cast<double>(candidate.unread_tokens);
    }
    const std::uint64_t rank = HomeRank(common_hash, record.instance);
    if (!listed_endpoint.last_resort && (!home || rank > home_rank)) {
      home = candidates.size();
      home_rank = rank;
    }
    candidates.push_back(candidate);
  }
  if (home && !query.terms.model.empty()) {
    candidates[*home].affinity_tokens += kHomeAffinityShare * static_cast<double>(common_tokens);
  }
  return found;
}

// Excludes the request's own prompt and its cached share.
double Balancer::Cost(const Candidate& candidate, const RequestCosts& costs) const {
  const std::uint32_t requests = candidate.load.requests + candidate.expected_arrivals;
  double cost = candidate.base_cost + static_cast<double>(candidate.load.unread_tokens);
  cost += requests * (costs.is_model_request ? kRunningCost : kPlainRequestCost);
  cost += candidate.expected_arrivals * costs.prompt_tokens;
  if (requests < candidate.slots) {
    return cost;
  }
  if (!costs.is_model_request || costs.hold_time == Duration(0)) {
    return cost + kFullCost;
  }
  const Duration wait = EstimateSlotWait(requests, candidate.slots, costs.hold_time);
  return cost + static_cast<double>(wait.count()) * costs.tokens_per_millisecond;
}

// Since the loads were reported, some running requests have ended and about as many have arrived.
// Assigns each estimated arrival to the endpoint with the least cost.
void Balancer::EstimateArrivals(std::vector<Candidate>& candidates,
                                const RequestCosts& costs) const {
  if (costs.hold_time == Duration(0)) {
    return;
  }
  const double turnover = kLoadsAgeMilliseconds / static_cast<double>(costs.hold_time.count());
  double expected = 0.0;
  for (Candidate& candidate : candidates) {
    const std::uint32_t others = candidate.load.requests - candidate.own.requests;
    const double ended = std::min(1.0, turnover) * std::min(others, candidate.slots);
    expected += ended;
    candidate.load.requests -= static_cast<std::uint32_t>(ended);
  }
  const auto count = std::min(kMaxExpectedArrivals, static_cast<std::uint32_t>(expected));
  for (std::uint32_t i = 0; i < count; ++i) {
    const auto least = std::min_element(candidates.begin(), candidates.end(),
                                        [&](const Candidate& left, const Candidate& right) {
                                          return Cost(left, costs) < Cost(right, costs);
                                        });
    ++least->expected_arrivals;
  }
}

const Balancer::Candidate& Balancer::Pick(const std::vector<Candidate>& candidates,
                                          const RequestCosts& costs) {
  const Candidate* best = nullptr;
  double best_cost = std::numeric_limits<double>::max();
  std::uint64_t total_arrivals = 0;
  for (const Candidate& candidate : candidates) {
    // Equal costs are common; the random term keeps nodes from choosing the same endpoint.
    const double jittered_cost =
        Cost(candidate, costs) - candidate.affinity_tokens + static_cast<double>(random_() % 64);
    if (jittered_cost < best_cost) {
      best_cost = jittered_cost;
      best = &candidate;
    }
    total_arrivals += candidate.expected_arrivals;
  }
  if (total_arrivals == 0) {
    return *best;
  }
  // Follows the distribution of the estimated arrivals.
  std::uint64_t draw = random_() % total_arrivals;
  for (const Candidate& candidate : candidates) {
    if (draw < candidate.expected_arrivals) {
      const bool prefers_affinity =
          best->affinity_tokens - candidate.affinity_tokens >= kMinAffinityAdvantage;
      return prefers_affinity ? *best : candidate;
    }
    draw -= candidate.expected_arrivals;
  }
  return *best;
}

EndpointWork Balancer::WorkAt(const Candidate& candidate, const BalancerQuery& query) const {
  // Part of the other nodes' reported prompts has been processed since.
  const auto read_since = static_cast<std::uint64_t>(
      kLoadsAgeMilliseconds * work_.TokensPerMillisecond(query.service, query.terms.model));
  const std::uint64_t others = candidate.load.unread_tokens - candidate.own.unread_tokens;
  EndpointWork work;
  work.unread_tokens = candidate.own.unread_tokens + candidate.unread_tokens +
                       (others - std::min(others, read_since));
  work.requests = candidate.load.requests + candidate.expected_arrivals;
  return work;
}

StartForecast Balancer::Forecast(const Candidate& candidate, const BalancerQuery& query) const {
  const EndpointWork work = WorkAt(candidate, query);
  const Duration hold_time = work_.TypicalHoldTime(query.service, query.terms.model);
  const std::uint32_t deferred = std::min(work.requests, candidate.load.deferred);
  const StreamForecast stream = work_.Forecast(query.service, query.terms.model, work);
  const Duration wait = EstimateSlotWait(work.requests - deferred, candidate.slots, hold_time);
  StartForecast forecast;
  forecast.if_deferred =
      EstimateSlotWait(work.requests, candidate.slots, hold_time) + stream.first_event;
  forecast.if_admitted = wait + stream.first_event;
  forecast.if_admitted_bound = wait + stream.first_event_bound;
  forecast.longest_pause = stream.longest_pause;
  return forecast;
}

std::variant<EndpointChoice, NoEndpointReason> Balancer::Choose(const FleetView& view,
                                                                const BalancerQuery& query,
                                                                TimePoint now) {
  const auto listed = view.by_service.find(query.service);
  if (listed == view.by_service.end() || listed->second.empty()) {
    return NoEndpointReason::kNoEndpoints;
  }
  Candidates found = FindCandidates(view, query, listed->second, now);
  std::vector<Candidate>& candidates = found.usable;
  if (candidates.empty()) {
    return found.any_rate_limited ? NoEndpointReason::kRateLimited
           : found.any_full       ? NoEndpointReason::kFull
           : found.any_paused     ? NoEndpointReason::kPaused
                                  : NoEndpointReason::kNotResident;
  }
  RequestCosts costs;
  costs.is_model_request = !query.terms.model.empty();
  if (costs.is_model_request) {
    costs.hold_time = work_.TypicalHoldTime(query.service, query.terms.model);
    costs.tokens_per_millisecond = work_.TokensPerMillisecond(query.service, query.terms.model);
    costs.prompt_tokens = static_cast<double>(query.terms.tokens_in);
    EstimateArrivals(candidates, costs);
  }
  const Candidate& picked = Pick(candidates, costs);
  EndpointChoice choice;
  choice.index = picked.index;
  choice.load = picked.load;
  choice.load.requests += picked.expected_arrivals;
  choice.candidate_count = static_cast<std::uint32_t>(candidates.size());
  choice.has_unlimited_alternative = std::any_of(
      candidates.begin(), candidates.end(),
      [&](const Candidate& candidate) { return !candidate.rate_limited && &candidate != &picked; });
  choice.tolerated_rejections = picked.tolerated_rejections;
  choice.added_load.requests = 1;
  if (costs.is_model_request) {
    choice.added_load.unread_tokens = picked.unread_tokens;
    choice.work = WorkAt(picked, query);
    choice.forecast = Forecast(picked, query);
    choice.hold_time = work_.HoldTime(query.service, query.terms.model, query.terms.tokens_out);
  }
  return choice;
}

void Balancer::RequestStarted(const std::string& instance,
                              const RequestMetadata& terms,
                              const EndpointLoad& added_load,
                              TimePoint now) {
  Endpoint& endpoint = endpoints_[instance];
  endpoint.load += added_load;
  for (std::size_t i = 0; i < terms.prompt.size(); ++i) {
    endpoint.cached_prefixes[PromptPrefixHash(terms, i + 1)] = now;
  }
}

void Balancer::AnswerStarted(const std::string& instance, EndpointLoad& added_load) {
  Endpoint& endpoint = endpoints_[instance];
  endpoint.load.unread_tokens -= std::min(endpoint.load.unread_tokens, added_load.unread_tokens);
  endpoint.load.deferred -= std::min(endpoint.load.deferred, added_load.deferred);
  added_load.unread_tokens = 0;
  added_load.deferred = 0;
}

void Balancer::RequestEnded(const std::string& instance,
                            const EndpointLoad& added_load,
                            EndpointFeedback feedback,
                            TimePoint now) {
  Endpoint& endpoint = endpoints_[instance];
  endpoint.load -= added_load;
  if (feedback == EndpointFeedback::kServed) {
    endpoint.consecutive_failures = 0;
    endpoint.avoid_until = TimePoint();
  } else if (feedback == EndpointFeedback::kFailed || feedback == EndpointFeedback::kShed) {
    const std::uint32_t doublings = std::min(endpoint.consecutive_failures, kMaxDoublings);
    endpoint.avoid_until = now + std::min(kMaxAvoidTime, kMinAvoidTime * (1 << doublings));
    ++endpoint.consecutive_failures;
  }
}

void Balancer::MarkNotResident(const std::string& instance,
                               const RequestMetadata& terms,
                               TimePoint now) {
  endpoints_[instance].not_resident_until[UnitOf(terms)] = now + kNotResidentTime;
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
    std::erase_if(endpoint.not_resident_until,
                  [&](const auto& unit) { return unit.second <= now; });
    const bool many = endpoint.cached_prefixes.size() > kMaxCachedPrefixes;
    const Duration lifetime = many ? kCachedPrefixLifetime / 6 : kCachedPrefixLifetime;
    std::erase_if(endpoint.cached_prefixes,
                  [&](const auto& prompt) { return now - prompt.second > lifetime; });
  }
}

}  // namespace rudderloom
