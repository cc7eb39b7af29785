#include "load/scenario.hpp"

namespace rudderloom::load {

namespace {

constexpr std::int64_t kMaxCount = 100'000;

TrafficClass ReadTrafficClass(ObjectReader& reader) {
  TrafficClass traffic;
  traffic.name = reader.String("name");
  const std::string type = reader.String("type", "chat");
  if (type == "completion") {
    traffic.type = TrafficClass::Type::kCompletion;
  } else if (type == "service") {
    traffic.type = TrafficClass::Type::kService;
  } else if (type != "chat") {
    reader.Fail("type", "\"" + type + "\" is not chat, completion or service");
  }
  traffic.weight = reader.Number("weight", 0.0, 1e6, traffic.weight);
  traffic.target_name = reader.String("target");
  traffic.method = reader.String("method", traffic.method);
  traffic.path = reader.String("path", traffic.path);
  traffic.request_kind = reader.String("kind", "");
  traffic.caller = reader.String("caller", traffic.caller);
  traffic.stream = reader.Boolean("stream", traffic.stream);
  traffic.idempotent = reader.Boolean("keyed", traffic.idempotent);
  traffic.tokens = reader.Integer("tokens", 1, kMaxCount, traffic.tokens);
  traffic.distinct_prompts = reader.Integer("prompts", 1, kMaxCount, traffic.distinct_prompts);
  traffic.max_attempts = reader.Integer("tries", 1, 100, traffic.max_attempts);
  traffic.deadline = reader.Time("deadline", traffic.deadline);
  traffic.start_offset = reader.Time("from", traffic.start_offset);
  traffic.end_offset = reader.Time("until", traffic.end_offset);
  return traffic;
}

}  // namespace

std::variant<Scenario, JsonErrors> ParseScenario(std::string_view text) {
  auto parsed = ParseJsonObject(text, "/");
  if (auto* parse_errors = std::get_if<JsonErrors>(&parsed)) {
    return std::move(*parse_errors);
  }
  JsonErrors errors;
  Scenario scenario;
  ObjectReader reader(std::get<boost::json::object>(parsed), "", errors);
  scenario.entry_nodes = reader.Strings("targets");
  scenario.service_standins = reader.Strings("services");
  scenario.request_rate = reader.Number("rate", 0.01, 1e6, scenario.request_rate);
  scenario.duration = reader.Time("length", scenario.duration);
  scenario.seed = static_cast<std::uint64_t>(reader.Integer("seed", 0, 1LL << 60, 1));
  reader.Objects("mix",
                 [&](ObjectReader& item) { scenario.mix.push_back(ReadTrafficClass(item)); });
  if (scenario.entry_nodes.empty()) {
    reader.Fail("targets", "is empty");
  }
  if (scenario.mix.empty()) {
    reader.Fail("mix", "is empty");
  }
  reader.Finish();
  if (!errors.empty()) {
    return errors;
  }
  return scenario;
}

}  // namespace rudderloom::load
