#include "forwarding/quarantine_page.hpp"

#include <doctest/doctest.h>  // for TEST_CASE

#include <boost/json.hpp>  // for parse
#include <map>             // for map
#include <string>          // for string

namespace rudderloom {
namespace {

HttpRequest MakeRequest(http::verb verb, const std::string& target) {
  HttpRequest request;
  request.method(verb);
  request.target(target);
  return request;
}

TEST_CASE("operators list quarantined requests and release one of them") {
  const RequestDigest held = DigestOf(RequestIdentity{"h", "/p/", "", "held"});
  const RequestDigest suspect = DigestOf(RequestIdentity{"h", "/p/", "", "suspect"});
  const auto list = std::make_shared<const QuarantineList>(QuarantineList{{held}, {suspect}});
  const auto shown = AnswerQuarantinePage(MakeRequest(http::verb::get, "/quarantine"), list);
  REQUIRE(shown);
  const auto body = boost::json::parse(shown->reply.body).as_object();
  CHECK(body.at("quarantined") == boost::json::array{TextOf(held)});
  CHECK(body.at("suspects") == boost::json::array{TextOf(suspect)});
  CHECK_FALSE(shown->cleared);
  const auto clear =
      AnswerQuarantinePage(MakeRequest(http::verb::delete_, "/quarantine/" + TextOf(held)), list);
  REQUIRE(clear);
  CHECK(clear->reply.status == 202);
  CHECK(clear->cleared == held);
}

TEST_CASE("operators see the ids of prompt parts and release one of them") {
  const RequestDigest part = DigestOfPromptPart(0xbad1);
  const auto list = std::make_shared<const QuarantineList>(QuarantineList{{part}, {}});
  const auto shown = AnswerQuarantinePage(MakeRequest(http::verb::get, "/quarantine"), list);
  REQUIRE(shown);
  const auto body = boost::json::parse(shown->reply.body).as_object();
  CHECK(body.at("quarantined") == boost::json::array{TextOf(part)});
  CHECK(body.at("prompt_parts").as_object().at(TextOf(part)) == "bad1");
  const auto clear =
      AnswerQuarantinePage(MakeRequest(http::verb::delete_, "/quarantine/" + TextOf(part)), list);
  REQUIRE(clear);
  CHECK(clear->cleared == part);
}

TEST_CASE("invalid operator requests get an error and release nothing") {
  const std::string unknown = TextOf(DigestOf(RequestIdentity{"h", "/p/", "", "unknown"}));
  const std::map<std::string, unsigned> statuses{
      {"/quarantine/" + unknown, 404}, {"/quarantine/xyz", 400}, {"/quarantine", 404}};
  for (const auto& entry : statuses) {
    CAPTURE(entry.first);
    const auto answer =
        AnswerQuarantinePage(MakeRequest(http::verb::delete_, entry.first), nullptr);
    REQUIRE(answer);
    CHECK(answer->reply.status == entry.second);
    CHECK_FALSE(answer->cleared);
  }
  CHECK_FALSE(AnswerQuarantinePage(MakeRequest(http::verb::get, "/metrics"), nullptr));
}

}  // namespace
}  // namespace rudderloom
