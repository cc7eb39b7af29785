// At which software versions streams began, and which versions serve.
#include <doctest/doctest.h>  // for TEST_CASE

#include "rudderloom/stream_versions/service_versions.hpp"
#include "rudderloom/stream_versions/version_book.hpp"

namespace rudderloom {
namespace {

TimePoint At(int milliseconds) {
  return TimePoint(std::chrono::hours(1)) + Duration(milliseconds);
}

TEST_CASE("the version of a stream is remembered for a minute after its last start") {
  VersionBook book;
  book.Record({"a", "v1"}, At(0));
  book.Record({"b", "v1"}, At(0));
  // The first endpoint ended before it sent an event.
  book.Record({"a", "v2"}, At(30'000));
  CHECK(book.Find("a") == "v2");
  CHECK(book.Find("c").empty());
  book.Trim(At(60'000));
  CHECK(book.Find("a") == "v2");
  CHECK(book.Find("b").empty());
  CHECK(book.All() == StreamStarts{{"a", "v2"}});
  book.Trim(At(90'000));
  CHECK(book.All().empty());
}

TEST_CASE("a service has several versions until one has not served for a minute") {
  ServiceVersions versions;
  CHECK(!versions.Observe({{"pool", {"v1"}}, {"desk", {"v1"}}}, At(0)));
  CHECK(versions.Only("pool") == "v1");
  CHECK(versions.Observe({{"pool", {"v1", "v2"}}, {"desk", {"v1"}}}, At(1'000)));
  CHECK(!versions.Observe({{"pool", {"v2"}}, {"desk", {"v1"}}}, At(2'000)));
  CHECK(versions.SeveralLately("pool"));
  CHECK(versions.Only("pool").empty());
  CHECK(!versions.SeveralLately("desk"));
  CHECK(!versions.SeveralLately("other"));
  CHECK(!versions.Observe({{"pool", {"v2"}}}, At(61'000)));
  CHECK(versions.Only("pool") == "v2");
}

}  // namespace
}  // namespace rudderloom
