// The node that grants requests by the work in flight at an endpoint.
#include "rudderloom/forwarding/in_flight_granter.hpp"

#include <doctest/doctest.h>  // for TEST_CASE

#include <set>  // for set

namespace rudderloom {
namespace {

constexpr TimePoint kNow{std::chrono::hours(1)};

FleetView View(std::string holder, std::vector<std::string> standbys) {
  FleetView view;
  view.quota_holder = std::move(holder);
  view.standbys = std::move(standbys);
  return view;
}

TEST_CASE("a new node that knows neither holder nor standbys has no granting node") {
  CHECK(InFlightGranter(FleetView(), 7, {}, kNow).empty());
}

TEST_CASE("the holder and its standbys share the endpoints") {
  const FleetView view = View("holder", {"first", "second"});
  std::set<std::string> chosen;
  for (EndpointKey endpoint = 0; endpoint < 100; ++endpoint) {
    chosen.insert(InFlightGranter(view, endpoint, {}, kNow));
  }
  CHECK(chosen == std::set<std::string>{"holder", "first", "second"});
}

// Guards against an endpoint whose granting node changes with the lease while both nodes run.
TEST_CASE("a change of the lease between the same nodes changes no granting node") {
  const FleetView before = View("a", {"b", "c"});
  const FleetView after = View("b", {"a", "c"});
  for (EndpointKey endpoint = 0; endpoint < 100; ++endpoint) {
    CHECK(InFlightGranter(before, endpoint, {}, kNow) ==
          InFlightGranter(after, endpoint, {}, kNow));
  }
}

TEST_CASE("nodes that did not answer are passed over; without any other there is none") {
  const FleetView view = View("a", {"b"});
  SilentGranters silent;
  const std::string first = InFlightGranter(view, 7, silent, kNow);
  silent.NoAnswer(first, kNow, kNow);
  const std::string second = InFlightGranter(view, 7, silent, kNow);
  CHECK(!second.empty());
  CHECK(second != first);
  silent.NoAnswer(second, kNow, kNow);
  CHECK(InFlightGranter(view, 7, silent, kNow).empty());
  CHECK(InFlightGranter(view, 7, silent, kNow + kSilentGranterTime) == first);
}

}  // namespace
}  // namespace rudderloom
