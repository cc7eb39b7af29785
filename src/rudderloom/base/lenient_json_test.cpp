// JSON of which parts are unreadable.
#include "rudderloom/base/lenient_json.hpp"

#include <doctest/doctest.h>  // for TEST_CASE

#include <random>  // for mt19937
#include <string>  // for string
#include <vector>  // for vector

namespace rudderloom {
namespace {

namespace json = boost::json;

std::string Repeated(const std::string& text, int count) {
  std::string repeated;
  for (int i = 0; i < count; ++i) {
    repeated += text;
  }
  return repeated;
}

std::string Nested(const std::string& open, const std::string& close, int depth) {
  return Repeated(open, depth) + "1" + Repeated(close, depth);
}

std::vector<std::string> UnreadableValues() {
  return {R"("\udc80\udcff\ud800")",
          R"("cut \ud83d")",
          "1e99999999999",
          "-1E+4294967296",
          Nested("[", "]", 1'100),
          Nested("{\"a\":", "}", 1'100),
          Nested("[", "]", 200'000),
          Nested("{\"a\":", "}", 200'000),
          "nul",
          "\"\x01\"",
          "01",
          ""};
}

// Guards against a list that is not followed any more because of one entry.
TEST_CASE("one unreadable value leaves all others readable") {
  for (const std::string& odd : UnreadableValues()) {
    CAPTURE(odd.substr(0, 40));
    const std::string text = R"({"items":[{"name":"a","spec":{"x":1}},{"name":"b","spec":{"x":)" +
                             odd + R"(,"y":"[,:\""}},{"name":"c"}],"at":7})";
    json::error_code error;
    const json::value value = ParseLeniently(text, error);
    REQUIRE_FALSE(error);
    const json::object& list = value.as_object();
    CHECK(list.at("at") == 7);
    const json::array& items = list.at("items").as_array();
    REQUIRE(items.size() == 3);
    CHECK(items[0] == json::parse(R"({"name":"a","spec":{"x":1}})"));
    CHECK(items[1].at("name") == "b");
    CHECK(items[1].at("spec").at("y") == "[,:\"");
    // Of a container its readable parts are left.
    const json::value& unreadable = items[1].at("spec").at("x");
    CHECK((unreadable.is_null() || unreadable.is_structured()));
    CHECK(items[2] == json::parse(R"({"name":"c"})"));
  }
}

TEST_CASE("an unreadable element of an array is null") {
  json::error_code error;
  CHECK(ParseLeniently("[1, 1e99999999999 ,{\"a\":2}]", error) ==
        json::parse("[1,null,{\"a\":2}]"));
  CHECK_FALSE(error);
}

TEST_CASE("text without a readable container is an error") {
  for (const char* text :
       {"", "nul", "1e99999999999", "{\"items\":[1", "[\"a]", "{]", "{\"a\\\"}"}) {
    CAPTURE(text);
    json::error_code error;
    const json::value value = ParseLeniently(text, error);
    CHECK((error || value.is_object()));
  }
  json::error_code error;
  ParseLeniently("[\"a]", error);
  CHECK(error);
}

// Guards against a process that ends as it reads what another client wrote.
TEST_CASE("any text is read without an exception, and entries before a broken one are kept") {
  std::mt19937 random(1);
  const std::string entry = R"({"metadata":{"name":"n"},"spec":{"slots":4,"address":"1.2.3.4:5"}})";
  const std::string alphabet = "{}[]\",:\\u0d8e+-1 \x80\x01";
  for (int i = 0; i < 20'000; ++i) {
    std::string odd = entry;
    for (std::size_t changes = 1 + random() % 4; changes > 0; --changes) {
      odd[random() % odd.size()] = alphabet[random() % alphabet.size()];
    }
    json::error_code error;
    std::string text = "[";
    text.append(entry).append(",").append(odd).append("]");
    const json::value value = ParseLeniently(text, error);
    if (!error) {
      REQUIRE(value.is_array());
    }
  }
}

}  // namespace
}  // namespace rudderloom
