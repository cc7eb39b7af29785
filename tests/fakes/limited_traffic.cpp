#include "fakes/limited_traffic.hpp"

#include <algorithm>  // for count_if, max

#include "rudderloom/base/spread.hpp"  // for SpreadOf

namespace rudderloom::fakes {

namespace {

constexpr int kStep = 5;  // milliseconds
constexpr int kMillisecondsPerSecond = 1'000;
constexpr int kOnItsWay = 2;
constexpr int kServed = 20;
constexpr int kWindow = 4'000;
constexpr int kKnownAfter = 3'000;
constexpr Duration kAskAgain{300};
const EndpointKey kEndpoint = KeyOf("e1");

}  // namespace

LimitedTraffic::LimitedTraffic(FleetWorld& world, double wanted, unsigned seed)
    : world_(world),
      wanted_(wanted),
      random_(seed),
      senders_(static_cast<std::size_t>(world.Nodes())) {}

void LimitedTraffic::Announce(double requests_per_second) {
  limit_ = requests_per_second;
  if (limit_ > 0.0) {
    limited_since_ = limited_since_.value_or(world_.Now());
  }
}

void LimitedTraffic::At(int moment, std::function<void()> what) {
  events_.emplace(moment, std::move(what));
}

// A process that has started knows nothing.
LimitedTraffic::Sender& LimitedTraffic::SenderOf(int node) {
  Sender& sender = senders_[static_cast<std::size_t>(node)];
  if (sender.life != world_.LifeOf(node)) {
    sender = Sender();
    sender.watch = LimitWatch(SpreadOf(std::to_string(node)));
    sender.life = world_.LifeOf(node);
    sender.began_at = world_.Now();
  }
  return sender;
}

void LimitedTraffic::Play(int milliseconds) {
  std::poisson_distribution<int> requests(wanted_ * kStep / kMillisecondsPerSecond);
  std::uniform_int_distribution<int> nodes(0, world_.Nodes() - 1);
  for (const int until = world_.Now() + milliseconds; world_.Now() < until;) {
    world_.Play(kStep);
    while (!events_.empty() && events_.begin()->first <= world_.Now()) {
      const auto what = std::move(events_.begin()->second);
      events_.erase(events_.begin());
      what();
    }
    for (int node = 0; node < world_.Nodes(); ++node) {
      SenderOf(node);  // notices new processes
    }
    for (int count = requests(random_); count > 0; --count) {
      Request(nodes(random_));
    }
  }
}

void LimitedTraffic::Request(int node) {
  if (!world_.Runs(node) || !world_.ViewOf(node)) {
    return;
  }
  Sender& sender = SenderOf(node);
  const FleetView& view = *world_.ViewOf(node);
  sender.watch.Received(view.limits);
  switch (sender.watch.StandingOf(kEndpoint, view.live_nodes, world_.Time())) {
    case LimitStanding::kUnlimited:
      Send(node, sender.life, world_.Now() + kOnItsWay);
      return;
    case LimitStanding::kRefused:
      return;
    case LimitStanding::kLimited:
    case LimitStanding::kUnobserved:
      break;
  }
  const PermitAnswer answer = AskForPermit(node, view);
  if (answer.verdict == PermitVerdict::kGranted) {
    sender.watch.Asked(kEndpoint);
    const int wait = static_cast<int>(answer.wait.count());
    Send(node, sender.life, world_.Now() + kOnItsWay + wait);
  } else {
    const bool refused = answer.verdict == PermitVerdict::kRefused;
    if (refused) {
      sender.watch.Asked(kEndpoint);
    } else if (sender.watch.MaySendUnasked(kEndpoint, view.live_nodes, world_.Time())) {
      Send(node, sender.life, world_.Now() + kOnItsWay);
      return;
    }
    sender.watch.Refused(kEndpoint, refused ? answer.wait : kAskAgain, view.live_nodes,
                         world_.Time());
  }
}

PermitAnswer LimitedTraffic::AskForPermit(int node, const FleetView& view) {
  const bool by_holder = world_.Time() < view.holder_permits_until;
  const auto granter = world_.Answering(node, by_holder ? view.quota_holder : view.deputy);
  const double limit = *SenderOf(node).watch.LimitOf(kEndpoint);
  if (!granter || !world_.StatementOf(*granter) || !world_.StatementOf(*granter)->permits) {
    return {};
  }
  const PermitBasis basis = *world_.StatementOf(*granter)->permits;
  return SenderOf(*granter).permits.Ask({kEndpoint, limit, kMostPermitWait}, basis, world_.Time());
}

void LimitedTraffic::Send(int node, int life, int at) {
  At(at, [this, node, life] { Arrive(node, life); });
}

void LimitedTraffic::Arrive(int node, int life) {
  if (!world_.Runs(node) || world_.LifeOf(node) != life) {
    return;
  }
  const Sender& sender = SenderOf(node);
  const int now = world_.Now();
  const bool known = limited_since_ && now >= *limited_since_ + kKnownAfter;
  const Arrival arrival{now, known && now >= sender.began_at + kKnownAfter};
  arrivals_.push_back(arrival);
  At(now + kServed, [=, this, limit = limit_] { Answer(node, life, limit, now); });
}

void LimitedTraffic::Answer(int node, int life, double limit, int sent_at) {
  if (!world_.Runs(node) || world_.LifeOf(node) != life) {
    return;
  }
  Sender& sender = SenderOf(node);
  LimitAnnouncement announcement;
  if (limit > 0.0) {
    announcement = {LimitAnnouncement::Kind::kLimited, limit};
  }
  const TimePoint sent = world_.Time() - Duration(world_.Now() - sent_at);
  sender.watch.Answered(kEndpoint, announcement, sent, world_.Time());
  const EndpointLimits observed = sender.watch.Take();
  if (!observed.empty()) {
    world_.Observe(node, WithAges(observed, world_.Time()));
  }
}

int LimitedTraffic::MostInWindow() const {
  std::deque<int> window;
  std::size_t most = 0;
  for (const Arrival& arrival : arrivals_) {
    if (!arrival.counts) {
      continue;
    }
    window.push_back(arrival.at);
    while (window.front() < arrival.at - kWindow) {
      window.pop_front();
    }
    most = std::max(most, window.size());
  }
  return static_cast<int>(most);
}

int LimitedTraffic::Arrived(int milliseconds) const {
  return static_cast<int>(std::count_if(
      arrivals_.begin(), arrivals_.end(),
      [&](const Arrival& arrival) { return arrival.at > world_.Now() - milliseconds; }));
}

int LimitedTraffic::NodesThatLimit() const {
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
