/// @file
/// The platform's encodings of what the fleet's control state reads; provided by the platform
/// adapter.
#ifndef RUDDERLOOM_FLEET_FLEET_FORMATS_HPP
#define RUDDERLOOM_FLEET_FLEET_FORMATS_HPP

#include <cstdint>     // for uint64_t
#include <functional>  // for function
#include <optional>    // for optional
#include <string>      // for string
#include <variant>     // for variant

#include "rudderloom/fleet/endpoint_record.hpp"  // for EndpointRecord
#include "rudderloom/http/asio.hpp"              // for HttpRequest
#include "rudderloom/placement/order.hpp"        // for PlacementOrder
#include "rudderloom/store/object_store.hpp"     // for StoredObject
#include "rudderloom/routes/route_table.hpp"     // for RouteTablePtr

namespace rudderloom {

/// @brief Reason for which an object of the platform could not be decoded.
/// @ingroup fleet
struct FormatError {
  std::string message;
};

/// @brief Object kinds and conversion functions; they contain no decisions.
/// @ingroup fleet
struct FleetFormats {
  std::string configuration_kind;
  std::string configuration_name;  ///< Name of the single configuration object.
  std::string endpoint_kind;
  std::string lease_kind;         ///< Kind of this system's own objects.
  std::string stream_start_kind;  ///< Kind of the objects that hold starts of streams.
  std::function<std::variant<RouteTablePtr, FormatError>(const StoredObject&)> read_routes;
  std::function<std::optional<EndpointRecord>(const StoredObject&)> read_endpoint;
  std::function<HttpRequest(const std::string& address)> write_report_call;
  std::function<std::optional<EngineReport>(const HttpResponse&)> read_report;
  std::function<HttpRequest(const PlacementOrder&)> write_order;
  std::function<PlacementOutcome(const HttpResponse&)> read_outcome;
};

}  // namespace rudderloom

#endif
