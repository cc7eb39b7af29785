#include "fakes/in_flight_traffic.hpp"

#include <algorithm>  // for max, min_element
#include <utility>    // for exchange

#include "rudderloom/base/stable_fraction.hpp"          // for StableFraction
#include "rudderloom/forwarding/in_flight_granter.hpp"  // for InFlightGranter

namespace rudderloom::fakes {

namespace {

constexpr int kStepMs = 5;  // milliseconds
constexpr int kMillisecondsPerSecond = 1'000;
constexpr int kNetworkDelayMs = 2;
constexpr int kAnswerTimeoutMs = 150;
// A quarter of a goal of 400 ms.
constexpr int kPatienceMs = 100;
constexpr Duration kMaxHold{2'000};
constexpr unsigned kSeriesBits = 32;
const std::string kService = "desk";
const EndpointKey kEndpoint = KeyOf("e1");
const InFlightTerms kTerms{1, InFlightTraffic::kLimit, kMaxHold, InFlightUntil::kEnded};

}  // namespace

InFlightTraffic::InFlightTraffic(FleetWorld& world, double request_rate, unsigned seed)
    : world_(world),
      request_rate_(request_rate),
      random_(seed),
      senders_(static_cast<std::size_t>(world.Nodes())) {}

void InFlightTraffic::ScheduleAt(int time, std::function<void()> callback) {
  events_.emplace(time, std::move(callback));
}

// A new process starts with empty state, and numbers its grants from elsewhere.
InFlightTraffic::Sender& InFlightTraffic::SenderOf(int node) {
  Sender& sender = senders_[static_cast<std::size_t>(node)];
  const int generation = world_.GenerationOf(node);
  if (sender.generation != generation) {
    sender = Sender();
    sender.solo = SoloSends(StableFraction(std::to_string(node)));
    sender.permits = PermitBook(static_cast<GrantId>(generation) << kSeriesBits);
    sender.generation = generation;
  }
  return sender;
}

void InFlightTraffic::Play(int milliseconds) {
  std::poisson_distribution<int> requests(request_rate_ * kStepMs / kMillisecondsPerSecond);
  std::uniform_int_distribution<int> nodes(0, world_.Nodes() - 1);
  for (const int until = world_.Now() + milliseconds; world_.Now() < until;) {
    world_.Play(kStepMs);
    while (!events_.empty() && events_.begin()->first <= world_.Now()) {
      const auto callback = std::move(events_.begin()->second);
      events_.erase(events_.begin());
      callback();
    }
    for (int count = requests(random_); count > 0; --count) {
      const int node = nodes(random_);
      Try({node, world_.GenerationOf(node), world_.Now()});
    }
  }
}

std::optional<int> InFlightTraffic::Granter() const {
  for (int node = 0; node < world_.Nodes(); ++node) {
    if (world_.Runs(node) && world_.ViewOf(node)) {
      return world_.ReachableNodeAt(
          node, InFlightGranter(*world_.ViewOf(node), kEndpoint, {}, world_.Time()));
    }
  }
  return std::nullopt;
}

bool InFlightTraffic::Lost(const Request& request) const {
  return !world_.Runs(request.node) || world_.GenerationOf(request.node) != request.generation;
}

void InFlightTraffic::TryAgain(const Request& request, int delay) {
  if (world_.Now() + delay <= request.arrived + kPatienceMs + kAnswerTimeoutMs) {
    ScheduleAt(world_.Now() + delay, [this, request] { Try(request); });
  }
}

void InFlightTraffic::Try(const Request& request) {
  if (Lost(request)) {
    return;
  }
  const FleetViewPtr& view = world_.ViewOf(request.node);
  const std::string granter =
      view ? InFlightGranter(*view, kEndpoint, SenderOf(request.node).silent, world_.Time())
           : std::string();
  if (granter.empty()) {
    TrySolo(request);
  } else {
    AskGranter(request, granter);
  }
}

void InFlightTraffic::TrySolo(const Request& request) {
  SoloSends& solo = SenderOf(request.node).solo;
  const Duration wait = solo.Wait(kService, world_.Time());
  if (wait > Duration(0)) {
    TryAgain(request, static_cast<int>(wait.count()));
    return;
  }
  solo.Sent(kService, kMaxHold, world_.Time());
  Serve(request, std::nullopt);
}

void InFlightTraffic::AskGranter(const Request& request, const std::string& address) {
  const TimePoint asked_at = world_.Time();
  const auto granter = world_.ReachableNodeAt(request.node, address);
  if (!granter) {
    ScheduleAt(world_.Now() + kAnswerTimeoutMs, [this, request, address, asked_at] {
      if (!Lost(request)) {
        SenderOf(request.node).silent.NoAnswer(address, asked_at, world_.Time());
        Try(request);
      }
    });
    return;
  }
  const PermitAnswer answer = SenderOf(*granter).permits.AskInFlight(kEndpoint, kTerms, asked_at);
  SenderOf(request.node).silent.Answered(address, asked_at);
  if (answer.verdict == PermitVerdict::kGranted) {
    Serve(request, Grant{*granter, world_.GenerationOf(*granter), answer.grant});
  } else {
    TryAgain(request, static_cast<int>(answer.wait.count()));
  }
}

// The endpoint serves requests in the order of their arrival. A request goes on there when its node
// ends.
void InFlightTraffic::Serve(const Request& request, std::optional<Grant> grant) {
  int& count = grant ? granted_ : solo_;
  int& most = grant ? most_granted_ : most_solo_;
  most = std::max(most, ++count);
  const auto slot = std::min_element(slot_free_at_.begin(), slot_free_at_.end());
  *slot = std::max(*slot, world_.Now() + kNetworkDelayMs) + kServiceMs;
  ScheduleAt(*slot, [this, request, grant] { End(request, grant); });
}

void InFlightTraffic::End(const Request& request, const std::optional<Grant>& grant) {
  --(grant ? granted_ : solo_);
  ++served_;
  if (Lost(request)) {
    return;
  }
  if (!grant) {
    SenderOf(request.node).solo.Ended(kService);
    return;
  }
  const bool reached = world_.Runs(grant->granter) &&
                       (grant->granter == request.node || !world_.IsCutFromNodes(grant->granter)) &&
                       (grant->granter == request.node || !world_.IsCutFromNodes(request.node));
  if (reached) {
    SenderOf(grant->granter)
        .permits.Report({kEndpoint, grant->id, SlotOutcome::kEnded}, world_.Time());
  }
}

}  // namespace rudderloom::fakes
