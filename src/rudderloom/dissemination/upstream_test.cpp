#include "rudderloom/dissemination/upstream.hpp"

#include <doctest/doctest.h>  // for TEST_CASE
#include <set>                // for set

namespace rudderloom {
namespace {

TimePoint At(int milliseconds) {
  return TimePoint(std::chrono::hours(1)) + Duration(milliseconds);
}

HolderDigest WordOf(const std::string& holder, std::uint64_t epoch, const std::string& relay = "") {
  HolderDigest digest;
  digest.holds = true;
  digest.holder = holder;
  digest.epoch = epoch;
  digest.relay = relay;
  digest.standby_addresses = {"s1", "s2", "self"};
  return digest;
}

// A node that the holder h1 has sent to the relay r1.
Upstream Relayed() {
  Upstream upstream("self");
  upstream.HolderSeen("h1", 3);
  upstream.Answered("h1", WordOf("h1", 3, "r1"), At(0));
  return upstream;
}

TEST_CASE("a node reports to the holder, then to the relay that this one names") {
  Upstream upstream("self");
  CHECK(upstream.Address().empty());
  upstream.HolderSeen("h1", 3);
  CHECK(upstream.Address() == "h1");
  upstream.Answered("h1", WordOf("h1", 3, "r1"), At(0));
  CHECK(upstream.Address() == "r1");
  upstream.Answered("r1", WordOf("h1", 3), At(100));
  CHECK(upstream.Address() == "r1");
}

TEST_CASE(
    "when a relay gives no answer its members ask the holder, and tell it which relay failed") {
  Upstream upstream = Relayed();
  upstream.Failed("r1", At(1'000));
  CHECK(upstream.Address() == "h1");
  CHECK(upstream.AvoidedRelays(At(1'100)) == std::vector<std::string>{"r1"});
  upstream.Answered("h1", WordOf("h1", 3, "r2"), At(1'100));
  CHECK(upstream.Address() == "r2");
  CHECK(upstream.AvoidedRelays(At(60'000)).empty());
}

TEST_CASE("a relay that is none any more, or whose word is old, is left as well") {
  Upstream upstream = Relayed();
  HolderDigest none;
  none.holder = "h1";
  none.epoch = 3;
  upstream.Answered("r1", none, At(100));
  CHECK(upstream.Address() == "h1");
  upstream = Relayed();
  HolderDigest old = WordOf("h1", 3);
  old.age = Duration(3'500);
  upstream.Answered("r1", old, At(100));
  CHECK(upstream.Address() == "h1");
}

TEST_CASE("members stay with their relay when the lease passes on") {
  Upstream upstream = Relayed();
  upstream.Answered("r1", WordOf("h2", 4), At(2'000));
  CHECK(upstream.Address() == "r1");
  CHECK(upstream.Holder() == "h2");
  upstream.Failed("r1", At(2'100));
  CHECK(upstream.Address() == "h2");
}

TEST_CASE("with the holder silent the standbys are asked by turns, and whoever holds is kept") {
  Upstream upstream("self");
  upstream.HolderSeen("h1", 3);
  upstream.Answered("h1", WordOf("h1", 3), At(0));
  upstream.Failed("h1", At(600));
  CHECK(upstream.Address() == "s1");
  HolderDigest none;
  none.holder = "h1";
  none.epoch = 3;
  upstream.Answered("s1", none, At(700));
  CHECK(upstream.Address() == "s2");
  upstream.Answered("s2", WordOf("s2", 4), At(800));
  CHECK(upstream.Address() == "s2");
  CHECK(upstream.Holder() == "s2");
}

TEST_CASE("what a standby hands on as a relay of the old holder is no newer word") {
  Upstream upstream("self");
  upstream.HolderSeen("h1", 3);
  CHECK(upstream.Answered("h1", WordOf("h1", 3), At(0)));
  upstream.Failed("h1", At(600));
  HolderDigest relayed = WordOf("h1", 3);
  relayed.age = Duration(700);
  CHECK_FALSE(upstream.Answered("s1", relayed, At(700)));
  CHECK(upstream.Address() == "s2");
}

TEST_CASE("a standby that knows the new holder is believed, one that knows an older one is not") {
  Upstream upstream("self");
  upstream.HolderSeen("h1", 3);
  upstream.Answered("h1", WordOf("h1", 3), At(0));
  upstream.Failed("h1", At(600));
  HolderDigest newer;
  newer.holder = "h9";
  newer.epoch = 4;
  upstream.Answered("s1", newer, At(700));
  CHECK(upstream.Address() == "h9");
  upstream.HolderSeen("h1", 3);  // a stale read
  CHECK(upstream.Address() == "h9");
}

TEST_CASE("the turns come back to a holder that was silent for a moment") {
  Upstream upstream("self");
  upstream.HolderSeen("h1", 3);
  upstream.Answered("h1", WordOf("h1", 3), At(0));
  std::set<std::string> asked;
  for (int i = 0; i < 4; ++i) {
    upstream.Failed(upstream.Address(), At(600 * i));
    asked.insert(upstream.Address());
  }
  CHECK(asked == std::set<std::string>{"h1", "s1", "s2"});
}

TEST_CASE("a node that takes the lease reports to nobody") {
  Upstream upstream = Relayed();
  upstream.HolderSeen("self", 4);
  CHECK(upstream.Address().empty());
}

TEST_CASE("an answer that comes late, from a node that is not asked any more, changes no choice") {
  Upstream upstream = Relayed();
  upstream.Answered("h1", WordOf("h1", 3, "r2"), At(50));
  CHECK(upstream.Address() == "r1");
  upstream.Failed("h1", At(60));
  CHECK(upstream.Address() == "r1");
}

}  // namespace
}  // namespace rudderloom
