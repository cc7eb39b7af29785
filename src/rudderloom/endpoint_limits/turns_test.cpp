// Load: 60 nodes that know each other's requests 300 ms late send prompts to one engine.
#include <doctest/doctest.h>  // for TEST_CASE

#include <algorithm>  // for max, sort
#include <random>     // for mt19937
#include <vector>     // for vector

#include "rudderloom/endpoint_limits/permit_book.hpp"  // for PermitBook

namespace rudderloom {
namespace {

constexpr EndpointKey kEngine = 7;
constexpr EndpointKey kOtherEngine = 8;
const TimePoint kStart = TimePoint(std::chrono::hours(1));

TEST_CASE("prompts of 60 nodes that ask at once are sent one interval apart") {
  PermitBook book;
  const SpacingTerms terms{Duration(200), Duration(800)};
  int granted = 0;
  for (int node = 0; node < 60; ++node) {
    const PermitAnswer answer = book.AskForTurn(kEngine, terms, kStart);
    CHECK(answer.by_in_flight);
    if (answer.verdict == PermitVerdict::kGranted) {
      CHECK(answer.wait == Duration(200) * granted);
      ++granted;
    } else {
      CHECK(answer.wait == Duration(1'000));
    }
  }
  CHECK(granted == 5);
  CHECK(book.AskForTurn(kOtherEngine, terms, kStart).wait == Duration(0));
}

TEST_CASE("an engine that nobody used for a while takes one prompt at once, not several") {
  PermitBook book;
  const SpacingTerms terms{Duration(200), Duration(800)};
  book.AskForTurn(kEngine, terms, kStart);
  const TimePoint later = kStart + Duration(60'000);
  CHECK(book.AskForTurn(kEngine, terms, later).wait == Duration(0));
  CHECK(book.AskForTurn(kEngine, terms, later).wait == Duration(200));
}

TEST_CASE("less urgent requests get turns only while more urgent ones leave the queue short") {
  PermitBook book;
  const SpacingTerms urgent{Duration(100), Duration(800)};
  const SpacingTerms patient{Duration(100), Duration(100)};
  std::mt19937 random(11);
  int urgent_granted = 0;
  int patient_granted = 0;
  constexpr int kMilliseconds = 20'000;
  // Twelve urgent and twelve patient prompts a second, where ten can be processed.
  for (int ms = 0; ms < kMilliseconds; ++ms) {
    const TimePoint now = kStart + Duration(ms);
    const auto draw = random() % 1'000;
    if (draw < 12) {
      const auto verdict = book.AskForTurn(kEngine, urgent, now).verdict;
      urgent_granted += verdict == PermitVerdict::kGranted ? 1 : 0;
    } else if (draw < 24) {
      const auto verdict = book.AskForTurn(kEngine, patient, now).verdict;
      patient_granted += verdict == PermitVerdict::kGranted ? 1 : 0;
    }
  }
  CHECK(urgent_granted + patient_granted > 180);
  CHECK(patient_granted < urgent_granted / 10);
}

TEST_CASE("absurd intervals keep an engine from others for a bounded time") {
  PermitBook book;
  book.AskForTurn(kEngine, {Duration(3'600'000), Duration(0)}, kStart);
  const SpacingTerms terms{Duration(100), Duration(800)};
  CHECK(book.AskForTurn(kEngine, terms, kStart + kMaxSpacing).verdict == PermitVerdict::kGranted);
  book.AskForTurn(kOtherEngine, {Duration(-5), Duration(-5)}, kStart);
  CHECK(book.AskForTurn(kOtherEngine, terms, kStart).wait == Duration(0));
}

TEST_CASE("with a new granting node, prompts of one interval can arrive beside the earlier ones") {
  constexpr Duration kWindow{400};
  constexpr Duration kInterval{200};
  const SpacingTerms terms{kInterval, Duration(800)};
  PermitBook first;
  PermitBook next;
  std::vector<TimePoint> sent;
  for (int ms = 0; ms < 6'000; ms += 10) {
    const TimePoint now = kStart + Duration(ms);
    PermitBook& book = ms < 3'000 ? first : next;
    const PermitAnswer answer = book.AskForTurn(kEngine, terms, now);
    if (answer.verdict == PermitVerdict::kGranted) {
      sent.push_back(now + answer.wait);
    }
  }
  std::sort(sent.begin(), sent.end());
  std::size_t most = 0;
  for (std::size_t from = 0, to = 0; from < sent.size(); ++from) {
    while (to < sent.size() && sent[to] < sent[from] + kWindow) {
      ++to;
    }
    most = std::max(most, to - from);
  }
  // Twice the two prompts of a window.
  CHECK(most <= 4);
}

}  // namespace
}  // namespace rudderloom
