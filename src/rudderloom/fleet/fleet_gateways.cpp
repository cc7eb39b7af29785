// Nodes that forward requests for others, and this node's own reach of endpoints.
#include <algorithm>  // for any_of
#include <utility>    // for move

#include "rudderloom/fleet/fleet_state.hpp"  // for FleetState

namespace rudderloom {

namespace {

void Add(const GatewayList& from, GatewayList& to) {
  to.insert(to.end(), from.begin(), from.end());
}

}  // namespace

void FleetState::RecordReach(const NodeCounts& own, TimePoint now) {
  const bool was_cut_off = cut_off_since_.has_value();
  if (own.reaches_endpoints == !was_cut_off && own.needs_gateways == needs_gateways_) {
    return;
  }
  needs_gateways_ = own.needs_gateways;
  if (own.reaches_endpoints) {
    cut_off_since_.reset();
  } else {
    cut_off_since_ = cut_off_since_.value_or(now);
  }
  report_urgent_ = true;
  statement_due_ = true;
  UpdateOwnGateways(now);
  MarkViewUrgent();
}

// As the holder, this node needs no other to name gateways. It goes on using them once it has
// given the lease up.
void FleetState::UpdateOwnGateways(TimePoint now) {
  if (!holds_lease_) {
    return;
  }
  const auto nodes = board_.ReportingNodes("", now);
  gateways_wanted_ =
      needs_gateways_ || std::any_of(nodes.begin(), nodes.end(),
                                     [](const ReportingNode& node) { return node.needs_gateways; });
  if (needs_gateways_) {
    received_gateways_ = SelectGateways(GatewaysToAnnounce(now), settings_.name, kMaxGateways);
  }
}

// A node that is not the holder may know only some of the gateways, or none.
void FleetState::ApplyGateways(const HolderDigest& digest) {
  const bool is_complete = digest.is_authoritative && needs_gateways_;
  if (digest.gateways == received_gateways_ || (digest.gateways.empty() && !is_complete)) {
    return;
  }
  received_gateways_ = digest.gateways;
  MarkViewUrgent();
}

// The gateways that this node may use.
GatewayList FleetState::Gateways() const {
  return needs_gateways_ ? received_gateways_ : GatewayList();
}

// The gateways that this node names to those that report here. A relay adds those that the holder
// named to it, as all nodes of its group may be cut off.
GatewayList FleetState::GatewaysToAnnounce(TimePoint now) const {
  GatewayList gateways;
  if (holds_lease_) {
    for (const ReportingNode& node : board_.ReportingNodes("", now)) {
      Add(node.gateways, gateways);
    }
    return gateways;
  }
  gateways = group_.Gateways(now);
  if (received_) {
    Add(received_->digest.gateways, gateways);
  }
  return gateways;
}

// Returns true if the gateways that this node names to others have changed.
bool FleetState::UpdatePublishedGateways(TimePoint now) {
  GatewayList gateways = GatewaysToAnnounce(now);
  if (gateways == published_gateways_) {
    return false;
  }
  published_gateways_ = std::move(gateways);
  return true;
}

}  // namespace rudderloom
