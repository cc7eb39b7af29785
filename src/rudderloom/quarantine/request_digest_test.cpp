#include "rudderloom/quarantine/request_digest.hpp"

#include <doctest/doctest.h>  // for TEST_CASE

#include <set>  // for set

namespace rudderloom {
namespace {

TEST_CASE("equal requests have equal digests, and any differing part changes the digest") {
  const std::set<RequestDigest> digests{
      DigestOf({"h", "/p/", "member-a", "body"}), DigestOf({"h", "/p/", "member-b", "body"}),
      DigestOf({"h", "/p/", "", "body"}),         DigestOf({"h", "/p/x", "member-a", "body"}),
      DigestOf({"g", "/p/", "member-a", "body"}), DigestOf({"h", "/p/", "member-a", "bodY"}),
      DigestOf({"h", "/p/", "member-a", ""}),     DigestOf({"h", "/p/member-a", "", "body"}),
      DigestOf({"h/p/", "", "member-a", "body"}), DigestOf({"h", "/p/", "member-abody", ""})};
  CHECK(digests.size() == 10);
  CHECK(DigestOf({"h", "/p/", "member-a", "body"}) == DigestOf({"h", "/p/", "member-a", "body"}));
}

TEST_CASE("a digest is parsed from its hex digits") {
  const RequestDigest digest = DigestOf({"h", "/p/", "", "body"});
  CHECK(RequestDigestFromText(TextOf(digest)) == digest);
  CHECK_FALSE(RequestDigestFromText("0").has_value());
}

TEST_CASE("the id of a prompt part can be read from its digest, and no other digest has one") {
  CHECK(PromptPartOf(DigestOfPromptPart(0xbad1)) == "bad1");
  CHECK(PromptPartOf(DigestOfPromptPart(0)) == "0");
  CHECK(PromptPartOf(DigestOfPromptPart(0xffffffffffffffff)) == "ffffffffffffffff");
  CHECK(DigestOfPromptPart(1) != DigestOfPromptPart(2));
  CHECK_FALSE(PromptPartOf(DigestOf(RequestIdentity{"h", "/p/", "", "body"})));
  const RequestDigest part = DigestOfPromptPart(0x9c41d07be2a35f68);
  CHECK(RequestDigestFromText(TextOf(part)) == part);
}

}  // namespace
}  // namespace rudderloom
