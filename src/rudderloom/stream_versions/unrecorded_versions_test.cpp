// The version at which streams began that no node knows.
#include "rudderloom/stream_versions/unrecorded_versions.hpp"

#include <doctest/doctest.h>  // for TEST_CASE

#include "rudderloom/stream_versions/kept_starts.hpp"  // for KeptStarts

namespace rudderloom {
namespace {

TimePoint At(int milliseconds) {
  return TimePoint(std::chrono::hours(1)) + Duration(milliseconds);
}

VersionsByService Pool(std::set<std::string> versions) {
  return {{"pool", std::move(versions)}};
}

const VersionsByService kFirst = Pool({"v1"});
const VersionsByService kBoth = Pool({"v1", "v2"});
const VersionOfService kFirstOfPool{{"pool", "v1"}};

// A holder that has listed the first version, and sees the second one.
UnrecordedVersions HolderThatSeesSecond(int now) {
  UnrecordedVersions versions;
  versions.Begin(kFirst, At(now));
  versions.Update({kFirst, kBoth, kBoth}, At(now));
  return versions;
}

// Guards against streams that are refused as they began while one version served, at nodes that
// have ended.
TEST_CASE("what no node knows began at the only version that the lease record lists") {
  UnrecordedVersions versions = HolderThatSeesSecond(0);
  CHECK(versions.Current() == kFirstOfPool);
  versions.Update({kBoth, kBoth, kBoth}, At(1'000));
  CHECK(versions.Current() == kFirstOfPool);
}

TEST_CASE("a version is unrecorded for less than a minute, and until it has gone") {
  UnrecordedVersions versions = HolderThatSeesSecond(0);
  versions.Update({kBoth, kBoth, kBoth}, At(49'999));
  CHECK(versions.Current() == kFirstOfPool);
  versions.Update({kBoth, kBoth, kBoth}, At(50'000));
  CHECK(versions.Current().empty());

  versions = HolderThatSeesSecond(0);
  versions.Update({kBoth, Pool({"v2"}), kBoth}, At(1'000));
  CHECK(versions.Current().empty());
  // It may have been missed that streams began meanwhile.
  versions.Update({kBoth, kBoth, kBoth}, At(2'000));
  CHECK(versions.Current().empty());
}

// Guards against a holder that takes what it doesn't know for what never was: the former holder may
// have confirmed starts that it has lost.
TEST_CASE("a holder proves nothing about versions that the lease record listed before it") {
  UnrecordedVersions versions;
  versions.Begin(kBoth, At(0));
  versions.Update({kBoth, kBoth, kBoth}, At(0));
  CHECK(versions.Current().empty());

  versions.Begin({}, At(0));
  versions.Update({{}, kBoth, kBoth}, At(0));
  CHECK(versions.Current().empty());
  versions.Update({kFirst, kBoth, kBoth}, At(1'000));
  CHECK(versions.Current().empty());
}

// Guards against nodes that saw the second version of a new service before the first one.
TEST_CASE("a version must have been listed for some seconds before a second one appears") {
  UnrecordedVersions versions;
  versions.Begin({}, At(0));
  versions.Update({kFirst, kFirst, kFirst}, At(0));
  versions.Update({kFirst, kBoth, kBoth}, At(4'999));
  CHECK(versions.Current().empty());
  // A minute after the second version has gone.
  versions.Update({kFirst, kFirst, kFirst}, At(70'000));
  versions.Update({kFirst, kBoth, kBoth}, At(75'000));
  CHECK(versions.Current() == kFirstOfPool);
}

TEST_CASE("a service to which streams have moved has no unrecorded version") {
  UnrecordedVersions versions;
  versions.Begin(kFirst, At(0));
  versions.Exclude("pool");
  versions.Update({kFirst, kBoth, kBoth}, At(0));
  CHECK(versions.Current().empty());
  versions = HolderThatSeesSecond(0);
  versions.Exclude("pool");
  CHECK(versions.Current().empty());
}

// A node that holds the lease until 10 s and has read what is saved.
struct Holder {
  Holder() {
    knowledge.lately = kBoth;
    knowledge.knows_history = true;
    knowledge.held_until = At(10'000);
    knowledge.epoch = 1;
    knowledge.recorded = kBoth;
    knowledge.unrecorded = kFirstOfPool;
    starts.SetKnowledge(knowledge);
    starts.SetHasLoaded(true);
  }

  StreamAnswer Answer(const std::string& began_as, int now) {
    return starts.Answer({began_as, "pool"}, At(now));
  }

  VersionKnowledge knowledge;
  KeptStarts starts;
};

TEST_CASE("only a holder with a valid lease that has read what is saved names the version") {
  Holder holder;
  CHECK(holder.Answer("s", 9'999).unrecorded_version == "v1");
  CHECK(holder.Answer("s", 10'000).unrecorded_version.empty());
  // Starts of such ids are not recorded.
  CHECK(holder.Answer("", 0).unrecorded_version.empty());
  CHECK(holder.Answer(std::string(65, 's'), 0).unrecorded_version.empty());
  holder.starts.SetHasLoaded(false);
  CHECK(holder.Answer("s", 0).unrecorded_version.empty());
}

// Guards against starts that are taken for older ones because the holder had no room for them.
TEST_CASE("a holder that has dropped starts for want of room names no version for a minute") {
  constexpr int kMoreThanRoom = 200'002;
  Holder holder;
  StreamStarts starts;
  for (int i = 0; i < kMoreThanRoom; ++i) {
    starts.push_back({"s" + std::to_string(i), "v2"});
  }
  holder.starts.Record(starts, At(0));
  CHECK(holder.Answer("unknown", 1).unrecorded_version.empty());
}

// Guards against a new version whose first streams begin before the lease record lists it: the next
// holder would not know that it served.
TEST_CASE("starts are confirmed by a valid lease whose record lists their version") {
  Holder holder;
  const StartsToConfirm second{{{"s", "v2"}}, "pool"};
  CHECK(holder.starts.Confirm(second, At(9'999)));
  CHECK(holder.Answer("s", 9'999).software_version == "v2");
  CHECK_FALSE(holder.starts.Confirm(second, At(10'000)));
  CHECK_FALSE(holder.starts.Confirm({{{"t", "v2"}}, "desk"}, At(0)));
  holder.knowledge.recorded = kFirst;
  holder.starts.SetKnowledge(holder.knowledge);
  CHECK_FALSE(holder.starts.Confirm(second, At(0)));
}

// Guards against a question that is repeated and arrives late, after the stream has begun at
// another version for want of an answer, or against one that arrives before what was told with it.
TEST_CASE("what a node tells of an earlier attempt doesn't replace the version of a later one") {
  Holder holder;
  const StartsToConfirm first{{{"s", "v2", 0}}, "pool"};
  CHECK(holder.starts.Confirm(first, At(0)));
  holder.starts.Record({{"s", "v1", 1}}, At(600));
  CHECK_FALSE(holder.starts.Confirm(first, At(700)));
  holder.starts.Record(first.starts, At(700));
  CHECK(holder.Answer("s", 800).software_version == "v1");
  CHECK(holder.starts.Confirm({{{"s", "v2", 2}}, "pool"}, At(900)));
  CHECK(holder.Answer("s", 900).software_version == "v2");
}

// Guards against clients with long ids whose streams are not confirmed at a new version.
TEST_CASE("starts that can't be recorded are confirmed like others") {
  Holder holder;
  CHECK(holder.starts.Confirm({{{std::string(65, 's'), "v2"}}, "pool"}, At(0)));
  CHECK(holder.starts.Confirm({{{"", "v2"}}, "pool"}, At(0)));
  CHECK_FALSE(holder.starts.Confirm({{{std::string(65, 's'), "v3"}}, "pool"}, At(0)));
}

}  // namespace
}  // namespace rudderloom
