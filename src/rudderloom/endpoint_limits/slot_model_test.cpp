// Model test: whatever an endpoint rejects, however late requests are sent, whichever reports are
// lost and whenever the lease changes hands, no second contains more rejections than the endpoint
// tolerates. Uses the production book; the endpoint and the network are as unfavorable as allowed.
#include <doctest/doctest.h>  // for TEST_CASE

#include <algorithm>  // for max, sort
#include <array>      // for array
#include <map>        // for multimap
#include <random>     // for mt19937
#include <vector>     // for vector

#include "rudderloom/endpoint_limits/permit_book.hpp"  // for PermitBook

namespace rudderloom {
namespace {

constexpr EndpointKey kEndpoint = 7;
constexpr int kWindowMs = 1'000;
constexpr int kSendTimeMs = 1'000;
constexpr int kRejectionDelayMs = 25;

TimePoint At(int milliseconds) {
  return TimePoint(std::chrono::hours(1)) + Duration(milliseconds);
}

enum class Outcome { kAccepted, kRejected };

// One request that some node wants to send.
struct Attempt {
  int asked_at = 0;
  bool asks_deputy = false;  // the node has lost the holder
  int sent_after = 0;
  int answered_after = 0;
  Outcome outcome = Outcome::kRejected;
  bool report_lost = false;
  int report_delay = 0;
  int ends_after = -1;  // its acceptance; -1: it goes on
};

// The holder, its deputy, which takes the lease over at `takeover_at`, and the deputy after that.
class Fleet {
 public:
  Fleet(double tolerated, int takeover_at) : tolerated_(tolerated), takeover_at_(takeover_at) {}

