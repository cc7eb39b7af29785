/// @file
/// Passes a stream of server-sent events on, whole events only, over one or more attempts.
#ifndef RUDDERLOOM_ATTEMPTS_EVENT_RELAY_HPP
#define RUDDERLOOM_ATTEMPTS_EVENT_RELAY_HPP

#include <cstdint>      // for int64_t
#include <string>       // for string
#include <string_view>  // for string_view

namespace rudderloom {

/// @brief Joins the attempts at one streamed answer: nothing doubled, nothing lost.
/// Engines number their events by the `id` field; a later attempt asks for what follows the last
/// one with `Last-Event-ID`. Events that come again are dropped, and a gap is an error.
/// @ingroup attempts
class EventRelay {
 public:
  /// @brief What became of a piece.
  enum class Verdict { kFine, kGap };

  /// @brief Takes a piece of the present attempt's body; whole events are appended to `out`.
  Verdict Feed(std::string_view piece, std::string& out);

  /// @brief Starts the next attempt: a half event of the former one is dropped.
  void NextAttempt() { partial_.clear(); }

  /// @brief Number of the last event passed on; -1 before the first.
  std::int64_t LastId() const { return last_id_; }

  /// @brief True once the end mark was passed on.
  bool Done() const { return done_; }

  /// @brief True while every event passed on had a number, so that another attempt can go on.
  bool Resumable() const { return unnumbered_ == 0; }

 private:
  Verdict Event(std::string_view event, std::string& out);

  std::string partial_;
  std::int64_t last_id_ = -1;
  std::int64_t unnumbered_ = 0;
  bool done_ = false;
};

}  // namespace rudderloom

#endif
