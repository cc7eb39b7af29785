// Bounds the memory that a node takes for answers that its clients have not taken yet.
#ifndef RUDDERLOOM_FORWARDING_KEPT_ANSWER_HPP
#define RUDDERLOOM_FORWARDING_KEPT_ANSWER_HPP

#include "rudderloom/http/byte_budget.hpp"  // for ByteShare

namespace rudderloom {

// What one request holds of an answer: of one that can still be replaced by that of another
// endpoint, and of one that waits to be written to the client. Longer ones are passed on as they
// arrive.
class KeptAnswer : public ByteShare {
 public:
  // Most answers are shorter.
  static constexpr std::size_t kFreeAnswerBytes = 4 * 1024;
  // A stream ends if its event is longer, so that more is kept of it.
  static constexpr std::size_t kFreeEventBytes = 16 * 1024;

  // `budget` is that of the node, and must outlive this object.
  explicit KeptAnswer(ByteBudget& budget, std::size_t free_bytes = kFreeAnswerBytes)
      : ByteShare(budget, free_bytes, kMaxBytes) {}

 private:
  static constexpr std::size_t kMaxBytes = 1024 * 1024;
};

}  // namespace rudderloom

#endif
