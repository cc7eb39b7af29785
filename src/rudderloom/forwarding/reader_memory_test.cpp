// Decisions about memory for slow clients and endpoints, at the loads of the deployments.
#include "rudderloom/forwarding/reader_memory.hpp"

#include <doctest/doctest.h>  // for TEST_CASE

#include <memory>  // for unique_ptr

#include "forwarding/kept_answer.hpp"  // for KeptAnswer

namespace rudderloom {
namespace {

constexpr std::size_t kMegabyte = std::size_t{1024} * 1024;
constexpr std::uint64_t kNodeMegabytes = 160;
constexpr int kSlowClients = 240;
constexpr std::size_t kPieceBytes = 16 * 1024;

struct SlowRequest {
  explicit SlowRequest(ReaderMemory& memory)
      : slot(memory), client(memory), endpoint(memory), answer(memory.Answers()) {}
  RequestSlot slot;
  BufferSlot client;
  BufferSlot endpoint;
  KeptAnswer answer;
};

// Reads an answer without end as a request does whose client takes nothing of it.
void ReadUntilPaused(SlowRequest& request) {
  while (!request.answer.Full()) {
    request.answer.Set(request.answer.Bytes() + kPieceBytes);
  }
}

// Load: 240 clients that ask for 16 MB each and read nothing, at a node of 160 MB. Guards against
// pieces that wait to be written and are counted nowhere, and against buffers of any size.
TEST_CASE("240 clients that don't read leave a node of 160 MB 30 MB of its half for itself") {
  ReaderMemory memory(BoundsForMemory(kNodeMegabytes));
  std::vector<std::unique_ptr<SlowRequest>> requests;
  for (int i = 0; i < kSlowClients; ++i) {
    requests.push_back(std::make_unique<SlowRequest>(memory));
    REQUIRE(requests.back()->slot.Admitted());
    ReadUntilPaused(*requests.back());
  }
  CHECK(memory.Answers().Total() + memory.ReservedBuffers() <
        (kNodeMegabytes / 2 - 30) * kMegabyte);
  requests.clear();
  CHECK(memory.Answers().Total() == 0);
  CHECK(memory.ReservedBuffers() == 0);
  CHECK(memory.Requests() == 0);
}

// Load: as above, and ordinary requests beside them. Guards against others that fail or wait while
// slow readers hold all that may be held.
TEST_CASE("ordinary answers, events and bodies are allowed while slow readers hold all") {
  ReaderMemory memory(BoundsForMemory(kNodeMegabytes));
  std::vector<std::unique_ptr<SlowRequest>> slow;
  for (int i = 0; i < kSlowClients; ++i) {
    slow.push_back(std::make_unique<SlowRequest>(memory));
    ReadUntilPaused(*slow.back());
  }
  REQUIRE(memory.Answers().Total() > memory.Answers().Bound());
  SlowRequest ordinary(memory);
  CHECK(ordinary.slot.Admitted());
  CHECK(ordinary.client.Bytes() == 16 * 1024);
  ordinary.answer.Set(4 * 1024);
  CHECK_FALSE(ordinary.answer.Full());
  KeptAnswer event(memory.Answers(), KeptAnswer::kFreeEventBytes);
  event.Set(16 * 1024);
  CHECK_FALSE(event.Full());
}

// Load: clients that leave their answers unread, as many as connect. Guards against a node that
// fails by the small cost of each request.
TEST_CASE("a node admits as many requests as it has memory for, and more once some have ended") {
  ReaderMemory memory(BoundsForMemory(kNodeMegabytes));
  std::vector<std::unique_ptr<SlowRequest>> requests;
  while (true) {
    auto request = std::make_unique<SlowRequest>(memory);
    if (!request->slot.Admitted()) {
      break;
    }
    ReadUntilPaused(*request);
    requests.push_back(std::move(request));
  }
  CHECK(requests.size() == 640);
  CHECK(memory.Answers().Total() + memory.ReservedBuffers() < kNodeMegabytes * kMegabyte / 2);
  requests.pop_back();
  CHECK(RequestSlot(memory).Admitted());
}

// Load: bodies of 4 MB that are sent slowly, or to endpoints that don't read. Guards against bodies
// that are each allowed and fill the memory together.
TEST_CASE("request bodies are bounded together, and short ones still accepted") {
  ReaderMemory memory(BoundsForMemory(kNodeMegabytes));
  std::vector<std::unique_ptr<ByteShare>> bodies;
  for (int i = 0; i < kSlowClients; ++i) {
    bodies.push_back(std::make_unique<ByteShare>(memory.Bodies(), 2 * kPieceBytes));
    while (!bodies.back()->Full() && bodies.back()->Bytes() < 8 * kMegabyte) {
      bodies.back()->Set(bodies.back()->Bytes() + 2 * kPieceBytes);
    }
    if (bodies.back()->Full()) {
      bodies.pop_back();
    }
  }
  CHECK(memory.Bodies().Total() <= kNodeMegabytes * kMegabyte / 8);
  ByteShare ordinary(memory.Bodies(), 2 * kPieceBytes);
  ordinary.Set(2 * kPieceBytes);
  CHECK_FALSE(ordinary.Full());
}

TEST_CASE("buffers are of ordinary size until their share of the memory is taken") {
  ReaderMemory memory(BoundsForMemory(kNodeMegabytes));
  std::vector<std::unique_ptr<BufferSlot>> slots;
  while (slots.empty() || slots.back()->Bytes() == 64 * 1024) {
    slots.push_back(std::make_unique<BufferSlot>(memory));
  }
  // 80 requests with two sockets each, and one more.
  CHECK(slots.size() == 161);
  CHECK(memory.ReservedBuffers() <= kNodeMegabytes * kMegabyte / 8 + 32 * 1024);
  slots.clear();
  CHECK(BufferSlot(memory).Bytes() == 64 * 1024);
}

// Guards against changes for deployments whose settings state no memory.
TEST_CASE("without a known memory only kept answers are bounded") {
  ReaderMemory memory(BoundsForMemory(0));
  CHECK(memory.ReserveBuffer() == 0);
  CHECK(memory.Answers().Bound() == 32 * kMegabyte);
  ByteShare body(memory.Bodies());
  body.Set(1'000 * kMegabyte);
  CHECK_FALSE(body.Full());
  for (int i = 0; i < 10'000; ++i) {
    REQUIRE(memory.BeginRequest());
  }
}

// Guards against a log line for each wait of an ordinary write, and more than one for a slow one.
TEST_CASE("a write is reported once it has waited for a second") {
  ReaderMemory memory;
  const TimePoint start = Now();
  const auto quick = memory.BeginWrite("quick", 1, start);
  const auto slow = memory.BeginWrite("slow", 2, start);
  const auto later = memory.BeginWrite("later", 3, start + Duration(500));
  CHECK(memory.Review(start + Duration(999)).empty());
  CHECK_FALSE(memory.EndWrite(quick));
  const auto due = memory.Review(start + Duration(1'000));
  REQUIRE(due.size() == 1);
  CHECK(due.front().request_id == "slow");
  CHECK(memory.SlowReaders() == 1);
  CHECK(memory.Review(start + Duration(1'400)).empty());
  const auto ended = memory.EndWrite(slow);
  REQUIRE(ended);
  CHECK(ended->bytes == 2);
  CHECK(memory.SlowReaders() == 0);
  CHECK_FALSE(memory.EndWrite(later));
}

}  // namespace
}  // namespace rudderloom
