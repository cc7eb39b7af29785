/// @file
/// Scenario of the load tool: which requests to send, how many and where.
#ifndef RUDDERLOOM_LOAD_SCENARIO_HPP
#define RUDDERLOOM_LOAD_SCENARIO_HPP

#include <cstdint>  // for int64_t
#include <string>   // for string
#include <variant>  // for variant
#include <vector>   // for vector

#include "rudderloom/base/clock.hpp"        // for Duration
#include "rudderloom/base/json_reader.hpp"  // for JsonErrors

namespace rudderloom::load {

/// @brief One class of requests in the traffic mix.
struct TrafficClass {
  enum class Type { kChat, kCompletion, kService };
  std::string name;
  Type type = Type::kChat;
  double weight = 1.0;
  std::string target_name;  // model, or service for Type::kService
  std::string method = "POST";
  std::string path = "/";
  std::string request_kind;  // X-Request-Kind; empty: header not sent
  std::string caller = "load";
  bool stream = false;
  bool idempotent = false;  // sent with an Idempotency-Key
  std::int64_t tokens = 16;
  std::int64_t distinct_prompts = 50;  // requests with the same prompt share their prefix
  std::int64_t max_attempts = 1;       // including the first; retries follow one second apart
  Duration deadline{10'000};           // answers later than this do not count as in time
  // Start and end of this class's traffic, from the start of the run. An end of 0: until it ends.
  Duration start_offset{0};
  Duration end_offset{0};
};

/// @brief The whole load run.
struct Scenario {
  std::vector<std::string> entry_nodes;       // addresses where entry nodes take requests
  std::vector<std::string> service_standins;  // they count the runs of each call
  double request_rate = 10.0;                 // requests per second over all classes
  Duration duration{5'000};
  std::uint64_t seed = 1;
  std::vector<TrafficClass> mix;
};

/// @brief Parses a scenario from JSON, or returns all errors in it.
std::variant<Scenario, JsonErrors> ParseScenario(std::string_view text);

}  // namespace rudderloom::load

#endif
