#include "rudderloom/fleet/endpoint_source.hpp"

#include <doctest/doctest.h>  // for TEST_CASE

namespace rudderloom {
namespace {

constexpr Duration kOldest{800};

TimePoint At(int milliseconds) {
  return TimePoint(std::chrono::hours(1)) + Duration(milliseconds);
}

// Hears a fresh holder each 250 ms.
void Hear(EndpointSource& source, int from, int until) {
  for (int ms = from; ms < until; ms += 250) {
    source.Heard(Duration(100), At(ms));
  }
}

TEST_CASE("a node relies on the holder once it has been fresh for a while") {
  EndpointSource source(kOldest);
  CHECK(source.Choose(false, At(0)) == EndpointFollowing::kStore);
  Hear(source, 0, 1'000);
  CHECK(source.Choose(false, At(1'000)) == EndpointFollowing::kStore);
  Hear(source, 1'000, 2'000);
  CHECK(source.Choose(false, At(2'000)) == EndpointFollowing::kHolder);
}

TEST_CASE("a holder that falls silent is relied on no longer than its list may be old") {
  EndpointSource source(kOldest);
  Hear(source, 0, 3'000);  // last at 2,750, confirmed at 2,650
  CHECK(source.Choose(false, At(3'400)) == EndpointFollowing::kHolder);
  CHECK(source.Choose(false, At(3'451)) == EndpointFollowing::kStore);
  // One word is not enough to rely on it again.
  source.Heard(Duration(0), At(3'500));
  CHECK(source.Choose(false, At(3'500)) == EndpointFollowing::kStore);
  Hear(source, 3'750, 5'100);
  CHECK(source.Choose(false, At(5'100)) == EndpointFollowing::kHolder);
}

TEST_CASE("a holder that is itself cut off from the store is not relied on") {
  EndpointSource source(kOldest);
  Hear(source, 0, 3'000);
  CHECK(source.Choose(false, At(3'000)) == EndpointFollowing::kHolder);
  source.Heard(Duration(900), At(3'100));
  CHECK(source.Choose(false, At(3'100)) == EndpointFollowing::kStore);
}

TEST_CASE("where leaving endpoints must be known very soon every node asks the store itself") {
  EndpointSource source(Duration(400));
  Hear(source, 0, 3'000);
  CHECK(source.Choose(false, At(3'000)) == EndpointFollowing::kStore);
  CHECK(source.Choose(true, At(3'000)) == EndpointFollowing::kStore);
}

TEST_CASE("the holder follows the store for the others, and starts anew when it is deposed") {
  EndpointSource source(kOldest);
  Hear(source, 0, 3'000);
  CHECK(source.Choose(true, At(3'000)) == EndpointFollowing::kForOthers);
  CHECK(source.Choose(false, At(3'010)) == EndpointFollowing::kStore);
  CHECK_FALSE(source.ConfirmedAt().has_value());
  source.Confirmed(At(3'000));
  CHECK(source.ConfirmedAt() == At(3'000));
}

}  // namespace
}  // namespace rudderloom
