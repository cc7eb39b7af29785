/// @file
/// The I/O of the fleet's control state: follows the platform's objects and keeps time.
#ifndef RUDDERLOOM_FLEET_FLEET_SHELL_HPP
#define RUDDERLOOM_FLEET_FLEET_SHELL_HPP

#include <functional>  // for function
#include <memory>      // for shared_ptr
#include <optional>    // for optional
#include <set>         // for set
#include <string>      // for string

#include "rudderloom/base/backoff.hpp"          // for Backoff
#include "rudderloom/fleet/endpoint_lives.hpp"  // for EndpointLives
#include "rudderloom/fleet/fleet_formats.hpp"   // for FleetFormats
#include "rudderloom/fleet/fleet_settings.hpp"  // for FleetSettings
#include "rudderloom/fleet/fleet_state.hpp"     // for FleetEffects
#include "rudderloom/fleet/messages.hpp"        // for fleet_message::Any
#include "rudderloom/http/client.hpp"           // for HttpClient
#include "rudderloom/store/store_follower.hpp"  // for FollowPace
#include "rudderloom/telemetry/metrics.hpp"     // for Metrics

namespace rudderloom {

/// @brief Runs on one io_context's thread and posts what it learns to the control state.
/// @ingroup fleet
class FleetShell {
 public:
  FleetShell(asio::io_context& context,
             FleetSettings settings,
             FleetFormats formats,
             ObjectStore& store,
             Metrics& metrics,
             std::function<void(fleet_message::Any)> post);

  /// @brief Starts to follow the platform.
  void Start();

  /// @brief Carries out what the control state asks of the platform and of engines.
  /// May be called from any thread.
  void Execute(FleetEffects effects);

 private:
  Awaitable<void> FollowRoutes();
  // Reads the configuration beside the watch.
  Awaitable<void> ReadRoutes();
  // Reads the configuration beside a watch that has said nothing for too long.
  void ConfirmRoutes();
  Awaitable<void> FollowEndpoints();
  std::optional<EndpointRecord> ReadEndpoint(const StoredObject& object);
  Awaitable<void> TickLoop();
  // The store has said what the configuration is.
  void RoutesConfirmed();
  // How often the store is asked for changes.
  void Follow(const Followings& followings);
  Awaitable<void> ReadLease(LeaseRead how);
  Awaitable<void> WriteLease(LeaseWrite write);
  Awaitable<void> AskReport(ReportCall call);
  Awaitable<void> SendOrder(PlacementOrder order);
  Awaitable<PlacementOutcome> Exchange(const PlacementOrder& order);
  Backoff MakeBackoff(const std::string& purpose) const;
  void OfferRoutes(const StoredObject& object);
  void Failed(const std::string& kind, const StoreError& error);
  void Answered(const std::string& kind);

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
  EndpointLives lives_;
  std::set<std::string> unreadable_;  // names of entries that were told
  std::set<std::string> failing_;     // kinds whose last call failed
  bool reading_routes_ = false;       // beside the watch
  bool follows_for_others_ = false;   // other nodes rely on what this one has read
  TimePoint routes_confirmed_at_;     // when the store last said what the configuration is
  TimePoint routes_read_at_;          // when it was last asked beside the watch
};

}  // namespace rudderloom

#endif
