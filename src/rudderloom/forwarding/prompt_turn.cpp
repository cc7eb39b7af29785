#include "forwarding/prompt_turn.hpp"

#include <algorithm>  // for clamp, max, min

#include "forwarding/await_answer.hpp"                  // for AwaitAnswer
#include "rudderloom/forwarding/in_flight_granter.hpp"  // for InFlightGranter

namespace rudderloom {

namespace {

constexpr std::uint32_t kMaxRank = 16;
// Part of the longest pause that requests of any kind accept as a queue.
constexpr int kMinQueueDivisor = 8;
constexpr int kLatePauseDivisor = 2;
// However short the prompts are: what other nodes send in 300 ms is not known.
constexpr Duration::rep kMaxLatePrompts = 4;

}  // namespace

bool IsOverloadControlInForce(OverloadControl setting,
                              bool callers_give_up_before_loads,
                              std::uint32_t live_nodes) {
  if (setting != OverloadControl::kAuto) {
    return setting == OverloadControl::kOn;
  }
  return callers_give_up_before_loads && live_nodes >= kMinSpacedNodes;
}

Duration MaxTurnWait(const TurnNeeds& needs) {
  const std::uint32_t rank = needs.hold_is_over ? 0 : std::min(needs.rank, kMaxRank);
  const Duration queue =
      std::max(needs.longest_pause / kMinQueueDivisor, needs.longest_pause - needs.prompt * rank);
  return std::min(needs.time_left, queue);
}

std::uint32_t MaxLatePrompts(Duration longest_pause, Duration prompt_time) {
  const Duration prompt = std::max(Duration(1), prompt_time);
  return static_cast<std::uint32_t>(
      std::clamp<Duration::rep>(longest_pause / kLatePauseDivisor / prompt, 1, kMaxLatePrompts));
}

Awaitable<PromptTurn> AwaitPromptTurn(ForwardingState& state,
                                      CallGuard& guard,
                                      TurnRequest request) {
  PromptTurn turn;
  const FleetViewPtr view = state.views.Current();
  if (!request.spacing || view->live_nodes < kMinSpacedNodes) {
    co_return turn;
  }
  const EndpointKey key = KeyOf(request.endpoint.instance);
  const TimePoint asked_at = Now();
  const std::string granter = InFlightGranter(*view, key, state.silent_granters, asked_at);
  if (granter.empty()) {
    co_return turn;
  }
  PermitRequest ask;
  ask.endpoint = key;
  ask.spacing = SpacingTerms{*request.spacing, request.max_wait};
  const auto send = [&](auto done) { state.peers.ask_for_permit(granter, ask, std::move(done)); };
  const auto answer = co_await AwaitAnswer<PermitAnswer>(state.context, &guard, send);
  if (guard.Interrupted()) {
    turn.verdict = TurnVerdict::kInterrupted;
    co_return turn;
  }
  if (!answer || !answer->by_in_flight) {
    state.silent_granters.NoAnswer(granter, asked_at, Now());
    state.metrics.Count({"rudderloom_prompt_turns_total", "result", "unanswered"});
    co_return turn;
  }
  state.silent_granters.Answered(granter, asked_at);
  state.metrics.Count({"rudderloom_prompt_turns_total", "result", NameOf(answer->verdict)});
  if (answer->verdict == PermitVerdict::kRefused) {
    turn.verdict = TurnVerdict::kRefused;
    turn.next = answer->wait;
    co_return turn;
  }
  const TimePoint began = Now();
  if (answer->wait > Duration(0)) {
    guard.WaitTimer().expires_after(answer->wait);
    co_await guard.WaitTimer().async_wait(kAsTuple);
  }
  turn.waited = Between(began, Now());
  turn.verdict =
      guard.Cause() == Interruption::kNone ? TurnVerdict::kGranted : TurnVerdict::kInterrupted;
  co_return turn;
}

}  // namespace rudderloom
