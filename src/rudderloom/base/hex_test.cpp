#include "rudderloom/base/hex.hpp"

#include <doctest/doctest.h>  // for TEST_CASE

#include <array>  // for array

namespace rudderloom {
namespace {

TEST_CASE("bytes are read back from their digits, and from nothing else") {
  const std::array<std::uint8_t, 3> bytes{0, 0x9a, 0xff};
  CHECK(ToHex(bytes) == "009aff");
  std::array<std::uint8_t, 3> read{};
  CHECK(FromHex("009aff", read));
  CHECK(read == bytes);
  for (const char* text : {"", "009af", "009affff", "009ag0", "-09aff", " 09aff"}) {
    CAPTURE(text);
    CHECK_FALSE(FromHex(text, read));
  }
}

}  // namespace
}  // namespace rudderloom
