#include "rudderloom/attempts/retry_policy.hpp"

#include <algorithm>  // for min

#include "rudderloom/base/backoff.hpp"  // for Backoff

namespace rudderloom {

namespace {
// Initial budget for processes with few requests, and the most that a busy process can accumulate.
constexpr double kInitialBudget = 10.0;
constexpr double kMaxBudget = 50.0;
constexpr std::int64_t kMaxBackoffFactor = 16;
}  // namespace

std::string_view NameOf(AttemptFailure failure) {
  switch (failure) {
    case AttemptFailure::kConnect:
      return "connect";
    case AttemptFailure::kNotResident:
      return "not_resident";
    case AttemptFailure::kBusy:
      return "busy";
    case AttemptFailure::kLeaving:
      return "leaving";
    case AttemptFailure::kBrokenBeforeAnswer:
      return "cut_early";
    case AttemptFailure::kBrokenMidAnswer:
      return "cut_midway";
    case AttemptFailure::kTimeout:
      return "timeout";
    case AttemptFailure::kServerError:
      return "server_error";
  }
  return "server_error";
}

bool ProvesNotRun(AttemptFailure failure) {
  return failure == AttemptFailure::kConnect || failure == AttemptFailure::kNotResident ||
         failure == AttemptFailure::kBusy || failure == AttemptFailure::kLeaving;
}

RetryPolicy::RetryPolicy(RetrySettings settings, std::uint64_t seed)
    : settings_(settings), budget_(kInitialBudget), seed_(seed) {}

void RetryPolicy::FirstAttempt() {
  budget_ = std::min(kMaxBudget, budget_ + settings_.budget);
}

std::variant<RetryAfter, GiveUp> RetryPolicy::Decide(AttemptFailure failure,
                                                     const AttemptState& state,
                                                     TimePoint now) {
  const bool may_have_run = state.may_have_run || !ProvesNotRun(failure);
  if (may_have_run && !state.repeatable) {
    return GiveUp{GiveUp::Reason::kNotRepeatable, true};
  }
  // A request that is itself a retry is retried only after failures that prove that it did not run.
  const bool exhausted =
      state.attempts >= settings_.attempts || (state.retried_before && !ProvesNotRun(failure));
  if (exhausted) {
    return GiveUp{GiveUp::Reason::kAttempts, may_have_run};
  }
  Backoff backoff(settings_.backoff, settings_.backoff * kMaxBackoffFactor, ++seed_);
  Duration pause = backoff.Next();
  for (std::int64_t i = 1; i < state.attempts; ++i) {
    pause = backoff.Next();
  }
  if (now + pause >= state.deadline) {
    return GiveUp{GiveUp::Reason::kDeadline, may_have_run};
  }
  if (budget_ < 1.0) {
    return GiveUp{GiveUp::Reason::kBudget, may_have_run};
  }
  budget_ -= 1.0;
  return RetryAfter{pause};
}

}  // namespace rudderloom
