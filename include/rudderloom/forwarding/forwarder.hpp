/// @file
/// Forwards client requests to endpoints and returns their answers.
#ifndef RUDDERLOOM_FORWARDING_FORWARDER_HPP
#define RUDDERLOOM_FORWARDING_FORWARDER_HPP

#include <functional>  // for function
#include <list>        // for list
#include <map>         // for map
#include <memory>      // for unique_ptr
#include <optional>    // for optional
#include <string>      // for string
#include <vector>      // for vector

#include "rudderloom/base/log_rate_limiter.hpp"             // for LogRateLimiter
#include "rudderloom/endpoint_limits/endpoint_pauses.hpp"   // for EndpointPauses
#include "rudderloom/endpoint_limits/limit_watch.hpp"       // for LimitWatch
#include "rudderloom/endpoint_limits/granter_choice.hpp"    // for SilentGranters
#include "rudderloom/endpoint_limits/permit_book.hpp"       // for PermitRequest
#include "rudderloom/endpoint_limits/shared_service.hpp"    // for SoloSends
#include "rudderloom/fleet/fleet_settings.hpp"              // for OverloadControl
#include "rudderloom/forwarding/balancer.hpp"               // for Balancer
#include "rudderloom/forwarding/caller_deadlines.hpp"       // for CallerDeadlines
#include "rudderloom/http/call_guard.hpp"                   // for CallGuards
#include "rudderloom/forwarding/endpoint_connection.hpp"    // for ConnectionPool
#include "rudderloom/forwarding/endpoint_reach.hpp"         // for EndpointReach
#include "rudderloom/forwarding/gateway_choice.hpp"         // for GatewayChoice
#include "rudderloom/forwarding/held_requests.hpp"          // for HeldRequests
#include "rudderloom/forwarding/missing_units.hpp"          // for MissingUnits
#include "rudderloom/forwarding/reader_memory.hpp"          // for ReaderMemory
#include "rudderloom/forwarding/retry_budget.hpp"           // for RetryBudget
#include "rudderloom/forwarding/retry_times.hpp"            // for RetryTimes
#include "rudderloom/forwarding/view_source.hpp"            // for ViewSource
#include "rudderloom/http/server.hpp"                       // for HttpExchange
#include "rudderloom/placement/demand.hpp"                  // for UnitCount
#include "rudderloom/quarantine/crash_watch.hpp"            // for CrashWatch
#include "rudderloom/quarantine/quarantine_trials.hpp"      // for QuarantineTrials
#include "rudderloom/quota/quota_account.hpp"               // for QuotaAccount
#include "rudderloom/stream_versions/kept_starts.hpp"       // for StreamQuery, StreamAnswer
#include "rudderloom/stream_versions/service_versions.hpp"  // for VersionsByService
#include "rudderloom/stream_versions/version_book.hpp"      // for VersionBook
#include "rudderloom/telemetry/metrics.hpp"                 // for Metrics

