#include "rudderloom/attempts/event_sequence.hpp"

#include <doctest/doctest.h>  // for TEST_CASE

#include <string>  // for string
#include <vector>  // for vector

namespace rudderloom {
namespace {

using Verdict = EventSequence::Verdict;

std::vector<Verdict> TakeAll(EventSequence& sequence, const std::vector<std::uint64_t>& ids) {
  std::vector<Verdict> verdicts;
  verdicts.reserve(ids.size());
  for (const std::uint64_t id : ids) {
    verdicts.push_back(sequence.Take({"event " + std::to_string(verdicts.size()), id}));
  }
  return verdicts;
}

std::vector<Verdict> Passes(std::size_t count) {
  return std::vector<Verdict>(count, Verdict::kPass);
}

TEST_CASE("a sequence drops duplicate events and detects gaps") {
  EventSequence sequence;
  CHECK(sequence.Take({"", 10}) == Verdict::kPass);
  CHECK(sequence.Take({"", 12}) == Verdict::kPass);
  CHECK(sequence.Take({"", 12}) == Verdict::kDuplicate);
  CHECK(sequence.Take({"", 16}) == Verdict::kGap);
  CHECK(sequence.Take({"", 14}) == Verdict::kPass);
  CHECK(sequence.Resumable());
  CHECK(sequence.Take({"", std::nullopt}) == Verdict::kPass);
  CHECK_FALSE(sequence.Resumable());
}

// Guards against events dropped as duplicates, as an earlier one had an id that was too high.
TEST_CASE("events behind a wrong first or second id pass, and the stream can't be resumed") {
  for (const std::vector<std::uint64_t>& ids :
       {std::vector<std::uint64_t>{71, 2, 3, 4}, {1, 28, 3, 4}, {1, 1, 3, 4}, {4, 0, 5, 6}}) {
    EventSequence sequence;
    sequence.BeginAttempt();
    CHECK(TakeAll(sequence, ids) == Passes(ids.size()));
    CHECK(sequence.Misnumbered());
    CHECK_FALSE(sequence.Resumable());
    CHECK(sequence.MayEnd());
  }
}

TEST_CASE("an id that doesn't rise behind regular ones ends the attempt") {
  for (const std::uint64_t wrong : {0, 1, 3, 4}) {
    EventSequence sequence;
    sequence.BeginAttempt();
    CHECK(TakeAll(sequence, {2, 3, 4}) == Passes(3));
    CHECK(sequence.Take({"wrong", wrong}) == Verdict::kGap);
    CHECK(sequence.Last() == 4U);
    CHECK(sequence.Resumable());
  }
}

TEST_CASE("a further attempt may repeat events up to the last one, and no others") {
  EventSequence sequence;
  sequence.BeginAttempt();
  CHECK(TakeAll(sequence, {1, 2, 3}) == Passes(3));
  EventSequence skips = sequence;
  skips.BeginAttempt();
  CHECK(skips.Take({"event 0", 1}) == Verdict::kDuplicate);
  CHECK(skips.Take({"event 3", 4}) == Verdict::kGap);
  EventSequence differs = sequence;
  differs.BeginAttempt();
  CHECK(differs.Take({"event 3", 3}) == Verdict::kGap);
  sequence.BeginAttempt();
  CHECK(sequence.Take({"event 1", 2}) == Verdict::kDuplicate);
  CHECK_FALSE(sequence.MayEnd());
  CHECK(sequence.Take({"event 2", 3}) == Verdict::kDuplicate);
  CHECK(sequence.MayEnd());
  CHECK(sequence.Take({"event 3", 4}) == Verdict::kPass);
}

// Guards against streams that end as complete, as a wrong id lay behind the last event.
TEST_CASE("a further attempt without events ends the stream only behind an id that is right") {
  EventSequence right;
  right.BeginAttempt();
  TakeAll(right, {1, 2, 3});
  right.BeginAttempt();
  CHECK(right.MayEnd());
  EventSequence unknown;
  unknown.BeginAttempt();
  TakeAll(unknown, {71});
  CHECK(unknown.MayEnd());
  unknown.BeginAttempt();
  CHECK_FALSE(unknown.MayEnd());
}

TEST_CASE("an event without an id begins no further attempt") {
  EventSequence sequence;
  sequence.BeginAttempt();
  TakeAll(sequence, {1, 2, 3});
  sequence.BeginAttempt();
  CHECK(sequence.Take({"event", std::nullopt}) == Verdict::kGap);
}

}  // namespace
}  // namespace rudderloom
