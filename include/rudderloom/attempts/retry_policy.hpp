/// @file
/// Decides whether a failed attempt is retried.
#ifndef RUDDERLOOM_ATTEMPTS_RETRY_POLICY_HPP
#define RUDDERLOOM_ATTEMPTS_RETRY_POLICY_HPP

#include <cstdint>      // for int64_t
#include <string_view>  // for string_view
#include <variant>      // for variant

#include "rudderloom/base/clock.hpp"         // for TimePoint
#include "rudderloom/settings/settings.hpp"  // for RetrySettings

namespace rudderloom {

/// @brief How one attempt on an endpoint failed.
/// @ingroup attempts
enum class AttemptFailure {
  kConnect,             ///< The connection failed; nothing was sent.
  kNotResident,         ///< The endpoint reported that it does not hold the model or adapter.
  kBusy,                ///< The endpoint reported that it is full.
  kLeaving,             ///< The endpoint is draining and accepts no new requests.
  kBrokenBeforeAnswer,  ///< The connection broke after the request was sent, before any part of the
                        ///< answer.
  kBrokenMidAnswer,     ///< The connection broke within the answer.
  kTimeout,             ///< No answer in time.
  kServerError,         ///< A 5xx status that doesn't tell whether the request ran.
};

/// @brief Returns the name of a failure for metrics and logs.
/// @ingroup attempts
std::string_view NameOf(AttemptFailure failure);

/// @brief True if the failure proves that the request did not run.
/// @ingroup attempts
bool ProvesNotRun(AttemptFailure failure);

/// @brief State of a request after a failed attempt.
/// @ingroup attempts
struct AttemptState {
  std::int64_t attempts = 1;    ///< Attempts made so far.
  bool repeatable = true;       ///< The request may safely run more than once.
  bool may_have_run = false;    ///< An earlier attempt may have run the request.
  bool retried_before = false;  ///< The caller marked the request as a retry.
  TimePoint deadline;
};

/// @brief Decision to retry after a pause.
/// @ingroup attempts
struct RetryAfter {
  Duration pause{0};
};

/// @brief Decision to stop retrying and fail the request.
/// @ingroup attempts
struct GiveUp {
  enum class Reason { kNotRepeatable, kAttempts, kBudget, kDeadline };
  Reason reason = Reason::kAttempts;
  bool may_have_run = false;
};

/// @brief Bounds the retries of one process to a share of its first attempts.
/// @ingroup attempts
class RetryPolicy {
 public:
  RetryPolicy(RetrySettings settings, std::uint64_t seed);

  /// @brief Counts a first attempt, which adds a fraction of a retry to the budget.
  void FirstAttempt();

  /// @brief Decides whether to retry a failed attempt. A retry is taken from the budget at once.
  std::variant<RetryAfter, GiveUp> Decide(AttemptFailure failure,
                                          const AttemptState& state,
                                          TimePoint now);

  /// @brief Number of retries that the budget allows now.
  double Budget() const { return budget_; }

 private:
  RetrySettings settings_;
  double budget_;
  std::uint64_t seed_;
};

}  // namespace rudderloom

#endif
