#include "bench/workload.hpp"

#include <algorithm>  // for sort, max
#include <cmath>      // for pow
#include <random>     // for mt19937_64

namespace rudderloom::bench {

namespace {

constexpr std::int64_t kDeadlines[] = {3'000, 10'000, 120'000};
constexpr double kMeanLengthMs = 900.0;
// How long before the forecast start the event begins if the forecast is wrong.
constexpr std::int64_t kForecastErrorMs = 120'000;

struct WorkloadProfile {
  int endpoints;
  int models;
  int zones;
  double base_load;  // share of all slots outside the event
  double event_load;
  double fill_share;  // share of requests in the fill class
};

WorkloadProfile ProfileFor(const std::string& name) {
  if (name == "fault-commons") {
    return {18, 40, 4, 0.25, 0.8, 0.5};
  }
  if (name == "port-board") {
    return {18, 35, 3, 0.25, 0.85, 0.15};
  }
  return {107, 200, 3, 0.3, 0.7, 0.3};  // one availability zone of the larger deployment
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
  const WorkloadProfile profile = ProfileFor(name);
  Workload workload;
  workload.name = name;
  workload.endpoints = profile.endpoints;
  workload.zones = profile.zones;
  const double capacity = profile.endpoints * workload.slots * 1000.0 / kMeanLengthMs;
  double zipf_sum = 0.0;
  for (int i = 0; i < profile.models; ++i) {
    zipf_sum += 1.0 / (i + 1);
  }
  for (int i = 0; i < profile.models; ++i) {
    ModelSpec model;
    model.name = "model-" + std::to_string(i);
    model.memory = 8 + random() % 9;
    model.base_rate = capacity * profile.base_load / (i + 1) / zipf_sum;
    workload.models.push_back(model);
  }
  // The event adds demand for a few models that are otherwise rarely requested. They receive most
  // of its traffic.
  const int event_model_count = std::max(3, profile.models / 10);
  for (int i = 0; i < event_model_count; ++i) {
    ModelSpec& model =
        workload.models[static_cast<std::size_t>(profile.models) / 2 + static_cast<std::size_t>(i)];
    model.event_rate = capacity * (profile.event_load - profile.base_load) / event_model_count;
    model.declared_copies = static_cast<std::int64_t>(
        std::ceil(model.event_rate * kMeanLengthMs / 1000.0 / workload.slots * 1.3));
  }
  std::vector<double> event_rates;
  for (const ModelSpec& model : workload.models) {
    event_rates.push_back(model.event_rate);
  }
  if (scenario == Scenario::kWrongForecast) {
    // The event begins early and requests other models than declared.
    std::rotate(event_rates.begin(), event_rates.begin() + event_model_count, event_rates.end());
  }
  const std::int64_t start = scenario == Scenario::kWrongForecast
                                 ? workload.event_start - kForecastErrorMs
                                 : workload.event_start;
  std::exponential_distribution<double> interarrival(1.0);
  std::gamma_distribution<double> duration(4.0, kMeanLengthMs / 4.0);
  for (std::size_t i = 0; i < workload.models.size(); ++i) {
    const ModelSpec& model = workload.models[i];
    for (double at = 0.0;;) {
      const bool in_event = scenario != Scenario::kCalm && scenario != Scenario::kTenfold &&
                            at >= static_cast<double>(start) &&
                            at < static_cast<double>(workload.event_end);
      double rate = model.base_rate + (in_event ? event_rates[i] : 0.0);
      if (scenario == Scenario::kTenfold) {
        // Demand of each model varies tenfold, with phases that differ between models. The cycle of
        // an hour is compressed into the run.
        const double phase =
            at / static_cast<double>(workload.duration) + static_cast<double>(i % 7) / 7;
        rate *= std::pow(10.0, 0.5 * std::sin(phase * 6.28));
      }
      at += interarrival(random) * 1000.0 / std::max(rate, 1e-3);
      if (at >= static_cast<double>(workload.duration)) {
        break;
      }
      Request request;
      request.arrival = static_cast<std::int64_t>(at);
      request.model = static_cast<int>(i);
      const double draw = static_cast<double>(random() % 1000) / 1000.0;
      request.priority_class =
          draw < profile.fill_share
              ? 2
              : (draw < profile.fill_share + (1 - profile.fill_share) / 2 ? 1 : 0);
      request.deadline = request.arrival + kDeadlines[request.priority_class];
      request.duration = std::max<std::int64_t>(50, static_cast<std::int64_t>(duration(random)));
      request.prefix = random() % 40;
      workload.requests.push_back(request);
    }
  }
  std::sort(workload.requests.begin(), workload.requests.end(),
            [](const Request& a, const Request& b) {
              return a.arrival != b.arrival ? a.arrival < b.arrival : a.model < b.model;
            });
  if (scenario == Scenario::kEndpointsLost) {
    for (int i = 0; i < profile.endpoints / 10 + 1; ++i) {
      workload.lost_endpoints.push_back(i * 3);
    }
  }
  return workload;
}

}  // namespace rudderloom::bench
