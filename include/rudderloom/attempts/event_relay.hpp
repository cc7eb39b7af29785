/// @file
/// Forwards the complete events of a stream of server-sent events, over one or more attempts.
#ifndef RUDDERLOOM_ATTEMPTS_EVENT_RELAY_HPP
#define RUDDERLOOM_ATTEMPTS_EVENT_RELAY_HPP

#include <cstddef>      // for size_t
#include <cstdint>      // for int64_t
#include <string>       // for string
#include <string_view>  // for string_view

#include "rudderloom/attempts/event_framer.hpp"    // for EventFramer
#include "rudderloom/attempts/event_sequence.hpp"  // for EventSequence

namespace rudderloom {

/// @brief Joins the attempts at one streamed answer without duplicate or missing events. Engines
/// number their events in the `id` field. A later attempt requests the events after the last one
/// with `Last-Event-ID`. Events that it repeats are dropped, and an id that doesn't follow the one
/// before is an error.
/// @ingroup attempts
class EventRelay {
 public:
  /// @brief Result of processing a chunk.
  enum class Verdict {
    kOk,
    kGap,      ///< An event is missing or has a wrong id.
    kTooLong,  ///< An event is longer than kMaxEventBytes.
  };

  /// @brief The most that is held of an incomplete event, in bytes.
  static constexpr std::size_t kMaxEventBytes = 1024 * 1024;

  /// @brief Processes a body chunk of the current attempt and appends complete events to `out`. The
  /// attempt has failed unless the verdict is kOk.
  Verdict Feed(std::string_view chunk, std::string& out);

  /// @brief Starts the next attempt and drops an incomplete event of the previous one.
  void NextAttempt();

  /// @brief Id of the last forwarded event; -1 before the first.
  std::int64_t LastId() const;

  /// @brief True once the end-of-stream event was forwarded.
  bool Done() const { return done_; }

  /// @brief True while every forwarded event had an id, so that another attempt can resume the
  /// stream.
  bool Resumable() const { return sequence_.Resumable(); }

 private:
  Verdict AppendEvent(const StreamEvent& event, std::string& out);

  EventFramer framer_;
  EventSequence sequence_ = EventSequence::Consecutive();
  bool done_ = false;
};

}  // namespace rudderloom

#endif
