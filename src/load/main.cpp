// rudderloom_load: an open-loop load generator that checks every answer against its request.
#include <cxxopts.hpp>  // for Options
#include <fstream>      // for ofstream
#include <iostream>     // for cout
#include <random>       // for mt19937_64

#include "load/sender.hpp"                   // for Sender
#include "rudderloom/base/log_line.hpp"      // for StartLogging
#include "rudderloom/settings/settings.hpp"  // for ReadFile

namespace rudderloom::load {
namespace {

constexpr int kExitInvalidScenario = 2;
constexpr int kExitCheckFailed = 1;
constexpr int kExitUsage = 64;

// Draws arrival times and traffic classes from one seed, and starts each request at its arrival
// time.
class LoadRun {
 public:
  explicit LoadRun(const Scenario& scenario)
      : scenario_(scenario),
        sender_(context_, scenario_),
        report_(scenario_),
        random_(scenario.seed) {}

  const Report& Execute() {
    asio::co_spawn(context_, GenerateArrivals(), asio::detached);
    context_.run();
    return report_;
  }

 private:
  std::size_t DrawTrafficClass(Duration elapsed) {
    std::vector<double> weights;
    for (const TrafficClass& traffic : scenario_.mix) {
      const bool active = elapsed >= traffic.start_offset &&
                          (traffic.end_offset.count() == 0 || elapsed < traffic.end_offset);
      weights.push_back(active ? traffic.weight : 0.0);
    }
    return std::discrete_distribution<std::size_t>(weights.begin(), weights.end())(random_);
  }

  Awaitable<void> GenerateArrivals() {
    std::exponential_distribution<double> interval(scenario_.request_rate);
    const TimePoint started = Now();
    double arrival = 0.0;
    Timer timer(context_);
    while (true) {
      arrival += interval(random_);
      const auto offset =
          std::chrono::duration_cast<TimePoint::duration>(std::chrono::duration<double>(arrival));
      if (offset >= scenario_.duration) {
        break;
      }
      timer.expires_at(started + offset);
      co_await timer.async_wait(kAsTuple);
      RequestSpec spec;
      spec.class_index = DrawTrafficClass(std::chrono::duration_cast<Duration>(offset));
      spec.number = ++number_;
      const auto prompts =
          static_cast<std::uint64_t>(scenario_.mix[spec.class_index].distinct_prompts);
      spec.prompt_number = random_() % prompts;
      spec.node_index = random_() % scenario_.entry_nodes.size();
      ++running_;
      asio::co_spawn(context_, SendRequest(spec), asio::detached);
    }
    while (running_ > 0) {
      timer.expires_after(Duration(20));
      co_await timer.async_wait(kAsTuple);
    }
    for (const std::string& address : scenario_.service_standins) {
      report_.AddRunCounts(co_await sender_.FetchRunCounts(address));
    }
  }

  Awaitable<void> SendRequest(RequestSpec spec) {
    report_.Add(co_await sender_.Send(spec));
    --running_;
  }

  const Scenario& scenario_;
  asio::io_context context_{1};
  Sender sender_;
  Report report_;
  std::mt19937_64 random_;
  std::uint64_t number_ = 0;
  std::uint64_t running_ = 0;
};

int Main(const cxxopts::ParseResult& parsed) {
  auto text = ReadFile(parsed["scenario"].as<std::string>());
  if (auto* errors = std::get_if<JsonErrors>(&text)) {
    std::cerr << errors->front().Text() << "\n";
    return kExitInvalidScenario;
  }
  auto scenario = ParseScenario(std::get<std::string>(text));
  if (auto* errors = std::get_if<JsonErrors>(&scenario)) {
    for (const JsonError& json_error : *errors) {
      std::cerr << json_error.Text() << "\n";
    }
    return kExitInvalidScenario;
  }
  LoadRun run(std::get<Scenario>(scenario));
  const Report& report = run.Execute();
  std::cout << report.Table();
  const std::string file = parsed["json"].as<std::string>();
  if (!file.empty()) {
    std::ofstream(file) << report.Json() << "\n";
  }
  const bool passed = parsed.count("all-whole") > 0 ? report.AllComplete() : report.IsCorrect();
  return passed ? 0 : kExitCheckFailed;
}

}  // namespace
}  // namespace rudderloom::load

int main(int argc, char** argv) {
  cxxopts::Options options(
      "rudderloom_load",
      "Sends the requests of a scenario and checks every answer. Exit statuses: "
      "0 all correct, 1 some answer was wrong, 2 invalid scenario, 64 usage.");
  options.add_options()("scenario", "scenario as a JSON file", cxxopts::value<std::string>())(
      "json", "file to write the JSON report to", cxxopts::value<std::string>()->default_value(""))(
      "all-whole", "fail unless every request got its complete answer")("help", "print this help");
  options.parse_positional({"scenario"});
  options.positional_help("<scenario.json>");
  try {
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0 || parsed.count("scenario") == 0) {
      std::cout << options.help();
      return parsed.count("help") > 0 ? 0 : rudderloom::load::kExitUsage;
    }
    rudderloom::StartLogging(argv[0]);
    return rudderloom::load::Main(parsed);
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return rudderloom::load::kExitUsage;
  }
}
