/// @file
/// The configuration in force, with what changed since earlier versions of it.
#ifndef RUDDERLOOM_DISSEMINATION_CONFIGURATION_LOG_HPP
#define RUDDERLOOM_DISSEMINATION_CONFIGURATION_LOG_HPP

#include <cstdint>  // for uint64_t
#include <deque>    // for deque

#include "rudderloom/base/change_log.hpp"     // for ChangeLog
#include "rudderloom/routes/route_table.hpp"  // for RouteTablePtr

namespace rudderloom {

/// @brief What leads from one configuration to a newer one.
/// @ingroup dissemination
struct ConfigurationChanges {
  std::uint64_t version = 0;  ///< Of the newer one; 0: nothing is told.
  std::uint64_t since = 0;    ///< Of the one that they are applied to; 0: to any, they are whole.
  Changes<Route> routes;
  Changes<ServiceSpec> services;
  Changes<Customer> customers;
  bool need_keys = false;  ///< On every route that isn't public.
  ClientLimits limits;
};

/// @brief Keeps the newest configuration; an older one never replaces it. Pure.
///
/// A configuration of thousands of routes changes by a few of them at a time. Nodes hand on only
/// these: 1.3 KB for ten routes of 2,000, where the whole is 249 KB (fleet_codec_test), which a
/// link of 20 Mbit/s takes 1.6 s to carry to 16 nodes.
/// @ingroup dissemination
class ConfigurationLog {
 public:
  /// @brief Takes a whole configuration; true when it is newer than the one in force.
  bool Offer(RouteTablePtr table);

  /// @brief Takes what a peer told; true when that gave a newer configuration. False also when the
  /// changes go on from another one than that in force.
  bool Apply(const ConfigurationChanges& changes);

  /// @brief What a node lacks that has configuration `seen` in force; 0 for none.
  ConfigurationChanges Since(std::uint64_t seen) const;

  /// @brief The configuration in force; null before the first.
  const RouteTablePtr& Current() const { return current_; }

  /// @brief Version of the configuration in force; 0 before the first.
  std::uint64_t Version() const { return current_ ? current_->Version() : 0; }

 private:
  void Remember(std::uint64_t version);

  RouteTablePtr current_;
  ChangeLog<Route> routes_;
  ChangeLog<ServiceSpec> services_;
  ChangeLog<Customer> customers_;
  std::deque<std::uint64_t> versions_;  // that were in force here, newest last
};

}  // namespace rudderloom

#endif
