#include "rudderloom/forwarding/reader_memory.hpp"

#include <algorithm>  // for min
#include <utility>    // for move

namespace rudderloom {

namespace {

constexpr std::size_t kMegabyte = std::size_t{1024} * 1024;
// With a node's own memory of 25 to 40 MB and 240 clients that do not read, a node of 160 MB stays
// below half of its memory.
constexpr std::size_t kAnswersDivisor = 16;
constexpr std::size_t kBodiesDivisor = 8;
constexpr std::size_t kBuffersDivisor = 8;
// A request whose client does not read costs two small buffers, a piece of its answer and the state
// of its coroutines, connections and headers, 0.1 MB in all. At this many, half of the memory is
// left for the rest.
constexpr std::size_t kMemoryPerRequest = 256 * 1024;
// At a delay of 5 ms this allows 100 Mbit/s for one answer.
constexpr std::size_t kOrdinaryBuffer = 64 * 1024;
// Holds an answer of some KB whole.
constexpr std::size_t kSmallBuffer = 16 * 1024;
// Linux doubles the size of a socket's buffer for its own bookkeeping.
constexpr std::size_t kSystemFactor = 2;
// Waits for the network are shorter.
constexpr Duration kSlowReaderTime{1'000};

}  // namespace

ReaderBounds BoundsForMemory(std::uint64_t megabytes) {
  ReaderBounds bounds;
  if (megabytes == 0) {
    return bounds;
  }
  const std::size_t memory = megabytes * kMegabyte;
  bounds.answers = std::min(bounds.answers, memory / kAnswersDivisor);
  bounds.bodies = memory / kBodiesDivisor;
  bounds.buffers = memory / kBuffersDivisor;
  bounds.requests = memory / kMemoryPerRequest;
  return bounds;
}

ReaderMemory::ReaderMemory(const ReaderBounds& bounds) {
  SetBounds(bounds);
}

void ReaderMemory::SetBounds(const ReaderBounds& bounds) {
  bounds_ = bounds;
  answers_.SetBound(bounds.answers);
  bodies_.SetBound(bounds.bodies);
}

bool ReaderMemory::BeginRequest() {
  if (requests_ >= bounds_.requests) {
    return false;
  }
  ++requests_;
  return true;
}

std::size_t ReaderMemory::ReserveBuffer() {
  if (bounds_.buffers == 0) {
    return 0;
  }
  const bool fits = reserved_ + kSystemFactor * kOrdinaryBuffer <= bounds_.buffers;
  const std::size_t bytes = fits ? kOrdinaryBuffer : kSmallBuffer;
  reserved_ += kSystemFactor * bytes;
  return bytes;
}

void ReaderMemory::ReleaseBuffer(std::size_t bytes) {
  reserved_ -= kSystemFactor * bytes;
}

ReaderMemory::Writes::iterator ReaderMemory::BeginWrite(std::string request_id,
                                                        std::size_t bytes,
                                                        TimePoint now) {
  return writes_.insert(writes_.end(), WaitingWrite{std::move(request_id), bytes, now});
}

std::optional<WaitingWrite> ReaderMemory::EndWrite(Writes::iterator write) {
  WaitingWrite ended = std::move(*write);
  writes_.erase(write);
  if (!ended.reported) {
    return std::nullopt;
  }
  --slow_readers_;
  return ended;
}

// Writes are in the order in which they began.
std::vector<WaitingWrite> ReaderMemory::Review(TimePoint now) {
  std::vector<WaitingWrite> due;
  for (WaitingWrite& write : writes_) {
    if (now - write.since < kSlowReaderTime) {
      break;
    }
    if (!write.reported) {
      write.reported = true;
      ++slow_readers_;
      due.push_back(write);
    }
  }
  return due;
}

}  // namespace rudderloom
