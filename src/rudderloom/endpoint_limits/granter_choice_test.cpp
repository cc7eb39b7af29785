// Choice of the node that grants by the work in flight at an endpoint.
#include "rudderloom/endpoint_limits/granter_choice.hpp"

#include <doctest/doctest.h>  // for TEST_CASE

#include <algorithm>  // for reverse, remove
#include <map>        // for map

namespace rudderloom {
namespace {

constexpr int kEndpoints = 900;

TimePoint At(int milliseconds) {
  return TimePoint(std::chrono::hours(1)) + Duration(milliseconds);
}

std::vector<std::string> Addresses(int count) {
  std::vector<std::string> addresses;
  addresses.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) {
    addresses.push_back("10.0.0." + std::to_string(i) + ":7000");
  }
  return addresses;
}

// Guards against one node that grants for most endpoints with an eighth of a core.
TEST_CASE("endpoints are divided evenly over the granting nodes") {
  const std::vector<std::string> addresses = Addresses(4);
  std::map<std::string, int> shares;
  for (int i = 0; i < kEndpoints; ++i) {
    ++shares[ChooseGranter(addresses, KeyOf("engine-" + std::to_string(i) + "@1"))];
  }
  for (const std::string& address : addresses) {
    CAPTURE(address);
    CHECK(shares[address] >= kEndpoints / 4 * 3 / 4);
    CHECK(shares[address] <= kEndpoints / 4 * 5 / 4);
  }
}

// Guards against a change of the granting node for endpoints whose own one still runs: each change
// allows an excess of one limit.
TEST_CASE("when a granting node is lost only its own endpoints change to another") {
  const std::vector<std::string> before = Addresses(5);
  std::vector<std::string> after = before;
  after.erase(after.begin() + 2);
  for (int i = 0; i < kEndpoints; ++i) {
    const EndpointKey endpoint = KeyOf("engine-" + std::to_string(i) + "@1");
    const std::string chosen = ChooseGranter(before, endpoint);
    CHECK((chosen == before[2] || ChooseGranter(after, endpoint) == chosen));
  }
}

TEST_CASE("the choice depends neither on the order nor on repeated addresses") {
  const std::vector<std::string> addresses = Addresses(4);
  std::vector<std::string> other = addresses;
  std::reverse(other.begin(), other.end());
  other.push_back(addresses[1]);
  other.emplace_back();
  for (EndpointKey endpoint = 0; endpoint < 100; ++endpoint) {
    CHECK(ChooseGranter(addresses, endpoint) == ChooseGranter(other, endpoint));
  }
}

TEST_CASE("without known nodes none is chosen") {
  CHECK(ChooseGranter({}, 7).empty());
  CHECK(ChooseGranter({""}, 7).empty());
}

// Guards against requests that each wait for the answer of a node that ended.
TEST_CASE("a granting node that did not answer is passed over for some seconds") {
  SilentGranters silent;
  CHECK(!silent.PassedOver("a", At(0)));
  silent.NoAnswer("a", At(0), At(150));
  CHECK(silent.PassedOver("a", At(150)));
  CHECK(!silent.PassedOver("b", At(150)));
  const int until = 150 + static_cast<int>(kSilentGranterTime.count());
  CHECK(silent.PassedOver("a", At(until - 1)));
  CHECK(!silent.PassedOver("a", At(until)));
  silent.NoAnswer("a", At(until), At(until + 150));
  silent.Answered("a", At(until));
  CHECK(!silent.PassedOver("a", At(until + 150)));
}

// Guards against a node that is passed over for one lost message while it answers all others.
TEST_CASE("an answer to a later ask counts more than the silence on an earlier one") {
  SilentGranters silent;
  silent.Answered("a", At(100));
  silent.NoAnswer("a", At(50), At(200));
  CHECK(!silent.PassedOver("a", At(200)));
  silent.NoAnswer("a", At(100), At(250));
  CHECK(silent.PassedOver("a", At(250)));
}

}  // namespace
}  // namespace rudderloom
