#include "load/outcome.hpp"

#include <algorithm>  // for sort
#include <cstdio>     // for snprintf

namespace rudderloom::load {

namespace json = boost::json;

namespace {

std::int64_t Percentile(std::vector<std::int64_t>& values, double quantile) {
  if (values.empty()) {
    return 0;
  }
  std::sort(values.begin(), values.end());
  const auto index = static_cast<std::size_t>(quantile * static_cast<double>(values.size() - 1));
  return values[index];
}

}  // namespace

struct Report::Summary {
  std::int64_t sent = 0;
  std::int64_t complete = 0;
  std::int64_t within_deadline = 0;
  std::int64_t tokens = 0;
  std::map<std::string, std::int64_t> refused;
  std::map<std::string, std::int64_t> errors;
  std::vector<std::int64_t> first_token_times;
  std::vector<std::int64_t> total_times;
};

void Report::AddRunCounts(const std::map<std::string, std::int64_t>& run_counts) {
  for (const auto& [call, count] : run_counts) {
    run_counts_[call] += count;
  }
}

Report::Summary Report::Summarize(std::size_t class_index) const {
  Summary summary;
  for (const Outcome& outcome : outcomes_) {
    if (outcome.class_index != class_index) {
      continue;
    }
    const TrafficClass& traffic = scenario_.mix[class_index];
    ++summary.sent;
    summary.tokens += outcome.tokens;
    if (outcome.result == RequestResult::kComplete) {
      ++summary.complete;
      summary.first_token_times.push_back(outcome.time_to_first_token.count());
      summary.total_times.push_back(outcome.total_time.count());
      const Duration latency = traffic.stream ? outcome.time_to_first_token : outcome.total_time;
      summary.within_deadline += latency <= traffic.deadline ? 1 : 0;
    } else if (outcome.result == RequestResult::kRefused) {
      ++summary.refused[outcome.reason];
    } else {
      ++summary.errors[outcome.reason];
    }
  }
  return summary;
}

std::int64_t Report::Count(RequestResult result) const {
  return std::count_if(outcomes_.begin(), outcomes_.end(),
                       [&](const Outcome& outcome) { return outcome.result == result; });
}

// Calls that ran although every attempt was refused with `ran: no`.
std::int64_t Report::CountFalseNotRun() const {
  return std::count_if(outcomes_.begin(), outcomes_.end(), [&](const Outcome& outcome) {
    return outcome.result == RequestResult::kRefused && outcome.all_refusals_said_not_run &&
           !outcome.call_id.empty() && run_counts_.contains(outcome.call_id);
  });
}

// Calls that were answered successfully although no stand-in ran them.
std::int64_t Report::CountUnexecutedCalls() const {
  if (scenario_.service_standins.empty()) {
    return 0;
  }
  return std::count_if(outcomes_.begin(), outcomes_.end(), [&](const Outcome& outcome) {
    return outcome.result == RequestResult::kComplete && !outcome.call_id.empty() &&
           !run_counts_.contains(outcome.call_id);
  });
}

bool Report::IsCorrect() const {
  const bool no_duplicates = std::all_of(run_counts_.begin(), run_counts_.end(),
                                         [](const auto& entry) { return entry.second <= 1; });
  return no_duplicates && Count(RequestResult::kTruncated) == 0 &&
         Count(RequestResult::kMismatched) == 0 && CountFalseNotRun() == 0 &&
         CountUnexecutedCalls() == 0;
}

bool Report::AllComplete() const {
  return IsCorrect() &&
         Count(RequestResult::kComplete) == static_cast<std::int64_t>(outcomes_.size());
}

std::string Report::Table() const {
  std::string table =
      "class                   sent  whole  in time  first p50/p95/p99 ms   whole p50/p95 ms"
      "  not whole\n";
  for (std::size_t i = 0; i < scenario_.mix.size(); ++i) {
    Summary summary = Summarize(i);
    std::string failures;
    for (const auto& [reason, count] : summary.refused) {
      failures += " " + reason + "=" + std::to_string(count);
    }
    for (const auto& [reason, count] : summary.errors) {
      failures += " !" + reason + "=" + std::to_string(count);
    }
    char text[200];
    std::snprintf(text, sizeof(text), "%-22s %5lld  %5lld  %7lld  %7lld %6lld %6lld  %8lld %7lld ",
                  scenario_.mix[i].name.c_str(), static_cast<long long>(summary.sent),
                  static_cast<long long>(summary.complete),
                  static_cast<long long>(summary.within_deadline),
                  static_cast<long long>(Percentile(summary.first_token_times, 0.5)),
                  static_cast<long long>(Percentile(summary.first_token_times, 0.95)),
                  static_cast<long long>(Percentile(summary.first_token_times, 0.99)),
                  static_cast<long long>(Percentile(summary.total_times, 0.5)),
                  static_cast<long long>(Percentile(summary.total_times, 0.95)));
    table += text + failures + "\n";
  }
  std::int64_t duplicates = 0;
  for (const auto& [call, count] : run_counts_) {
    duplicates += count > 1 ? 1 : 0;
  }
  table += "mismatched or duplicated answers " + std::to_string(Count(RequestResult::kMismatched)) +
           ", truncated answers reported as success " +
           std::to_string(Count(RequestResult::kTruncated)) + ", calls run more than once " +
           std::to_string(duplicates) + ", false `ran: no` " + std::to_string(CountFalseNotRun()) +
           ", calls answered but never run " + std::to_string(CountUnexecutedCalls()) + "\n";
  return table;
}

std::string Report::Json() const {
  json::array parts;
  for (std::size_t i = 0; i < scenario_.mix.size(); ++i) {
    Summary summary = Summarize(i);
    json::object refused;
    for (const auto& [reason, count] : summary.refused) {
      refused[reason] = count;
    }
    json::object errors;
    for (const auto& [reason, count] : summary.errors) {
      errors[reason] = count;
    }
    parts.push_back(json::object{{"name", scenario_.mix[i].name},
                                 {"sent", summary.sent},
                                 {"whole", summary.complete},
                                 {"in_time", summary.within_deadline},
                                 {"tokens", summary.tokens},
                                 {"refused", refused},
                                 {"errors", errors},
                                 {"first_p50_ms", Percentile(summary.first_token_times, 0.5)},
                                 {"first_p95_ms", Percentile(summary.first_token_times, 0.95)},
                                 {"first_p99_ms", Percentile(summary.first_token_times, 0.99)},
                                 {"total_p50_ms", Percentile(summary.total_times, 0.5)},
                                 {"total_p95_ms", Percentile(summary.total_times, 0.95)}});
  }
  std::int64_t duplicates = 0;
  for (const auto& [call, count] : run_counts_) {
    duplicates += count > 1 ? 1 : 0;
  }
  return json::serialize(json::object{{"parts", parts},
                                      {"foreign", Count(RequestResult::kMismatched)},
                                      {"cut_as_success", Count(RequestResult::kTruncated)},
                                      {"run_twice", duplicates},
                                      {"false_not_run", CountFalseNotRun()},
                                      {"answered_never_run", CountUnexecutedCalls()},
                                      {"sound", IsCorrect()},
                                      {"all_whole", AllComplete()}});
}

}  // namespace rudderloom::load
