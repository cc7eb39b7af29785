/// @file
/// The input messages of the fleet's control state.
#ifndef RUDDERLOOM_FLEET_MESSAGES_HPP
#define RUDDERLOOM_FLEET_MESSAGES_HPP

#include <optional>  // for optional
#include <string>    // for string
#include <variant>   // for variant
#include <vector>    // for vector

#include "rudderloom/dissemination/digest.hpp"    // for HolderDigest
#include "rudderloom/fleet/endpoint_record.hpp"   // for EndpointRecord
#include "rudderloom/placement/demand.hpp"        // for NodeCounts
#include "rudderloom/placement/lease_keeper.hpp"  // for LeaseRecord
#include "rudderloom/placement/order.hpp"         // for PlacementOrder
#include "rudderloom/quota/grant_book.hpp"        // for SpendGrant
#include "rudderloom/routes/route_table.hpp"      // for RouteTablePtr

namespace rudderloom::fleet_message {

/// @brief A configuration read from the platform.
/// @ingroup fleet
struct RoutesSeen {
  RouteTablePtr routes;
};

/// @brief The platform's complete list of endpoints.
/// @ingroup fleet
struct EndpointsListed {
  std::vector<EndpointRecord> records;
  StoreRevision revision;
};

/// @brief All changes of the platform's list up to a store revision, from a watch.
/// @ingroup fleet
struct EndpointsChanged {
  EndpointChanges changes;
};

/// @brief The lease object as read; empty when it does not exist.
/// @ingroup fleet
struct LeaseSeen {
  std::optional<LeaseRecord> record;
  StoreRevision version;  ///< Only the era is set when there is no record.
  bool fresh = true;      ///< False: the record may be seconds old.
};

/// @brief The lease object could not be read.
/// @ingroup fleet
struct LeaseReadFailed {};

/// @brief A write of the lease has ended; without a version it failed or its outcome is unknown.
/// @ingroup fleet
struct LeaseWritten {
  std::optional<StoreRevision> version;
};

/// @brief This node's own running and waiting requests.
/// @ingroup fleet
struct NodeSampled {
  NodeCounts counts;
};

/// @brief The counts that another node reported to this one.
/// @ingroup fleet
struct PeerCountsReceived {
  NodeCounts counts;
};

/// @brief The answer to this node's report of its counts.
/// @ingroup fleet
struct DigestReceived {
  HolderDigest digest;
  std::string from;                 ///< Address of the node that answered.
  std::uint64_t report_number = 0;  ///< Number of the report.
};

/// @brief A report of this node's counts was not answered.
/// @ingroup fleet
struct ReportFailed {
  std::string to;                   ///< Address of the node that did not answer.
  std::uint64_t report_number = 0;  ///< Number of the report.
};

/// @brief As the lease holder, this node granted a customer's request at another node.
/// @ingroup fleet
struct RequestGranted {
  SpendGrant grant;
};

/// @brief The store has just confirmed the configuration in force on this node.
/// @ingroup fleet
struct RoutesConfirmed {};

/// @brief An engine's report; empty when the engine did not answer with one.
/// @ingroup fleet
struct EngineReported {
  std::string instance;
  std::optional<EngineReport> report;
};

/// @brief The outcome of an order.
/// @ingroup fleet
struct OrderEnded {
  PlacementOrder order;
  PlacementOutcome outcome = PlacementOutcome::kUnknown;
};

/// @brief A planned shutdown begins.
/// @ingroup fleet
struct StopRequested {};

/// @brief A timer tick.
/// @ingroup fleet
struct Tick {
  std::optional<TimePoint> due;  ///< When the timer was due, if the lag is to be measured.
};

/// @brief Any message to the control state.
/// @ingroup fleet
using Any = std::variant<RoutesSeen,
                         EndpointsListed,
                         EndpointsChanged,
                         LeaseSeen,
                         LeaseReadFailed,
                         LeaseWritten,
                         NodeSampled,
                         PeerCountsReceived,
                         DigestReceived,
                         ReportFailed,
                         RequestGranted,
                         RoutesConfirmed,
                         EngineReported,
                         OrderEnded,
                         StopRequested,
                         Tick>;

}  // namespace rudderloom::fleet_message

#endif
