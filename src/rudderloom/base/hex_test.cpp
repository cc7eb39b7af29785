#include "rudderloom/base/hex.hpp"

#include <doctest/doctest.h>  // for TEST_CASE

#include <array>  // for array

namespace rudderloom {
namespace {

TEST_CASE("FromHex decodes the output of ToHex and rejects other text") {
  const std::array<std::uint8_t, 3> bytes{0, 0x9a, 0xff};
  CHECK(ToHex(bytes) == "009aff");
  std::array<std::uint8_t, 3> decoded{};
  CHECK(FromHex("009aff", decoded));
  CHECK(decoded == bytes);
  for (const char* text : {"", "009af", "009affff", "009ag0", "-09aff", " 09aff"}) {
    CAPTURE(text);
    CHECK_FALSE(FromHex(text, decoded));
  }
}

}  // namespace
}  // namespace rudderloom
