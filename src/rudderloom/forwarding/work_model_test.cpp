// Load: many endpoints with prompts of similar length, of which some are busy.
#include "rudderloom/forwarding/work_model.hpp"

#include <doctest/doctest.h>  // for TEST_CASE

#include <map>     // for map
#include <memory>  // for make_shared
#include <random>  // for mt19937

namespace rudderloom {
namespace {

// An engine that processes 20 prompt tokens a millisecond and pauses its streams meanwhile.
StreamSample MakeSample(std::uint64_t unread_tokens, std::uint32_t requests, double noise) {
  const double tokens = static_cast<double>(unread_tokens);
  StreamSample sample;
  sample.work = {unread_tokens, requests};
  sample.tokens_out = 24;
  sample.first_event = Duration(static_cast<int>((50.0 + tokens / 20.0 + 2.0 * requests) * noise));
  sample.longest_pause = Duration(static_cast<int>((30.0 + tokens / 25.0) * noise));
  sample.hold_time = Duration(300);
  return sample;
}

TEST_CASE("a service without samples forecasts nothing, so that nothing is refused on a guess") {
  const WorkModel work;
  const StreamForecast forecast = work.Forecast("pool", "m", {50'000, 60});
  CHECK(forecast.first_event == Duration(0));
  CHECK(forecast.longest_pause_bound == Duration(0));
  CHECK(work.HoldTime("pool", "m", 100) == Duration(0));
}

TEST_CASE("hold times are estimated by model, and by service until the model has enough samples") {
  WorkModel work;
  for (int i = 0; i < 50; ++i) {
    const std::uint64_t tokens = 100 + static_cast<std::uint64_t>(i) * 100;
    work.RecordAnswer("pool", "slow", tokens, Duration(tokens * 5));
  }
  CHECK(work.HoldTime("pool", "slow", 200) == Duration(1'000));
  CHECK(work.HoldTime("pool", "other", 200) == Duration(1'000));
  for (int i = 0; i < 10; ++i) {
    work.RecordAnswer("pool", "fast", 200, Duration(150));
  }
  CHECK(work.HoldTime("pool", "fast", 400) == Duration(300));
  CHECK(work.HoldTime("elsewhere", "fast", 400) == Duration(0));
}

RouteTablePtr TableOfModels(const std::map<std::string, std::uint64_t>& memory_by_model) {
  ServiceSpec service;
  service.name = "pool";
  service.engine.emplace();
  for (const auto& [name, memory_mb] : memory_by_model) {
    ModelSpec model;
    model.name = name;
    model.memory_mb = memory_mb;
    service.engine->models.push_back(model);
  }
  return std::make_shared<const RouteTable>(1, std::vector<Route>{},
                                            std::vector<ServiceSpec>{service}, ClientLimits{});
}

// Load: sixty nodes that see few answers of each model, with models of different speeds. The
// failure: a slow model was taken to be as fast as the average, and got twice the prompts that its
// engines process.
TEST_CASE("a model with few samples is as fast as the models of its size") {
  WorkModel work;
  work.ApplyConfiguration(TableOfModels(
      {{"small", 65'000}, {"other_small", 65'000}, {"large", 72'000}, {"other_large", 72'000}}));
  std::mt19937 random(5);
  for (int i = 0; i < 40; ++i) {
    const std::uint64_t tokens = 1'000 + 500 * (random() % 6);
    StreamSample slow = MakeSample(tokens, 0, 1.0);
    work.RecordStream("pool", "large", slow);
    StreamSample fast = slow;
    fast.first_event = slow.first_event / 4;
    work.RecordStream("pool", "small", fast);
  }
  const Duration slow = work.Forecast("pool", "other_large", {4'000, 0}).first_event;
  const Duration fast = work.Forecast("pool", "other_small", {4'000, 0}).first_event;
  CHECK(slow >= Duration(200));
  CHECK(fast <= Duration(100));
  CHECK(work.PromptTime("pool", "other_large", 2'000) >=
        2 * work.PromptTime("pool", "other_small", 2'000));
  const Duration unknown = work.Forecast("pool", "not_configured", {4'000, 0}).first_event;
  CHECK(unknown > fast);
  CHECK(unknown < slow);
}

TEST_CASE("unread prompts ahead are part of the forecast although all prompts are alike") {
  WorkModel work;
  std::mt19937 random(3);
  for (int i = 0; i < 60; ++i) {
    const std::uint64_t ahead = random() % 5;
    work.RecordStream("pool", "m", MakeSample(2'400 * (1 + ahead), 4, 1.0));
  }
  const StreamForecast busy = work.Forecast("pool", "m", {16'000, 41});
  CHECK(busy.first_event > Duration(800));
  CHECK(busy.first_event < Duration(1'000));
  CHECK(busy.longest_pause > Duration(550));
  CHECK(work.TokensPerMillisecond("pool", "m") > 18.0);
  CHECK(work.TokensPerMillisecond("pool", "m") < 23.0);
}

TEST_CASE("with samples of idle endpoints only, unread prompts still count") {
  WorkModel work;
  for (int i = 0; i < 60; ++i) {
    work.RecordStream("pool", "m", MakeSample(2'400, 1, 1.0));
  }
  const StreamForecast idle = work.Forecast("pool", "m", {2'400, 1});
  const StreamForecast busy = work.Forecast("pool", "m", {16'000, 41});
  CHECK(idle.first_event > Duration(150));
  CHECK(idle.first_event < Duration(190));
  CHECK(busy.first_event > idle.first_event + Duration(300));
}

TEST_CASE("nine of ten streams are no later than the bound") {
  WorkModel work;
  std::mt19937 random(5);
  std::normal_distribution<double> noise(1.0, 0.25);
  int late = 0;
  constexpr int kWarmUp = 200;
  constexpr int kSamples = 2'000;
  for (int i = 0; i < kWarmUp + kSamples; ++i) {
    const StreamSample sample = MakeSample(1'000 + random() % 9'000, random() % 20, noise(random));
    const StreamForecast forecast = work.Forecast("pool", "m", sample.work);
    late += i >= kWarmUp && sample.first_event > forecast.first_event_bound ? 1 : 0;
    work.RecordStream("pool", "m", sample);
  }
  CHECK(late <= kSamples / 10);
}

// Load: more prompts than an endpoint processes while its streams keep their pauses.
TEST_CASE("the prompts that arrive within a pause fit into it beside the steps") {
  WorkModel work;
  std::mt19937 random(7);
  for (int i = 0; i < 100; ++i) {
    work.RecordStream("pool", "m", MakeSample(1'000 + random() % 9'000, 4, 1.0));
  }
  constexpr Duration kPause{400};
  const Duration steps = work.Forecast("pool", "m", {0, 0}).longest_pause;
  for (const std::uint64_t tokens : {300, 700, 1'200, 2'400, 3'000, 5'000}) {
    CAPTURE(tokens);
    const Duration prompt = work.PromptTime("pool", "m", tokens);
    const auto spacing = work.PromptSpacing("pool", "m", tokens, kPause);
    REQUIRE(spacing);
    const auto arriving = (kPause + *spacing - Duration(1)) / *spacing;
    CHECK(steps + prompt * arriving <= kPause);
    CHECK(*spacing <= prompt * 2 + Duration(1));
  }
  // A prompt that takes most of the pause by itself gets half of the time.
  CHECK(work.PromptSpacing("pool", "m", 9'000, kPause) <=
        work.PromptTime("pool", "m", 9'000) * 2 + Duration(1));
  CHECK_FALSE(work.PromptSpacing("pool", "m", 2'400, Duration(0)));
  CHECK(work.PromptSpacing("pool", "m", 0, kPause) == Duration(0));
}

// Guards against engines that are free half of the time, because the mean time to the first event
// contains waits for prompts of other nodes.
TEST_CASE("some requests that wait for unknown prompts don't lengthen the time of a prompt") {
  WorkModel alone;
  WorkModel shared;
  std::mt19937 random(11);
  for (int i = 0; i < 300; ++i) {
    const std::uint64_t tokens = 1'000 + random() % 4'000;
    const StreamSample sample = MakeSample(tokens, 4, 1.0);
    alone.RecordStream("pool", "m", sample);
    StreamSample behind = sample;
    behind.first_event *= i % 4 == 0 ? 3 : 1;
    shared.RecordStream("pool", "m", behind);
  }
  const Duration expected = alone.PromptTime("pool", "m", 2'400);
  const Duration found = shared.PromptTime("pool", "m", 2'400);
  CHECK(found < expected * 5 / 4);
  CHECK(found > expected * 3 / 4);
  // The forecast of the first event stays the mean.
  CHECK(shared.Forecast("pool", "m", {2'400, 4}).first_event >
        alone.Forecast("pool", "m", {2'400, 4}).first_event * 5 / 4);
}

TEST_CASE("stalled endpoints and absurd load figures change a forecast within bounds") {
  WorkModel work;
  for (int i = 0; i < 50; ++i) {
    work.RecordStream("pool", "m", MakeSample(2'400, 4, 1.0));
  }
  StreamSample stalled = MakeSample(2'400, 4, 1.0);
  stalled.first_event = Duration(60'000);
  stalled.longest_pause = Duration(60'000);
  for (int i = 0; i < 3; ++i) {
    work.RecordStream("pool", "m", stalled);
  }
  CHECK(work.Forecast("pool", "m", {2'400, 4}).first_event < Duration(300));
  StreamSample forged = MakeSample(0, 0, 1.0);
  forged.work = {UINT64_MAX, UINT32_MAX};
  work.RecordStream("pool", "m", forged);
  const StreamForecast forecast = work.Forecast("pool", "m", {2'400, 4});
  CHECK(forecast.first_event >= Duration(0));
  CHECK(forecast.first_event < Duration(1'000));
}

}  // namespace
}  // namespace rudderloom
