#include "rudderloom/settings/settings.hpp"

#include <boost/asio/ip/address.hpp>  // for make_address
#include <fstream>                    // for ifstream
#include <sstream>                    // for stringstream

namespace rudderloom {

namespace {

constexpr std::int64_t kMaxPort = 65535;
constexpr std::int64_t kMaxConnections = 1'000'000;

void CheckIp(ObjectReader& reader, std::string_view key, const std::string& ip) {
  boost::system::error_code error;
  boost::asio::ip::make_address(ip, error);
  if (error) {
    reader.Fail(key, "\"" + ip + "\" is not an IP address");
  }
}

ListenerSettings ReadListener(ObjectReader& reader) {
  ListenerSettings listener;
  listener.address = reader.String("address", listener.address);
  CheckIp(reader, "address", listener.address);
  // Without the key the kernel chooses the port; an explicit 0 is rejected.
  listener.port = static_cast<std::uint16_t>(reader.Integer("port", 1, kMaxPort, 0));
  return listener;
}

// Checks the address of another process: an IP address and a port in one string.
void CheckAddress(ObjectReader& reader, std::string_view key, const std::string& address) {
  const std::size_t colon = address.rfind(':');
  boost::system::error_code error;
  boost::asio::ip::make_address(address.substr(0, colon), error);
  const std::string port = colon == std::string::npos ? "" : address.substr(colon + 1);
  const bool only_digits =
      !port.empty() && port.find_first_not_of("0123456789") == std::string::npos;
  if (error || !only_digits || port.size() > 5 || std::stol(port) < 1 ||
      std::stol(port) > kMaxPort) {
    reader.Fail(key, "\"" + address + "\" is not an IP address and port such as 10.0.0.1:8080");
  }
}

void ReadPlatform(ObjectReader& reader, PlatformSettings& platform) {
  platform.address = reader.String("address");
  if (!platform.address.empty()) {
    CheckAddress(reader, "address", platform.address);
  }
  platform.call_time = reader.Time("call_time", platform.call_time);
  platform.watch_time = reader.Time("watch_time", platform.watch_time);
  platform.backoff_least = reader.Time("backoff_least", platform.backoff_least);
  platform.backoff_most = reader.Time("backoff_most", platform.backoff_most);
}

void ReadLimits(ObjectReader& reader, LimitSettings& limits) {
  limits.header = reader.Size("header", limits.header);
  limits.body = reader.Size("body", limits.body);
  limits.header_time = reader.Time("header_time", limits.header_time);
  limits.idle_time = reader.Time("idle_time", limits.idle_time);
  limits.write_time = reader.Time("write_time", limits.write_time);
  limits.connections = static_cast<std::uint32_t>(
      reader.Integer("connections", 1, kMaxConnections, limits.connections));
  limits.queue =
      static_cast<std::uint32_t>(reader.Integer("queue", 0, kMaxConnections, limits.queue));
}

void ReadRetries(ObjectReader& reader, RetrySettings& retries) {
  retries.budget = reader.Number("budget", 0.0, 1.0, retries.budget);
  retries.attempts = reader.Integer("attempts", 1, 10, retries.attempts);
  retries.backoff = reader.Time("backoff", retries.backoff);
}

void ReadDeadlines(ObjectReader& reader, DeadlineSettings& deadlines) {
  deadlines.usual = reader.Time("usual", deadlines.usual);
  deadlines.longest = reader.Time("longest", deadlines.longest);
  deadlines.between_tokens = reader.Time("between_tokens", deadlines.between_tokens);
  deadlines.resume = reader.Time("resume", deadlines.resume);
  deadlines.connect = reader.Time("connect", deadlines.connect);
  if (deadlines.usual > deadlines.longest) {
    reader.Fail("usual", "is longer than \"longest\"");
  }
}

void ReadMembership(ObjectReader& reader, MembershipSettings& membership) {
  membership.heartbeat = reader.Time("heartbeat", membership.heartbeat);
  membership.silent_after = reader.Time("silent_after", membership.silent_after);
  membership.full_mesh = reader.Integer("full_mesh", 1, 64, membership.full_mesh);
  membership.fanout = reader.Integer("fanout", 1, 64, membership.fanout);
  membership.polls_per_second =
      reader.Integer("polls_per_second", 1, 1000, membership.polls_per_second);
  membership.unconfirmed_limit = reader.Time("unconfirmed_limit", membership.unconfirmed_limit);
  if (membership.silent_after < membership.heartbeat * 2) {
    reader.Fail("silent_after", "is shorter than two heartbeats");
  }
}

void ReadResidency(ObjectReader& reader, ResidencySettings& residency) {
  residency.lease = reader.Time("lease", residency.lease);
  residency.renew = reader.Time("renew", residency.renew);
  residency.order_time = reader.Time("order_time", residency.order_time);
  residency.late_order_bound = reader.Time("late_order_bound", residency.late_order_bound);
  residency.loads_at_once = reader.Integer("loads_at_once", 1, 1000, residency.loads_at_once);
  residency.loads_per_second =
      reader.Number("loads_per_second", 0.1, 1000.0, residency.loads_per_second);
  residency.plan_every = reader.Time("plan_every", residency.plan_every);
  if (residency.lease < residency.renew * 2) {
    reader.Fail("lease", "is shorter than two renewals");
  }
}

void ReadClaims(ObjectReader& reader, ClaimSettings& claims) {
  claims.shards = reader.Integer("shards", 1, 1024, claims.shards);
  claims.batch = reader.Time("batch", claims.batch);
  claims.retention = reader.Time("retention", claims.retention);
  claims.answer_bytes = reader.Size("answer_bytes", claims.answer_bytes);
}

void ReadNode(ObjectReader& reader, Settings& settings) {
  settings.name = reader.String("name");
  settings.availability_zone = reader.String("availability_zone");
}

void ReadAll(ObjectReader& reader, Settings& settings) {
  reader.Object("node", false, [&](ObjectReader& node) { ReadNode(node, settings); });
  reader.Object("listeners", true, [&](ObjectReader& listeners) {
    listeners.Object("callers", true,
                     [&](ObjectReader& nested) { settings.callers = ReadListener(nested); });
    listeners.Object("peers", true,
                     [&](ObjectReader& nested) { settings.peers = ReadListener(nested); });
  });
  reader.Object("platform", false,
                [&](ObjectReader& nested) { ReadPlatform(nested, settings.platform); });
  reader.Object("limits", true, [&](ObjectReader& nested) { ReadLimits(nested, settings.limits); });
  reader.Object("retries", true,
                [&](ObjectReader& nested) { ReadRetries(nested, settings.retries); });
  reader.Object("deadlines", true,
                [&](ObjectReader& nested) { ReadDeadlines(nested, settings.deadlines); });
  reader.Object("membership", true,
                [&](ObjectReader& nested) { ReadMembership(nested, settings.membership); });
  reader.Object("residency", true,
                [&](ObjectReader& nested) { ReadResidency(nested, settings.residency); });
  reader.Object("claims", true, [&](ObjectReader& nested) { ReadClaims(nested, settings.claims); });
  settings.stop_notice = reader.Time("stop_notice", settings.stop_notice);
  settings.stop_time = reader.Time("stop_time", settings.stop_time);
}

}  // namespace

std::variant<Settings, JsonErrors> ParseSettings(std::string_view text) {
  auto parsed = ParseJsonObject(text, "/");
  if (auto* errors = std::get_if<JsonErrors>(&parsed)) {
    return std::move(*errors);
  }
  JsonErrors errors;
  Settings settings;
  ObjectReader reader(std::get<boost::json::object>(parsed), "", errors);
  ReadAll(reader, settings);
  reader.Finish();
  if (!errors.empty()) {
    return errors;
  }
  return settings;
}

std::variant<std::string, JsonErrors> ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    return JsonErrors{{path, "can't be read"}};
  }
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

}  // namespace rudderloom
