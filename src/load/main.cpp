// rudderloom_load: an open-loop load tool that checks every answer against its own request.
#include <cxxopts.hpp>  // for Options
#include <fstream>      // for ofstream
#include <iostream>     // for cout
#include <random>       // for mt19937_64

#include "load/sender.hpp"                   // for Sender
#include "rudderloom/base/log_line.hpp"      // for StartLogging
#include "rudderloom/settings/settings.hpp"  // for ReadFile

namespace rudderloom::load {
namespace {

constexpr int kInvalid = 2;
constexpr int kUnsound = 1;
constexpr int kUsage = 64;

// Draws arrivals and parts from one seed, and starts each request at its moment.
class Run {
 public:
  explicit Run(const Scenario& scenario)
      : scenario_(scenario),
        sender_(context_, scenario_),
        report_(scenario_),
        random_(scenario.seed) {}

  const Report& Drive() {
    asio::co_spawn(context_, Arrivals(), asio::detached);
    context_.run();
    return report_;
  }

 private:
  std::size_t DrawPart(Duration since) {
    std::vector<double> weights;
    for (const Part& part : scenario_.mix) {
      const bool on = since >= part.from && (part.until.count() == 0 || since < part.until);
      weights.push_back(on ? part.weight : 0.0);
    }
    return std::discrete_distribution<std::size_t>(weights.begin(), weights.end())(random_);
  }

  Awaitable<void> Arrivals() {
    std::exponential_distribution<double> gap(scenario_.rate);
    const TimePoint started = Now();
    double at = 0.0;
    Timer timer(context_);
    while (true) {
      at += gap(random_);
      const auto offset =
          std::chrono::duration_cast<TimePoint::duration>(std::chrono::duration<double>(at));
      if (offset >= scenario_.length) {
        break;
      }
      timer.expires_at(started + offset);
      co_await timer.async_wait(kAsTuple);
      Asked asked;
      asked.part = DrawPart(std::chrono::duration_cast<Duration>(offset));
      asked.number = ++number_;
      const auto prompts = static_cast<std::uint64_t>(scenario_.mix[asked.part].prompts);
      asked.prompt = random_() % prompts;
      asked.target = random_() % scenario_.targets.size();
      ++running_;
      asio::co_spawn(context_, One(asked), asio::detached);
    }
    while (running_ > 0) {
      timer.expires_after(Duration(20));
      co_await timer.async_wait(kAsTuple);
    }
    for (const std::string& address : scenario_.services) {
      report_.AddRuns(co_await sender_.ReadRuns(address));
    }
  }

  Awaitable<void> One(Asked asked) {
    report_.Add(co_await sender_.Send(asked));
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
  if (auto* mistakes = std::get_if<JsonErrors>(&text)) {
    std::cerr << mistakes->front().Text() << "\n";
    return kInvalid;
  }
  auto scenario = ParseScenario(std::get<std::string>(text));
  if (auto* mistakes = std::get_if<JsonErrors>(&scenario)) {
    for (const JsonError& mistake : *mistakes) {
      std::cerr << mistake.Text() << "\n";
    }
    return kInvalid;
  }
  Run run(std::get<Scenario>(scenario));
  const Report& report = run.Drive();
  std::cout << report.Table();
  const std::string file = parsed["json"].as<std::string>();
  if (!file.empty()) {
    std::ofstream(file) << report.Json() << "\n";
  }
  const bool good = parsed.count("all-whole") > 0 ? report.AllWhole() : report.Sound();
  return good ? 0 : kUnsound;
}

}  // namespace
}  // namespace rudderloom::load

int main(int argc, char** argv) {
  cxxopts::Options options("rudderloom_load",
                           "Sends a scenario and checks every answer. Exit statuses: 0 sound, "
                           "1 some answer was wrong, 2 invalid scenario, 64 usage.");
  options.add_options()("scenario", "JSON file", cxxopts::value<std::string>())(
      "json", "file for the report as JSON", cxxopts::value<std::string>()->default_value(""))(
      "all-whole", "fail unless every request got its whole answer")("help", "print this");
  options.parse_positional({"scenario"});
  options.positional_help("<scenario.json>");
  try {
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0 || parsed.count("scenario") == 0) {
      std::cout << options.help();
      return parsed.count("help") > 0 ? 0 : rudderloom::load::kUsage;
    }
    rudderloom::StartLogging(argv[0]);
    return rudderloom::load::Main(parsed);
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return rudderloom::load::kUsage;
  }
}
