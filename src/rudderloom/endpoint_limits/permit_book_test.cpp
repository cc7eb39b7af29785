// Spacing of requests to an endpoint with a limit.
#include "rudderloom/endpoint_limits/permit_book.hpp"

#include <doctest/doctest.h>  // for TEST_CASE

#include <algorithm>  // for max, sort
#include <random>     // for mt19937
#include <vector>     // for vector

namespace rudderloom {
namespace {

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr PermitBasis kHolder{TimePoint(), TimePoint::max(), 1.0};
constexpr EndpointKey kEndpoint = 7;

TEST_CASE("requests are spaced by the limit and wait up to their maximum") {
  PermitBook book;
  const PermitRequest waiting_ask{kEndpoint, 2.0, Duration(500)};
  CHECK(book.Ask(waiting_ask, kHolder, kStart).wait == Duration(0));
  const PermitAnswer second = book.Ask(waiting_ask, kHolder, kStart);
  CHECK(second.verdict == PermitVerdict::kGranted);
  CHECK(second.wait == Duration(500));
  const PermitAnswer third = book.Ask(waiting_ask, kHolder, kStart);
  CHECK(third.verdict == PermitVerdict::kRefused);
  CHECK(third.wait == Duration(1'000));
  // A refused request uses no permit.
  const PermitAnswer later = book.Ask(waiting_ask, kHolder, kStart + Duration(600));
  CHECK(later.verdict == PermitVerdict::kGranted);
  CHECK(later.wait == Duration(400));
}

TEST_CASE("limits are independent per endpoint and may change") {
  PermitBook book;
  CHECK(book.Ask({1, 1.0, Duration(0)}, kHolder, kStart).verdict == PermitVerdict::kGranted);
  CHECK(book.Ask({2, 1.0, Duration(0)}, kHolder, kStart).verdict == PermitVerdict::kGranted);
  CHECK(book.Ask({1, 1.0, Duration(0)}, kHolder, kStart).verdict == PermitVerdict::kRefused);
  const TimePoint later = kStart + Duration(1'000);
  CHECK(book.Ask({1, 100.0, Duration(0)}, kHolder, later).verdict == PermitVerdict::kGranted);
  const TimePoint soon = later + Duration(10);
  CHECK(book.Ask({1, 100.0, Duration(0)}, kHolder, soon).verdict == PermitVerdict::kGranted);
}

TEST_CASE("no request is permitted or sent after the lease may have ended") {
  PermitBook book;
  const PermitBasis basis{kStart, kStart + Duration(100), 1.0};
  const PermitRequest ask{kEndpoint, 50.0, Duration(0)};
  CHECK(book.Ask(ask, basis, kStart).verdict == PermitVerdict::kGranted);
  CHECK(book.Ask({1, 1.0, Duration(0)}, basis, kStart).verdict == PermitVerdict::kGranted);
  CHECK(book.Ask({1, 5.0, Duration(500)}, basis, kStart).verdict == PermitVerdict::kRefused);
  CHECK(book.Ask(ask, basis, kStart + Duration(100)).verdict == PermitVerdict::kNotGranting);
  CHECK(book.Ask(ask, basis, kStart - Duration(1)).verdict == PermitVerdict::kNotGranting);
}

// Guards against an endpoint that gets no requests, so that the end of its limit goes unnoticed.
TEST_CASE("a limit of zero admits occasional requests") {
  PermitBook book;
  const PermitRequest ask{kEndpoint, 0.0, Duration(0)};
  CHECK(book.Ask(ask, kHolder, kStart).verdict == PermitVerdict::kGranted);
  CHECK(book.Ask(ask, kHolder, kStart + Duration(19'000)).verdict == PermitVerdict::kRefused);
  CHECK(book.Ask(ask, kHolder, kStart + Duration(20'000)).verdict == PermitVerdict::kGranted);
}

// Maximum number of requests within any `window`.
std::size_t MaxRequestsWithin(std::vector<TimePoint> starts, Duration window) {
  std::sort(starts.begin(), starts.end());
  std::size_t max_count = 0;
  std::size_t first = 0;
  for (std::size_t last = 0; last < starts.size(); ++last) {
    while (starts[last] - starts[first] > window) {
      ++first;
    }
    max_count = std::max(max_count, last - first + 1);
  }
  return max_count;
}

// Guards against overload by the sum of the holder, its successor and the deputy: an endpoint
// tolerates 1.5 times the limit plus five requests within 4 s.
TEST_CASE("two successive holders and a deputy together stay within the bound") {
  constexpr Duration kWindow{4'000};
  constexpr double kBound = 1.5 * 4.0;
  for (const double limit : {0.3, 1.0, 3.7, 20.0, 50.0}) {
    for (unsigned seed = 1; seed <= 40; ++seed) {
      std::mt19937 random(seed);
      PermitBook first;
      PermitBook next;
      PermitBook deputy;
      const int handover = static_cast<int>(random() % 12'000);
      std::vector<TimePoint> starts;
      for (int now = 0; now < 12'000; now += static_cast<int>(random() % 8)) {
        const PermitRequest ask{kEndpoint, limit, Duration(random() % 500)};
        const TimePoint at = kStart + Duration(now);
        const bool from_deputy = random() % 2 == 0;
        const bool from_next = !from_deputy && now >= handover;
        PermitBook& book = from_deputy ? deputy : from_next ? next : first;
        PermitBasis basis = kHolder;
        basis.fraction = from_deputy ? kDeputyFraction : 1.0;
        if (from_next) {
          basis.valid_from = kStart + Duration(handover) + kMaxPermitWait;
        }
        const PermitAnswer answer = book.Ask(ask, basis, at);
        if (answer.verdict == PermitVerdict::kGranted) {
          starts.push_back(at + answer.wait);
        }
      }
      CAPTURE(limit);
      CAPTURE(seed);
      CHECK(static_cast<double>(MaxRequestsWithin(starts, kWindow)) <= kBound * limit + 5.0);
    }
  }
}

}  // namespace
}  // namespace rudderloom
