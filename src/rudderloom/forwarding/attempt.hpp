// A single attempt: sends a request to one endpoint and forwards its answer.
#ifndef RUDDERLOOM_FORWARDING_ATTEMPT_HPP
#define RUDDERLOOM_FORWARDING_ATTEMPT_HPP

#include <functional>   // for function
#include <memory>       // for shared_ptr
#include <optional>     // for optional
#include <string>       // for string
#include <string_view>  // for string_view

#include "rudderloom/attempts/event_sequence.hpp"  // for EventSequence
#include "rudderloom/forwarding/forwarder.hpp"     // for ForwardingState
#include "rudderloom/http/call_guard.hpp"          // for CallGuard

namespace rudderloom {

// Times at which events of an answer were sent to the client.
struct StreamPace {
  std::optional<TimePoint> first_at;
  TimePoint last_at;
  Duration longest_pause{0};

  void RecordEvents(TimePoint now) {
    if (first_at) {
      longest_pause = std::max(longest_pause, Between(last_at, now));
    } else {
      first_at = now;
    }
    last_at = now;
  }
};

// Progress of a streamed answer, across all attempts.
struct StreamState {
  bool started = false;    // the answer header was sent to the client
  bool has_events = true;  // false: a plain answer, which no other endpoint can continue
  EventSequence sequence;
  StreamPace pace;
  std::string weights_version;   // of the first attempt
  std::string software_version;  // of the endpoint that began it; empty: not known
  std::string told_version;      // of the last attempt, which other nodes may have been told
  std::uint32_t times_told = 0;  // versions, with a number each
  bool unconfirmed = false;      // an attempt could not begin it at a version that isn't settled
  std::string_view version_known_by = "answer";  // how this node knows it, for logs
};

struct AttemptParams {
  EndpointRecord endpoint;
  const RequestMetadata* terms = nullptr;
  const Route* route = nullptr;
  TimePoint deadline_at;
  TimePoint send_by = TimePoint::max();  // not sent later
  CallerMetadata caller;
  std::uint32_t urgency = 0;               // only sent for model requests
  std::optional<Duration> answer_timeout;  // until the answer starts; empty: no limit
  Duration event_timeout{0};               // between chunks of a stream that can be resumed
  StreamState* stream = nullptr;
  std::function<void()> on_connecting;      // called when another connection is opened
  std::function<void()> on_sent;            // called when the request is about to be written
  std::function<void()> on_answer_started;  // called when the answer starts
  // Called before the first event of a stream is sent to the client; false if it must not be.
  // Empty: it may be at once.
  std::function<Awaitable<bool>()> may_begin;
};

enum class AttemptOutcome {
  kAnswered,      // the client got the whole answer or disconnected
  kNotConnected,  // nothing was sent
  kNotRun,        // the endpoint guaranteed that the request did not run
  kFailed,        // the endpoint may have run it
};

struct AttemptResult {
  AttemptOutcome outcome = AttemptOutcome::kFailed;
  std::string_view reason;              // for counters and logs
  unsigned status = 0;                  // of the endpoint's answer; 0 if there was none
  bool not_resident = false;            // the endpoint does not hold the model or adapter
  bool silent = false;                  // abandoned because the endpoint sent nothing
  bool refused = false;                 // no process listens at the endpoint's address
  bool broken = false;                  // the connection ended before the answer was complete
  bool ends_with_connection = false;    // as the answer did, so the endpoint may have crashed
  bool through_gateway = false;         // another node was to forward the request
  std::optional<Duration> retry_after;  // for which the endpoint wants no requests
  std::string error;                    // network error message; empty for none
  TimePoint sent_at;                    // when writing the request started
  EndpointFeedback feedback = EndpointFeedback::kFailed;
  std::optional<Reply> reply;       // an error answer that may be forwarded to the client
  std::shared_ptr<ByteShare> kept;  // counts the reply and its copy that is sent
};

// Sends the request and forwards a successful answer. Failures are returned for the caller to
// handle.
Awaitable<AttemptResult> RunAttempt(ForwardingState& state,
                                    HttpExchange& exchange,
                                    CallGuard& guard,
                                    AttemptParams params);

}  // namespace rudderloom

#endif
