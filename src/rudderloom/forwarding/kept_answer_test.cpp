#include "forwarding/kept_answer.hpp"

#include <doctest/doctest.h>  // for TEST_CASE

#include <memory>  // for make_unique
#include <vector>  // for vector

#include "rudderloom/forwarding/reader_memory.hpp"  // for ReaderBounds

namespace rudderloom {
namespace {

constexpr std::size_t kMegabyte = 1024 * 1024;

TEST_CASE("one answer is kept up to its own limit") {
  ByteBudget budget(ReaderBounds().answers);
  KeptAnswer kept(budget);
  kept.Set(kMegabyte);
  CHECK_FALSE(kept.Full());
  kept.Set(kMegabyte + 1);
  CHECK(kept.Full());
  kept.Set(0);
  CHECK(budget.Total() == 0);
}

// Guards against many answers that are each short enough, and fill the memory together.
TEST_CASE("all answers of a node together are bounded, and short ones still kept") {
  ByteBudget budget(ReaderBounds().answers);
  std::vector<std::unique_ptr<KeptAnswer>> answers;
  bool full = false;
  for (int i = 0; i < 1'000; ++i) {
    answers.push_back(std::make_unique<KeptAnswer>(budget));
    answers.back()->Set(kMegabyte / 2);
    if (answers.back()->Full()) {
      full = true;
      answers.back()->Set(2'000);
      CHECK_FALSE(answers.back()->Full());
    }
  }
  CHECK(full);
  CHECK(budget.Total() < 48 * kMegabyte);
  answers.clear();
  CHECK(budget.Total() == 0);
}

}  // namespace
}  // namespace rudderloom
