/// @file
/// Whether a failed attempt is followed by another, as a pure decision.
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
  kConnect,      ///< No connection: no byte left.
  kNotResident,  ///< The endpoint said that it does not hold the unit.
  kBusy,         ///< The endpoint said that it is full.
  kLeaving,      ///< The endpoint said that it takes no new work.
  kCutEarly,     ///< The connection broke after the request was sent, before any of the answer.
  kCutMidway,    ///< It broke within the answer.
  kTimeout,      ///< No answer in time.
  kServerError,  ///< A 5xx that says nothing of whether it ran.
};

/// @brief Name of a failure, as counters and logs show it.
/// @ingroup attempts
std::string_view NameOf(AttemptFailure failure);

/// @brief True when the failure proves that the request did not run.
/// @ingroup attempts
bool ProvesNotRun(AttemptFailure failure);

/// @brief What is known of a request when one of its attempts failed.
/// @ingroup attempts
struct AttemptState {
  std::int64_t attempts = 1;    ///< Made so far.
  bool repeatable = true;       ///< Running it twice does no harm.
  bool may_have_run = false;    ///< Some earlier attempt may have.
  bool retried_before = false;  ///< The caller says that it is itself a retry.
  TimePoint deadline;
};

/// @brief Try again after a pause.
/// @ingroup attempts
struct RetryAfter {
  Duration pause{0};
};

/// @brief Give up, and say so at once.
/// @ingroup attempts
struct GiveUp {
  enum class Reason { kNotRepeatable, kAttempts, kBudget, kDeadline };
  Reason reason = Reason::kAttempts;
  bool may_have_run = false;
};

/// @brief Retries of one process, as a share of its first attempts.
/// @ingroup attempts
class RetryPolicy {
 public:
  RetryPolicy(RetrySettings settings, std::uint64_t seed);

  /// @brief Counts a first attempt, which earns a share of a retry.
  void FirstAttempt();

  /// @brief Decides about one failed attempt; a retry is paid for at once.
  std::variant<RetryAfter, GiveUp> Decide(AttemptFailure failure,
                                          const AttemptState& state,
                                          TimePoint now);

  /// @brief Retries that are paid for now.
  double Budget() const { return budget_; }

 private:
  RetrySettings settings_;
  double budget_;
  std::uint64_t seed_;
};

}  // namespace rudderloom

#endif
