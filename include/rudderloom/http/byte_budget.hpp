/// @file
/// A bound on the bytes that many requests hold together.
#ifndef RUDDERLOOM_HTTP_BYTE_BUDGET_HPP
#define RUDDERLOOM_HTTP_BYTE_BUDGET_HPP

#include <cstddef>  // for size_t
#include <limits>   // for numeric_limits

namespace rudderloom {

/// @brief Sum of the bytes that requests hold for one purpose, and its bound. Not thread-safe.
/// @ingroup http
class ByteBudget {
 public:
  /// @param bound In bytes; without one, only the shares' own limits apply.
  explicit ByteBudget(std::size_t bound = std::numeric_limits<std::size_t>::max())
      : bound_(bound) {}

  /// @brief Bytes held by all shares.
  std::size_t Total() const { return total_; }
  std::size_t Bound() const { return bound_; }
  void SetBound(std::size_t bound) { bound_ = bound; }

 private:
  friend class ByteShare;
  std::size_t bound_;
  std::size_t total_ = 0;
};

/// @brief What one request holds of a budget; returned to it on destruction.
/// @ingroup http
class ByteShare {
 public:
  /// @param budget Must outlive this object.
  /// @param free_bytes This many bytes are allowed also when the budget is exhausted, so that
  /// requests of ordinary size are served beside those that exhaust it.
  /// @param max_bytes Limit of this share alone.
  explicit ByteShare(ByteBudget& budget,
                     std::size_t free_bytes = 0,
                     std::size_t max_bytes = std::numeric_limits<std::size_t>::max())
      : budget_(budget), free_bytes_(free_bytes), max_bytes_(max_bytes) {}
  ByteShare(const ByteShare&) = delete;
  ByteShare& operator=(const ByteShare&) = delete;
  ~ByteShare() { Set(0); }

  /// @brief Sets the number of bytes that this request holds.
  void Set(std::size_t bytes) {
    budget_.total_ = budget_.total_ - bytes_ + bytes;
    bytes_ = bytes;
  }

  std::size_t Bytes() const { return bytes_; }

  /// @brief True if this request may hold no more than it does.
  bool Full() const {
    return bytes_ > max_bytes_ || (budget_.total_ > budget_.bound_ && bytes_ > free_bytes_);
  }

 private:
  ByteBudget& budget_;
  const std::size_t free_bytes_;
  const std::size_t max_bytes_;
  std::size_t bytes_ = 0;
};

}  // namespace rudderloom

#endif
