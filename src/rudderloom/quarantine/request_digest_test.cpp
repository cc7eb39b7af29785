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

}  // namespace
}  // namespace rudderloom