  void Play(const Attempt& attempt) {
    DeliverReports(attempt.asked_at);
    const int granter = GranterAt(attempt.asked_at, attempt.asks_deputy);
    const PermitRequest ask{kEndpoint, std::nullopt, Duration(0),
                            SlotTerms{tolerated_, 8, Duration(60'000)}};
    const PermitAnswer answer = books_[static_cast<std::size_t>(granter)].Ask(
        ask, BasisOf(granter, attempt.asked_at), At(attempt.asked_at));
    if (answer.verdict != PermitVerdict::kGranted) {
      return;
    }
    ++granted_;
    const int answered_at = attempt.asked_at + attempt.sent_after + attempt.answered_after;
    const bool rejected = attempt.outcome == Outcome::kRejected;
    if (rejected) {
      rejected_at_.push_back(answered_at);
    }
    if (!attempt.report_lost) {
      const SlotOutcome outcome = rejected ? SlotOutcome::kRejected : SlotOutcome::kAccepted;
      reports_.emplace(answered_at + attempt.report_delay,
                       std::pair(granter, SlotReport{kEndpoint, answer.grant, outcome}));
      if (!rejected && attempt.ends_after >= 0) {
        reports_.emplace(
            answered_at + attempt.report_delay + attempt.ends_after,
            std::pair(granter, SlotReport{kEndpoint, answer.grant, SlotOutcome::kEnded}));
      }
    }
  }

  int MostRejectionsInWindow() {
    std::sort(rejected_at_.begin(), rejected_at_.end());
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t i = 0; i < rejected_at_.size(); ++i) {
      while (rejected_at_[i] - rejected_at_[first] >= kWindowMs) {
        ++first;
      }
      most = std::max(most, i - first + 1);
    }
    return static_cast<int>(most);
  }

  int Granted() const { return granted_; }

 private:
  // Node 0 holds the lease first, then node 1; node 1 is the first deputy, then node 2.
  int GranterAt(int now, bool asks_deputy) const {
    return (now >= takeover_at_ ? 1 : 0) + (asks_deputy ? 1 : 0);
  }

  PermitBasis BasisOf(int node, int now) const {
    const int lifetime = static_cast<int>(kGrantLifetime.count());
    const bool taken_over = now >= takeover_at_;
    if (node == 0) {
      return {At(0), At(takeover_at_), 1.0, At(0), At(0)};
    }
    if (node == 1 && !taken_over) {
      return {At(0), TimePoint::max(), kDeputyFraction, At(0), TimePoint::max()};
    }
    if (node == 1) {
      return {At(0), TimePoint::max(), 1.0, At(0), At(takeover_at_ + lifetime)};
    }
    return {At(0), TimePoint::max(), kDeputyFraction, At(takeover_at_ + lifetime),
            TimePoint::max()};
  }

  void DeliverReports(int now) {
    while (!reports_.empty() && reports_.begin()->first <= now) {
      const auto& [granter, report] = reports_.begin()->second;
      books_[static_cast<std::size_t>(granter)].Report(report, At(reports_.begin()->first));
      reports_.erase(reports_.begin());
    }
  }

  double tolerated_;
  int takeover_at_;
  std::array<PermitBook, 3> books_;
  std::multimap<int, std::pair<int, SlotReport>> reports_;  // by arrival
  std::vector<int> rejected_at_;
  int granted_ = 0;
};

// What may happen to a request that is asked for at a given time.
std::vector<Attempt> Variants() {
  std::vector<Attempt> variants;
  for (const bool asks_deputy : {false, true}) {
    variants.push_back({0, asks_deputy, 0, 0, Outcome::kAccepted, false, 0});
    variants.push_back({0, asks_deputy, 0, 0, Outcome::kRejected, false, 0});
    variants.push_back({0, asks_deputy, 0, kRejectionDelayMs, Outcome::kRejected, true, 0});
    variants.push_back(
        {0, asks_deputy, kSendTimeMs, kRejectionDelayMs, Outcome::kRejected, true, 0});
  }
  return variants;
}

// Guards against a bound that holds only in the mean over time or for a single granter.
TEST_CASE("all schedules of five requests keep to the tolerated rejections") {
  constexpr int kRequests = 5;
  const std::vector<Attempt> variants = Variants();
  const auto count = static_cast<int>(variants.size());
  int schedules = 1;
  for (int i = 0; i < kRequests; ++i) {
    schedules *= count;
  }
  for (const int interval : {0, 150, 500, 1'050}) {
    for (const int takeover_at : {-1, 100, 900, 2'000, 1'000'000}) {
      for (const double tolerated : {1.0, 2.0, 3.0, 4.0}) {
        int most = 0;
        for (int schedule = 0; schedule < schedules; ++schedule) {
          Fleet fleet(tolerated, takeover_at);
          int digits = schedule;
          for (int i = 0; i < kRequests; ++i) {
            Attempt attempt = variants[static_cast<std::size_t>(digits % count)];
            digits /= count;
            attempt.asked_at = i * interval;
            fleet.Play(attempt);
          }
          most = std::max(most, fleet.MostRejectionsInWindow());
        }
        CAPTURE(interval);
        CAPTURE(takeover_at);
        CAPTURE(tolerated);
        CHECK(most <= static_cast<int>(tolerated));
      }
    }
  }
}

TEST_CASE("long random schedules keep to the tolerated rejections, and requests go on") {
  constexpr int kDurationMs = 20'000;
  constexpr int kTakeoverMs = 8'000;
  for (unsigned seed = 1; seed <= 300; ++seed) {
    std::mt19937 random(seed);
    const auto below = [&](int bound) {
      return static_cast<int>(random() % static_cast<unsigned>(bound));
    };
    const double tolerated = 1 + below(10);
    Fleet fleet(tolerated, kTakeoverMs + below(1'000));
    const int rejected_percent = below(101);
    for (int now = 0; now < kDurationMs; now += below(40)) {
      Attempt attempt;
      attempt.asked_at = now;
      attempt.asks_deputy = below(3) == 0;
      attempt.sent_after = below(2) == 0 ? 2 : below(kSendTimeMs + 1);
      attempt.answered_after = below(kRejectionDelayMs + 1);
      attempt.outcome = below(100) < rejected_percent ? Outcome::kRejected : Outcome::kAccepted;
      attempt.report_lost = below(4) == 0;
      attempt.report_delay = below(2) == 0 ? 0 : below(300);
      attempt.ends_after = below(2) == 0 ? -1 : below(100);
      fleet.Play(attempt);
    }
    CAPTURE(seed);
    CAPTURE(tolerated);
    CHECK(fleet.MostRejectionsInWindow() <= static_cast<int>(tolerated));
    CHECK(fleet.Granted() >= 5);
  }
}

}  // namespace
}  // namespace rudderloom
