// Runs the attempts of a request and records what they show of their endpoints.
#ifndef RUDDERLOOM_FORWARDING_ATTEMPT_RUNNER_HPP
#define RUDDERLOOM_FORWARDING_ATTEMPT_RUNNER_HPP

#include <memory>    // for make_shared
#include <optional>  // for optional
#include <string>    // for string

#include "forwarding/attempt.hpp"            // for AttemptParams
#include "forwarding/forwarded_request.hpp"  // for ForwardedRequest

namespace rudderloom {

// The attempts of one request, one at a time.
class AttemptRunner {
 public:
  // All arguments must outlive this object.
  AttemptRunner(ForwardingState& state, HttpExchange& exchange, ForwardedRequest& request)
      : state_(state), exchange_(exchange), request_(request) {}

  // Sends the request to the endpoint, which was chosen last, and forwards its answer.
  // `endpoint` must outlive the attempt.
  Awaitable<AttemptResult> Run(const EndpointRecord& endpoint);

  // Of the current attempt.
  const std::string& Instance() const { return instance_; }
  // The current attempt has sent nothing yet.
  bool Connecting() const { return connecting_; }

 private:
  // What the end of an attempt is recorded with.
  struct Started {
    const EndpointRecord& endpoint;
    const EndpointLoad& added_load;
    TimePoint at;
  };

  AttemptParams MakeParams(const EndpointRecord& endpoint, TimePoint started) const;
  void AddCallbacks(const EndpointRecord& endpoint,
                    EndpointLoad& added_load,
                    AttemptParams& params);
  EndpointLoad AddedLoad();
  std::optional<Duration> AnswerTimeout() const;
  void RecordStart(const EndpointRecord& endpoint, TimePoint started, AttemptParams& params);
  void AwaitConfirmation(const StreamStart& start, AttemptParams& params);
  void RecordEnd(const Started& attempt, const AttemptResult& result);
  void RecordServiceTime(const Started& attempt);
  void EndSendAlone(const AttemptResult& result);

  ForwardingState& state_;
  HttpExchange& exchange_;
  ForwardedRequest& request_;
  std::string instance_;
  bool connecting_ = false;
};

}  // namespace rudderloom

#endif
