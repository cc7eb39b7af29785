// One request sent to one endpoint once, and its answer.
#ifndef RUDDERLOOM_FORWARDING_ATTEMPT_HPP
#define RUDDERLOOM_FORWARDING_ATTEMPT_HPP

#include <functional>   // for function
#include <optional>     // for optional
#include <string>       // for string
#include <string_view>  // for string_view

#include "rudderloom/forwarding/call_guard.hpp"    // for CallGuard
#include "rudderloom/forwarding/event_framer.hpp"  // for EventSequence
#include "rudderloom/forwarding/forwarder.hpp"     // for ForwardingState

namespace rudderloom {

// When the events of an answer reached the client.
struct StreamPace {
  std::optional<TimePoint> first_at;
  TimePoint last_at;
  Duration longest_pause{0};

  void Passed(TimePoint now) {
    if (first_at) {
      longest_pause = std::max(longest_pause, Between(last_at, now));
    } else {
      first_at = now;
    }
    last_at = now;
  }
};

// What a streamed answer has passed on, over all attempts at it.
struct StreamState {
  bool started = false;  // the client has the head
  EventSequence sequence;
  StreamPace pace;
  std::string weights_version;  // of the first attempt
};

struct AttemptAsk {
  EndpointRecord endpoint;
  const RequestTerms* terms = nullptr;
  const Route* route = nullptr;
  TimePoint time_up;
  CallerTerms caller;
  std::uint32_t urgency = 0;              // of a request for a model, as the endpoint sees it
  std::optional<Duration> first_silence;  // before the answer begins; empty: no limit
  Duration later_silence{0};              // between two pieces of a stream that may be resumed
  StreamState* stream = nullptr;
  std::function<void()> on_sent;   // the request is being written
  std::function<void()> on_begun;  // the answer began
};

enum class AttemptOutcome {
  kAnswered,      // the client has the whole answer, or its connection is gone
  kNotConnected,  // nothing was sent
  kNotRun,        // the endpoint promised that it did not run the request
  kFailed,        // the endpoint may have run it
};

struct AttemptResult {
  AttemptOutcome outcome = AttemptOutcome::kFailed;
  std::string_view reason;    // for counters and logs
  unsigned status = 0;        // of the endpoint's answer, where there is one
  bool not_resident = false;  // the endpoint said that it does not hold the model or adapter
  bool silent = false;        // the endpoint was given up because nothing came from it
  bool refused = false;       // no process listens at the endpoint's address
  bool broken = false;        // its connection ended before the whole answer had come
  std::string error;          // the network's word for it; empty for none
  TimePoint sent_at;          // when the request began to be written
  AttemptMark mark = AttemptMark::kFailed;
  std::optional<Reply> reply;  // a failure that the client may be given as it is
};

// Sends the request and passes a success on; failures are left to the caller to decide about.
Awaitable<AttemptResult> RunAttempt(ForwardingState& state,
                                    HttpExchange& exchange,
                                    CallGuard& guard,
                                    AttemptAsk ask);

}  // namespace rudderloom

#endif
