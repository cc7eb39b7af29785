#include "rudderloom/forwarding/service_times.hpp"

#include <algorithm>  // for max
#include <cmath>      // for llround

namespace rudderloom {

namespace {

// Share by which old samples fade with each new one: some fifty of them count.
constexpr double kFade = 0.02;
// A model's own samples count from so many on; before, those of its service do.
constexpr double kEnoughSamples = 6.0;
// Prompts whose lengths hardly differ tell nothing of what a token takes.
constexpr double kLeastSpread = 100.0;  // standard deviation in tokens
// A fast engine of today reads about so many tokens in a millisecond; used until the node has
// learned what its own do, and only to weigh prompts against places.
constexpr double kAssumedTokensPerMillisecond = 40.0;

Duration Rounded(double milliseconds) {
  return Duration(std::llround(milliseconds));
}

}  // namespace

void ServiceTimes::Sums::Add(double at_x, double at_y) {
  const double kept = 1.0 - kFade;
  samples = samples * kept + 1.0;
  x = x * kept + at_x;
  y = y * kept + at_y;
  xx = xx * kept + at_x * at_x;
  xy = xy * kept + at_x * at_y;
}

void ServiceTimes::Served(const std::string& service,
                          const std::string& model,
                          std::uint64_t tokens_out,
                          Duration length) {
  const auto tokens = static_cast<double>(tokens_out);
  const auto milliseconds = static_cast<double>(length.count());
  learned_[{service, ""}].answers.Add(tokens, milliseconds);
  learned_[{service, model}].answers.Add(tokens, milliseconds);
}

void ServiceTimes::Began(const std::string& service,
                         const std::string& model,
                         std::uint64_t unread_tokens,
                         Duration first) {
  const auto tokens = static_cast<double>(unread_tokens);
  const auto milliseconds = static_cast<double>(first.count());
  learned_[{service, ""}].prompts.Add(tokens, milliseconds);
  learned_[{service, model}].prompts.Add(tokens, milliseconds);
}

const ServiceTimes::Sums* ServiceTimes::Find(Sums Learned::*which,
                                             const std::string& service,
                                             const std::string& model) const {
  const auto own = learned_.find({service, model});
  if (own != learned_.end() && (own->second.*which).samples >= kEnoughSamples) {
    return &(own->second.*which);
  }
  const auto whole = learned_.find({service, ""});
  if (whole != learned_.end() && (whole->second.*which).samples >= kEnoughSamples) {
    return &(whole->second.*which);
  }
  return nullptr;
}

Duration ServiceTimes::HoldTime(const std::string& service,
                                const std::string& model,
                                std::uint64_t tokens_out) const {
  const Sums* sums = Find(&Learned::answers, service, model);
  if (sums == nullptr || sums->x <= 0.0) {
    return TypicalHoldTime(service, model);
  }
  return Rounded(sums->y / sums->x * static_cast<double>(tokens_out));
}

Duration ServiceTimes::TypicalHoldTime(const std::string& service, const std::string& model) const {
  const Sums* sums = Find(&Learned::answers, service, model);
  return sums == nullptr ? Duration(0) : Rounded(sums->y / sums->samples);
}

// Least squares: the first event takes a fixed time and some for each token that is read.
ServiceTimes::Line ServiceTimes::Fit(const Sums& sums) {
  Line line;
  const double mean_x = sums.x / sums.samples;
  const double mean_y = sums.y / sums.samples;
  const double variance = sums.xx / sums.samples - mean_x * mean_x;
  if (variance >= kLeastSpread * kLeastSpread) {
    line.slope = std::max(0.0, (sums.xy / sums.samples - mean_x * mean_y) / variance);
  }
  line.at_zero = std::max(0.0, mean_y - line.slope * mean_x);
  return line;
}

Duration ServiceTimes::FirstEventTime(const std::string& service,
                                      const std::string& model,
                                      std::uint64_t unread_tokens) const {
  const Sums* sums = Find(&Learned::prompts, service, model);
  if (sums == nullptr) {
    return Duration(0);
  }
  const Line line = Fit(*sums);
  return Rounded(line.at_zero + line.slope * static_cast<double>(unread_tokens));
}

Duration ServiceTimes::TypicalFirstEventTime(const std::string& service,
                                             const std::string& model) const {
  const Sums* sums = Find(&Learned::prompts, service, model);
  return sums == nullptr ? Duration(0) : Rounded(sums->y / sums->samples);
}

double ServiceTimes::TokensPerMillisecond(const std::string& service,
                                          const std::string& model) const {
  const Sums* sums = Find(&Learned::prompts, service, model);
  const double slope = sums == nullptr ? 0.0 : Fit(*sums).slope;
  return slope > 0.0 ? 1.0 / slope : kAssumedTokensPerMillisecond;
}

}  // namespace rudderloom
