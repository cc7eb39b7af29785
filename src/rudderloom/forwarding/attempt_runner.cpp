#include "forwarding/attempt_runner.hpp"

#include <chrono>   // for duration
#include <utility>  // for exchange, move

#include "forwarding/request_end.hpp"      // for LogResumedStream
#include "forwarding/request_samples.hpp"  // for RecordStream, ScopedUnitCount
#include "forwarding/stream_version.hpp"   // for RecordStreamStart

namespace rudderloom {

namespace {

constexpr double kAnswerTimeoutGoals = 2.5;
constexpr int kEventTimeoutPauses = 4;

}  // namespace

Awaitable<AttemptResult> AttemptRunner::Run(const EndpointRecord& endpoint) {
  const TimePoint started = Now();
  EndpointLoad added_load = AddedLoad();
  AttemptParams params = MakeParams(endpoint, started);
  AddCallbacks(endpoint, added_load, params);
  state_.balancer.RequestStarted(endpoint.instance, request_.terms, added_load, started);
  RecordStart(endpoint, started, params);
  instance_ = endpoint.instance;
  connecting_ = true;
  AttemptResult result;
  {
    const ScopedUnitCount running(state_.units, request_.Units(), &UnitCount::running);
    result = co_await RunAttempt(state_, exchange_, *request_.guard, std::move(params));
  }
  const Started attempt{endpoint, added_load, started};
  RecordEnd(attempt, result);
  request_.guard->SetCancel({});
  request_.guard->SetResponseDeadline(std::nullopt);
  co_return result;
}

// What the request adds to the load of its endpoint.
EndpointLoad AttemptRunner::AddedLoad() {
  EndpointLoad added_load = request_.choice.added_load;
  if (request_.admission == Admission::kDeferred) {
    // Its prompt is processed once a slot is free, after the prompts of the other requests.
    added_load.deferred = added_load.requests;
    added_load.unread_tokens = 0;
    state_.metrics.Count({"rudderloom_deferred_total"});
  }
  return added_load;
}

AttemptParams AttemptRunner::MakeParams(const EndpointRecord& endpoint, TimePoint started) const {
  const Route& route = *request_.route;
  AttemptParams params;
  params.endpoint = endpoint;
  params.terms = &request_.terms;
  params.route = request_.route;
  params.deadline_at = request_.deadline_at;
  params.caller = request_.checks.EndpointCaller();
  params.urgency =
      UrgencyOf(request_.admission, route, request_.checks.Priority(), request_.choice.forecast,
                request_.choice.hold_time, request_.SpentAt(started));
  params.answer_timeout = AnswerTimeout();
  params.event_timeout = route.longest_pause * kEventTimeoutPauses;
  params.stream = &request_.stream;
  if (request_.slot) {
    params.send_by = request_.slot->SendBy();
  }
  return params;
}

// `endpoint` and `added_load` must outlive the attempt.
void AttemptRunner::AddCallbacks(const EndpointRecord& endpoint,
                                 EndpointLoad& added_load,
                                 AttemptParams& params) {
  params.on_answer_started = [this, &endpoint, &added_load] {
    state_.balancer.AnswerStarted(endpoint.instance, added_load);
    if (request_.slot) {
      request_.slot->Accepted();
    }
  };
  params.on_connecting = [this] { connecting_ = true; };
  params.on_sent = [this] {
    connecting_ = false;
    if (request_.slot) {
      request_.slot->Sent();
    }
  };
}

// Only repeatable requests are withdrawn from a silent endpoint.
std::optional<Duration> AttemptRunner::AnswerTimeout() const {
  const Route& route = *request_.route;
  if (!route.Repeatable() || request_.attempts + 1 >= route.max_attempts) {
    return std::nullopt;
  }
  return std::chrono::duration_cast<Duration>(route.goal * kAnswerTimeoutGoals);
}

void AttemptRunner::RecordStart(const EndpointRecord& endpoint,
                                TimePoint started,
                                AttemptParams& params) {
  if (request_.GoesOn()) {
    if (state_.log_quota.Allows(started)) {
      LogResumedStream({request_.terms, endpoint, request_.stream.software_version,
                        request_.stream.version_known_by});
    }
  } else if (request_.route->kind == RouteKind::kStream) {
    const StreamStart start{request_.terms.id, endpoint.software_version,
                            request_.stream.times_told++};
    const std::string told = request_.stream.told_version;
    request_.stream.told_version = endpoint.software_version;
    RecordStreamStart(state_, request_.service, start);
    const bool replaces_told = !told.empty() && told != endpoint.software_version;
    if (request_.route->Repeatable() &&
        (replaces_told || NeedsConfirmation(state_, request_.service, endpoint.software_version))) {
      AwaitConfirmation(start, params);
    }
  }
}

// The first event is sent to the client only once the lease holder knows at which version the
// stream begins.
void AttemptRunner::AwaitConfirmation(const StreamStart& start, AttemptParams& params) {
  auto confirmation = std::make_shared<StartConfirmation>(state_, request_.service, start);
  confirmation->Ask();
  params.may_begin = [confirmation, guard = request_.guard] { return confirmation->Await(*guard); };
}

void AttemptRunner::RecordEnd(const Started& attempt, const AttemptResult& result) {
  const std::string& instance = attempt.endpoint.instance;
  state_.balancer.RequestEnded(instance, attempt.added_load, result.feedback, Now());
  if (request_.slot && result.feedback == EndpointFeedback::kShed) {
    request_.slot->Rejected();
  }
  request_.slot.reset();
  EndSendAlone(result);
  if (result.not_resident) {
    state_.balancer.MarkNotResident(instance, request_.terms, Now());
  }
  if (result.outcome == AttemptOutcome::kAnswered && request_.attempts == 0) {
    RecordServiceTime(attempt);
  }
  state_.metrics.Observe({"rudderloom_attempt_seconds", "service", request_.service},
                         std::chrono::duration<double>(Now() - attempt.at).count());
}

// Samples of an answer by the first endpoint that the request was sent to.
void AttemptRunner::RecordServiceTime(const Started& attempt) {
  const std::uint32_t slots = attempt.endpoint.slots;
  const EndpointChoice& choice = request_.choice;
  WorkModel& work = state_.balancer.Work();
  if (request_.terms.model.empty() && choice.load.requests < slots) {
    constexpr std::uint64_t kOneAnswer = 1;
    work.RecordAnswer(request_.service, "", kOneAnswer, Between(attempt.at, Now()));
  }
  RecordStream({request_.service, request_.terms, choice, request_.stream.pace, slots, attempt.at},
               work);
}

void AttemptRunner::EndSendAlone(const AttemptResult& result) {
  if (!std::exchange(request_.sends_alone, false)) {
    return;
  }
  if (result.feedback == EndpointFeedback::kShed) {
    state_.solo_sends.Rejected(request_.service, Now());
  } else {
    state_.solo_sends.Ended(request_.service);
  }
}

}  // namespace rudderloom
