/// @file
/// Decides how much memory a node spends on requests whose clients or endpoints read slowly.
#ifndef RUDDERLOOM_FORWARDING_READER_MEMORY_HPP
#define RUDDERLOOM_FORWARDING_READER_MEMORY_HPP

#include <cstdint>   // for uint64_t
#include <list>      // for list
#include <optional>  // for optional
#include <string>    // for string
#include <vector>    // for vector

#include "rudderloom/base/clock.hpp"        // for TimePoint
#include "rudderloom/http/byte_budget.hpp"  // for ByteBudget

namespace rudderloom {

/// @brief Bounds over all requests of a node.
/// @ingroup forwarding
struct ReaderBounds {
  static constexpr std::size_t kNone = std::numeric_limits<std::size_t>::max();
  /// @brief Bytes of answers that are kept or wait to be written.
  std::size_t answers = std::size_t{32} * 1024 * 1024;
  std::size_t bodies = kNone;  ///< Bytes of request bodies beyond what each request may hold.
  std::size_t buffers = 0;     ///< Bytes of socket buffers of ordinary size; 0: left to the system.
  std::size_t requests = kNone;  ///< Requests in progress.
};

/// @brief Returns the bounds for a node that may use this much memory; 0 if it is not known, which
/// bounds kept answers only.
/// @ingroup forwarding
ReaderBounds BoundsForMemory(std::uint64_t megabytes);

/// @brief A write to a client that has not taken all of it.
/// @ingroup forwarding
struct WaitingWrite {
  std::string request_id;
  std::size_t bytes = 0;
  TimePoint since;
  bool reported = false;  ///< It has waited so long that nothing is read from its endpoint.
};

/// @brief Memory that requests hold because a client or an endpoint does not read. Pure decisions
/// and sums; not thread-safe.
///
/// A request reads the next piece of an answer only once its client has taken the one before, so
/// that a client that stops reading holds one piece and the socket buffers. The sum of the pieces
/// and the sizes of the buffers are decided here.
/// @ingroup forwarding
class ReaderMemory {
 public:
  using Writes = std::list<WaitingWrite>;

  ReaderMemory() : ReaderMemory(ReaderBounds()) {}
  explicit ReaderMemory(const ReaderBounds& bounds);

  /// @brief Sets the bounds, before the first request.
  void SetBounds(const ReaderBounds& bounds);

  ByteBudget& Answers() { return answers_; }
  ByteBudget& Bodies() { return bodies_; }

  /// @brief Counts a request in; false if the node has as many as its memory allows.
  bool BeginRequest();
  void EndRequest() { --requests_; }
  std::size_t Requests() const { return requests_; }

  /// @brief Returns the buffer size for a further socket, to pass to ReleaseBuffer later: ordinary
  /// while such buffers are within their share of the memory, else small; 0 if the system decides.
  std::size_t ReserveBuffer();
  void ReleaseBuffer(std::size_t bytes);
  /// @brief What the sockets may take in the system, in bytes.
  std::size_t ReservedBuffers() const { return reserved_; }

  Writes::iterator BeginWrite(std::string request_id, std::size_t bytes, TimePoint now);
  /// @brief Returns the write if it has been reported.
  std::optional<WaitingWrite> EndWrite(Writes::iterator write);
  /// @brief Returns writes that are to be reported now.
  std::vector<WaitingWrite> Review(TimePoint now);
  /// @brief Writes that have been reported and go on waiting.
  std::size_t SlowReaders() const { return slow_readers_; }

 private:
  ReaderBounds bounds_;
  ByteBudget answers_;
  ByteBudget bodies_;
  std::size_t requests_ = 0;
  std::size_t reserved_ = 0;
  Writes writes_;
  std::size_t slow_readers_ = 0;
};

/// @brief Counts a request while it lasts.
/// @ingroup forwarding
class RequestSlot {
 public:
  /// @param memory Must outlive this object.
  explicit RequestSlot(ReaderMemory& memory) : memory_(memory), admitted_(memory.BeginRequest()) {}
  RequestSlot(const RequestSlot&) = delete;
  RequestSlot& operator=(const RequestSlot&) = delete;
  ~RequestSlot() {
    if (admitted_) {
      memory_.EndRequest();
    }
  }

  /// @brief False if the request must be refused.
  bool Admitted() const { return admitted_; }

 private:
  ReaderMemory& memory_;
  const bool admitted_;
};

/// @brief Reserves the buffer of one socket.
/// @ingroup forwarding
class BufferSlot {
 public:
  /// @param memory Must outlive this object.
  explicit BufferSlot(ReaderMemory& memory) : memory_(memory), bytes_(memory.ReserveBuffer()) {}
  BufferSlot(const BufferSlot&) = delete;
  BufferSlot& operator=(const BufferSlot&) = delete;
  ~BufferSlot() { memory_.ReleaseBuffer(bytes_); }

  std::size_t Bytes() const { return bytes_; }

 private:
  ReaderMemory& memory_;
  const std::size_t bytes_;
};

}  // namespace rudderloom

#endif
