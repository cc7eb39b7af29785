// Which requests are quarantined for endpoint crashes and which are not: a request that crashes any
// endpoint is repeated among hundreds of harmless requests that were hit once or twice.
#include "rudderloom/quarantine/crash_book.hpp"

#include <doctest/doctest.h>  // for TEST_CASE

#include <algorithm>  // for shuffle
#include <random>     // for mt19937
#include <utility>    // for exchange

namespace rudderloom {
namespace {

RequestDigest Request(const std::string& body) {
  return DigestOf(RequestIdentity{"h", "/p/", "", body});
}

TimePoint At(int milliseconds) {
  return TimePoint(std::chrono::hours(1)) + Duration(milliseconds);
}

CrashNews CrashOf(EndpointKey endpoint, const std::vector<std::string>& bodies) {
  CrashNews news;
  for (const std::string& body : bodies) {
    news.crashes.insert({Request(body), endpoint});
  }
  return news;
}

bool IsQuarantined(const CrashBook& book, const std::string& body) {
  return book.List().quarantined.contains(Request(body));
}

TEST_CASE("a request is quarantined after three endpoint crashes") {
  CrashBook book;
  CHECK(book.Take(CrashOf(1, {"bad", "a"}), At(0)));
  // Repeated by the same node and by others.
  CHECK_FALSE(book.Take(CrashOf(1, {"bad", "a"}), At(10)));
  CHECK(book.Take(CrashOf(2, {"bad", "b"}), At(100)));
  CHECK_FALSE(IsQuarantined(book, "bad"));
  CHECK(book.List().suspects.contains(Request("bad")));
  CHECK(book.Take(CrashOf(3, {"bad", "c", "a"}), At(200)));
  CHECK(IsQuarantined(book, "bad"));
  // Its crashes don't count against the other requests, including later reports.
  book.Take(CrashOf(4, {"bad", "a"}), At(300));
  book.Take(CrashOf(4, {"b"}), At(310));
  CHECK(book.List().suspects.empty());
  CHECK(book.PublishedEntries(At(400)).size() == 1);
}

TEST_CASE("a request that ran beside the cause in three crashes is released after the fourth") {
  CrashBook book;
  for (EndpointKey endpoint = 1; endpoint <= 3; ++endpoint) {
    book.Take(CrashOf(endpoint, {"bystander"}), At(0));
  }
  CHECK(IsQuarantined(book, "bystander"));
  // The reports of the cause arrive later.
  for (EndpointKey endpoint = 1; endpoint <= 3; ++endpoint) {
    book.Take(CrashOf(endpoint, {"bad"}), At(50));
  }
  CHECK(IsQuarantined(book, "bad"));
  book.Take(CrashOf(4, {"bad"}), At(100));
  CHECK(IsQuarantined(book, "bad"));
  CHECK_FALSE(IsQuarantined(book, "bystander"));
  // If it is a second cause, one crash without the first one proves it.
  CHECK(book.List().suspects.contains(Request("bystander")));
  book.Take(CrashOf(5, {"bystander"}), At(200));
  CHECK(IsQuarantined(book, "bystander"));
  CHECK(IsQuarantined(book, "bad"));
}

TEST_CASE("hundreds of requests that fail with a rack twice are not quarantined") {
  CrashBook book;
  for (EndpointKey endpoint = 0; endpoint < 40; ++endpoint) {
    std::vector<std::string> bodies;
    bodies.reserve(12);
    for (int i = 0; i < 12; ++i) {
      bodies.push_back(std::to_string(endpoint % 20) + "-" + std::to_string(i));
    }
    book.Take(CrashOf(endpoint, bodies), At(static_cast<int>(endpoint)));
  }
  CHECK(book.List().quarantined.empty());
  // One more crash would quarantine them unless they are answered first on another endpoint.
  CrashNews answered;
  answered.cleared = book.List().suspects;
  CHECK(answered.cleared.size() == 240);
  book.Take(answered, At(100));
  CHECK(book.Empty());
}

TEST_CASE(
    "a request that an endpoint has answered completely is no suspect, however often it is sent") {
  CrashBook book;
  for (int round = 0; round < 20; ++round) {
    const auto endpoint = static_cast<EndpointKey>(2 * round);
    book.Take(CrashOf(endpoint, {"usual"}), At(round * 1'000));
    book.Take(CrashOf(endpoint + 1, {"usual"}), At(round * 1'000 + 10));
    CHECK_FALSE(IsQuarantined(book, "usual"));
    CrashNews answered;
    answered.cleared.insert(Request("usual"));
    CHECK(book.Take(answered, At(round * 1'000 + 20)));
    // Older reports of another node arrive late.
    CHECK_FALSE(book.Take(CrashOf(endpoint, {"usual"}), At(round * 1'000 + 30)));
  }
}

TEST_CASE("after an hour a request gets one try, and no more if that crashes an endpoint") {
  constexpr int kHour = 3'600'000;
  CrashBook book;
  for (EndpointKey endpoint = 1; endpoint <= 3; ++endpoint) {
    book.Take(CrashOf(endpoint, {"bad"}), At(0));
  }
  CHECK_FALSE(book.Expire(At(kHour - 1)));
  CHECK(book.Expire(At(kHour)));
  CHECK_FALSE(IsQuarantined(book, "bad"));
  book.Take(CrashOf(9, {"bad", "bystander"}), At(kHour + 1'000));
  CHECK(IsQuarantined(book, "bad"));
  CHECK(book.Expire(At(2 * kHour + 1'000)));
  CHECK(book.Expire(At(3 * kHour + 1'000)));
  CHECK(book.Empty());
}

TEST_CASE("requests quarantined by an earlier holder remain so and get one try as well") {
  constexpr int kHour = 3'600'000;
  CrashBook book;
  book.Restore({Request("bad")}, At(0));
  CHECK(IsQuarantined(book, "bad"));
  CHECK(book.Quarantined(1) == std::set<RequestDigest>{Request("bad")});
  book.Expire(At(kHour));
  CHECK(book.List().suspects.contains(Request("bad")));
  book.Take(CrashOf(9, {"bad"}), At(kHour + 1));
  CHECK(IsQuarantined(book, "bad"));
}

TEST_CASE("another node's book equals the holder's after its update") {
  CrashBook holder;
  holder.Take(CrashOf(1, {"bad", "a"}), At(0));
  holder.Take(CrashOf(2, {"bad", "a"}), At(0));
  CrashBook other;
  other.Take(CrashOf(7, {"x"}), At(0));
  CHECK(other.Replace(holder.PublishedEntries(At(50)), At(50)));
  CHECK(other.List() == holder.List());
  CHECK_FALSE(other.Replace(holder.PublishedEntries(At(60)), At(60)));
  other.Take(CrashOf(3, {"bad"}), At(70));
  CHECK(IsQuarantined(other, "bad"));
}

TEST_CASE("the number of suspects is bounded") {
  CrashBook book;
  book.Restore({Request("bad")}, At(0));
  for (int i = 0; i < 3'000; ++i) {
    book.Take(CrashOf(static_cast<EndpointKey>(i), {std::to_string(i)}), At(i));
  }
  CHECK(IsQuarantined(book, "bad"));
  for (int i = 0; i < 600; ++i) {
    const auto endpoint = static_cast<EndpointKey>(10'000 + 2 * i);
    book.Take(CrashOf(endpoint, {"two" + std::to_string(i)}), At(i));
    book.Take(CrashOf(endpoint + 1, {"two" + std::to_string(i)}), At(i));
  }
  CHECK(book.PublishedEntries(At(4'000)).size() <= 256);
  CHECK(IsQuarantined(book, "bad"));
}

// One request crashes endpoint after endpoint. Each also runs other requests, which are repeated
// elsewhere up to three times. Reports arrive in any order, some of them twice.
TEST_CASE("the cause is identified after its third crash, regardless of the order of reports") {
  int wrongly_quarantined = 0;
  constexpr unsigned kSeeds = 300;
  constexpr int kBystanders = 12;
  constexpr int kCrashes = 8;
  for (unsigned seed = 0; seed < kSeeds; ++seed) {
    CAPTURE(seed);
    std::mt19937 random(seed);
    CrashBook book;
    std::vector<int> bystander(60, 0);  // crashes per harmless request
    std::vector<RequestCrash> delayed;
    for (int crash_number = 1; crash_number <= kCrashes; ++crash_number) {
      std::vector<RequestCrash> crashes{{Request("bad"), static_cast<EndpointKey>(crash_number)}};
      for (int i = 0; i < kBystanders; ++i) {
        const std::size_t other = random() % bystander.size();
        if (bystander[other] < 3) {
          ++bystander[other];
          crashes.push_back(
              {Request(std::to_string(other)), static_cast<EndpointKey>(crash_number)});
        }
      }
      std::shuffle(crashes.begin(), crashes.end(), random);
      // Some reports of harmless requests arrive after the next crash.
      for (const RequestCrash& crash : std::exchange(delayed, {})) {
        book.Take({{crash}, {}}, At(crash_number * 100));
      }
      for (const RequestCrash& crash : crashes) {
        if (crash.request != Request("bad") && random() % 4 == 0) {
          delayed.push_back(crash);
        } else {
          book.Take({{crash}, {}}, At(crash_number * 100));
          book.Take({{crash}, {}}, At(crash_number * 100 + 1));
        }
      }
      if (crash_number >= 3) {
        REQUIRE(IsQuarantined(book, "bad"));
      }
    }
    wrongly_quarantined += static_cast<int>(book.List().quarantined.size()) - 1;
  }
  // Only a request in the same three crashes as the cause could be quarantined, and only until the
  // cause's fourth crash.
  CHECK(wrongly_quarantined == 0);
  MESSAGE("wrongly quarantined: " << wrongly_quarantined << " of " << kSeeds * 60);
}

}  // namespace
}  // namespace rudderloom
