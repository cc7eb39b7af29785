/// @file
/// I/O for the fleet's control state: follows the platform's objects and drives the timer.
#ifndef RUDDERLOOM_FLEET_FLEET_SHELL_HPP
#define RUDDERLOOM_FLEET_FLEET_SHELL_HPP

#include <functional>  // for function
#include <memory>      // for shared_ptr
#include <optional>    // for optional
#include <set>         // for set
#include <string>      // for string

#include "rudderloom/base/backoff.hpp"            // for Backoff
#include "rudderloom/fleet/instance_tracker.hpp"  // for InstanceTracker
#include "rudderloom/fleet/fleet_formats.hpp"     // for FleetFormats
#include "rudderloom/fleet/fleet_settings.hpp"    // for FleetSettings
#include "rudderloom/fleet/fleet_state.hpp"       // for FleetEffects
#include "rudderloom/fleet/messages.hpp"          // for fleet_message::Any
#include "rudderloom/http/client.hpp"             // for HttpClient
#include "rudderloom/store/store_follower.hpp"    // for FollowPace
#include "rudderloom/telemetry/metrics.hpp"       // for Metrics

namespace rudderloom {

/// @brief Runs on the thread of one io_context and posts what it reads to the control state.
/// @ingroup fleet
class FleetShell {
 public:
  FleetShell(asio::io_context& context,
             FleetSettings settings,
             FleetFormats formats,
             ObjectStore& store,
             Metrics& metrics,
             std::function<void(fleet_message::Any)> post);

  /// @brief Starts following the platform's objects.
  void Start();

  /// @brief Carries out the calls to the platform and to engines that the control state asks for.
  /// Thread-safe.
  void Execute(FleetEffects effects);

 private:
  Awaitable<void> FollowRoutes();
  // Reads the configuration with a list, independently of the watch.
  Awaitable<void> ReadRoutes();
  // Reads the configuration when its watch has been silent for too long.
  void ConfirmRoutes();
  Awaitable<void> FollowEndpoints();
  std::optional<EndpointRecord> ReadEndpoint(const StoredObject& object);
  Awaitable<void> TickLoop();
  // Notes that the store has confirmed the current configuration.
  void MarkRoutesConfirmed();
  // Sets how often the store is asked for changes.
  void ApplyFollowings(const Followings& followings);
  Awaitable<void> ReadLease(LeaseRead consistency);
  Awaitable<void> WriteLease(LeaseWrite write);
  Awaitable<void> FetchReport(ReportCall call);
  Awaitable<void> SendOrder(PlacementOrder order);
  Awaitable<PlacementOutcome> DeliverOrder(const PlacementOrder& order);
  Backoff MakeBackoff(const std::string& purpose) const;
  void PostRoutes(const StoredObject& object);
  void OnStoreError(const std::string& kind, const StoreError& error);
  void OnStoreAnswer(const std::string& kind);

  asio::io_context& context_;
  FleetSettings settings_;
  FleetFormats formats_;
  ObjectStore& store_;
  Metrics& metrics_;
  std::function<void(fleet_message::Any)> post_;
  HttpClient client_;
  std::shared_ptr<FollowPace> routes_pace_;
  std::shared_ptr<FollowPace> endpoints_pace_;
  std::optional<Followings> followings_;
  InstanceTracker instances_;
  std::set<std::string> logged_unreadable_;  // Names of unreadable entries already logged.
  std::set<std::string> failing_kinds_;      // Object kinds whose last call failed.
  bool reading_routes_ = false;              // A list outside the watch is in progress.
  bool follows_for_others_ = false;          // Other nodes rely on this node's reads.
  TimePoint routes_confirmed_at_;            // Last confirmation by the store.
  TimePoint routes_read_at_;                 // Start of the last list outside the watch.
};

}  // namespace rudderloom

#endif
