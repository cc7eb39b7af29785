// Decides whether a request is sent to another endpoint after an attempt.
#ifndef RUDDERLOOM_FORWARDING_RETRY_DECISION_HPP
#define RUDDERLOOM_FORWARDING_RETRY_DECISION_HPP

#include <string>  // for string

#include "forwarding/forwarded_request.hpp"  // for ForwardedRequest

namespace rudderloom {

// The retries of one request by this node.
class RetryDecision {
 public:
  // All arguments must outlive this object.
  RetryDecision(ForwardingState& state, ForwardedRequest& request)
      : state_(state), request_(request) {}

  // Abandons a silent endpoint only if another one can take the request, or the rest of its stream,
  // and the retry budget allows it, and takes the retry from the budget at once. Otherwise a
  // pending answer would be lost for nothing.
  bool MayAbandon(const std::string& instance);

  // Records an attempt after which the request may have run.
  void MarkMayHaveRun() { may_have_run_ = true; }
  bool MayHaveRun() const { return may_have_run_; }

  // True if another attempt may be made. Takes it from the retry budget.
  // `not_run`: the endpoint guaranteed that the last attempt did not run.
  bool MayRepeat(bool not_run);

 private:
  bool IsRepeatable(bool not_run) const;

  ForwardingState& state_;
  ForwardedRequest& request_;
  bool may_have_run_ = false;
  bool prepaid_ = false;  // the next retry is already taken from the budget
};

}  // namespace rudderloom

#endif
