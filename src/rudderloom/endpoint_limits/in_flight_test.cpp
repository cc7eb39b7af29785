// Grants by the work in flight at an endpoint.
#include "rudderloom/endpoint_limits/in_flight.hpp"

#include <doctest/doctest.h>  // for TEST_CASE

#include <algorithm>  // for max
#include <map>        // for multimap
#include <vector>     // for vector

#include "rudderloom/endpoint_limits/permit_book.hpp"  // for PermitBook

namespace rudderloom {
namespace {

constexpr EndpointKey kEndpoint = 7;
constexpr Duration kHold{5'000};
constexpr InFlightTerms kSlot{1, 18, kHold, InFlightUntil::kEnded};

TimePoint At(int milliseconds) {
  return TimePoint(std::chrono::hours(1)) + Duration(milliseconds);
}

InFlightTerms Prompt(std::uint32_t cost, std::uint32_t limit) {
  return {cost, limit, kHold, InFlightUntil::kAnswerBegins};
}

// Has a book grant up to the full limit from time 0 on.
void EndStart(PermitBook& book) {
  const TimePoint first = At(0) - kInFlightStartTime;
  const PermitAnswer answer = book.AskInFlight(kEndpoint, kSlot, first);
  book.Report({kEndpoint, answer.grant, SlotOutcome::kUnsent}, first);
}

// The granting node of one endpoint.
class Granter {
 public:
  Granter() { EndStart(book_); }

  PermitAnswer Ask(const InFlightTerms& terms, int now) {
    return book_.AskInFlight(kEndpoint, terms, At(now));
  }
  bool Grants(const InFlightTerms& terms, int now) {
    return Ask(terms, now).verdict == PermitVerdict::kGranted;
  }
  void Report(GrantId grant, SlotOutcome outcome, int now) {
    book_.Report({kEndpoint, grant, outcome}, At(now));
  }
  // Returns the grants of as many requests as are granted.
  std::vector<GrantId> Fill(const InFlightTerms& terms, int now) {
    std::vector<GrantId> grants;
    PermitAnswer answer = Ask(terms, now);
    while (answer.verdict == PermitVerdict::kGranted) {
      grants.push_back(answer.grant);
      answer = Ask(terms, now);
    }
    return grants;
  }

 private:
  PermitBook book_;
};

// Requests of many nodes for one endpoint. Each asks again at the time that it is told.
class Crowd {
 public:
  explicit Crowd(int service_ms) : service_ms_(service_ms) {}

  void Arrive(int at) { events_.emplace(at, Event{Kind::kAsk, 0, at}); }

  void Play(const InFlightTerms& terms) {
    while (!events_.empty()) {
      const auto [now, event] = *events_.begin();
      events_.erase(events_.begin());
      if (event.kind == Kind::kEnd) {
        granter_.Report(event.grant, SlotOutcome::kEnded, now);
        --running_;
        continue;
      }
      ++asks_;
      const PermitAnswer answer = granter_.Ask(terms, now);
      if (answer.verdict == PermitVerdict::kGranted) {
        most_running_ = std::max(most_running_, ++running_);
        longest_wait_ = std::max(longest_wait_, now - event.arrived);
        events_.emplace(now + service_ms_, Event{Kind::kEnd, answer.grant, event.arrived});
        ++served_;
      } else {
        const int again = now + static_cast<int>(answer.wait.count());
        events_.emplace(again, Event{Kind::kAsk, 0, event.arrived});
      }
    }
  }

  int MostRunning() const { return most_running_; }
  int Served() const { return served_; }
  int Asks() const { return asks_; }
  int LongestWait() const { return longest_wait_; }

 private:
  enum class Kind { kEnd, kAsk };
  struct Event {
    Kind kind;
    GrantId grant;
    int arrived;
  };

  int service_ms_;
  Granter granter_;
  std::multimap<int, Event> events_;
  int running_ = 0;
  int most_running_ = 0;
  int served_ = 0;
  int asks_ = 0;
  int longest_wait_ = 0;
};

// Guards against a total that grows with the number of nodes.
TEST_CASE("60 nodes that all ask at once for 18 slots get 18") {
  Granter granter;
  int granted = 0;
  for (int node = 0; node < 60; ++node) {
    granted += granter.Grants(kSlot, 0) ? 1 : 0;
  }
  CHECK(granted == 18);
}

// Guards against refused requests that all come back at once, most of them in vain, and against
// more asks than a granting node with an eighth of a core can answer.
TEST_CASE("60 nodes that all ask at once are served in turn with few asks") {
  constexpr int kServiceMs = 100;
  for (const int per_node : {1, 5}) {
    CAPTURE(per_node);
    Crowd crowd(kServiceMs);
    for (int i = 0; i < 60 * per_node; ++i) {
      crowd.Arrive(0);
    }
    crowd.Play(kSlot);
    CHECK(crowd.Served() == 60 * per_node);
    CHECK(crowd.MostRunning() == 18);
    // An ask and, for those refused, one more when it is their turn; a few ask too early.
    CHECK(crowd.Asks() <= 3 * 60 * per_node);
    // Served without any pause it takes one service time for each 18 requests.
    CHECK(crowd.LongestWait() <= 2 * kServiceMs * (60 * per_node / 18 + 1));
  }
}

// Guards against an endpoint that idles while requests wait, at 2.3 times its load.
TEST_CASE("at 2.3 times the load the endpoint is kept busy, and no more than its slots run") {
  constexpr int kServiceMs = 100;
  Crowd crowd(kServiceMs);
  constexpr int kArrivals = 828;  // 414 a second for 2 s; 180 a second can be served
  for (int i = 0; i < kArrivals; ++i) {
    crowd.Arrive(i * 2'000 / kArrivals);
  }
  crowd.Play(kSlot);
  CHECK(crowd.Served() == kArrivals);
  CHECK(crowd.MostRunning() == 18);
  CHECK(crowd.LongestWait() <= 2 * (kArrivals * kServiceMs / 18 - 2'000));
}

// Guards against urgent prompts that wait behind less urgent ones.
TEST_CASE("less urgent prompts pass a lower limit and leave room for urgent ones") {
  Granter granter;
  CHECK(granter.Fill(Prompt(100, 400), 0).size() == 4);
  CHECK(!granter.Grants(Prompt(50, 400), 0));
  CHECK(granter.Fill(Prompt(100, 1'000), 0).size() == 6);
  // Less urgent ones pass again only when there is less work than their limit.
  CHECK(!granter.Grants(Prompt(50, 400), 50));
}

TEST_CASE("the oldest prompt's cost decreases with time, down to zero") {
  Granter granter;
  const GrantId oldest = granter.Ask(Prompt(100, 300), 0).grant;
  CHECK(granter.Grants(Prompt(100, 300), 0));
  CHECK(granter.Grants(Prompt(100, 300), 0));
  const PermitAnswer refused = granter.Ask(Prompt(60, 300), 0);
  CHECK(refused.verdict == PermitVerdict::kRefused);
  CHECK(refused.wait == Duration(60));
  // Its turn is after the first one's.
  CHECK(granter.Ask(Prompt(60, 300), 0).wait == Duration(120));
  CHECK(!granter.Grants(Prompt(60, 300), 59));
  CHECK(granter.Grants(Prompt(60, 300), 60));
  // Progress stops at the oldest, until its answer begins.
  CHECK(!granter.Grants(Prompt(60, 300), 2'000));
  granter.Report(oldest, SlotOutcome::kAccepted, 2'000);
  CHECK(!granter.Grants(Prompt(60, 300), 2'000));
  CHECK(granter.Grants(Prompt(40, 300), 2'000));
}

TEST_CASE("a prompt counts until its answer begins, a slot until its request has ended") {
  Granter granter;
  const auto prompts = granter.Fill(Prompt(100, 300), 0);
  granter.Report(prompts[2], SlotOutcome::kAccepted, 0);
  CHECK(granter.Grants(Prompt(100, 300), 0));

  Granter slots;
  const auto grants = slots.Fill(kSlot, 0);
  slots.Report(grants[0], SlotOutcome::kAccepted, 10);
  CHECK(!slots.Grants(kSlot, 10));
  slots.Report(grants[0], SlotOutcome::kEnded, 20);
  CHECK(slots.Grants(kSlot, 20));
  slots.Report(grants[1], SlotOutcome::kUnsent, 20);
  CHECK(slots.Grants(kSlot, 20));
  // It may still run at the endpoint.
  slots.Report(grants[2], SlotOutcome::kUnknown, 20);
  CHECK(!slots.Grants(kSlot, 20));
}

// Guards against requests larger than the limit that are never granted.
TEST_CASE("a request that exceeds its limit alone is granted when nothing else is in flight") {
  Granter granter;
  const PermitAnswer first = granter.Ask(Prompt(5'000, 300), 0);
  CHECK(first.verdict == PermitVerdict::kGranted);
  const PermitAnswer second = granter.Ask(Prompt(5'000, 300), 1'000);
  CHECK(second.verdict == PermitVerdict::kRefused);
  CHECK(second.wait == Duration(4'000));
  CHECK(!granter.Grants(Prompt(1, 300), 1'000));
  granter.Report(first.grant, SlotOutcome::kAccepted, 1'500);
  CHECK(granter.Grants(Prompt(5'000, 300), 1'500));
}

// Guards against capacity that is lost with the reports of a node that was killed.
TEST_CASE("without a report a request counts for its maximum hold time") {
  Granter granter;
  CHECK(granter.Fill(kSlot, 0).size() == 18);
  CHECK(!granter.Grants(kSlot, 4'999));
  CHECK(granter.Fill(kSlot, 5'000).size() == 18);

  Granter prompts;
  CHECK(prompts.Fill(Prompt(100, 300), 0).size() == 3);
  CHECK(prompts.Fill(Prompt(100, 300), 5'000).size() == 3);
}

TEST_CASE("a rejection lowers what is granted for a while, and less and less so") {
  Granter granter;
  constexpr InFlightTerms kLongSlot{1, 18, Duration(60'000), InFlightUntil::kEnded};
  const auto grants = granter.Fill(kLongSlot, 0);
  for (int i = 17; i >= 12; --i) {
    granter.Report(grants[static_cast<std::size_t>(i)], SlotOutcome::kRejected, 10);
  }
  CHECK(!granter.Grants(kLongSlot, 10));
  // 6 x (t / 30 s)^2 more.
  CHECK(granter.Fill(kLongSlot, 10 + 12'000).empty());
  CHECK(granter.Fill(kLongSlot, 10 + 12'500).size() == 1);
  CHECK(granter.Fill(kLongSlot, 10 + 22'000).size() == 2);
  CHECK(granter.Fill(kLongSlot, 10 + 30'000).size() == 3);
}

// Guards against an endpoint that is hardly used for many seconds after a rejection that had
// another cause than its load.
TEST_CASE("a single rejection lowers what is granted to half at most") {
  Granter granter;
  granter.Report(granter.Ask(kSlot, 0).grant, SlotOutcome::kRejected, 5);
  CHECK(granter.Fill(kSlot, 5).size() == 9);
}

// Guards against many rejections by an endpoint that always has room for less than the limit.
TEST_CASE("an endpoint with room for 8 that is granted 18 rejects few requests") {
  constexpr std::size_t kRoom = 8;
  constexpr int kServiceMs = 100;
  constexpr int kPlayMs = 60'000;
  Granter granter;
  std::multimap<int, GrantId> ends;
  int rejected = 0;
  int served = 0;
  for (int now = 0; now < kPlayMs; now += 10) {
    while (!ends.empty() && ends.begin()->first <= now) {
      granter.Report(ends.begin()->second, SlotOutcome::kEnded, now);
      ends.erase(ends.begin());
      ++served;
    }
    for (const GrantId grant : granter.Fill(kSlot, now)) {
      if (ends.size() < kRoom) {
        ends.emplace(now + kServiceMs, grant);
      } else {
        granter.Report(grant, SlotOutcome::kRejected, now);
        ++rejected;
      }
    }
  }
  MESSAGE("rejected ", rejected, ", served ", served);
  CHECK(rejected <= 25);
  CHECK(served >= static_cast<int>(kRoom) * kPlayMs / kServiceMs * 9 / 10);
}

// Guards against an endpoint that is never used again after it rejected requests.
TEST_CASE("an endpoint that rejects everything still gets single requests") {
  Granter granter;
  int asked = 0;
  for (int now = 0; now < 3'000; now += 100) {
    const auto grants = granter.Fill(kSlot, now);
    REQUIRE(!grants.empty());
    CHECK((now == 0 || grants.size() == 1));
    for (const GrantId grant : grants) {
      granter.Report(grant, SlotOutcome::kRejected, now + 5);
      ++asked;
    }
  }
  CHECK(asked == 18 + 29);
}

// Guards against crashes, unbounded memory and starvation by wrong costs, limits and times.
TEST_CASE("bad terms change an estimate within bounds") {
  constexpr std::uint32_t kHuge = 4'000'000'000U;
  for (const std::uint32_t cost : {0U, 1U, kHuge}) {
    for (const std::uint32_t limit : {0U, 1U, kHuge}) {
      for (const Duration hold : {Duration(-5), Duration(0), Duration::max()}) {
        for (const auto until : {InFlightUntil::kAnswerBegins, InFlightUntil::kEnded}) {
          CAPTURE(cost);
          CAPTURE(limit);
          CAPTURE(hold.count());
          Granter granter;
          const auto grants = granter.Fill({cost, limit, hold, until}, 0);
          CHECK(!grants.empty());
          CHECK(grants.size() <= kMaxInFlightRequests);
          CHECK(granter.Ask({cost, limit, hold, until}, 0).wait >= kMinInFlightWait);
          CHECK(granter.Ask({cost, limit, hold, until}, 0).wait <=
                kMaxInFlightHold + kMaxInFlightSpread);
          const int over = static_cast<int>(kMaxInFlightHold.count());
          CHECK(granter.Grants(kSlot, over));
        }
      }
    }
  }
}

TEST_CASE("reports that are forged, repeated or late free nothing") {
  Granter granter;
  const auto grants = granter.Fill(kSlot, 0);
  for (const SlotOutcome outcome :
       {SlotOutcome::kUnsent, SlotOutcome::kUnknown, SlotOutcome::kAccepted, SlotOutcome::kRejected,
        SlotOutcome::kEnded}) {
    granter.Report(0, outcome, 10);
    granter.Report(grants.back() + 1'000, outcome, 10);
  }
  CHECK(!granter.Grants(kSlot, 10));
  for (int i = 0; i < 3; ++i) {
    granter.Report(grants[0], SlotOutcome::kEnded, 20);
  }
  CHECK(granter.Grants(kSlot, 20));
  CHECK(!granter.Grants(kSlot, 20));
}

// Guards against three granting nodes at once, after the loss of the lease holder, that each grant
// the whole limit.
TEST_CASE("a node that begins to grant for an endpoint grants half, and all after a while") {
  PermitBook book;
  const auto grants_at = [&](int now) {
    int granted = 0;
    while (book.AskInFlight(kEndpoint, kSlot, At(now)).verdict == PermitVerdict::kGranted) {
      ++granted;
    }
    return granted;
  };
  CHECK(grants_at(0) == 9);
  CHECK(grants_at(1'000) == 3);
  CHECK(grants_at(2'999) == 5);
  CHECK(grants_at(3'000) == 1);
}

// Guards against reports to a granting node that restarted, which free its new grants.
TEST_CASE("a granting node that restarts numbers its grants from elsewhere") {
  PermitBook before;
  PermitBook after(1ULL << 40U);
  EndStart(after);
  const GrantId old = before.AskInFlight(kEndpoint, kSlot, At(0)).grant;
  for (int i = 0; i < 18; ++i) {
    CHECK(after.AskInFlight(kEndpoint, kSlot, At(0)).verdict == PermitVerdict::kGranted);
  }
  after.Report({kEndpoint, old, SlotOutcome::kEnded}, At(10));
  CHECK(after.AskInFlight(kEndpoint, kSlot, At(10)).verdict == PermitVerdict::kRefused);
}

// Load: a node starts while others keep the endpoint at their limit. The failure: it asked with the
// slots as its limit, was refused as long as the overload lasted, and never learnt a higher one.
TEST_CASE("a node that knows no limit is granted as many requests as others") {
  const TimePoint start;
  const TimePoint now = start + kInFlightStartTime;
  InFlightWork work;
  GrantId grant = 0;
  const InFlightTerms settled{1, 14, Duration(20'000), InFlightUntil::kEnded};
  const InFlightTerms fresh{1, kLimitOfOthers, Duration(20'000), InFlightUntil::kEnded};
  work.Ask(++grant, settled, start);
  for (int i = 0; i < 12; ++i) {
    CHECK(std::holds_alternative<GrantId>(work.Ask(++grant, settled, now)));
  }
  CHECK(std::holds_alternative<GrantId>(work.Ask(++grant, fresh, now)));
  CHECK(std::holds_alternative<InFlightRefusal>(work.Ask(++grant, fresh, now)));
}

TEST_CASE("while no node knows a limit, a few requests are in flight") {
  const TimePoint start;
  const TimePoint now = start + kInFlightStartTime;
  InFlightWork work;
  GrantId grant = 0;
  const InFlightTerms fresh{1, kLimitOfOthers, Duration(20'000), InFlightUntil::kEnded};
  work.Ask(++grant, fresh, start);
  std::uint32_t granted = 1;
  for (int i = 0; i < 10; ++i) {
    granted += std::holds_alternative<GrantId>(work.Ask(++grant, fresh, now)) ? 1U : 0U;
  }
  CHECK(granted == kFirstInFlightLimit);
}

}  // namespace
}  // namespace rudderloom
