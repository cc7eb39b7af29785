#include <doctest/doctest.h>  // for TEST_CASE

#include "fakes/cells.hpp"                       // for ProvedCell
#include "rudderloom/attempts/event_relay.hpp"   // for EventRelay
#include "rudderloom/attempts/retry_policy.hpp"  // for RetryPolicy

namespace rudderloom {

namespace {

std::string Event(int id) {
  return "id: " + std::to_string(id) + "\ndata: token" + std::to_string(id) + "\n\n";
}

std::string Answer(int from, int to) {
  std::string text;
  for (int i = from; i <= to; ++i) {
    text += Event(i);
  }
  return text + "data: [DONE]\n\n";
}

}  // namespace

TEST_CASE("a stream cut at any byte and resumed gives the whole answer once") {
  const std::string whole = Answer(0, 4);
  for (std::size_t cut = 0; cut <= whole.size(); ++cut) {
    EventRelay relay;
    std::string out;
    REQUIRE(relay.Feed(whole.substr(0, cut), out) == EventRelay::Verdict::kOk);
    if (!relay.Done()) {
      relay.NextAttempt();
      const int next = static_cast<int>(relay.LastId()) + 1;
      REQUIRE(relay.Feed(Answer(next, 4), out) == EventRelay::Verdict::kOk);
    }
    CHECK(relay.Done());
    CHECK(out == whole);
  }
  for (const char* step : {"sent", "first byte", "mid-stream"}) {
    fakes::ProvedCell(step, "connection cut during the call", "a stream cut at any byte");
  }
}

TEST_CASE("an endpoint that begins again from the start causes no duplicate events") {
  EventRelay relay;
  std::string out;
  relay.Feed(Event(0) + Event(1), out);
  relay.NextAttempt();
  relay.Feed(Answer(0, 3), out);
  CHECK(out == Answer(0, 3));
  fakes::ProvedCell("mid-stream", "endpoint restarted with empty memory",
                    "an endpoint that begins again");
}

// Guards against an event without end that fills the memory.
TEST_CASE("an event that is too long ends the attempt, and the next one goes on") {
  EventRelay relay;
  std::string out;
  REQUIRE(relay.Feed(Event(0), out) == EventRelay::Verdict::kOk);
  const std::string chunk(16 * 1024, 'x');
  std::size_t fed = 0;
  auto verdict = EventRelay::Verdict::kOk;
  while (verdict == EventRelay::Verdict::kOk && fed < 4 * EventRelay::kMaxEventBytes) {
    verdict = relay.Feed(chunk, out);
    fed += chunk.size();
  }
  CHECK(verdict == EventRelay::Verdict::kTooLong);
  CHECK(fed <= EventRelay::kMaxEventBytes + chunk.size());
  relay.NextAttempt();
  CHECK(relay.Feed(Answer(1, 3), out) == EventRelay::Verdict::kOk);
  CHECK(out == Answer(0, 3));
}

TEST_CASE("a gap in the events is detected and nothing after it is forwarded") {
  EventRelay relay;
  std::string out;
  CHECK(relay.Feed(Event(0) + Event(2), out) == EventRelay::Verdict::kGap);
  CHECK(out == Event(0));
}

// Guards against a stream that ends as complete without an event whose id doesn't rise.
TEST_CASE("an event whose id doesn't follow the one before is never dropped") {
  for (const char* id : {"-1", "0", "2", "3", "5", "71"}) {
    const std::string wrong = std::string("id: ") + id + "\ndata: token4\n\n";
    EventRelay relay;
    std::string out;
    const std::string sound = Event(0) + Event(1) + Event(2) + Event(3);
    const auto verdict = relay.Feed(sound + wrong + "data: [DONE]\n\n", out);
    CAPTURE(id);
    const bool is_whole = out == sound + wrong + "data: [DONE]\n\n";
    CHECK((is_whole || (verdict == EventRelay::Verdict::kGap && out == sound)));
    // A further attempt that brings the event under a wrong id.
    EventRelay resumed;
    out.clear();
    resumed.Feed(sound, out);
    resumed.NextAttempt();
    CHECK(resumed.Feed(wrong + "data: [DONE]\n\n", out) == EventRelay::Verdict::kGap);
    CHECK(out == sound);
  }
}

TEST_CASE("a stream with events without ids is not resumable") {
  EventRelay relay;
  std::string out;
  relay.Feed("data: a\n\n", out);
  CHECK_FALSE(relay.Resumable());
}

TEST_CASE("events after the end of the stream are dropped") {
  EventRelay relay;
  std::string out;
  relay.Feed(Answer(0, 0) + Event(1), out);
  CHECK(out == Answer(0, 0));
}

TEST_CASE("a call that may not be repeated is retried only if it provably did not run") {
  const TimePoint now;
  for (const auto failure :
       {AttemptFailure::kConnect, AttemptFailure::kNotResident, AttemptFailure::kBusy,
        AttemptFailure::kLeaving, AttemptFailure::kBrokenBeforeAnswer,
        AttemptFailure::kBrokenMidAnswer, AttemptFailure::kTimeout, AttemptFailure::kServerError}) {
    RetryPolicy policy(RetrySettings{}, 1);
    AttemptState state;
    state.repeatable = false;
    state.deadline = now + Duration(10'000);
    const auto decided = policy.Decide(failure, state, now);
    CHECK(std::holds_alternative<RetryAfter>(decided) == ProvesNotRun(failure));
    if (const auto* given_up = std::get_if<GiveUp>(&decided)) {
      CHECK(given_up->may_have_run);
    }
  }
  fakes::ProvedCell("sent", "connection cut before the call", "a call that may not be repeated");
  fakes::ProvedCell("sent", "connection cut after the call", "a call that may not be repeated");
}

TEST_CASE("a request that may have run stays marked so after later failures") {
  const TimePoint now;
  RetryPolicy policy(RetrySettings{}, 1);
  AttemptState state;
  state.may_have_run = true;
  state.attempts = 100;
  state.deadline = now + Duration(10'000);
  const auto decided = policy.Decide(AttemptFailure::kConnect, state, now);
  REQUIRE(std::holds_alternative<GiveUp>(decided));
  CHECK(std::get<GiveUp>(decided).may_have_run);
}

TEST_CASE("retries are bounded to a share of the first attempts") {
  RetrySettings settings;
  settings.budget = 0.1;
  settings.attempts = 10;
  RetryPolicy policy(settings, 1);
  const TimePoint now;
  int retries = 0;
  constexpr int kRequests = 1'000;
  for (int i = 0; i < kRequests; ++i) {
    policy.FirstAttempt();
    AttemptState state;
    state.deadline = now + Duration(10'000);
    retries += std::holds_alternative<RetryAfter>(policy.Decide(AttemptFailure::kBusy, state, now));
  }
  CHECK(retries <= kRequests / 10 + 10);
  CHECK(retries >= kRequests / 10);
}

TEST_CASE("no retry past the deadline or of a request that is itself a retry") {
  const TimePoint now;
  RetryPolicy policy(RetrySettings{}, 1);
  AttemptState late;
  late.deadline = now + Duration(1);
  const auto decided = policy.Decide(AttemptFailure::kBusy, late, now);
  REQUIRE(std::holds_alternative<GiveUp>(decided));
  CHECK(std::get<GiveUp>(decided).reason == GiveUp::Reason::kDeadline);
  AttemptState again;
  again.deadline = now + Duration(10'000);
  again.retried_before = true;
  CHECK(std::holds_alternative<GiveUp>(
      policy.Decide(AttemptFailure::kBrokenBeforeAnswer, again, now)));
  CHECK(std::holds_alternative<RetryAfter>(policy.Decide(AttemptFailure::kConnect, again, now)));
}

}  // namespace rudderloom
