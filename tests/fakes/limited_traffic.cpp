#include "fakes/limited_traffic.hpp"

#include <algorithm>  // for count_if, max

#include "rudderloom/base/stable_fraction.hpp"  // for StableFraction

namespace rudderloom::fakes {

namespace {

constexpr int kStepMs = 5;  // milliseconds
constexpr int kMillisecondsPerSecond = 1'000;
constexpr int kNetworkDelayMs = 2;
constexpr int kServiceTimeMs = 20;
constexpr int kWindowMs = 4'000;
constexpr int kSettlingTimeMs = 3'000;
constexpr Duration kPermitRetryDelay{300};
const EndpointKey kEndpoint = KeyOf("e1");

}  // namespace

LimitedTraffic::LimitedTraffic(FleetWorld& world, double request_rate, unsigned seed)
    : world_(world),
      request_rate_(request_rate),
      random_(seed),
      senders_(static_cast<std::size_t>(world.Nodes())) {}

void LimitedTraffic::Announce(double requests_per_second) {
  limit_ = requests_per_second;
  if (limit_ > 0.0) {
    limited_since_ = limited_since_.value_or(world_.Now());
  }
}

void LimitedTraffic::ScheduleAt(int time, std::function<void()> callback) {
  events_.emplace(time, std::move(callback));
}

// A new process starts with empty state.
LimitedTraffic::Sender& LimitedTraffic::SenderOf(int node) {
  Sender& sender = senders_[static_cast<std::size_t>(node)];
  if (sender.generation != world_.GenerationOf(node)) {
    sender = Sender();
    sender.watch = LimitWatch(StableFraction(std::to_string(node)));
    sender.generation = world_.GenerationOf(node);
    sender.started_at = world_.Now();
  }
  return sender;
}

void LimitedTraffic::Play(int milliseconds) {
  std::poisson_distribution<int> requests(request_rate_ * kStepMs / kMillisecondsPerSecond);
  std::uniform_int_distribution<int> nodes(0, world_.Nodes() - 1);
  for (const int until = world_.Now() + milliseconds; world_.Now() < until;) {
    world_.Play(kStepMs);
    while (!events_.empty() && events_.begin()->first <= world_.Now()) {
      const auto callback = std::move(events_.begin()->second);
      events_.erase(events_.begin());
      callback();
    }
    for (int node = 0; node < world_.Nodes(); ++node) {
      SenderOf(node);  // resets the state of new processes
    }
    for (int count = requests(random_); count > 0; --count) {
      GenerateRequest(nodes(random_));
    }
  }
}

void LimitedTraffic::GenerateRequest(int node) {
  if (!world_.Runs(node) || !world_.ViewOf(node)) {
    return;
  }
  Sender& sender = SenderOf(node);
  const FleetView& view = *world_.ViewOf(node);
  sender.watch.Received(view.limits);
  switch (sender.watch.LimitStateOf(kEndpoint, view.live_nodes, world_.Time())) {
    case LimitState::kUnlimited:
      SendRequest(node, sender.generation, world_.Now() + kNetworkDelayMs);
      return;
    case LimitState::kRefused:
      return;
    case LimitState::kLimited:
    case LimitState::kUnobserved:
      break;
  }
  const PermitAnswer answer = RequestPermit(node, view);
  if (answer.verdict == PermitVerdict::kGranted) {
    sender.watch.GranterAnswered(kEndpoint);
    const int wait = static_cast<int>(answer.wait.count());
    SendRequest(node, sender.generation, world_.Now() + kNetworkDelayMs + wait);
  } else {
    const bool refused = answer.verdict == PermitVerdict::kRefused;
    if (refused) {
      sender.watch.GranterAnswered(kEndpoint);
    } else if (sender.watch.MaySendWithoutPermit(kEndpoint, view.live_nodes, world_.Time())) {
      SendRequest(node, sender.generation, world_.Now() + kNetworkDelayMs);
      return;
    }
    sender.watch.Refused(kEndpoint, refused ? answer.wait : kPermitRetryDelay, view.live_nodes,
                         world_.Time());
  }
}

PermitAnswer LimitedTraffic::RequestPermit(int node, const FleetView& view) {
  const bool by_holder = world_.Time() < view.holder_permits_until;
  const auto granter = world_.ReachableNodeAt(node, by_holder ? view.quota_holder : view.deputy);
  const double limit = *SenderOf(node).watch.LimitOf(kEndpoint);
  if (!granter || !world_.StatementOf(*granter) || !world_.StatementOf(*granter)->permits) {
    return {};
  }
  const PermitBasis basis = *world_.StatementOf(*granter)->permits;
  return SenderOf(*granter).permits.Ask({kEndpoint, limit, kMaxPermitWait}, basis, world_.Time());
}

void LimitedTraffic::SendRequest(int node, int generation, int time) {
  ScheduleAt(time, [this, node, generation] { HandleArrival(node, generation); });
}

void LimitedTraffic::HandleArrival(int node, int generation) {
  if (!world_.Runs(node) || world_.GenerationOf(node) != generation) {
    return;
  }
  const Sender& sender = SenderOf(node);
  const int now = world_.Now();
  const bool known = limited_since_ && now >= *limited_since_ + kSettlingTimeMs;
  const Arrival arrival{now, known && now >= sender.started_at + kSettlingTimeMs};
  arrivals_.push_back(arrival);
  ScheduleAt(now + kServiceTimeMs,
             [=, this, limit = limit_] { HandleResponse(node, generation, limit, now); });
}

void LimitedTraffic::HandleResponse(int node, int generation, double limit, int sent_at) {
  if (!world_.Runs(node) || world_.GenerationOf(node) != generation) {
    return;
  }
  Sender& sender = SenderOf(node);
  LimitAnnouncement announcement;
  if (limit > 0.0) {
    announcement = {LimitAnnouncement::Kind::kLimited, limit};
  }
  const TimePoint sent = world_.Time() - Duration(world_.Now() - sent_at);
  sender.watch.Answered(kEndpoint, {announcement}, sent, world_.Time());
  const EndpointLimits observed = sender.watch.Take();
  if (!observed.empty()) {
    world_.Observe(node, ToSentLimits(observed, world_.Time()));
  }
}

int LimitedTraffic::MostInWindow() const {
  std::deque<int> window;
  std::size_t most = 0;
  for (const Arrival& arrival : arrivals_) {
    if (!arrival.counted) {
      continue;
    }
    window.push_back(arrival.time);
    while (window.front() < arrival.time - kWindowMs) {
      window.pop_front();
    }
    most = std::max(most, window.size());
  }
  return static_cast<int>(most);
}

int LimitedTraffic::Arrived(int milliseconds) const {
  return static_cast<int>(std::count_if(
      arrivals_.begin(), arrivals_.end(),
      [&](const Arrival& arrival) { return arrival.time > world_.Now() - milliseconds; }));
}

int LimitedTraffic::NodesApplyingLimit() const {
  int count = 0;
  for (int i = 0; i < world_.Nodes(); ++i) {
    const FleetViewPtr& view = world_.ViewOf(i);
    const auto found =
        view && view->limits ? view->limits->find(kEndpoint) : EndpointLimits::const_iterator();
    const bool known = view && view->limits && found != view->limits->end();
    count += known && found->second.requests_per_second ? 1 : 0;
  }
  return count;
}

}  // namespace rudderloom::fakes
