#include "fakes/fleet_world.hpp"

#include <algorithm>  // for find_if
#include <utility>    // for exchange

namespace rudderloom::fakes {

namespace {

constexpr int kStep = 5;
constexpr int kTick = 50;
constexpr int kSample = 200;
constexpr int kStoreAnswers = 10;
constexpr int kStoreTimeOut = 1'000;
constexpr int kPeerAnswers = 5;
constexpr int kPeerTimeOut = 600;
constexpr int kAgain = 800;  // after a call that failed
constexpr int kForOthersEvery = 500;
constexpr double kStalePrice = 0.1;

}  // namespace

FleetWorld::FleetWorld(const FleetWorldOptions& options) : options_(options) {
  Configure(1);
  PutEndpoint("e1", false);
  PutEndpoint("e2", false);
  for (int i = 0; i < options.nodes; ++i) {
    Node& node = nodes_.emplace_back();
    node.name = "n" + std::to_string(i);
    node.address = node.name + ":1";
    node.share =
        i < options.large_in_zone * options.zones ? options.large_share : options.small_share;
  }
  for (int i = 0; i < options.nodes; ++i) {
    Start(i);
  }
  first_lives_ = false;
}

FleetSettings FleetWorld::SettingsOf(const Node& node) const {
  FleetSettings settings;
  settings.name = node.name;
  settings.listen.peers = node.address;
  settings.processor_share = node.share;
  settings.group_size = options_.group_size;
  settings.first_start = first_lives_ && options_.first_start;
  const int index = static_cast<int>(&node - nodes_.data());
  settings.availability_zone = "zone-" + std::to_string(index % options_.zones);
  settings.bounds.drain = Duration(4'000);
  settings.bounds.configuration = Duration(4'000);
  return settings;
}

void FleetWorld::Kill(int index) {
  Node& node = At(index);
  node.state.reset();
  node.statement.reset();
  node.view.reset();
  node.holds = false;
  ++node.life;
}

void FleetWorld::Start(int index) {
  Node& node = At(index);
  Kill(index);
  node.state = std::make_unique<FleetState>(SettingsOf(node), std::to_string(node.life));
  node.endpoints = {};
  node.configuration = {};
  node.waiting_report.reset();
  node.spending.clear();
  node.crash_news = {};
  node.limits = {};
  node.reporting = false;
  node.routes_version = 0;
  const Followings followings = FollowingsAtStart(SettingsOf(node));
  Follow(node, node.endpoints, followings.endpoints);
  Follow(node, node.configuration, followings.configuration);
}

void FleetWorld::Suspend(int index, int milliseconds, int clock_lags) {
  At(index).suspended_until = now_ + milliseconds;
  At(index).clock_lags = clock_lags;
}

void FleetWorld::Configure(std::uint64_t version) {
  store_.routes_version = version;
  ++store_.revision;
  CopyStore();
}

void FleetWorld::PutEndpoint(const std::string& instance, bool leaving) {
  EndpointRecord record;
  record.instance = instance;
  record.id = instance;
  record.service = "desk";
  record.address = instance + ":1";
  record.leaving = leaving;
  store_.endpoints[instance] = {record, ++store_.revision};
  CopyStore();
}

void FleetWorld::RemoveEndpoint(const std::string& instance) {
  store_.endpoints.erase(instance);
  ++store_.revision;
  CopyStore();
}

void FleetWorld::CopyStore() {
  copies_[now_] = store_;
}

void FleetWorld::WriteElsewhere(int writes) {
  store_.revision += static_cast<std::uint64_t>(writes);
  CopyStore();
}

void FleetWorld::RestoreStore(int age, int written_again_after) {
  const auto newer = copies_.upper_bound(now_ - age);
  const Kept lost = store_;
  store_ = newer == copies_.begin() ? Kept() : std::prev(newer)->second;
  store_.lease.era = lost.lease.era + 1;
  copies_.clear();
  CopyStore();
  After(written_again_after, [this, lost] { WriteAgain(lost); });
}

void FleetWorld::WriteAgain(const Kept& lost) {
  for (const auto& [instance, entry] : lost.endpoints) {
    const auto found = store_.endpoints.find(instance);
    if (found == store_.endpoints.end() || (entry.first.leaving && !found->second.first.leaving)) {
      PutEndpoint(instance, entry.first.leaving);
    }
  }
  if (lost.routes_version > store_.routes_version) {
    Configure(lost.routes_version);
  }
}

RouteTablePtr FleetWorld::Routes() const {
  // Every version has a route of its own beside one that stays.
  std::vector<Route> routes(2);
  routes[0].prefix = "/stays/";
  routes[1].prefix = "/v" + std::to_string(store_.routes_version) + "/";
  return std::make_shared<const RouteTable>(
      store_.routes_version, routes, std::vector<ServiceSpec>{}, ClientLimits{},
      Callers{!options_.customers.empty(), options_.customers});
}

void FleetWorld::After(int milliseconds, std::function<void()> what) {
  events_.emplace(now_ + milliseconds, std::move(what));
}

void FleetWorld::AfterIn(Node& node, int milliseconds, std::function<void()> what) {
  After(milliseconds, [this, &node, life = node.life, what = std::move(what)] {
    if (node.life != life || !node.state) {
      return;
    }
    if (Suspended(node)) {
      AfterIn(node, node.suspended_until - now_, what);
    } else {
      what();
    }
  });
}

FleetWorld::Node* FleetWorld::Find(const std::string& address) {
  const auto found = std::find_if(nodes_.begin(), nodes_.end(),
                                  [&](const Node& node) { return node.address == address; });
  return found == nodes_.end() ? nullptr : &*found;
}

void FleetWorld::Play(int milliseconds) {
  const int until = now_ + milliseconds;
  for (; now_ < until; now_ += kStep) {
    while (!events_.empty() && events_.begin()->first <= now_) {
      const auto what = std::move(events_.begin()->second);
      events_.erase(events_.begin());
      what();
    }
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      Node& node = nodes_[i];
      if (!node.state || Suspended(node)) {
        continue;
      }
      const int phase = now_ + static_cast<int>(i) * kStep;
      if (phase % kTick == 0) {
        Tell(node, fleet_message::Tick{TimeAt(node)});
        MoveFollowed(node, node.endpoints, false);
        MoveFollowed(node, node.configuration, true);
      }
      if (phase % kSample == 0) {
        Sample(node);
      }
    }
  }
}

void FleetWorld::Sample(Node& node) {
  NodeCounts counts;
  counts.node = node.name;
  counts.loads[KeyOf("e1")] = {1, 0, 0};
  counts.spending = node.spending;
  for (auto& [customer, spending] : node.spending) {
    spending = {0, 0, spending.nodes};
  }
  counts.crash_news = std::exchange(node.crash_news, {});
  counts.limits = std::exchange(node.limits, {});
  Tell(node, fleet_message::NodeSampled{counts});
}

void FleetWorld::Tell(Node& node, const fleet_message::Any& message) {
  Execute(node, node.state->Handle(message, TimeAt(node)));
}

void FleetWorld::Execute(Node& node, FleetEffects effects) {
  if (effects.view) {
    node.view = effects.view;
    const std::uint64_t version = node.view->routes ? node.view->routes->Version() : 0;
    went_back_ += version < node.routes_version ? 1 : 0;
    node.routes_version = version;
  }
  if (effects.statement) {
    node.statement = effects.statement;
    node.holds =
        effects.statement->common.holds && effects.statement->common.holder == node.address;
  }
  if (effects.followings) {
    Follow(node, node.endpoints, effects.followings->endpoints);
    Follow(node, node.configuration, effects.followings->configuration);
  }
  if (effects.store_era) {
    for (Followed* followed : {&node.endpoints, &node.configuration}) {
      followed->listed = followed->listed && followed->era >= *effects.store_era;
    }
  }
  if (effects.lease_read) {
    ReadLease(node, *effects.lease_read);
  }
  if (effects.lease_write) {
    WriteLease(node, *effects.lease_write);
  }
  if (effects.report) {
    if (node.waiting_report) {
      AddUntold(node.waiting_report->counts, effects.report->counts);
    }
    node.waiting_report = std::move(effects.report);
    Report(node);
  }
  if (effects.read_routes) {
    Answer(node, node.configuration, true, true);
  }
}

void FleetWorld::ReadLease(Node& node, LeaseRead how) {
  const bool fresh = how == LeaseRead::kFresh;
  calls_.lease += fresh ? 1.0 : kStalePrice;
  const auto record = store_.lease.record;
  const StoreRevision version = store_.lease.Version();
  if (!Reaches(node)) {
    AfterIn(node, kStoreTimeOut, [this, &node] { Tell(node, fleet_message::LeaseUnread{}); });
    return;
  }
  AfterIn(node, kStoreAnswers, [this, &node, fresh, record, version] {
    Tell(node, fleet_message::LeaseSeen{record, version, fresh});
  });
}

void FleetWorld::WriteLease(Node& node, const LeaseWrite& write) {
  calls_.lease += 1;
  if (!Reaches(node)) {
    AfterIn(node, kStoreTimeOut,
            [this, &node] { Tell(node, fleet_message::LeaseWritten{std::nullopt}); });
    return;
  }
  const bool taken = store_.lease.Put(write);
  CopyStore();
  const auto version = taken ? std::optional(store_.lease.Version()) : std::nullopt;
  AfterIn(node, kStoreAnswers,
          [this, &node, version] { Tell(node, fleet_message::LeaseWritten{version}); });
}

void FleetWorld::Report(Node& node) {
  if (node.reporting || !node.waiting_report) {
    return;
  }
  const CountsToReport report = std::move(*node.waiting_report);
  node.waiting_report.reset();
  node.reporting = true;
  Node* to = Find(report.to);
  const bool silent = to == nullptr || node.cut_from_nodes || to->cut_from_nodes || Suspended(*to);
  if (silent || !to->state) {
    AfterIn(node, silent ? kPeerTimeOut : kPeerAnswers, [this, &node, report] {
      ReportEnded(node);
      Tell(node, fleet_message::ReportFailed{report.to, report.counts.report_number});
    });
    return;
  }
  HolderDigest digest;
  if (to->statement) {
    digest = DigestFor(*to->statement, report.counts, TimeAt(*to));
  }
  MakeOlder(digest, Duration(kPeerAnswers));
  to->heard_reports_at.push_back(now_);
  AfterIn(*to, 0, [this, to, report] { Tell(*to, fleet_message::PeerCounted{report.counts}); });
  AfterIn(node, kPeerAnswers, [this, &node, report, digest] {
    ReportEnded(node);
    Tell(node, fleet_message::DigestHeard{digest, report.to, report.counts.report_number});
  });
}

void FleetWorld::ReportEnded(Node& node) {
  node.reporting = false;
  Report(node);
}

void FleetWorld::Follow(Node&, Followed& followed, Following how) {
  if (followed.how == how) {
    return;
  }
  // A watch goes on as another kind of watch; after a pause it begins with a list.
  const bool was_watching =
      followed.how == Following::kStore || followed.how == Following::kForOthers;
  followed.probes = followed.probes || followed.how == Following::kHolder;
  followed.how = how;
  followed.listed = followed.listed && was_watching && how != Following::kHolder;
}

void FleetWorld::MoveFollowed(Node& node, Followed& followed, bool configuration) {
  if (followed.how == Following::kHolder || followed.calling) {
    return;
  }
  if (followed.probes) {
    Probe(node, followed);
    return;
  }
  if (!followed.listed) {
    Answer(node, followed, configuration, true);
    return;
  }
  if (followed.how == Following::kStoreOnce) {
    return;
  }
  const bool changed = store_.revision > followed.seen;
  const bool due = followed.how == Following::kForOthers && now_ >= followed.next_answer_at;
  if (changed || due || !Reaches(node)) {
    Answer(node, followed, configuration, false);
  }
}

void FleetWorld::Probe(Node& node, Followed& followed) {
  calls_.lists += kStalePrice;
  followed.calling = true;
  const bool reaches = Reaches(node);
  AfterIn(node, reaches ? kStoreAnswers : kStoreTimeOut + kAgain, [&followed, reaches] {
    followed.calling = false;
    followed.probes = !reaches;
  });
}

void FleetWorld::Answer(Node& node, Followed& followed, bool configuration, bool list) {
  (list ? calls_.lists : calls_.watches) += 1;
  followed.calling = true;
  if (!Reaches(node)) {
    AfterIn(node, kStoreTimeOut + kAgain, [&followed] {
      followed.calling = false;
      followed.listed = false;
      followed.probes = true;
    });
    return;
  }
  const std::uint64_t at = store_.revision;
  const std::uint64_t era = store_.lease.era;
  // A watch that goes on from a revision of another era is over; a list follows.
  const bool other_era = !list && followed.era != era;
  std::vector<EndpointRecord> records;
  for (const auto& [instance, entry] : store_.endpoints) {
    records.push_back(entry.first);
  }
  const RouteTablePtr routes = Routes();
  AfterIn(node, kStoreAnswers, [=, this, &node, &followed] {
    followed.calling = false;
    followed.listed = !other_era;
    if (other_era) {
      return;
    }
    followed.seen = at;
    followed.era = era;
    followed.next_answer_at = now_ + kForOthersEvery;
    if (configuration) {
      Tell(node, fleet_message::RoutesSeen{routes});
      Tell(node, fleet_message::RoutesConfirmed{});
    } else {
      Tell(node, fleet_message::EndpointsListed{records, StoreRevision(era, at)});
    }
  });
}

}  // namespace rudderloom::fakes
