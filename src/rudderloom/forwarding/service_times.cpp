#include "rudderloom/forwarding/service_times.hpp"

#include <algorithm>  // for max
#include <cmath>      // for llround

namespace rudderloom {

namespace {

// Decay per new sample: about fifty samples are effective.
constexpr double kDecay = 0.02;
// Minimum samples for a model's own estimate; below it, the service's estimate is used.
constexpr double kMinSamples = 6.0;
// Prompts of similar length don't allow an estimate of the time per token.
constexpr double kMinTokenSpread = 100.0;  // standard deviation in tokens
// Rate of a fast engine. Used only to weigh prompts against slots, until the rate of the actual
// engines has been measured.
constexpr double kAssumedTokensPerMillisecond = 40.0;

Duration Rounded(double milliseconds) {
  return Duration(std::llround(milliseconds));
}

}  // namespace

void ServiceTimes::Sums::Add(double new_x, double new_y) {
  const double retained = 1.0 - kDecay;
  samples = samples * retained + 1.0;
  x = x * retained + new_x;
  y = y * retained + new_y;
  xx = xx * retained + new_x * new_x;
  xy = xy * retained + new_x * new_y;
}

void ServiceTimes::RecordAnswer(const std::string& service,
                                const std::string& model,
                                std::uint64_t tokens_out,
                                Duration hold_time) {
  const auto tokens = static_cast<double>(tokens_out);
  const auto milliseconds = static_cast<double>(hold_time.count());
  samples_by_model_[{service, ""}].answers.Add(tokens, milliseconds);
  samples_by_model_[{service, model}].answers.Add(tokens, milliseconds);
}

void ServiceTimes::RecordFirstEvent(const std::string& service,
                                    const std::string& model,
                                    std::uint64_t unread_tokens,
                                    Duration first_event_time) {
  const auto tokens = static_cast<double>(unread_tokens);
  const auto milliseconds = static_cast<double>(first_event_time.count());
  samples_by_model_[{service, ""}].prompts.Add(tokens, milliseconds);
  samples_by_model_[{service, model}].prompts.Add(tokens, milliseconds);
}

const ServiceTimes::Sums* ServiceTimes::Find(Sums ModelSamples::*series,
                                             const std::string& service,
                                             const std::string& model) const {
  const auto own = samples_by_model_.find({service, model});
  if (own != samples_by_model_.end() && (own->second.*series).samples >= kMinSamples) {
    return &(own->second.*series);
  }
  const auto service_wide = samples_by_model_.find({service, ""});
  if (service_wide != samples_by_model_.end() &&
      (service_wide->second.*series).samples >= kMinSamples) {
    return &(service_wide->second.*series);
  }
  return nullptr;
}

Duration ServiceTimes::HoldTime(const std::string& service,
                                const std::string& model,
                                std::uint64_t tokens_out) const {
  const Sums* sums = Find(&ModelSamples::answers, service, model);
  if (sums == nullptr || sums->x <= 0.0) {
    return TypicalHoldTime(service, model);
  }
  return Rounded(sums->y / sums->x * static_cast<double>(tokens_out));
}

Duration ServiceTimes::TypicalHoldTime(const std::string& service, const std::string& model) const {
  const Sums* sums = Find(&ModelSamples::answers, service, model);
  return sums == nullptr ? Duration(0) : Rounded(sums->y / sums->samples);
}

// Least-squares fit: the first event takes a fixed time plus a time per processed token.
ServiceTimes::LinearFit ServiceTimes::Fit(const Sums& sums) {
  LinearFit fit;
  const double mean_x = sums.x / sums.samples;
  const double mean_y = sums.y / sums.samples;
  const double variance = sums.xx / sums.samples - mean_x * mean_x;
  if (variance >= kMinTokenSpread * kMinTokenSpread) {
    fit.slope = std::max(0.0, (sums.xy / sums.samples - mean_x * mean_y) / variance);
  }
  fit.intercept = std::max(0.0, mean_y - fit.slope * mean_x);
  return fit;
}

Duration ServiceTimes::FirstEventTime(const std::string& service,
                                      const std::string& model,
                                      std::uint64_t unread_tokens) const {
  const Sums* sums = Find(&ModelSamples::prompts, service, model);
  if (sums == nullptr) {
    return Duration(0);
  }
  const LinearFit fit = Fit(*sums);
  return Rounded(fit.intercept + fit.slope * static_cast<double>(unread_tokens));
}

Duration ServiceTimes::TypicalFirstEventTime(const std::string& service,
                                             const std::string& model) const {
  const Sums* sums = Find(&ModelSamples::prompts, service, model);
  return sums == nullptr ? Duration(0) : Rounded(sums->y / sums->samples);
}

double ServiceTimes::TokensPerMillisecond(const std::string& service,
                                          const std::string& model) const {
  const Sums* sums = Find(&ModelSamples::prompts, service, model);
  const double slope = sums == nullptr ? 0.0 : Fit(*sums).slope;
  return slope > 0.0 ? 1.0 / slope : kAssumedTokensPerMillisecond;
}

}  // namespace rudderloom
