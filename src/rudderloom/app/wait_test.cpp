#include "app/wait.hpp"

#include <doctest/doctest.h>  // for TEST_CASE

#include "fakes/no_descriptors.hpp"  // for NoDescriptors

namespace rudderloom {
namespace {

// Guards against a planned stop that ends the process at once when it has no free descriptors.
TEST_CASE("a wait needs no descriptors") {
  constexpr Duration kPause{30};
  const tests::NoDescriptors no_descriptors;
  const TimePoint start = Now();
  CHECK_NOTHROW(BlockFor(kPause));
  CHECK(Now() - start >= kPause);
}

}  // namespace
}  // namespace rudderloom
