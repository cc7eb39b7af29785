#ifndef RUDDERLOOM_FORWARDING_GATEWAY_HEADERS_HPP
#define RUDDERLOOM_FORWARDING_GATEWAY_HEADERS_HPP

#include <algorithm>    // for any_of
#include <array>        // for array
#include <string_view>  // for string_view

#include "rudderloom/http/asio.hpp"  // for iequals

namespace rudderloom {

// Headers between a node and its gateway. A gateway passes none of them on.
constexpr const char* kGatewayKeyHeader = "Rudderloom-Gateway-Key";
// Instance to which the request is sent.
constexpr const char* kGatewayEndpointHeader = "Rudderloom-Gateway-Endpoint";
// Only in the response to a request that the gateway has not sent: why not.
constexpr const char* kGatewayRefusalHeader = "Rudderloom-Gateway-Refusal";
// Only in a forwarded answer: the endpoint's has neither a length nor chunks, and ends with its
// connection. The gateway sends it in chunks.
constexpr const char* kGatewayEndHeader = "Rudderloom-Gateway-Ends-With-Connection";

constexpr std::array<const char*, 4> kGatewayHeaders = {kGatewayKeyHeader, kGatewayEndpointHeader,
                                                        kGatewayRefusalHeader, kGatewayEndHeader};

// True for the headers above.
inline bool IsGatewayHeader(std::string_view name) {
  return std::any_of(kGatewayHeaders.begin(), kGatewayHeaders.end(),
                     [&](const char* header) { return beast::iequals(name, header); });
}

// Values of the refusal header.
constexpr std::string_view kGatewayUnknownKey = "unknown_key";
constexpr std::string_view kGatewayUnknownEndpoint = "unknown_endpoint";
constexpr std::string_view kGatewayUnavailable = "unavailable";  // stopping, or cut off itself
// The endpoint has asked the gateway for a pause.
constexpr std::string_view kGatewayEndpointPaused = "endpoint_paused";
constexpr std::string_view kGatewayUnreachable = "unreachable";  // no connection to the endpoint
// The host of the endpoint refused the connection: its process has ended.
constexpr std::string_view kGatewayConnectionRefused = "connection_refused";

}  // namespace rudderloom

#endif
