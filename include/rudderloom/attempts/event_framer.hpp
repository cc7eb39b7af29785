/// @file
/// Splits a stream of server-sent events into complete events.
#ifndef RUDDERLOOM_ATTEMPTS_EVENT_FRAMER_HPP
#define RUDDERLOOM_ATTEMPTS_EVENT_FRAMER_HPP

#include <cstdint>      // for uint64_t
#include <optional>     // for optional
#include <string>       // for string
#include <string_view>  // for string_view

namespace rudderloom {

/// @brief One complete event, including the blank line that ends it.
/// @ingroup attempts
struct StreamEvent {
  std::string text;
  std::optional<std::uint64_t> id;
};

/// @brief Buffers body chunks and extracts complete events.
/// @ingroup attempts
class EventFramer {
 public:
  void Feed(std::string_view chunk) { pending_ += chunk; }

  /// @brief Returns the next complete event; empty until more data has arrived.
  std::optional<StreamEvent> Next();

  /// @brief True while an incomplete event is buffered.
  bool HasPartial() const { return !pending_.empty(); }
  std::size_t PartialBytes() const { return pending_.size(); }

 private:
  std::string pending_;
};

}  // namespace rudderloom

#endif
