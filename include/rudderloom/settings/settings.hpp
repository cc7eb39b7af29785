/// @file
/// Settings of one entry node process: name, addresses, limits and timeouts.
#ifndef RUDDERLOOM_SETTINGS_SETTINGS_HPP
#define RUDDERLOOM_SETTINGS_SETTINGS_HPP

#include <cstdint>  // for uint16_t
#include <string>   // for string
#include <variant>  // for variant

#include "rudderloom/base/clock.hpp"        // for Duration
#include "rudderloom/base/json_reader.hpp"  // for JsonErrors

namespace rudderloom {

/// @brief An IP address and a port; with port 0 (the key is absent) the kernel chooses one.
/// @ingroup settings
struct ListenerSettings {
  std::string address = "127.0.0.1";
  std::uint16_t port = 0;
};

/// @brief Limits on callers' connections and requests.
/// @ingroup settings
struct LimitSettings {
  std::uint64_t header = 16 * 1024;
  std::uint64_t body = 4 * 1024 * 1024;
  Duration header_time{5'000};
  Duration idle_time{60'000};
  Duration write_time{10'000};
  std::uint32_t connections = 4096;
  std::uint32_t queue = 512;  ///< Requests that may wait for an endpoint.
};

/// @brief Timeouts and retry backoff of calls to the platform.
/// @ingroup settings
struct PlatformSettings {
  std::string address;
  Duration call_time{2'000};
  Duration watch_time{60'000};
  Duration backoff_least{200};
  Duration backoff_most{10'000};
};

/// @brief Limits on retries.
/// @ingroup settings
struct RetrySettings {
  double budget = 0.2;  ///< Retries allowed for each first attempt.
  std::int64_t attempts = 4;
  Duration backoff{25};
};

/// @brief Default and maximum request deadlines, and timeouts within a request.
/// @ingroup settings
struct DeadlineSettings {
  Duration usual{30'000};
  Duration longest{600'000};
  Duration between_tokens{5'000};  ///< A stream that is silent for longer is considered broken.
  Duration resume{10'000};         ///< Time for a broken stream to resume on another endpoint.
  Duration connect{500};
};

/// @brief Heartbeats between entry nodes, and when a silent one is considered down.
/// @ingroup settings
struct MembershipSettings {
  Duration heartbeat{500};
  Duration silent_after{2'500};
  std::int64_t full_mesh = 8;  ///< With at most this many peers, each round calls all of them.
  std::int64_t fanout = 2;     ///< Peers called in each round when there are more.
  std::int64_t polls_per_second = 20;  ///< Load reports requested, over all endpoints.
  Duration unconfirmed_limit{5'000};   ///< A node isolated for longer accepts no new work.
};

/// @brief Leases on pools, and orders to endpoints.
/// @ingroup settings
struct ResidencySettings {
  Duration lease{6'000};
  Duration renew{2'000};
  Duration order_time{30'000};        ///< Time for an endpoint to answer an order.
  Duration late_order_bound{60'000};  ///< Longest delay until an unanswered order takes effect.
  std::int64_t loads_at_once = 8;
  double loads_per_second = 2.0;
  Duration plan_every{500};
};

/// @brief At-most-once records of calls that have an Idempotency-Key.
/// @ingroup settings
struct ClaimSettings {
  std::int64_t shards = 16;
  Duration batch{20};
  Duration retention{3'600'000};
  std::uint64_t answer_bytes = 2048;  ///< Of larger responses only the status is recorded.
};

/// @brief Contents of the settings file.
/// @ingroup settings
struct Settings {
  std::string name;
  std::string availability_zone;
  ListenerSettings callers;
  ListenerSettings peers;
  PlatformSettings platform;
  LimitSettings limits;
  RetrySettings retries;
  DeadlineSettings deadlines;
  MembershipSettings membership;
  ResidencySettings residency;
  ClaimSettings claims;
  Duration stop_notice{1'000};  ///< Time for the load balancer to see that the node is not ready.
  Duration stop_time{30'000};   ///< Time for requests in flight to finish at a graceful stop.
};

/// @brief Parses and validates settings; returns all errors, each with its JSON path.
/// @ingroup settings
std::variant<Settings, JsonErrors> ParseSettings(std::string_view text);

/// @brief Reads a file; an unreadable file is reported as one error at its path.
/// @ingroup settings
std::variant<std::string, JsonErrors> ReadFile(const std::string& path);

}  // namespace rudderloom

#endif
