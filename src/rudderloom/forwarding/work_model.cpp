#include "rudderloom/forwarding/work_model.hpp"

#include <algorithm>  // for clamp, max
#include <cmath>      // for ceil, floor, llround

namespace rudderloom {

namespace {

// Decay per new sample: about fifty samples are effective.
constexpr double kDecay = 0.02;
// Minimum samples for the estimate of a model or of a size; below it, the next larger group's
// estimate is used.
constexpr double kMinSamples = 6.0;
// Part of an endpoint's time that prompts may take.
constexpr double kMinPromptShare = 0.5;
constexpr double kMaxPromptShare = 0.85;

// Step of the running median, which settles within some thirty samples.
constexpr double kTypicalShareStep = 0.04;
// The least share: wrong samples shorten the time between prompts by half at the most.
constexpr double kMinTypicalShare = 0.5;

Duration Rounded(double milliseconds) {
  return Duration(std::llround(milliseconds));
}

}  // namespace

void WorkModel::TypicalShare::Add(double share) {
  const double step = share < value_ ? -kTypicalShareStep : kTypicalShareStep;
  value_ = std::clamp(value_ + step, kMinTypicalShare, 1.0);
}

void WorkModel::ApplyConfiguration(const RouteTablePtr& routes) {
  if (!routes || routes == routes_) {
    return;
  }
  routes_ = routes;
  sizes_.clear();
  for (const auto& [name, service] : routes->Services()) {
    if (!service.engine) {
      continue;
    }
    for (const ModelSpec& model : service.engine->models) {
      sizes_[{name, model.name}] = model.memory_mb;
    }
  }
}

std::vector<WorkModel::Group> WorkModel::GroupsOf(const std::string& service,
                                                  const std::string& model) const {
  std::vector<Group> groups;
  if (!model.empty()) {
    groups.push_back({service, model, 0});
  }
  if (const auto size = sizes_.find({service, model}); size != sizes_.end()) {
    groups.push_back({service, "", size->second});
  }
  groups.push_back({service, "", 0});
  return groups;
}

void WorkModel::RecordStream(const std::string& service,
                             const std::string& model,
                             const StreamSample& sample) {
  RecordAnswer(service, model, sample.tokens_out, sample.hold_time);
  const auto tokens = static_cast<double>(sample.work.unread_tokens);
  const auto requests = static_cast<double>(sample.work.requests);
  if (const Estimates* found = Find(service, model); found != nullptr && !sample.waited_for_slot) {
    const double expected = std::max(1.0, found->first_event.Expect(tokens, requests));
    typical_shares_[service].Add(static_cast<double>(sample.first_event.count()) / expected);
  }
  for (const Group& group : GroupsOf(service, model)) {
    Estimates& estimates = estimates_[group];
    // A wait for a slot is estimated from hold times.
    if (!sample.waited_for_slot) {
      estimates.first_event.Add(tokens, requests, static_cast<double>(sample.first_event.count()));
    }
    estimates.longest_pause.Add(tokens, requests,
                                static_cast<double>(sample.longest_pause.count()));
  }
}

void WorkModel::RecordAnswer(const std::string& service,
                             const std::string& model,
                             std::uint64_t tokens_out,
                             Duration hold_time) {
  for (const Group& group : GroupsOf(service, model)) {
    Answers& answers = estimates_[group].answers;
    answers.samples = answers.samples * (1.0 - kDecay) + 1.0;
    answers.tokens = answers.tokens * (1.0 - kDecay) + static_cast<double>(tokens_out);
    answers.milliseconds =
        answers.milliseconds * (1.0 - kDecay) + static_cast<double>(hold_time.count());
  }
}

const WorkModel::Estimates* WorkModel::Find(const std::string& service,
                                            const std::string& model) const {
  const Estimates* largest = nullptr;
  for (const Group& group : GroupsOf(service, model)) {
    const auto found = estimates_.find(group);
    if (found == estimates_.end() || found->second.first_event.Samples() <= 0.0) {
      continue;
    }
    if (found->second.first_event.Samples() >= kMinSamples) {
      return &found->second;
    }
    largest = &found->second;
  }
  return largest;
}

const WorkModel::Answers* WorkModel::FindAnswers(const std::string& service,
                                                 const std::string& model) const {
  for (const Group& group : GroupsOf(service, model)) {
    const auto found = estimates_.find(group);
    if (found != estimates_.end() && found->second.answers.samples >= kMinSamples) {
      return &found->second.answers;
    }
  }
  return nullptr;
}

StreamForecast WorkModel::Forecast(const std::string& service,
                                   const std::string& model,
                                   const EndpointWork& work) const {
  StreamForecast forecast;
  const Estimates* found = Find(service, model);
  if (found == nullptr) {
    return forecast;
  }
  const auto tokens = static_cast<double>(work.unread_tokens);
  const auto requests = static_cast<double>(work.requests);
  forecast.first_event = Rounded(found->first_event.Expect(tokens, requests));
  forecast.first_event_bound = Rounded(found->first_event.Bound(tokens, requests));
  forecast.longest_pause = Rounded(found->longest_pause.Expect(tokens, requests));
  forecast.longest_pause_bound = Rounded(found->longest_pause.Bound(tokens, requests));
  return forecast;
}

Duration WorkModel::HoldTime(const std::string& service,
                             const std::string& model,
                             std::uint64_t tokens_out) const {
  const Answers* answers = FindAnswers(service, model);
  if (answers == nullptr || answers->tokens <= 0.0) {
    return TypicalHoldTime(service, model);
  }
  return Rounded(answers->milliseconds / answers->tokens * static_cast<double>(tokens_out));
}

Duration WorkModel::TypicalHoldTime(const std::string& service, const std::string& model) const {
  const Answers* answers = FindAnswers(service, model);
  return answers == nullptr ? Duration(0) : Rounded(answers->milliseconds / answers->samples);
}

double WorkModel::TokensPerMillisecond(const std::string& service, const std::string& model) const {
  static const LoadFit prior = LoadFit::ForFirstEvents();
  const Estimates* found = Find(service, model);
  return 1.0 / (found == nullptr ? prior : found->first_event).PerToken();
}

Duration WorkModel::PromptTime(const std::string& service,
                               const std::string& model,
                               std::uint64_t unread_tokens) const {
  // The fitted times are means, raised by the few requests that wait for prompts which other nodes
  // have just sent. Engines were seen to answer in 0.64 to 0.7 of the expected time in the median.
  const auto typical = typical_shares_.find(service);
  const double share = typical == typical_shares_.end() ? 1.0 : typical->second.Value();
  return Rounded(share * static_cast<double>(unread_tokens) / TokensPerMillisecond(service, model));
}

std::optional<Duration> WorkModel::PromptSpacing(const std::string& service,
                                                 const std::string& model,
                                                 std::uint64_t unread_tokens,
                                                 Duration longest_pause) const {
  const auto prompt = static_cast<double>(PromptTime(service, model, unread_tokens).count());
  const auto pause = static_cast<double>(longest_pause.count());
  const auto steps =
      static_cast<double>(Forecast(service, model, EndpointWork{}).longest_pause.count());
  if (pause <= 0.0) {
    return std::nullopt;
  }
  const double fitting = std::max(1.0, std::floor((pause - steps) / std::max(1.0, prompt)));
  const double spacing =
      std::clamp(pause / fitting, prompt / kMaxPromptShare, prompt / kMinPromptShare);
  return Duration(static_cast<Duration::rep>(std::ceil(spacing)));
}

}  // namespace rudderloom
