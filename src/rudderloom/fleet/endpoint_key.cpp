#include "rudderloom/fleet/endpoint_key.hpp"

namespace rudderloom {

// FNV-1a, 32 bits: http://www.isthe.com/chongo/tech/comp/fnv/
EndpointKey KeyOf(std::string_view instance) {
  constexpr std::uint32_t kOffset = 2'166'136'261U;
  constexpr std::uint32_t kPrime = 16'777'619U;
  std::uint32_t hash = kOffset;
  for (const char character : instance) {
    hash ^= static_cast<unsigned char>(character);
    hash *= kPrime;
  }
  return hash;
}

}  // namespace rudderloom
