#include "forwarding/slot_use.hpp"

#include <utility>  // for move

namespace rudderloom {

SlotUse::SlotUse(ForwardingState& state,
                 std::string granter,
                 EndpointKey endpoint,
                 GrantId grant,
                 TimePoint asked_at,
                 std::optional<InFlightUntil> in_flight_until)
    : state_(state),
      granter_(std::move(granter)),
      endpoint_(endpoint),
      grant_(grant),
      asked_at_(asked_at),
      in_flight_until_(in_flight_until),
      timer_(state.context) {}

SlotUse::~SlotUse() {
  if (!reported_) {
    Report(outcome_);
  }
}

void SlotUse::Sent() {
  if (in_flight_until_) {
    outcome_ = SlotOutcome::kEnded;
    return;
  }
  outcome_ = SlotOutcome::kUnknown;
  timer_.expires_after(kRejectionDelay);
  timer_.async_wait([weak = weak_from_this()](boost::system::error_code error) {
    const auto self = weak.lock();
    if (error || !self || self->outcome_ == SlotOutcome::kRejected) {
      return;
    }
    self->outcome_ = SlotOutcome::kEnded;
    self->Report(SlotOutcome::kAccepted);
  });
}

void SlotUse::Accepted() {
  outcome_ = SlotOutcome::kEnded;
  if (in_flight_until_ == InFlightUntil::kAnswerBegins && !reported_) {
    reported_ = true;
    Report(SlotOutcome::kAccepted);
  }
}

void SlotUse::Report(SlotOutcome outcome) const {
  state_.peers.report_permit(granter_, {endpoint_, grant_, outcome});
}

}  // namespace rudderloom
