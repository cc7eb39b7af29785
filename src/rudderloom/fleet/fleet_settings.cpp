#include "rudderloom/fleet/fleet_settings.hpp"

#include "rudderloom/base/address.hpp"      // for IsAddress
#include "rudderloom/base/json_fields.hpp"  // for TextAt

namespace rudderloom {

namespace {

constexpr const char* kInterface = "fleet";
constexpr std::int64_t kMaxLogLines = 1'000'000;
constexpr std::int64_t kMinGroupSize = 2;
constexpr std::int64_t kMaxGroupSize = 1'000;
constexpr double kMaxRetryExtra = 1'000'000.0;
constexpr double kMaxQuotaSlack = 1e12;
constexpr double kMinProcessorShare = 0.001;
constexpr std::int64_t kMaxMemoryMb = 1'000'000;
constexpr double kMaxProcessorShare = 1'024.0;

std::string ReadAddress(ObjectReader& reader, std::string_view key, bool required) {
  std::string text = reader.String(key, required ? std::nullopt : std::optional<std::string>(""));
  if (!text.empty() && !IsAddress(text)) {
    reader.Fail(key, "\"" + text + "\" is not an IP address and port such as 10.0.0.1:8080");
  }
  return text;
}

void ReadListeners(ObjectReader& reader, FleetListeners& listen) {
  listen.callers = ReadAddress(reader, "callers", true);
  listen.readiness = ReadAddress(reader, "readiness", true);
  listen.peers = ReadAddress(reader, "peers", true);
  listen.metrics = ReadAddress(reader, "metrics", false);
  listen.gateway = ReadAddress(reader, "gateway", false);
}

void ReadBounds(ObjectReader& reader, FleetBounds& bounds) {
  bounds.drain = reader.Time("drain", bounds.drain);
  bounds.grace = reader.Time("grace", bounds.grace);
  bounds.lease = reader.Time("lease", bounds.lease);
  bounds.checks_fences = reader.Boolean("checks_fences", bounds.checks_fences);
  bounds.load_window = reader.Time("load_window", bounds.load_window);
  bounds.load_overshoot = reader.Number("load_overshoot", 1.0, 10.0, bounds.load_overshoot);
  bounds.retry_ratio = reader.Number("retry_ratio", 0.0, 1.0, bounds.retry_ratio);
  bounds.retry_extra = reader.Number("retry_extra", 0.0, kMaxRetryExtra, bounds.retry_extra);
  bounds.retry_window = reader.Time("retry_window", bounds.retry_window);
  bounds.configuration = reader.Time("configuration", bounds.configuration);
  const Duration quota_window = reader.Time("quota_window", Duration(0));
  bounds.quota.enforced = quota_window > Duration(0);
  bounds.quota.window = bounds.quota.enforced ? quota_window : bounds.quota.window;
  bounds.quota.overshoot = reader.Number("quota_overshoot", 0.0, 1.0, bounds.quota.overshoot);
  bounds.quota.slack = reader.Number("quota_slack", 0.0, kMaxQuotaSlack, bounds.quota.slack);
}

void ReadStore(ObjectReader& reader, FleetSettings& settings) {
  settings.store_address = ReadAddress(reader, "address", true);
  settings.store_call_time = reader.Time("call_time", settings.store_call_time);
  settings.store_watch_time = reader.Time("watch_time", settings.store_watch_time);
}

OverloadControl ReadOverloadControl(ObjectReader& reader) {
  const std::string text = reader.String("overload_control", "off");
  if (text == "on") {
    return OverloadControl::kOn;
  }
  if (text == "auto") {
    return OverloadControl::kAuto;
  }
  if (text != "off") {
    reader.Fail("overload_control", "found \"" + text + "\", expected \"on\", \"off\" or \"auto\"");
  }
  return OverloadControl::kOff;
}

void ReadSettings(ObjectReader& reader, FleetSettings& settings) {
  const std::string interface = reader.String("interface");
  if (interface != kInterface) {
    reader.Fail("interface", "found \"" + interface + "\", expected \"" + kInterface + "\"");
  }
  reader.Object("node", false, [&](ObjectReader& node) {
    settings.name = node.String("name");
    settings.availability_zone = node.String("availability_zone");
    settings.processor_share = node.Number("processor_share", kMinProcessorShare,
                                           kMaxProcessorShare, settings.processor_share);
    settings.memory_mb = static_cast<std::uint64_t>(
        node.Integer("memory_mb", 0, kMaxMemoryMb, static_cast<std::int64_t>(settings.memory_mb)));
    settings.first_start = node.Boolean("first_start", settings.first_start);
    settings.group_size = static_cast<std::uint32_t>(
        node.Integer("group_size", kMinGroupSize, kMaxGroupSize, settings.group_size));
  });
  reader.Object("listen", false,
                [&](ObjectReader& nested) { ReadListeners(nested, settings.listen); });
  reader.Object("store", false, [&](ObjectReader& nested) { ReadStore(nested, settings); });
  reader.Object("bounds", true, [&](ObjectReader& nested) { ReadBounds(nested, settings.bounds); });
  settings.overload_control = ReadOverloadControl(reader);
  settings.log_lines_per_second = static_cast<std::uint32_t>(
      reader.Integer("log_lines_per_second", 0, kMaxLogLines, settings.log_lines_per_second));
}

}  // namespace

bool IsFleetSettings(std::string_view text) {
  auto parsed = ParseJsonObject(text, "/");
  const auto* object = std::get_if<boost::json::object>(&parsed);
  return object != nullptr && TextAt(*object, "interface") == kInterface;
}

std::variant<FleetSettings, JsonErrors> ParseFleetSettings(std::string_view text) {
  auto parsed = ParseJsonObject(text, "/");
  if (auto* errors = std::get_if<JsonErrors>(&parsed)) {
    return std::move(*errors);
  }
  JsonErrors errors;
  FleetSettings settings;
  ObjectReader reader(std::get<boost::json::object>(parsed), "", errors);
  ReadSettings(reader, settings);
  reader.Finish();
  if (!errors.empty()) {
    return errors;
  }
  return settings;
}

}  // namespace rudderloom
