#ifndef RUDDERLOOM_FORWARDING_GATEWAY_HEADERS_HPP
#define RUDDERLOOM_FORWARDING_GATEWAY_HEADERS_HPP

#include <array>        // for array
#include <string_view>  // for string_view

namespace rudderloom {

// Headers between a node and its gateway. A gateway passes none of them on.
constexpr const char* kGatewayKeyHeader = "Rudderloom-Gateway-Key";
// Instance to which the request is sent.
constexpr const char* kGatewayEndpointHeader = "Rudderloom-Gateway-Endpoint";
// Only in the response to a request that the gateway has not sent: why not.
constexpr const char* kGatewayRefusalHeader = "Rudderloom-Gateway-Refusal";

constexpr std::array<const char*, 3> kGatewayHeaders = {kGatewayKeyHeader, kGatewayEndpointHeader,
                                                        kGatewayRefusalHeader};

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
