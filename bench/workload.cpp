#include "bench/workload.hpp"

#include <algorithm>  // for sort, max
#include <cmath>      // for pow
#include <random>     // for mt19937_64

namespace rudderloom::bench {

namespace {

constexpr std::int64_t kDeadlines[] = {3'000, 10'000, 120'000};
constexpr double kMeanLengthMs = 900.0;
constexpr std::int64_t kEarlyBy = 120'000;  // how much too early a wrong forecast's event comes

struct Size {
  int endpoints;
  int models;
  int zones;
  double usual_load;  // share of all slots in quiet times
  double event_load;
  double fills;  // share of requests that only fill
};

Size SizeOf(const std::string& name) {
  if (name == "fault-commons") {
    return {18, 40, 4, 0.25, 0.8, 0.5};
  }
  if (name == "port-board") {
    return {18, 35, 3, 0.25, 0.85, 0.15};
  }
  return {107, 200, 3, 0.3, 0.7, 0.3};  // one availability zone of letter 1
}

}  // namespace

std::string NameOf(Scenario scenario) {
  switch (scenario) {
    case Scenario::kCalm:
      return "calm";
    case Scenario::kEvent:
      return "event";
    case Scenario::kWrongForecast:
      return "wrong forecast";
    case Scenario::kEndpointsLost:
      return "endpoints lost";
    case Scenario::kTenfold:
      return "tenfold";
  }
  return "";
}

Workload MakeWorkload(const std::string& name, Scenario scenario, std::uint64_t seed) {
  std::mt19937_64 random(seed);
  const Size size = SizeOf(name);
  Workload load;
  load.name = name;
  load.endpoints = size.endpoints;
  load.zones = size.zones;
  const double capacity = size.endpoints * load.slots * 1000.0 / kMeanLengthMs;
  double zipf_sum = 0.0;
  for (int i = 0; i < size.models; ++i) {
    zipf_sum += 1.0 / (i + 1);
  }
  for (int i = 0; i < size.models; ++i) {
    ModelSpec model;
    model.name = "model-" + std::to_string(i);
    model.memory = 8 + random() % 9;
    model.usual = capacity * size.usual_load / (i + 1) / zipf_sum;
    load.models.push_back(model);
  }
  // The event wants a few models that are rare otherwise, and these take most of it.
  const int special = std::max(3, size.models / 10);
  for (int i = 0; i < special; ++i) {
    ModelSpec& model =
        load.models[static_cast<std::size_t>(size.models) / 2 + static_cast<std::size_t>(i)];
    model.event = capacity * (size.event_load - size.usual_load) / special;
    model.copies = static_cast<std::int64_t>(
        std::ceil(model.event * kMeanLengthMs / 1000.0 / load.slots * 1.3));
  }
  std::vector<double> event_rates;
  for (const ModelSpec& model : load.models) {
    event_rates.push_back(model.event);
  }
  if (scenario == Scenario::kWrongForecast) {
    // Other models than declared are asked for, and too early.
    std::rotate(event_rates.begin(), event_rates.begin() + special, event_rates.end());
  }
  const std::int64_t start =
      scenario == Scenario::kWrongForecast ? load.event_start - kEarlyBy : load.event_start;
  std::exponential_distribution<double> gap(1.0);
  std::gamma_distribution<double> length(4.0, kMeanLengthMs / 4.0);
  for (std::size_t i = 0; i < load.models.size(); ++i) {
    const ModelSpec& model = load.models[i];
    for (double at = 0.0;;) {
      const bool in_event = scenario != Scenario::kCalm && scenario != Scenario::kTenfold &&
                            at >= static_cast<double>(start) &&
                            at < static_cast<double>(load.event_end);
      double rate = model.usual + (in_event ? event_rates[i] : 0.0);
      if (scenario == Scenario::kTenfold) {
        // Each model's demand moves tenfold within an hour, here within the run, out of step.
        const double phase = at / static_cast<double>(load.length) + static_cast<double>(i % 7) / 7;
        rate *= std::pow(10.0, 0.5 * std::sin(phase * 6.28));
      }
      at += gap(random) * 1000.0 / std::max(rate, 1e-3);
      if (at >= static_cast<double>(load.length)) {
        break;
      }
      Request request;
      request.at = static_cast<std::int64_t>(at);
      request.model = static_cast<int>(i);
      const double draw = static_cast<double>(random() % 1000) / 1000.0;
      request.kind = draw < size.fills ? 2 : (draw < size.fills + (1 - size.fills) / 2 ? 1 : 0);
      request.deadline = request.at + kDeadlines[request.kind];
      request.length = std::max<std::int64_t>(50, static_cast<std::int64_t>(length(random)));
      request.prefix = random() % 40;
      load.requests.push_back(request);
    }
  }
  std::sort(load.requests.begin(), load.requests.end(), [](const Request& a, const Request& b) {
    return a.at != b.at ? a.at < b.at : a.model < b.model;
  });
  if (scenario == Scenario::kEndpointsLost) {
    for (int i = 0; i < size.endpoints / 10 + 1; ++i) {
      load.lost.push_back(i * 3);
    }
  }
  return load;
}

}  // namespace rudderloom::bench
