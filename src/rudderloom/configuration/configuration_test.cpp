#include "rudderloom/configuration/configuration.hpp"

#include <doctest/doctest.h>  // for TEST_CASE

#include <algorithm>  // for any_of

#include "fakes/cells.hpp"  // for ProvedCell

namespace rudderloom {

namespace {

std::map<std::string, DeclarationSet> ParseSets(const std::string& text) {
  const auto merged = MergeFiles({{"a.json", text}});
  REQUIRE(std::holds_alternative<DeclarationSet>(merged));
  return {{"set", std::get<DeclarationSet>(merged)}};
}

bool RejectsWith(const std::string& text, const std::string& message) {
  const auto catalog = ReadCatalog(ParseSets(text));
  const auto* errors = std::get_if<JsonErrors>(&catalog);
  return errors != nullptr &&
         std::any_of(errors->begin(), errors->end(), [&](const JsonError& error) {
           return error.Text().find(message) != std::string::npos;
         });
}

ConfigurationPtr MakeConfiguration(std::uint64_t generation) {
  auto configuration = std::make_shared<Configuration>();
  configuration->generation = generation;
  return configuration;
}

}  // namespace

TEST_CASE("references between declarations are validated") {
  const std::string model = R"({"name": "m", "version": "1", "pool": "p", "memory": "1GiB"})";
  CHECK(std::holds_alternative<Catalog>(ReadCatalog(ParseSets(R"({"models": [)" + model + "]}"))));
  CHECK(RejectsWith(R"({"models": [)" + model + "," + model + "]}", "is declared twice"));
  CHECK(RejectsWith(
      R"({"adapters": [{"name": "a", "version": "1", "model": "x", "memory": "1MiB"}]})",
      "set/adapters/0/model: model \"x\" is not declared"));
  CHECK(RejectsWith(R"({"models": [{"name": "m", "version": "1", "pool": "p", "memory": "1GB"}]})",
                    "is not a size"));
  CHECK(RejectsWith(R"({"serving_events": [{"name": "e", "start": "noon"}]})", "is not a time"));
  CHECK(RejectsWith(
      R"({"serving_events": [{"name": "e", "start": "2026-12-02T09:00:00Z",
          "priorities": [{"kind": "k", "priority": 1}]}]})",
      "kind \"k\" is not declared"));
}

TEST_CASE("names must be unique across sets and between models and adapters") {
  auto sets = ParseSets(R"({"models": [
      {"name": "m", "version": "1", "pool": "p", "memory": "1GiB"}]})");
  sets["other"] = sets["set"];
  CHECK(std::holds_alternative<JsonErrors>(ReadCatalog(sets)));
  CHECK(RejectsWith(R"({"models": [{"name": "m", "version": "1", "pool": "p", "memory": "1GiB"}],
      "adapters": [{"name": "m", "version": "1", "model": "m", "memory": "1MiB"}]})",
                    "is declared twice"));
}

TEST_CASE("the error for an unknown list names the file") {
  const auto merged = MergeFiles({{"a.json", R"({"modls": []})"}});
  REQUIRE(std::holds_alternative<JsonErrors>(merged));
  CHECK(std::get<JsonErrors>(merged).front().Text() == "a.json/modls: is not a known key");
}

TEST_CASE("a configuration is unchanged after a JSON round trip") {
  Configuration configuration;
  configuration.generation = 7;
  configuration.author = "ada";
  configuration.sets =
      ParseSets(R"({"models": [{"name": "m", "version": "1", "pool": "p", "memory": "1GiB"}]})");
  configuration.drained = {"ep1"};
  const auto read = ConfigurationFromJson(ToJson(configuration));
  REQUIRE(std::holds_alternative<Configuration>(read));
  const auto& restored = std::get<Configuration>(read);
  CHECK(restored.generation == 7);
  CHECK(restored.sets == configuration.sets);
  CHECK(restored.drained == configuration.drained);
  CHECK(restored.catalog.models.at("m").memory == 1ULL << 30);
}

TEST_CASE("an event raises priorities while it is active") {
  const auto catalog = std::get<Catalog>(ReadCatalog(ParseSets(
      R"({"kinds": [{"name": "k", "priority": 6}],
          "serving_events": [{"name": "e", "start": "1970-01-01T00:10:00Z", "length": "10m",
                              "priorities": [{"kind": "k", "priority": 1}]}]})")));
  CHECK(catalog.PriorityOf("k", 599) == 6);
  CHECK(catalog.PriorityOf("k", 600) == 1);
  CHECK(catalog.PriorityOf("k", 1200) == 6);
  CHECK(catalog.PriorityOf("other", 600) == 5);
}

TEST_CASE("configuration never reverts, whatever brings an older one") {
  // Four generations arrive in every possible order.
  std::vector<std::uint64_t> order{1, 2, 3, 4};
  do {
    ConfigurationKeeper keeper;
    std::uint64_t last = 0;
    for (const std::uint64_t generation : order) {
      const bool accepted = keeper.Offer(MakeConfiguration(generation));
      CHECK(accepted == (generation > last));
      last = std::max(last, generation);
      CHECK(keeper.InForce()->generation == last);
    }
  } while (std::next_permutation(order.begin(), order.end()));
  for (const char* fault : {"watch behind", "watch compacted"}) {
    fakes::ProvedCell("configuration applied", fault, "configuration never reverts");
  }
}

}  // namespace rudderloom
