#include "rudderloom/quarantine/crash_watch.hpp"

#include <doctest/doctest.h>  // for TEST_CASE

#include "rudderloom/quarantine/crash_news_log.hpp"  // for CrashNewsLog

namespace rudderloom {
namespace {

RequestDigest Request(const std::string& body) {
  return DigestOf(RequestIdentity{"h", "/p/", "", body});
}

TimePoint At(int milliseconds) {
  return TimePoint(std::chrono::hours(1)) + Duration(milliseconds);
}

TEST_CASE("requests that failed in a crash are reported, whichever is observed first") {
  CrashWatch watch;
  CHECK(watch.RecordFailure("e1", {Request("a")}, At(-40), At(0)));
  CHECK_FALSE(watch.RecordFailure("e1", {Request("b")}, At(-10), At(1)));
  CHECK_FALSE(watch.HasObservations());
  watch.Ended("e1", At(3));
  CHECK_FALSE(watch.RecordFailure("e1", {Request("c")}, At(-900), At(4)));
  const CrashNews news = watch.Take();
  const EndpointKey key = KeyOf("e1");
  CHECK(news.crashes ==
        std::set<RequestCrash>{{Request("a"), key}, {Request("b"), key}, {Request("c"), key}});
  CHECK_FALSE(watch.HasObservations());
}

TEST_CASE("a connection failure without a crash is not reported") {
  CrashWatch watch;
  watch.RecordFailure("e1", {Request("reset")}, At(-1), At(0));
  watch.RecordFailure("e2", {Request("other")}, At(-1), At(0));
  watch.Ended("e2", At(5'000));
  watch.Ended("e3", At(5'000));
  CHECK_FALSE(watch.HasObservations());
  // The next failure is probed again.
  CHECK(watch.RecordFailure("e1", {Request("reset")}, At(4'000), At(5'000)));
  watch.Trim(At(10'000));
  CHECK(watch.RecordFailure("e1", {Request("later")}, At(9'000), At(10'000)));
}

TEST_CASE("requests sent after the crash or answered before are not reported") {
  CrashWatch watch;
  watch.Answered({Request("usual")}, nullptr, At(-50));
  CHECK(watch.RecordFailure("e1", {Request("bad")}, At(-40), At(0)));
  CHECK_FALSE(watch.RecordFailure("e1", {Request("usual")}, At(-30), At(0)));
  CHECK_FALSE(watch.RecordFailure("e1", {Request("late")}, At(2), At(20)));
  watch.Ended("e1", At(30));
  CHECK(watch.Take().crashes == std::set<RequestCrash>{{Request("bad"), KeyOf("e1")}});
  // Evicted after some thousand further answers.
  for (int i = 0; i < 5'000; ++i) {
    watch.Answered({Request(std::to_string(i))}, nullptr, At(40));
  }
  CHECK(watch.RecordFailure("e2", {Request("usual")}, At(90), At(100)));
}

TEST_CASE("an answer clears a suspect or quarantined request") {
  CrashWatch watch;
  const auto list = std::make_shared<const QuarantineList>(
      QuarantineList{{Request("held")}, {Request("suspect")}});
  watch.Answered({Request("usual")}, list, At(0));
  CHECK_FALSE(watch.HasObservations());
  watch.Answered({Request("held")}, list, At(0));
  watch.Answered({Request("suspect")}, list, At(0));
  CHECK(watch.Take().cleared == std::set<RequestDigest>{Request("held"), Request("suspect")});
}

// Guards against blame for the parts of a prompt that the cause shares with sound requests.
TEST_CASE("parts of prompts are reported, except those that were answered lately") {
  const RequestDigest shared = DigestOfPromptPart(1);
  const RequestDigest bad = DigestOfPromptPart(2);
  const EndpointKey key = KeyOf("e1");
  CrashWatch watch;
  watch.Answered({Request("sound"), shared}, nullptr, At(-1'000));
  CHECK(watch.RecordFailure("e1", {Request("a"), shared, bad}, At(-40), At(0)));
  watch.Ended("e1", At(3));
  CHECK(watch.Take().crashes == std::set<RequestCrash>{{Request("a"), key}, {bad, key}});
  // An answer long ago says nothing about what a part does now.
  CHECK(watch.RecordFailure("e2", {Request("b"), shared}, At(19'900), At(20'000)));
  watch.Ended("e2", At(20'001));
  CHECK(watch.Take().crashes.contains({shared, KeyOf("e2")}));
  // A request as a whole does the same again.
  CHECK_FALSE(watch.RecordFailure("e3", {Request("sound")}, At(29'900), At(30'000)));
}

TEST_CASE("a node clears what others blame if it has seen it answered lately") {
  const RequestDigest shared = DigestOfPromptPart(1);
  const RequestDigest bad = DigestOfPromptPart(2);
  CrashWatch watch;
  watch.Answered({Request("sound"), shared}, nullptr, At(0));
  watch.Review(QuarantineList{{shared}, {bad}}, At(5'000));
  CHECK(watch.Take().cleared == std::set<RequestDigest>{shared});
  watch.Review(QuarantineList{{bad}, {shared}}, At(6'000));
  CHECK(watch.Take().cleared == std::set<RequestDigest>{shared});
  watch.Review(QuarantineList{{shared}, {}}, At(30'000));
  CHECK_FALSE(watch.HasObservations());
}

TEST_CASE("observations are reported for some seconds, and count as new only once") {
  CrashNewsLog log;
  const CrashNews first{{{Request("a"), 1}}, {}};
  const CrashNews second{{{Request("a"), 1}, {Request("b"), 2}}, {Request("c")}};
  CHECK(log.Add(first, At(0)));
  CHECK_FALSE(log.Add(first, At(1'000)));
  CHECK(log.Add(second, At(2'000)));
  CHECK(log.Current(At(3'000)) == second);
  CHECK(log.Current(At(5'000)) == CrashNews{{{Request("b"), 2}}, {Request("c")}});
  CHECK(log.Current(At(7'000)).Empty());
}

}  // namespace
}  // namespace rudderloom
