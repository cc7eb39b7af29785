// Slots of endpoints that crash from rejections.
#include "rudderloom/endpoint_limits/slot_book.hpp"

#include <doctest/doctest.h>  // for TEST_CASE

#include <vector>  // for vector

#include "rudderloom/endpoint_limits/permit_book.hpp"  // for RejectionShare

namespace rudderloom {
namespace {

constexpr EndpointKey kEndpoint = 7;
constexpr std::uint32_t kMaxRejections = 3;
constexpr SlotTerms kTerms{4.0, 8, Duration(20'000)};

TimePoint At(int milliseconds) {
  return TimePoint(std::chrono::hours(1)) + Duration(milliseconds);
}

// An endpoint whose granted requests are reported on by the test.
class Granter {
 public:
  std::optional<GrantId> Ask(int now, const SlotTerms& terms = kTerms) {
    return book_.Ask(kEndpoint, terms, kMaxRejections, At(now));
  }
  void Report(GrantId grant, SlotOutcome outcome, int now) {
    book_.Report({kEndpoint, grant, outcome}, At(now));
  }
  // Grants as many requests as possible and has them accepted at once.
  std::vector<GrantId> Fill(int now) {
    std::vector<GrantId> grants;
    while (const auto grant = Ask(now)) {
      Report(*grant, SlotOutcome::kAccepted, now);
      grants.push_back(*grant);
    }
    return grants;
  }

 private:
  SlotBook book_;
};

TEST_CASE("a slot is granted once until its request has ended") {
  Granter granter;
  const auto grants = granter.Fill(0);
  CHECK(grants.size() == kTerms.slots);
  CHECK(!granter.Ask(5'000));
  granter.Report(grants[0], SlotOutcome::kEnded, 5'000);
  CHECK(granter.Ask(5'000));
}

TEST_CASE("a slot is free again when its request must have ended, also without a report") {
  Granter granter;
  granter.Fill(0);
  CHECK(!granter.Ask(19'999));
  CHECK(granter.Ask(20'000));
}

// Guards against many requests sent at once to an endpoint that has no room.
TEST_CASE("no more requests are undecided than the endpoint tolerates rejections") {
  Granter granter;
  for (std::uint32_t i = 0; i < kMaxRejections; ++i) {
    CHECK(granter.Ask(0));
  }
  CHECK(!granter.Ask(0));
  CHECK(!granter.Ask(static_cast<int>(kGrantLifetime.count()) - 1));
  CHECK(granter.Ask(static_cast<int>(kGrantLifetime.count())));
}

TEST_CASE("a rejected request counts for a second, an unsent one does not") {
  Granter granter;
  const auto first = granter.Ask(0);
  const auto second = granter.Ask(0);
  const auto third = granter.Ask(0);
  REQUIRE(third);
  granter.Report(*first, SlotOutcome::kUnsent, 10);
  const auto again = granter.Ask(10);
  REQUIRE(again);
  for (const GrantId grant : {*second, *third, *again}) {
    granter.Report(grant, SlotOutcome::kRejected, 20);
  }
  CHECK(!granter.Ask(1'019));
  CHECK(granter.Ask(1'020));
}

// Guards against room that shrinks just after a rejection.
TEST_CASE("a rejection counts also while fewer requests run than the endpoint has accepted") {
  Granter granter;
  std::vector<GrantId> accepted;
  for (int i = 0; i < 3; ++i) {
    accepted.push_back(*granter.Ask(0));
    granter.Report(accepted.back(), SlotOutcome::kAccepted, 0);
  }
  granter.Report(*granter.Ask(10), SlotOutcome::kRejected, 10);
  for (const GrantId grant : accepted) {
    granter.Report(grant, SlotOutcome::kEnded, 20);
  }
  CHECK(granter.Ask(20));
  CHECK(granter.Ask(20));
  CHECK(!granter.Ask(20));
}

TEST_CASE("a request whose connection broke may still be rejected") {
  Granter granter;
  const auto grant = granter.Ask(0);
  granter.Ask(0);
  granter.Ask(0);
  granter.Report(*grant, SlotOutcome::kUnknown, 10);
  CHECK(!granter.Ask(20));
}

// Guards against trust in the slots that an endpoint states.
TEST_CASE("after a rejection only as many requests are granted as the endpoint has accepted") {
  Granter granter;
  std::vector<GrantId> accepted;
  for (int i = 0; i < 4; ++i) {
    accepted.push_back(*granter.Ask(0));
    granter.Report(accepted.back(), SlotOutcome::kAccepted, 0);
  }
  granter.Report(*granter.Ask(10), SlotOutcome::kRejected, 10);
  CHECK(!granter.Ask(900));
  granter.Report(accepted[0], SlotOutcome::kEnded, 900);
  const auto replacing = granter.Ask(900);
  REQUIRE(replacing);
  granter.Report(*replacing, SlotOutcome::kAccepted, 900);
  // One more is tried a second after the rejection, and further ones once it is accepted.
  const auto trial = granter.Ask(1'100);
  REQUIRE(trial);
  CHECK(!granter.Ask(1'100));
  granter.Report(*trial, SlotOutcome::kAccepted, 1'150);
  CHECK(granter.Ask(1'150));
}

TEST_CASE("endpoints that state no slots are bounded by their rejections alone") {
  Granter granter;
  const SlotTerms terms{4.0, 0, Duration(20'000)};
  for (int i = 0; i < 20; ++i) {
    const auto grant = granter.Ask(i, terms);
    REQUIRE(grant);
    granter.Report(*grant, SlotOutcome::kAccepted, i);
  }
}

TEST_CASE("holder and deputy together risk no more rejections than the endpoint tolerates") {
  for (const double tolerated : {1.0, 2.5, 3.0, 4.0, 10.0, 100.0}) {
    CAPTURE(tolerated);
    const std::uint32_t holder = RejectionShare(tolerated, true);
    const std::uint32_t deputy = RejectionShare(tolerated, false);
    CHECK(holder >= 1);
    CHECK(holder + deputy <= static_cast<std::uint32_t>(tolerated));
  }
  CHECK(RejectionShare(0.0, true) == 1);
  CHECK(RejectionShare(0.0, false) == 0);
}

}  // namespace
}  // namespace rudderloom
