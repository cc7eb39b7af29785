/// @file
/// Sends clients' requests to endpoints and passes their answers on.
#ifndef RUDDERLOOM_FORWARDING_FORWARDER_HPP
#define RUDDERLOOM_FORWARDING_FORWARDER_HPP

#include <functional>  // for function
#include <map>         // for map
#include <memory>      // for unique_ptr
#include <optional>    // for optional
#include <string>      // for string

#include "rudderloom/base/log_quota.hpp"                  // for LogQuota
#include "rudderloom/endpoint_limits/limit_watch.hpp"     // for LimitWatch
#include "rudderloom/endpoint_limits/permit_book.hpp"     // for PermitAsk
#include "rudderloom/forwarding/balancer.hpp"             // for Balancer
#include "rudderloom/forwarding/call_guard.hpp"           // for CallGuards
#include "rudderloom/forwarding/endpoint_connection.hpp"  // for ConnectionPool
#include "rudderloom/forwarding/missing_units.hpp"        // for MissingUnits
#include "rudderloom/forwarding/retry_allowance.hpp"      // for RetryAllowance
#include "rudderloom/forwarding/view_source.hpp"          // for ViewSource
#include "rudderloom/http/server.hpp"                     // for HttpExchange
#include "rudderloom/placement/demand.hpp"                // for UnitCount
#include "rudderloom/quarantine/crash_watch.hpp"          // for CrashWatch
#include "rudderloom/quota/quota_account.hpp"             // for QuotaAccount
#include "rudderloom/telemetry/metrics.hpp"               // for Metrics

namespace rudderloom {

/// @brief Requests of this node by model and adapter.
/// @ingroup forwarding
using UnitCounts = std::map<UnitName, UnitCount>;

/// @brief Asks the node at an address, which holds the lease, whether a request may run. The
/// callback may be called on any thread, with nothing when no answer came.
/// @ingroup forwarding
using AskHolder = std::function<void(const std::string& holder,
                                     const SpendAsk& ask,
                                     std::function<void(std::optional<SpendAnswer>)> done)>;

/// @brief Asks the node at an address, the holder of the lease or its deputy, whether a request may
/// be sent to an endpoint. The callback may be called on any thread, with nothing when no answer
/// came.
/// @ingroup forwarding
using AskForPermit = std::function<void(const std::string& granter,
                                        const PermitAsk& ask,
                                        std::function<void(std::optional<PermitAnswer>)> done)>;

/// @brief What every request of this node shares. Owned by the traffic thread.
/// @ingroup forwarding
struct ForwardingState {
  asio::io_context& context;
  const Dialect& dialect;
  Metrics& metrics;
  Balancer balancer;
  RetryAllowance retries;
  QuotaAccount quota;
  CrashWatch crashes;
  LimitWatch limits;
  ViewSource views;
  ConnectionPool pool;
  UnitCounts units;
  MissingUnits missing;
  LogQuota log_quota;
  std::mt19937_64 random;
  bool stopping = false;  ///< Requests that wait for an endpoint are refused.
  /// @brief Until then a first configuration is likely to come, and requests wait for it.
  TimePoint configured_by;
  /// @brief Called when the control state should soon hear what this node has met: a request that
  /// finds no endpoint which holds what it asks for, or an endpoint that has ended.
  std::function<void()> sample_soon;
  AskHolder ask_holder;
  AskForPermit ask_for_permit;
  /// @brief Upper bound on the deadline of requests that arrive during a planned stop.
  TimePoint stop_deadline = TimePoint::max();
  CallGuards guards = {};  ///< Of requests in flight.
};

/// @brief Answers one request. The exchange always has its answer, or is aborted, afterwards.
/// @ingroup forwarding
Awaitable<void> Forward(ForwardingState& state, HttpExchange& exchange);

}  // namespace rudderloom

#endif
