#include "forwarding/request_end.hpp"

#include <sstream>  // for ostringstream

#include "rudderloom/base/log_line.hpp"  // for LogLine

namespace rudderloom {

namespace {

void AddModelFields(const RequestEnd& end, LogLine& line) {
  line.With("model", end.terms.model)
      .With("adapter", end.terms.adapter)
      .With("tokens_in", end.terms.tokens_in)
      .With("holding", end.choice.candidate_count)
      .With("load", end.choice.load.requests)
      .With("unread_ahead", end.choice.load.unread_tokens)
      .With("deferred", end.admission == Admission::kDeferred ? "yes" : "no")
      .With("forecast_ms", end.choice.forecast.if_admitted.count())
      .With("forecast_bound_ms", end.choice.forecast.if_admitted_bound.count())
      .With("forecast_pause_ms", end.choice.forecast.longest_pause.count())
      .With("waited_ms", end.waited.count());
}

// All parts but the last, which no other request has.
std::string TextOf(const std::vector<PromptPart>& prompt) {
  std::ostringstream text;
  text << std::hex;
  for (std::size_t i = 0; i + 1 < prompt.size(); ++i) {
    text << (i == 0 ? "" : ",") << prompt[i].id;
  }
  return text.str();
}

}  // namespace

void LogFailedAttempt(const FailedAttempt& failed) {
  LogLine line("attempt_failed");
  if (failed.retry_after) {
    line.With("retry_after_ms", failed.retry_after->count());
  }
  line.With("request_id", failed.request_id)
      .With("request", TextOf(failed.request))
      .With("prompt", TextOf(failed.prompt))
      .With("endpoint", failed.endpoint)
      .With("reason", failed.reason)
      .With("error", failed.error)
      .With("status", failed.status)
      .With("attempt", failed.attempt)
      .With("ms", failed.since_arrival.count());
}

void LogResumedStream(const ResumedStream& resumed) {
  LogLine("stream_resumed")
      .With("request_id", resumed.terms.id)
      .With("began_as", resumed.terms.resumes_stream ? resumed.terms.began_as : resumed.terms.id)
      .With("began_at", resumed.began_at)
      .With("known_by", resumed.known_by)
      .With("endpoint", resumed.endpoint.instance)
      .With("software_version", resumed.endpoint.software_version);
}

void LogRequestEnd(const RequestEnd& end, TimePoint arrived, TimePoint now) {
  LogLine line("request_ended");
  line.With("request_id", end.terms.id)
      .With("outcome", end.outcome)
      .With("status", end.status)
      .With("ms", Between(arrived, now).count());
  if (end.route != nullptr) {
    line.With("route", end.route->name)
        .With("service", end.service)
        .With("goal_ms", end.route->goal.count());
  }
  if (end.spent_before > Duration(0)) {
    line.With("spent_before_ms", end.spent_before.count());
  }
  if (end.retry_delay) {
    line.With("retry_after_ms", end.retry_delay->count());
  }
  if (!end.decided_by.empty()) {
    line.With("decided_by", end.decided_by).With("load_age_ms", end.load_age.count());
  }
  if (!end.customer.empty()) {
    line.With("customer", end.customer);
  }
  if (end.routes) {
    line.With("configuration", end.routes->Version());
  }
  if (!end.endpoint.empty()) {
    line.With("endpoint", end.endpoint).With("attempts", end.attempts);
  }
  if (!end.terms.model.empty()) {
    AddModelFields(end, line);
  }
  if (end.pace.first_at) {
    line.With("first_ms", Between(arrived, *end.pace.first_at).count())
        .With("pause_ms", end.pace.longest_pause.count())
        .With("pause_limit_ms", end.route->longest_pause.count());
  }
}

}  // namespace rudderloom
