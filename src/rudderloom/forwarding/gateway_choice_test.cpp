// The choice among nodes that forward requests.
#include "rudderloom/forwarding/gateway_choice.hpp"

#include <doctest/doctest.h>  // for TEST_CASE

namespace rudderloom {
namespace {

constexpr TimePoint kStart{std::chrono::hours(1)};
const GatewayList kGateways{{"a", "1"}, {"b", "2"}, {"c", "3"}};

TEST_CASE("requests spread over the gateways") {
  GatewayChoice choice;
  std::mt19937_64 random(1);
  std::map<std::string, int> chosen;
  for (int i = 0; i < 300; ++i) {
    const auto gateway = choice.Choose(kGateways, {}, random, kStart);
    REQUIRE(gateway);
    choice.Started(gateway->address);
    ++chosen[gateway->address];
  }
  for (const Gateway& gateway : kGateways) {
    CHECK(chosen[gateway.address] > 80);
  }
}

TEST_CASE("a gateway that failed is avoided while there are others") {
  GatewayChoice choice;
  std::mt19937_64 random(1);
  choice.Failed("a", kStart);
  choice.Failed("b", kStart);
  for (int i = 0; i < 20; ++i) {
    CHECK(choice.Choose(kGateways, {}, random, kStart)->address == "c");
  }
  CHECK(choice.Choose(kGateways, {"c"}, random, kStart));
  CHECK(!choice.Choose(kGateways, {"a", "b", "c"}, random, kStart));
  CHECK(!choice.Choose({}, {}, random, kStart));
}

TEST_CASE("a node without all gateways gets its own selection, which hardly changes") {
  GatewayList many;
  for (int i = 0; i < 100; ++i) {
    many.push_back({"gateway" + std::to_string(i), "key"});
  }
  const GatewayList first = SelectGateways(many, "n1", kMaxGateways);
  CHECK(first.size() == kMaxGateways);
  CHECK(first == SelectGateways(many, "n1", kMaxGateways));
  CHECK(first != SelectGateways(many, "n2", kMaxGateways));
  CHECK(SelectGateways(kGateways, "n1", kMaxGateways) == kGateways);
}

}  // namespace
}  // namespace rudderloom
