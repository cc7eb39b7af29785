#include <doctest/doctest.h>  // for TEST_CASE

#include <algorithm>  // for count_if

#include "rudderloom/forwarding/balancer.hpp"      // for Balancer
#include "rudderloom/attempts/event_framer.hpp"    // for EventFramer
#include "rudderloom/forwarding/retry_budget.hpp"  // for RetryBudget

namespace rudderloom {
namespace {

TimePoint At(int milliseconds) {
  return TimePoint(std::chrono::hours(1)) + Duration(milliseconds);
}

TEST_CASE("events are complete and in order for every chunk size") {
  const std::string text = "id: 1\ndata: a\n\ndata: b\nid: 2\n\nid:3\r\ndata: c\r\n\r\n";
  for (std::size_t size = 1; size <= text.size(); ++size) {
    EventFramer framer;
    std::string seen;
    std::vector<std::uint64_t> ids;
    for (std::size_t at = 0; at < text.size(); at += size) {
      framer.Feed(std::string_view(text).substr(at, size));
      while (auto event = framer.Next()) {
        seen += event->text;
        ids.push_back(event->id.value_or(0));
      }
    }
    CHECK(seen == text);
    CHECK(ids == std::vector<std::uint64_t>{1, 2, 3});
    CHECK_FALSE(framer.HasPartial());
  }
}

struct IdCase {
  std::string text;
  std::optional<std::uint64_t> id;
};

// Guards against an id that is taken for another one, behind which the stream then goes on.
TEST_CASE("an id is a whole number, and the last one of its event") {
  const std::vector<IdCase> cases{{"id: 7\n\n", 7},
                                  {"id:7\r\n\r\n", 7},
                                  {"id: 7x\n\n", std::nullopt},
                                  {"id: 7 8\n\n", std::nullopt},
                                  {"id: -7\n\n", std::nullopt},
                                  {"id:\n\n", std::nullopt},
                                  {"id: 18446744073709551616\n\n", std::nullopt},
                                  {"id: 7\ndata: a\nid: 9\n\n", 9},
                                  {"id: 7\nid: x\n\n", std::nullopt}};
  for (const IdCase& event : cases) {
    EventFramer framer;
    framer.Feed(event.text);
    CAPTURE(event.text);
    CHECK(framer.Next()->id == event.id);
  }
}

TEST_CASE("retries of all nodes together stay within the ratio and the extra in every window") {
  constexpr int kNodes = 8;
  constexpr double kRatio = 0.2;
  constexpr double kExtra = 54.0;
  std::vector<RetryBudget> nodes(kNodes, RetryBudget({kRatio, kExtra, Duration(10'000)}));
  std::vector<int> retries;
  std::vector<int> requests;
  std::mt19937_64 random(7);
  for (int ms = 0; ms < 60'000; ms += 5) {
    const bool busy = ms % 20'000 < 9'000;
    RetryBudget& node = nodes[random() % kNodes];
    if (busy || random() % 10 == 0) {
      node.CountRequest("s", At(ms));
      requests.push_back(ms);
    }
    // Every request fails, so each node retries as often as it may.
    for (RetryBudget& each : nodes) {
      if (each.Spend("s", kNodes, At(ms))) {
        retries.push_back(ms);
      }
    }
  }
  const auto count = [](const std::vector<int>& times, int from, int to) {
    return static_cast<double>(
        std::count_if(times.begin(), times.end(), [&](int ms) { return ms >= from && ms < to; }));
  };
  for (int from = 0; from < 50'000; from += 500) {
    const double asked =
        std::max({count(requests, from, from + 10'000), count(requests, from - 10'000, from),
                  count(requests, from - 5'000, from + 5'000)});
    CHECK(count(retries, from, from + 10'000) <= kRatio * asked + kExtra);
  }
  CHECK(retries.size() > 100);
}

FleetView MakeView(int endpoints) {
  FleetView view;
  for (int i = 0; i < endpoints; ++i) {
    FleetEndpoint endpoint;
    endpoint.record.instance = "i" + std::to_string(i);
    endpoint.record.service = "s";
    endpoint.record.slots = 8;
    endpoint.record.availability_zone = "z";
    endpoint.record.models = {{"m", 1, {}}};
    view.by_service["s"].push_back(static_cast<std::uint32_t>(i));
    view.endpoints.push_back(endpoint);
  }
  view.endpoints.front().record.models.front().adapters = {"a1"};
  return view;
}

RequestMetadata MakeRequest(std::uint64_t common, std::uint64_t own) {
  RequestMetadata terms;
  terms.model = "m";
  terms.tokens_in = 9'000;
  terms.tokens_out = 50;
  terms.prompt = {{common, 6'000}, {own, 3'000}};
  return terms;
}

TEST_CASE(
    "requests with a common prompt prefix go to one endpoint until it is loaded more than others") {
  const FleetView view = MakeView(4);
  Balancer balancer("z", 1);
  const std::set<std::string> none;
  std::map<std::uint32_t, int> chosen;
  for (std::uint64_t i = 0; i < 40; ++i) {
    const RequestMetadata terms = MakeRequest(77, 1'000 + i);
    const auto choice = std::get<EndpointChoice>(balancer.Choose(view, {"s", terms, none}, At(0)));
    const std::string& instance = view.endpoints[choice.index].record.instance;
    ++chosen[choice.index];
    EndpointLoad added_load = choice.added_load;
    balancer.RequestStarted(instance, terms, added_load, At(0));
    balancer.RequestEnded(instance, added_load, EndpointFeedback::kServed, At(0));
  }
  CHECK(chosen.size() == 1);
  // Concurrent requests are spread over all endpoints.
  chosen.clear();
  for (std::uint64_t i = 0; i < 16; ++i) {
    const RequestMetadata terms = MakeRequest(77, 2'000 + i);
    const auto choice = std::get<EndpointChoice>(balancer.Choose(view, {"s", terms, none}, At(0)));
    ++chosen[choice.index];
    balancer.RequestStarted(view.endpoints[choice.index].record.instance, terms, choice.added_load,
                            At(0));
  }
  CHECK(chosen.size() == 4);
}

// Sends one request from each of `requests` nodes that all know the same loads, and returns the
// largest number that any endpoint receives.
int MaxRequestsPerEndpoint(int endpoints, int requests) {
  constexpr int kNodes = 60;
  FleetView view = MakeView(endpoints);
  view.live_nodes = kNodes;
  for (std::size_t i = 0; i < view.endpoints.size(); ++i) {
    view.endpoints[i].other_nodes_load.requests = 6 + static_cast<std::uint32_t>(i);
  }
  const std::set<std::string> none;
  std::map<std::uint32_t, int> chosen;
  int most = 0;
  for (int node = 0; node < requests; ++node) {
    Balancer balancer("z", static_cast<std::uint64_t>(node));
    for (int i = 0; i < 10; ++i) {
      balancer.Work().RecordAnswer("s", "m", 50, Duration(600));
    }
    RequestMetadata terms = MakeRequest(7, 8);
    terms.prompt.clear();
    const auto choice =
        std::get<EndpointChoice>(balancer.Choose(view, {"s", terms, none}, At(10'000)));
    most = std::max(most, ++chosen[choice.index]);
  }
  return most;
}

TEST_CASE("nodes with identical load information do not all choose the same endpoint") {
  CHECK(MaxRequestsPerEndpoint(4, 18) <= 10);
}

TEST_CASE("the forecast counts taken slots and treats deferred requests separately") {
  FleetView view = MakeView(1);
  view.endpoints[0].other_nodes_load = {24, 12, 0};
  Balancer balancer("z", 1);
  for (int i = 0; i < 10; ++i) {
    balancer.Work().RecordAnswer("s", "m", 50, Duration(800));
  }
  const std::set<std::string> none;
  const RequestMetadata terms = MakeRequest(1, 2);
  const auto choice = std::get<EndpointChoice>(balancer.Choose(view, {"s", terms, none}, At(0)));
  // Eight slots: 12 requests are ahead if admitted, 24 if deferred.
  CHECK(choice.forecast.if_admitted == Duration(500));
  CHECK(choice.forecast.if_deferred == Duration(1'700));
  CHECK(choice.hold_time == Duration(800));
}

TEST_CASE(
    "an endpoint that denied a model is excluded for that model only, until its entry is renewed") {
  FleetView view = MakeView(1);
  view.endpoints[0].record.models.push_back({"other", 1, {}});
  Balancer balancer("z", 1);
  const std::set<std::string> none;
  RequestMetadata terms = MakeRequest(1, 2);
  balancer.MarkNotResident("i0", terms, At(0));
  CHECK(std::get<NoEndpointReason>(balancer.Choose(view, {"s", terms, none}, At(1'000))) ==
        NoEndpointReason::kNotResident);
  CHECK(
      std::holds_alternative<EndpointChoice>(balancer.Choose(view, {"s", terms, none}, At(2'000))));
  terms.model = "other";
  CHECK(std::holds_alternative<EndpointChoice>(balancer.Choose(view, {"s", terms, none}, At(100))));
}

TEST_CASE("only endpoints that hold the adapter are chosen, and recently failed ones are avoided") {
  const FleetView view = MakeView(3);
  Balancer balancer("z", 1);
  const std::set<std::string> none;
  RequestMetadata terms = MakeRequest(1, 2);
  terms.adapter = "a1";
  CHECK(std::get<EndpointChoice>(balancer.Choose(view, {"s", terms, none}, At(0))).index == 0);
  terms.adapter = "a2";
  CHECK(std::get<NoEndpointReason>(balancer.Choose(view, {"s", terms, none}, At(0))) ==
        NoEndpointReason::kNotResident);
  const std::string other = "other";
  CHECK(std::get<NoEndpointReason>(balancer.Choose(view, {other, terms, none}, At(0))) ==
        NoEndpointReason::kNoEndpoints);
  terms.adapter.clear();
  balancer.RequestEnded("i0", {}, EndpointFeedback::kFailed, At(0));
  balancer.RequestEnded("i1", {}, EndpointFeedback::kFailed, At(0));
  for (int i = 0; i < 20; ++i) {
    CHECK(std::get<EndpointChoice>(balancer.Choose(view, {"s", terms, none}, At(100))).index == 2);
  }
}

}  // namespace
}  // namespace rudderloom
