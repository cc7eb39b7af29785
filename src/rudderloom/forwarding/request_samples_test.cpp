// Load: long prompts with short answers, which fill an engine while most of its slots are free.
#include "forwarding/request_samples.hpp"

#include <doctest/doctest.h>  // for TEST_CASE

namespace rudderloom {
namespace {

constexpr EngineLimits kLimits{64, Duration(400)};

// The work of an engine that processes 20 prompt tokens a millisecond.
WorkModel LearnedWork() {
  WorkModel work;
  for (std::uint64_t i = 0; i < 60; ++i) {
    const std::uint64_t tokens = 500 + 100 * (i % 20);
    StreamSample sample;
    sample.work = {tokens, 0};
    sample.tokens_out = 24;
    sample.first_event = Duration(30 + tokens / 20);
    sample.longest_pause = Duration(40);
    sample.hold_time = Duration(300);
    work.RecordStream("pool", "m", sample);
  }
  return work;
}

RequestMetadata MakeTerms(std::uint64_t tokens_in) {
  RequestMetadata terms;
  terms.model = std::string("m");
  terms.tokens_in = tokens_in;
  terms.tokens_out = 24;
  return terms;
}

// The failure: copies of a model stayed few while its engines refused most requests, since demand
// counted slots alone and these were free.
TEST_CASE("demand of long prompts fills an engine at the rate that keeps pauses short") {
  const WorkModel work = LearnedWork();
  const RequestMetadata terms = MakeTerms(2'000);
  const Duration spacing = *work.PromptSpacing("pool", "m", 2'000, kLimits.longest_pause);
  const Duration offered = OfferedEngineTime(work, "pool", terms, kLimits);
  CHECK(offered == spacing * kLimits.slots);
  CHECK(offered > OfferedTime(work, "pool", terms));
}

TEST_CASE("demand of short prompts with long answers counts slots") {
  const WorkModel work = LearnedWork();
  RequestMetadata terms = MakeTerms(100);
  terms.tokens_out = 2'000;
  CHECK(OfferedEngineTime(work, "pool", terms, kLimits) == OfferedTime(work, "pool", terms));
  const EngineLimits any_pause{64, Duration(0)};
  CHECK(OfferedEngineTime(work, "pool", terms, any_pause) == OfferedTime(work, "pool", terms));
}

}  // namespace
}  // namespace rudderloom
