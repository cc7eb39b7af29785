#include "rudderloom/fleet/endpoint_lives.hpp"

#include <doctest/doctest.h>  // for TEST_CASE

namespace rudderloom {
namespace {

EndpointRecord Record(const std::string& id, std::uint64_t born) {
  EndpointRecord record;
  record.id = id;
  record.born = born;
  record.instance = LifeName(id, born);
  record.service = "pool";
  return record;
}

TEST_CASE("an endpoint that starts again under its name ends its earlier life") {
  EndpointLives lives;
  lives.Listed({Record("e1", 1'000), Record("e2", 0)});
  lives.Put(Record("e1", 1'000));
  EndpointChanges changes = lives.Take();
  CHECK(changes.values.size() == 1);
  CHECK(changes.gone.empty());
  lives.Put(Record("e1", 2'000));
  changes = lives.Take();
  REQUIRE(changes.values.size() == 1);
  CHECK(changes.values.front().second.born == 2'000);
  CHECK(changes.gone == std::vector<std::string>{LifeName("e1", 1'000)});
}

TEST_CASE("an entry of an earlier life that comes late is dropped") {
  EndpointLives lives;
  lives.Put(Record("e1", 2'000));
  lives.Take();
  lives.Put(Record("e1", 1'000));
  lives.Put(Record("e1", 0));
  const EndpointChanges changes = lives.Take();
  CHECK(changes.values.empty());
  CHECK(changes.gone.empty());
}

TEST_CASE("the last of several changes counts") {
  EndpointLives lives;
  lives.Listed({Record("e1", 1'000)});
  lives.Gone("e1");
  lives.Put(Record("e1", 1'000));
  EndpointChanges changes = lives.Take();
  CHECK(changes.values.size() == 1);
  CHECK(changes.gone.empty());
  lives.Put(Record("e1", 2'000));
  lives.Gone("e1");
  lives.Gone("e1");
  changes = lives.Take();
  CHECK(changes.values.empty());
  CHECK(changes.gone == std::vector<std::string>{LifeName("e1", 1'000), LifeName("e1", 2'000)});
}

TEST_CASE("lives of one name have names of their own") {
  CHECK(LifeName("e1", 0) == "e1");
  CHECK(LifeName("e1", 1'790'000'000'000) != LifeName("e1", 1'790'000'000'001));
}

}  // namespace
}  // namespace rudderloom
