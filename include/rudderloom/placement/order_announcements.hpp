/// @file
/// Announces the endpoints that this lease holder may send orders to, and blocks orders to
/// endpoints that a former holder may recently have sent orders to. See docs/design/placement.md.
#ifndef RUDDERLOOM_PLACEMENT_ORDER_ANNOUNCEMENTS_HPP
#define RUDDERLOOM_PLACEMENT_ORDER_ANNOUNCEMENTS_HPP

#include <map>     // for map
#include <set>     // for set
#include <string>  // for string

#include "rudderloom/base/clock.hpp"              // for TimePoint
#include "rudderloom/placement/lease_keeper.hpp"  // for FormerLease
#include "rudderloom/placement/order_scope.hpp"   // for OrderScopes

namespace rudderloom {

/// @brief Tracks the endpoints that the lease record must list. Pure; time is passed in.
///
/// An order may be sent only to an endpoint listed in the record. A new holder therefore knows
/// which endpoints may have received, or may still receive, orders from its predecessor; it may
/// send orders to all others at once.
/// @ingroup placement
class OrderAnnouncements {
 public:
  /// @param lease_bound Minimum time between orders of two holders to one endpoint.
  /// @param load_window Sliding window in which load starts are counted.
  OrderAnnouncements(Duration lease_bound, Duration load_window);

  /// @brief Initializes the announcements after the lease was acquired from `former`. If this
  /// process continues under a new token, its own announcements are kept.
  void Reset(const FormerLease& former, TimePoint now);

  /// @brief Returns true if an order may be sent now. If only the announcement is missing, requests
  /// it; a later call then returns true.
  bool MayOrder(const std::string& instance,
                OrderScope scope,
                const OrderScopes& announced,
                TimePoint now);

  /// @brief Records that an order was sent.
  void Ordered(const std::string& instance, OrderScope scope, TimePoint now);

  /// @brief True while former holders' orders to the endpoint may be too recent to send new ones.
  bool IsBlocked(const std::string& instance, TimePoint now) const;

  /// @brief Endpoints that the record must list as this holder's own.
  OrderScopes Own(TimePoint now) const;

  /// @brief Endpoints that the record must list as inherited from former holders.
  OrderScopes Inherited(TimePoint now) const;

  /// @brief True while the record must state that former holders may have sent orders to any
  /// endpoint.
  bool InheritedAll(TimePoint now) const { return now < others_blocked_until_; }

 private:
  struct Entry {
    OrderScope scope = OrderScope::kLocal;
    TimePoint until;
  };
  using Entries = std::map<std::string, Entry>;

  Duration RetentionTime(OrderScope scope) const;
  void BlockOtherEndpoints(const FormerLease& former, TimePoint now);
  static void Extend(Entries& entries,
                     const std::string& instance,
                     OrderScope scope,
                     TimePoint until);
  static OrderScopes ScopesOf(const Entries& entries, TimePoint now);

  Duration lease_bound_;
  Duration load_window_;
  Entries ordered_;    // recently received orders
  Entries requested_;  // announcement requested
  Entries inherited_;  // from former holders
  // Until this time no orders are sent to endpoints outside `unblocked_endpoints_`, because the
  // announcements of former holders were lost.
  TimePoint others_blocked_until_;
  std::set<std::string> unblocked_endpoints_;
};

}  // namespace rudderloom

#endif
