// Turns of prompts at engines that many nodes share.
#ifndef RUDDERLOOM_FORWARDING_PROMPT_TURN_HPP
#define RUDDERLOOM_FORWARDING_PROMPT_TURN_HPP

#include <optional>  // for optional

#include "rudderloom/forwarding/forwarder.hpp"  // for ForwardingState
#include "rudderloom/http/call_guard.hpp"       // for CallGuard

namespace rudderloom {

struct TurnRequest {
  EndpointRecord endpoint;
  std::optional<Duration> spacing;  // to the next prompt; empty: turns would not help
  Duration max_wait{0};
};

enum class TurnVerdict {
  kNotSpaced,  // no turn is needed, or no node answered that grants them
  kGranted,    // the turn has come
  kRefused,
  kInterrupted,
};

struct PromptTurn {
  TurnVerdict verdict = TurnVerdict::kNotSpaced;
  Duration waited{0};
  Duration next{0};  // refused: until the endpoint has a turn
};

// Asks for a turn and waits until it has come.
Awaitable<PromptTurn> AwaitPromptTurn(ForwardingState& state,
                                      CallGuard& guard,
                                      TurnRequest request);

// With fewer nodes, what a node knows of the others' requests is enough to keep pauses: at most
// this many prompts can arrive unseen.
constexpr std::uint32_t kMinSpacedNodes = 32;

// `kAuto` needs so many nodes that prompts take turns: without turns, refusing more only makes more
// clients come back.
bool IsOverloadControlInForce(OverloadControl setting,
                              bool callers_give_up_before_loads,
                              std::uint32_t live_nodes);

struct TurnNeeds {
  Duration time_left{0};  // until the request must be sent to meet its goal
  Duration longest_pause{0};
  Duration prompt{0};         // time that the endpoint needs for the prompt
  std::uint32_t rank = 0;     // number of more urgent kinds of request
  bool hold_is_over = false;  // the request has waited as long as it may
};

// The longest wait for a turn. The queue of an endpoint holds the prompts of one pause at most:
// more would not raise what it serves, and each request would be sent when its goal has nearly
// passed. Less urgent requests get a turn only while the queue is shorter by a prompt for each
// rank: when more is asked than the endpoint processes, the queue is full and the most urgent ones
// take what gets free. At the end of their hold they wait like the most urgent ones, so that none
// starves.
Duration MaxTurnWait(const TurnNeeds& needs);

// Late prompts that may wait at an endpoint, sent by all nodes: as many as it processes in half of
// the longest pause, and one at least. They are processed as soon as a slot is free, one after
// another.
std::uint32_t MaxLatePrompts(Duration longest_pause, Duration prompt_time);

}  // namespace rudderloom

#endif
