#include "rudderloom/placement/order_announcements.hpp"

#include <algorithm>  // for max

namespace rudderloom {

namespace {

// A requested announcement that is not renewed is dropped, because the plan has changed.
constexpr Duration kRequestLifetime{600};

}  // namespace

OrderAnnouncements::OrderAnnouncements(Duration lease_bound, Duration load_window)
    : lease_bound_(lease_bound), load_window_(load_window) {}

Duration OrderAnnouncements::RetentionTime(OrderScope scope) const {
  return scope == OrderScope::kWeightStore ? std::max(lease_bound_, load_window_) : lease_bound_;
}

void OrderAnnouncements::Extend(Entries& entries,
                                const std::string& instance,
                                OrderScope scope,
                                TimePoint until) {
  Entry& entry = entries[instance];
  entry.scope = std::max(entry.scope, scope);
  entry.until = std::max(entry.until, until);
}

OrderScopes OrderAnnouncements::ScopesOf(const Entries& entries, TimePoint now) {
  OrderScopes scopes;
  for (const auto& [instance, entry] : entries) {
    if (now < entry.until) {
      scopes[instance] = entry.scope;
    }
  }
  return scopes;
}

void OrderAnnouncements::Reset(const FormerLease& former, TimePoint now) {
  if (former.former_holder == FormerHolder::kThisProcess) {
    BlockOtherEndpoints(former, now);
    return;
  }
  ordered_.clear();
  requested_.clear();
  inherited_.clear();
  // An earlier process on this machine counts as the same holder, and its loads still count.
  for (const auto& [instance, scope] : former.own) {
    Extend(ordered_, instance, scope, now + RetentionTime(scope));
  }
  for (const auto& [instance, scope] : former.inherited) {
    Extend(inherited_, instance, scope, now + former.blocked_for);
  }
  BlockOtherEndpoints(former, now);
}

// Endpoints to which this holder recently sent orders, and which its record still lists, received
// no orders from anyone else.
void OrderAnnouncements::BlockOtherEndpoints(const FormerLease& former, TimePoint now) {
  if (!former.inherited_all) {
    return;
  }
  others_blocked_until_ = std::max(others_blocked_until_, now + former.blocked_for);
  unblocked_endpoints_.clear();
  for (const auto& [instance, entry] : ordered_) {
    if (now < entry.until) {
      unblocked_endpoints_.insert(instance);
    }
  }
}

bool OrderAnnouncements::MayOrder(const std::string& instance,
                                  OrderScope scope,
                                  const OrderScopes& announced,
                                  TimePoint now) {
  if (IsBlocked(instance, now)) {
    return false;
  }
  if (Covers(announced, instance, scope)) {
    return true;
  }
  Extend(requested_, instance, scope, now + kRequestLifetime);
  return false;
}

void OrderAnnouncements::Ordered(const std::string& instance, OrderScope scope, TimePoint now) {
  std::erase_if(ordered_, [&](const auto& entry) { return now >= entry.second.until; });
  std::erase_if(requested_, [&](const auto& entry) { return now >= entry.second.until; });
  Extend(ordered_, instance, scope, now + RetentionTime(scope));
}

bool OrderAnnouncements::IsBlocked(const std::string& instance, TimePoint now) const {
  if (now < others_blocked_until_ && !unblocked_endpoints_.contains(instance)) {
    return true;
  }
  const auto found = inherited_.find(instance);
  return found != inherited_.end() && now < found->second.until;
}

OrderScopes OrderAnnouncements::Own(TimePoint now) const {
  return Union(ScopesOf(ordered_, now), ScopesOf(requested_, now));
}

OrderScopes OrderAnnouncements::Inherited(TimePoint now) const {
  return ScopesOf(inherited_, now);
}

}  // namespace rudderloom
