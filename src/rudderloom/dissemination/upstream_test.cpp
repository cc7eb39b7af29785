#include "rudderloom/dissemination/upstream.hpp"

#include <doctest/doctest.h>  // for TEST_CASE
#include <set>                // for set

namespace rudderloom {
namespace {

TimePoint At(int milliseconds) {
  return TimePoint(std::chrono::hours(1)) + Duration(milliseconds);
}

HolderDigest DigestOf(const std::string& holder,
                      std::uint64_t epoch,
                      const std::string& relay = "") {
  HolderDigest digest;
  digest.is_authoritative = true;
  digest.holder = holder;
  digest.epoch = epoch;
  digest.relay = relay;
  digest.standby_addresses = {"s1", "s2", "self"};
  return digest;
}

// A node that the holder h1 has assigned to the relay r1.
Upstream RelayedNode() {
  Upstream upstream("self");
  upstream.ObserveHolder("h1", 3);
  upstream.HandleAnswer("h1", DigestOf("h1", 3, "r1"), At(0));
  return upstream;
}

TEST_CASE("a node reports to the holder, then to the relay that the holder assigns") {
  Upstream upstream("self");
  CHECK(upstream.Address().empty());
  upstream.ObserveHolder("h1", 3);
  CHECK(upstream.Address() == "h1");
  upstream.HandleAnswer("h1", DigestOf("h1", 3, "r1"), At(0));
  CHECK(upstream.Address() == "r1");
  upstream.HandleAnswer("r1", DigestOf("h1", 3), At(100));
  CHECK(upstream.Address() == "r1");
}

TEST_CASE(
    "members of a relay that fails to answer report to the holder and name the failed relay") {
  Upstream upstream = RelayedNode();
  upstream.HandleFailure("r1", At(1'000));
  CHECK(upstream.Address() == "h1");
  CHECK(upstream.AvoidedRelays(At(1'100)) == std::vector<std::string>{"r1"});
  upstream.HandleAnswer("h1", DigestOf("h1", 3, "r2"), At(1'100));
  CHECK(upstream.Address() == "r2");
  CHECK(upstream.AvoidedRelays(At(60'000)).empty());
}

TEST_CASE("a relay without a digest or with an outdated one is abandoned") {
  Upstream upstream = RelayedNode();
  HolderDigest no_digest;
  no_digest.holder = "h1";
  no_digest.epoch = 3;
  upstream.HandleAnswer("r1", no_digest, At(100));
  CHECK(upstream.Address() == "h1");
  upstream = RelayedNode();
  HolderDigest outdated = DigestOf("h1", 3);
  outdated.age = Duration(3'500);
  upstream.HandleAnswer("r1", outdated, At(100));
  CHECK(upstream.Address() == "h1");
}

TEST_CASE("members stay with their relay when the lease changes hands") {
  Upstream upstream = RelayedNode();
  upstream.HandleAnswer("r1", DigestOf("h2", 4), At(2'000));
  CHECK(upstream.Address() == "r1");
  CHECK(upstream.Holder() == "h2");
  upstream.HandleFailure("r1", At(2'100));
  CHECK(upstream.Address() == "h2");
}

TEST_CASE(
    "while the holder is silent the standbys are asked in rotation until one holds the lease") {
  Upstream upstream("self");
  upstream.ObserveHolder("h1", 3);
  upstream.HandleAnswer("h1", DigestOf("h1", 3), At(0));
  upstream.HandleFailure("h1", At(600));
  CHECK(upstream.Address() == "s1");
  HolderDigest no_digest;
  no_digest.holder = "h1";
  no_digest.epoch = 3;
  upstream.HandleAnswer("s1", no_digest, At(700));
  CHECK(upstream.Address() == "s2");
  upstream.HandleAnswer("s2", DigestOf("s2", 4), At(800));
  CHECK(upstream.Address() == "s2");
  CHECK(upstream.Holder() == "s2");
}

TEST_CASE("a digest of the old holder forwarded by a standby is not accepted") {
  Upstream upstream("self");
  upstream.ObserveHolder("h1", 3);
  CHECK(upstream.HandleAnswer("h1", DigestOf("h1", 3), At(0)));
  upstream.HandleFailure("h1", At(600));
  HolderDigest relayed = DigestOf("h1", 3);
  relayed.age = Duration(700);
  CHECK_FALSE(upstream.HandleAnswer("s1", relayed, At(700)));
  CHECK(upstream.Address() == "s2");
}

TEST_CASE("a newer epoch reported by a standby is accepted, an older one is not") {
  Upstream upstream("self");
  upstream.ObserveHolder("h1", 3);
  upstream.HandleAnswer("h1", DigestOf("h1", 3), At(0));
  upstream.HandleFailure("h1", At(600));
  HolderDigest newer;
  newer.holder = "h9";
  newer.epoch = 4;
  upstream.HandleAnswer("s1", newer, At(700));
  CHECK(upstream.Address() == "h9");
  upstream.ObserveHolder("h1", 3);  // a stale read
  CHECK(upstream.Address() == "h9");
}

TEST_CASE("the rotation returns to a holder that was silent for a moment") {
  Upstream upstream("self");
  upstream.ObserveHolder("h1", 3);
  upstream.HandleAnswer("h1", DigestOf("h1", 3), At(0));
  std::set<std::string> asked;
  for (int i = 0; i < 4; ++i) {
    upstream.HandleFailure(upstream.Address(), At(600 * i));
    asked.insert(upstream.Address());
  }
  CHECK(asked == std::set<std::string>{"h1", "s1", "s2"});
}

TEST_CASE("a node that acquires the lease reports to no other node") {
  Upstream upstream = RelayedNode();
  upstream.ObserveHolder("self", 4);
  CHECK(upstream.Address().empty());
}

TEST_CASE("a late answer from a node that is no longer asked changes nothing") {
  Upstream upstream = RelayedNode();
  upstream.HandleAnswer("h1", DigestOf("h1", 3, "r2"), At(50));
  CHECK(upstream.Address() == "r1");
  upstream.HandleFailure("h1", At(60));
  CHECK(upstream.Address() == "r1");
}

}  // namespace
}  // namespace rudderloom
