#include "forwarding/kept_answer.hpp"

#include <doctest/doctest.h>  // for TEST_CASE

#include <memory>  // for make_unique
#include <vector>  // for vector

namespace rudderloom {
namespace {

constexpr std::size_t kMegabyte = 1024 * 1024;

TEST_CASE("one answer is kept up to its own limit") {
  std::size_t total = 0;
  KeptAnswer kept(total);
  kept.Set(kMegabyte);
  CHECK_FALSE(kept.Full());
  kept.Set(kMegabyte + 1);
  CHECK(kept.Full());
  kept.Set(0);
  CHECK(total == 0);
}

// Guards against many answers that are each short enough, and fill the memory together.
TEST_CASE("all answers of a node together are bounded, and short ones still kept") {
  std::size_t total = 0;
  std::vector<std::unique_ptr<KeptAnswer>> answers;
  bool full = false;
  for (int i = 0; i < 1'000; ++i) {
    answers.push_back(std::make_unique<KeptAnswer>(total));
    answers.back()->Set(kMegabyte / 2);
    if (answers.back()->Full()) {
      full = true;
      answers.back()->Set(2'000);
      CHECK_FALSE(answers.back()->Full());
    }
  }
  CHECK(full);
  CHECK(total < 48 * kMegabyte);
  answers.clear();
  CHECK(total == 0);
}

}  // namespace
}  // namespace rudderloom
