// Bounds the memory that a node takes for answers that it has not passed on yet.
#ifndef RUDDERLOOM_FORWARDING_KEPT_ANSWER_HPP
#define RUDDERLOOM_FORWARDING_KEPT_ANSWER_HPP

#include <cstddef>  // for size_t

namespace rudderloom {

// What one request keeps of an answer. Kept answers can still be replaced by that of another
// endpoint; longer ones are passed on as they arrive.
class KeptAnswer {
 public:
  // `node_total` is the sum over all requests of the node, and must outlive this object.
  explicit KeptAnswer(std::size_t& node_total) : node_total_(node_total) {}
  KeptAnswer(const KeptAnswer&) = delete;
  KeptAnswer& operator=(const KeptAnswer&) = delete;
  ~KeptAnswer() { Set(0); }

  // Sets the number of bytes that this request keeps.
  void Set(std::size_t bytes) {
    node_total_ = node_total_ - bytes_ + bytes;
    bytes_ = bytes;
  }

  // True if no more may be kept.
  bool Full() const {
    return bytes_ > kMaxBytes || (node_total_ > kMaxBytesOfNode && bytes_ > kAlwaysKeptBytes);
  }

 private:
  static constexpr std::size_t kMaxBytes = 1024 * 1024;
  static constexpr std::size_t kMaxBytesOfNode = 32 * 1024 * 1024;
  // Most answers are shorter.
  static constexpr std::size_t kAlwaysKeptBytes = 4 * 1024;

  std::size_t& node_total_;
  std::size_t bytes_ = 0;
};

}  // namespace rudderloom

#endif