namespace rudderloom {

/// @brief This node's request counts by model and adapter.
/// @ingroup forwarding
using UnitCounts = std::map<UnitName, UnitCount>;

/// @brief Asks the lease holder at the given address whether a request is within its customer's
/// quota. The callback may run on any thread; it receives an empty value if no answer came.
/// @ingroup forwarding
using QuotaRequestFunction =
    std::function<void(const std::string& holder,
                       const SpendRequest& ask,
                       std::function<void(std::optional<SpendAnswer>)> done)>;

/// @brief Asks the lease holder or its deputy at the given address for a permit to send a request
/// to an endpoint. The callback may run on any thread; it receives an empty value if no answer
/// came.
/// @ingroup forwarding
using PermitRequestFunction =
    std::function<void(const std::string& granter,
                       const PermitRequest& ask,
                       std::function<void(std::optional<PermitAnswer>)> done)>;

/// @brief Tells the node at the given address what became of a request that it granted.
/// @ingroup forwarding
using PermitReportFunction = std::function<void(const std::string& granter, const SlotReport&)>;

/// @brief Tells the node at the given address at which software versions streams begin.
/// @ingroup forwarding
using StreamReportFunction = std::function<void(const std::string& node, const StreamStarts&)>;

/// @brief Tells the lease holder at the given address at which software versions streams begin, and
/// asks it to confirm that it knows. The callback may run on any thread; it receives an empty value
/// if no answer came.
/// @ingroup forwarding
using StreamConfirmFunction = std::function<void(const std::string& holder,
                                                 const StartsToConfirm& starts,
                                                 std::function<void(std::optional<bool>)> done)>;

/// @brief Asks the node at the given address what it knows of a stream. The callback may run on any
/// thread; it receives an empty value if no answer came.
/// @ingroup forwarding
using StreamQueryFunction =
    std::function<void(const std::string& node,
                       const StreamQuery& query,
                       std::function<void(std::optional<StreamAnswer>)> done)>;

/// @brief Looks a stream up among the starts that are saved in the platform's store. The callback
/// may run on any thread.
/// @ingroup forwarding
using SavedStreamFunction =
    std::function<void(const StreamQuery& query, std::function<void(StreamAnswer)> done)>;

/// @brief Calls to other nodes and to the platform.
/// @ingroup forwarding
struct PeerCalls {
  QuotaRequestFunction ask_for_quota;
  PermitRequestFunction ask_for_permit;
  PermitReportFunction report_permit;
  StreamReportFunction report_streams;
  StreamConfirmFunction confirm_streams;
  StreamQueryFunction ask_stream_version;
  SavedStreamFunction find_saved_stream;
};

/// @brief A request that was sent to an endpoint and has no answer yet.
/// @ingroup forwarding
struct PendingAnswer {
  EndpointRecord endpoint;
  TimePoint sent_at;
  bool may_withdraw = false;  ///< It may be sent to another endpoint.
  CallGuard* guard = nullptr;
};

/// @brief In the order in which they were sent.
/// @ingroup forwarding
using PendingAnswers = std::list<PendingAnswer>;

/// @brief An endpoint whose host refused a connection, to be confirmed by reaching another one.
/// @ingroup forwarding
struct UnconfirmedEnd {
  std::string instance;
  TimePoint seen_at;
};

/// @brief State shared by all requests of this node. Owned by the traffic thread.
/// @ingroup forwarding
struct ForwardingState {
  asio::io_context& context;
  const HeaderCodec& dialect;
  Metrics& metrics;
  Balancer balancer;
  RetryBudget retries;
  QuotaAccount quota;
  CrashWatch crashes;
  LimitWatch limits;
  ViewSource views;
  ConnectionPool pool;
  UnitCounts units;
  MissingUnits missing;
  LogRateLimiter log_quota;
  std::mt19937_64 random;
  bool stopping = false;  ///< Planned stop: requests waiting for an endpoint are refused.
  /// @brief Until this time, requests wait for the first configuration.
  TimePoint configured_by;
  /// @brief Requests an early sample for the control state: after a request for a model or adapter
  /// that no endpoint holds, or when an endpoint has ended.
  std::function<void()> sample_soon;
  PeerCalls peers;
  /// @brief Upper bound on the deadline of requests that arrive during a planned stop.
  TimePoint stop_deadline = TimePoint::max();
  /// @brief Planned stop: the load balancer has been given its notice. Requests on open connections
  /// are refused unless their own deadline ends before `stop_deadline`.
  bool notice_over = false;
  CallGuards guards = {};  ///< Guards of the requests in flight.
  EndpointPauses pauses = {};
  VersionsByService versions = {};         ///< That have served lately, as of the last view.
  bool knows_version_history = false;      ///< As of the last view.
  VersionBook own_streams = {};            ///< That this node began.
  std::vector<std::string> standbys = {};  ///< The last ones known, by address.
  TimePoint unconfirmed_at = {};  ///< When the lease holder last failed to confirm a start.
  /// @brief Instances that have told this node that they are leaving, and when they last did. The
  /// platform's list may tell it later, or never.
  std::map<std::string, TimePoint> leaving = {};
  EndpointReach reach = {};
  GatewayChoice gateways = {};
  ConnectionPool gateway_pool = {};  ///< By address of the gateway.
  Gateway own_gateway = {};          ///< The address is empty if this node is no gateway.
  PendingAnswers pending_answers = {};
  TimePoint answered_at = {};  ///< When an endpoint last sent something.
  std::vector<UnconfirmedEnd> unconfirmed_ends = {};
  QuarantineTrials trials = {};
  SilentGranters silent_granters = {};
  OverloadControl overload_control = OverloadControl::kOff;
  HeldRequests held = {};
  CallerDeadlines caller_deadlines = {};
  RetryTimes retry_times = {};
  SoloSends solo_sends{0.0};  ///< To services with few slots, while no granting node answers.
  ReaderMemory readers = ReaderMemory();  ///< Held for clients and endpoints that read slowly.
  TimePoint started_at = Now();
};

/// @brief Handles one request. On return, the exchange has been answered or aborted.
/// @ingroup forwarding
Awaitable<void> Forward(ForwardingState& state, HttpExchange& exchange);

/// @brief Called for each new view. Once a service has several software versions, the nodes that
/// keep starts of streams are told of those that began before.
/// @ingroup forwarding
void ObserveVersions(ForwardingState& state, const FleetView& view);

}  // namespace rudderloom

#endif
