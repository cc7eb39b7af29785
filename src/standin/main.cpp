// rudderloom_standin: stand-ins for the platform, a model engine, a plain service and the weight
// store, for tests and demos.
#include <cxxopts.hpp>  // for Options
#include <iostream>     // for cerr

#include "rudderloom/base/json_reader.hpp"  // for ParseSize
#include "rudderloom/base/log_line.hpp"     // for StartLogging
#include "standin/standin.hpp"              // for RunPlatform

namespace {

constexpr int kExitUsage = 64;

using rudderloom::standin::Options;

Options ReadOptions(const cxxopts::ParseResult& parsed) {
  Options options;
  options.name = parsed["name"].as<std::string>();
  options.port = parsed["port"].as<std::uint16_t>();
  options.platform = parsed["platform"].as<std::string>();
  options.weight_store = parsed["weight-store"].as<std::string>();
  options.pool = parsed["pool"].as<std::string>();
  options.zone = parsed["zone"].as<std::string>();
  options.service = parsed["service"].as<std::string>();
  options.memory = rudderloom::ParseSize(parsed["memory"].as<std::string>()).value_or(0);
  options.slots = parsed["slots"].as<std::int64_t>();
  options.token_ms = parsed["token-ms"].as<std::int64_t>();
  options.load_ms = parsed["load-ms"].as<std::int64_t>();
  options.checks_fencing = parsed["checks-fences"].as<bool>();
  options.loads_per_second = parsed["loads-per-second"].as<std::int64_t>();
  return options;
}

int Run(const std::string& role, const Options& options) {
  if (role == "platform") {
    rudderloom::standin::RunPlatform(options);
  } else if (role == "endpoint") {
    rudderloom::standin::RunEndpoint(options);
  } else if (role == "service") {
    rudderloom::standin::RunService(options);
  } else if (role == "weight-store") {
    rudderloom::standin::RunWeightStore(options);
  } else {
    std::cerr << "unknown stand-in: " << role << "\n";
    return kExitUsage;
  }
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  cxxopts::Options parser("rudderloom_standin", "platform | endpoint | service | weight-store");
  parser.add_options()("what", "stand-in to run", cxxopts::value<std::string>()->default_value(""))(
      "name", "name registered in the platform",
      cxxopts::value<std::string>()->default_value("standin"))(
      "port", "listening port, 0: any free port",
      cxxopts::value<std::uint16_t>()->default_value("0"))(
      "platform", "address of the platform", cxxopts::value<std::string>()->default_value(""))(
      "weight-store", "address of the weight store",
      cxxopts::value<std::string>()->default_value(""))(
      "pool", "pool of the endpoint", cxxopts::value<std::string>()->default_value("default"))(
      "zone", "availability zone", cxxopts::value<std::string>()->default_value("zone-a"))(
      "service", "name of the service", cxxopts::value<std::string>()->default_value(""))(
      "memory", "accelerator memory", cxxopts::value<std::string>()->default_value("24GiB"))(
      "slots", "concurrent requests", cxxopts::value<std::int64_t>()->default_value("8"))(
      "token-ms", "milliseconds per token", cxxopts::value<std::int64_t>()->default_value("5"))(
      "load-ms", "milliseconds per load", cxxopts::value<std::int64_t>()->default_value("1000"))(
      "loads-per-second", "downloads per second from the weight store",
      cxxopts::value<std::int64_t>()->default_value("2"))(
      "checks-fences", "reject orders with an outdated fencing token",
      cxxopts::value<bool>()->default_value("false"))("help", "print this help");
  parser.parse_positional({"what"});
  try {
    const cxxopts::ParseResult parsed = parser.parse(argc, argv);
    if (parsed.count("help") > 0) {
      std::cout << parser.help();
      return 0;
    }
    rudderloom::StartLogging(argv[0]);
    return Run(parsed["what"].as<std::string>(), ReadOptions(parsed));
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return kExitUsage;
  }
}
