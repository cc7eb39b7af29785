#include "rudderloom/admission/admission_queue.hpp"

#include <doctest/doctest.h>  // for TEST_CASE

#include "fakes/cells.hpp"  // for ProvedCell

namespace rudderloom {

namespace {

const TimePoint kStart{};

QueuedRequest MakeApplicant(Ticket ticket, std::int64_t priority, const std::string& caller) {
  QueuedRequest applicant;
  applicant.ticket = ticket;
  applicant.target = "m";
  applicant.caller = caller;
  applicant.priority = priority;
  applicant.deadline = kStart + Duration(10'000);
  return applicant;
}

bool AcceptAny(const QueuedRequest&) {
  return true;
}

}  // namespace

TEST_CASE("urgent requests are served first, equal ones in arrival order") {
  AdmissionQueue queue(10);
  queue.Enqueue(MakeApplicant(1, 5, "a"), 1, kStart);
  queue.Enqueue(MakeApplicant(2, 0, "a"), 1, kStart);
  queue.Enqueue(MakeApplicant(3, 5, "a"), 1, kStart);
  CHECK(queue.Next(AcceptAny)->ticket == 2);
  CHECK(queue.Next(AcceptAny)->ticket == 1);
  CHECK(queue.Next(AcceptAny)->ticket == 3);
  CHECK_FALSE(queue.Next(AcceptAny));
}

TEST_CASE("a burst from one caller does not starve another") {
  AdmissionQueue queue(1'000);
  Ticket ticket = 0;
  for (int i = 0; i < 100; ++i) {
    queue.Enqueue(MakeApplicant(++ticket, 5, "a storm"), 1, kStart);
  }
  for (int i = 0; i < 5; ++i) {
    queue.Enqueue(MakeApplicant(++ticket, 5, "quiet"), 1, kStart);
  }
  int quiet = 0;
  for (int i = 0; i < 10; ++i) {
    quiet += queue.Next(AcceptAny)->caller == "quiet" ? 1 : 0;
  }
  CHECK(quiet == 5);
}

TEST_CASE("a request that can't start keeps its position and does not block others") {
  AdmissionQueue queue(10);
  queue.Enqueue(MakeApplicant(1, 5, "a"), 1, kStart);
  queue.Enqueue(MakeApplicant(2, 5, "a"), 1, kStart);
  const auto second = [](const QueuedRequest& applicant) { return applicant.ticket == 2; };
  CHECK(queue.Next(second)->ticket == 2);
  CHECK(queue.Next(AcceptAny)->ticket == 1);
}

TEST_CASE("a request that can't meet its deadline is refused at once with a retry delay") {
  AdmissionQueue queue(1'000);
  queue.RecordServiceTime("m", Duration(1'000));
  Ticket ticket = 0;
  std::optional<AdmissionRefusal> refused;
  while (!refused) {
    refused = queue.Enqueue(MakeApplicant(++ticket, 5, "a"), 2, kStart);
  }
  CHECK(refused->reason == AdmissionRefusal::Reason::kDeadlineUnreachable);
  CHECK(ticket == 21);  // 10 s deadline, two slots, 1 s per request
  CHECK(refused->retry_delay >= Duration(10'000));
  // A more urgent request is served before all of them.
  CHECK_FALSE(queue.Enqueue(MakeApplicant(++ticket, 0, "a"), 2, kStart));
}

TEST_CASE("a full queue refuses, and expired requests leave it") {
  AdmissionQueue queue(2);
  CHECK_FALSE(queue.Enqueue(MakeApplicant(1, 5, "a"), 1, kStart));
  CHECK_FALSE(queue.Enqueue(MakeApplicant(2, 5, "a"), 1, kStart));
  const auto refused = queue.Enqueue(MakeApplicant(3, 5, "a"), 1, kStart);
  REQUIRE(refused);
  CHECK(refused->reason == AdmissionRefusal::Reason::kQueueFull);
  CHECK(queue.Expire(kStart + Duration(9'999)).empty());
  CHECK(queue.Expire(kStart + Duration(10'000)).size() == 2);
  CHECK(queue.Size() == 0);
  CHECK(queue.Waiting("m") == 0);
}

TEST_CASE("overload at three times the capacity: goodput stays near the capacity") {
  // Ten slots, 100 ms per request, 300 requests per second, deadlines of 500 ms, over 20 s.
  AdmissionQueue queue(1'000);
  queue.RecordServiceTime("m", Duration(100));
  std::vector<TimePoint> ends;
  int in_time = 0;
  Ticket ticket = 0;
  constexpr int kMs = 20'000;
  for (int ms = 0; ms < kMs; ++ms) {
    const TimePoint now = kStart + Duration(ms);
    std::erase_if(ends, [&](TimePoint end) { return end <= now; });
    if (ms % 10 < 3) {
      ++ticket;
      QueuedRequest applicant = MakeApplicant(ticket, 5, "caller" + std::to_string(ticket % 7));
      applicant.deadline = now + Duration(500);
      queue.Enqueue(applicant, 10, now);
    }
    queue.Expire(now);
    while (ends.size() < 10) {
      const auto next = queue.Next(AcceptAny);
      if (!next) {
        break;
      }
      CHECK(now < next->deadline);
      ends.push_back(now + Duration(100));
      ++in_time;
    }
  }
  CHECK(in_time >= 1'900);  // of 2,000 that the slots can serve
}

// Guards against requests that wait for a slot that a stopping node can't give them in time.
TEST_CASE("with a common deadline, requests that can't be served by then leave the queue at once") {
  AdmissionQueue queue(10);
  queue.RecordServiceTime("m", Duration(1'000));
  queue.Enqueue(MakeApplicant(1, 5, "a"), 1, kStart);
  queue.Enqueue(MakeApplicant(2, 5, "a"), 1, kStart);
  queue.Enqueue(MakeApplicant(3, 0, "a"), 1, kStart);
  queue.Enqueue(MakeApplicant(4, 5, "b"), 1, kStart);
  const auto one_slot = [](const QueuedRequest&) { return 1U; };
  const auto removed = queue.LimitDeadlines(kStart + Duration(3'000), one_slot, kStart);
  REQUIRE(removed.size() == 1);
  CHECK(removed[0].ticket == 2);
  CHECK(queue.Size() == 3);
  CHECK(queue.Expire(kStart + Duration(2'999)).empty());
  CHECK(queue.Expire(kStart + Duration(3'000)).size() == 3);
}

TEST_CASE("a common deadline does not remove requests whose wait can't be estimated") {
  AdmissionQueue queue(10);
  queue.RecordServiceTime("m", Duration(1'000));
  queue.Enqueue(MakeApplicant(1, 5, "a"), 0, kStart);
  const auto no_slots = [](const QueuedRequest&) { return 0U; };
  CHECK(queue.LimitDeadlines(kStart + Duration(100), no_slots, kStart).empty());
  CHECK(queue.Expire(kStart + Duration(100)).size() == 1);
}

}  // namespace rudderloom
