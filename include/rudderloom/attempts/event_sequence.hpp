/// @file
/// Decides which events of a stream the client gets, over one or more attempts.
#ifndef RUDDERLOOM_ATTEMPTS_EVENT_SEQUENCE_HPP
#define RUDDERLOOM_ATTEMPTS_EVENT_SEQUENCE_HPP

#include <cstddef>   // for size_t
#include <cstdint>   // for uint64_t
#include <optional>  // for optional

#include "rudderloom/attempts/event_framer.hpp"  // for StreamEvent

namespace rudderloom {

/// @brief Joins the attempts at one stream without missing or repeated events. Not thread-safe.
///
/// Ids place a further attempt behind the one before it. Within an attempt events arrive in the
/// order in which they were sent, so none is dropped for its id alone: an id that doesn't fit shows
/// that the endpoint numbers wrongly. The attempt fails if the last id is known to be right, so
/// that another one can go on from there. Otherwise all further events pass, and the stream can't
/// go on elsewhere.
/// @ingroup attempts
class EventSequence {
 public:
  enum class Verdict {
    kPass,
    kDuplicate,  ///< Already forwarded; must be dropped.
    kGap,        ///< An event is missing or has a wrong id; the attempt has failed.
  };

  /// @brief A stream whose ids may begin anywhere and rise in steps that are not known before.
  EventSequence() = default;

  /// @brief A stream whose ids begin at 0 and rise by 1.
  static EventSequence Consecutive();

  /// @brief Begins an attempt. A further one is asked for the events after Last(), and may repeat
  /// earlier ones at its start.
  void BeginAttempt();

  /// @brief Decides on the next event of the attempt.
  Verdict Take(const StreamEvent& event);

  /// @brief False if the attempt must not end the stream, as events may be missing at its end.
  bool MayEnd() const;

  /// @brief Id of the last forwarded event; empty before the first.
  const std::optional<std::uint64_t>& Last() const { return last_; }

  /// @brief True while the ids tell after which event another attempt has to go on.
  bool Resumable() const { return resumable_; }

  /// @brief True if ids contradicted each other and the events were forwarded all the same.
  bool Misnumbered() const { return misnumbered_; }

 private:
  bool IsFurtherAttempt() const { return last_ && !has_new_event_; }
  bool RepeatsLast(const StreamEvent& event) const;
  bool IsLongStep(std::uint64_t id) const;
  Verdict TakeFirst(const StreamEvent& event);
  Verdict TakeNext(const StreamEvent& event);
  Verdict RejectOrGiveUp(bool last_is_right);
  void RecordStep(std::uint64_t step);

  std::optional<std::uint64_t> first_;  // id of the first event, if it is known before
  std::optional<std::uint64_t> last_;
  std::size_t last_text_ = 0;              // hash of the last forwarded event
  std::optional<std::uint64_t> step_;      // largest difference between ids within an attempt
  std::uint32_t regular_steps_ = 0;        // that were as long as step_, up to the last event
  bool has_new_event_ = false;             // this attempt has sent an event that was forwarded
  std::optional<std::uint64_t> repeated_;  // last id that this attempt repeated
  bool resumable_ = true;
  bool misnumbered_ = false;
};

}  // namespace rudderloom

#endif
