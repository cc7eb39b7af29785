/// @file
/// Result of one request of the load tool, and the report over all of them.
#ifndef RUDDERLOOM_LOAD_OUTCOME_HPP
#define RUDDERLOOM_LOAD_OUTCOME_HPP

#include <cstdint>  // for int64_t
#include <map>      // for map
#include <string>   // for string
#include <vector>   // for vector

#include "load/scenario.hpp"  // for Part

namespace rudderloom::load {

/// @brief How a request ended, after checking the answer against the request.
enum class RequestResult {
  kComplete,       // the complete, correct answer
  kRefused,        // a problem document that states the reason
  kReportedError,  // a dropped connection, an error status or event: the caller can tell that it
                   // failed
  kTruncated,      // reported as a success, but tokens are missing
  kMismatched,     // contains content of another request, or a token twice
  kNotConnected,   // no entry node accepted the connection
};

/// @brief Result and timings of one request over all of its attempts.
struct Outcome {
  std::size_t class_index = 0;  // into Scenario::mix
  RequestResult result = RequestResult::kNotConnected;
  std::string reason;   // of the refusal or error
  std::string ran;      // the `ran` field of the last refusal
  std::string call_id;  // for requests to services
  std::int64_t attempt_count = 1;
  bool all_refusals_said_not_run = true;  // every attempt was refused with `ran: no`
  bool retry_after_missing = false;
  Duration time_to_first_token{0};
  Duration total_time{0};
  std::int64_t tokens = 0;
};

/// @brief Aggregates outcomes and formats them as a table and as JSON.
class Report {
 public:
  explicit Report(const Scenario& scenario) : scenario_(scenario) {}

  void Add(const Outcome& outcome) { outcomes_.push_back(outcome); }
  /// @brief Adds the run counts by call id that a service stand-in reported.
  void AddRunCounts(const std::map<std::string, std::int64_t>& run_counts);

  std::string Table() const;
  std::string Json() const;
  /// @brief True when no answer was truncated or mismatched, no call ran twice, no refused call ran
  /// despite `ran: no` and every answered call ran.
  bool IsCorrect() const;
  /// @brief True when IsCorrect() and every request got its complete answer.
  bool AllComplete() const;
  std::size_t Size() const { return outcomes_.size(); }

 private:
  struct Summary;
  Summary Summarize(std::size_t class_index) const;
  std::int64_t CountFalseNotRun() const;
  std::int64_t CountUnexecutedCalls() const;
  std::int64_t Count(RequestResult result) const;

  const Scenario& scenario_;
  std::vector<Outcome> outcomes_;
  std::map<std::string, std::int64_t> run_counts_;
};

}  // namespace rudderloom::load

#endif
