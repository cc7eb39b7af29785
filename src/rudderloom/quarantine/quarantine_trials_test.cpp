#include "rudderloom/quarantine/quarantine_trials.hpp"

#include <doctest/doctest.h>  // for TEST_CASE

namespace rudderloom {
namespace {

TimePoint At(int milliseconds) {
  return TimePoint(std::chrono::hours(1)) + Duration(milliseconds);
}

QuarantineListPtr Quarantined(std::set<RequestDigest> digests) {
  return std::make_shared<const QuarantineList>(QuarantineList{std::move(digests), {}});
}

const RequestDigest kPart = DigestOfPromptPart(1);
const RequestDigest kOtherPart = DigestOfPromptPart(2);

// Guards against parts that stay quarantined as no request with them runs any more.
TEST_CASE("single requests with a quarantined part run, with longer and longer pauses") {
  QuarantineTrials trials;
  trials.Follow(Quarantined({kPart}), At(0));
  CHECK_FALSE(trials.Take(kPart, At(19'999)));
  CHECK(trials.Take(kPart, At(20'000)));
  CHECK_FALSE(trials.Take(kPart, At(20'001)));
  // Other changes of the list don't begin the schedule anew.
  trials.Follow(Quarantined({kPart, kOtherPart}), At(30'000));
  CHECK_FALSE(trials.Take(kPart, At(119'999)));
  CHECK(trials.Take(kPart, At(120'000)));
  CHECK_FALSE(trials.Take(kPart, At(619'999)));
  CHECK(trials.Take(kOtherPart, At(50'000)));
}

TEST_CASE("requests quarantined as a whole, and what is not quarantined, get no trial") {
  const RequestDigest request = DigestOf(RequestIdentity{"h", "/p/", "", "body"});
  QuarantineTrials trials;
  trials.Follow(Quarantined({request}), At(0));
  CHECK_FALSE(trials.Take(request, At(100'000)));
  CHECK_FALSE(trials.Take(kPart, At(100'000)));
}

TEST_CASE("a part that was released, or a holder that gave the lease up, begins anew") {
  QuarantineTrials trials;
  trials.Follow(Quarantined({kPart}), At(0));
  trials.Follow(nullptr, At(10'000));
  trials.Follow(Quarantined({kPart}), At(15'000));
  CHECK_FALSE(trials.Take(kPart, At(20'000)));
  CHECK(trials.Take(kPart, At(35'000)));
}

}  // namespace
}  // namespace rudderloom
