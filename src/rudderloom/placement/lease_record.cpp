#include "rudderloom/placement/lease_record.hpp"

#include <charconv>  // for from_chars

#include "rudderloom/base/json_fields.hpp"  // for TextAt

namespace rudderloom {

namespace {

OrderScopes ScopesAt(const boost::json::object& object, std::string_view key) {
  const boost::json::value* found = object.if_contains({key.data(), key.size()});
  return found != nullptr && found->is_object() ? OrderScopesFromJson(found->as_object())
                                                : OrderScopes();
}

boost::json::array DigestsToJson(const std::set<RequestDigest>& digests) {
  boost::json::array array;
  for (const RequestDigest& digest : digests) {
    array.emplace_back(TextOf(digest));
  }
  return array;
}

std::set<RequestDigest> DigestsAt(const boost::json::object& object, std::string_view key) {
  std::set<RequestDigest> digests;
  const boost::json::value* found = object.if_contains({key.data(), key.size()});
  if (found == nullptr || !found->is_array()) {
    return digests;
  }
  for (const boost::json::value& value : found->as_array()) {
    if (!value.is_string()) {
      continue;
    }
    if (const auto digest = RequestDigestFromText(std::string_view(value.as_string()))) {
      digests.insert(*digest);
    }
  }
  return digests;
}

std::optional<std::uint64_t> EraAt(const boost::json::object& object) {
  const boost::json::value* found = object.if_contains("era");
  if (found == nullptr || !found->is_number()) {
    return std::nullopt;
  }
  boost::json::error_code error;
  const auto era = found->to_number<std::uint64_t>(error);
  return error ? std::nullopt : std::optional(era);
}

boost::json::object BalancesToJson(const LowBalances& balances) {
  boost::json::object object;
  for (const auto& [customer, level] : balances) {
    object[std::to_string(customer)] = level;
  }
  return object;
}

LowBalances BalancesAt(const boost::json::object& object, std::string_view key) {
  LowBalances balances;
  const boost::json::value* found = object.if_contains({key.data(), key.size()});
  if (found == nullptr || !found->is_object()) {
    return balances;
  }
  for (const auto& [name, level] : found->as_object()) {
    CustomerKey customer = 0;
    const auto parsed = std::from_chars(name.data(), name.data() + name.size(), customer);
    if (parsed.ec == std::errc() && level.is_int64()) {
      balances[customer] = level.as_int64();
    }
  }
  return balances;
}

boost::json::value VersionsToJson(const std::optional<VersionsByService>& versions) {
  if (!versions) {
    return {};
  }
  boost::json::object object;
  for (const auto& [service, of_service] : *versions) {
    object[service] = boost::json::array(of_service.begin(), of_service.end());
  }
  return object;
}

std::optional<VersionsByService> VersionsAt(const boost::json::object& object,
                                            std::string_view key) {
  const boost::json::value* found = object.if_contains({key.data(), key.size()});
  if (found == nullptr || !found->is_object()) {
    return std::nullopt;
  }
  VersionsByService versions;
  for (const auto& [service, of_service] : found->as_object()) {
    if (!of_service.is_array()) {
      continue;
    }
    for (const boost::json::value& version : of_service.as_array()) {
      if (version.is_string()) {
        versions[std::string(service)].emplace(version.as_string());
      }
    }
  }
  return versions;
}

boost::json::value VersionOfServiceToJson(const std::optional<VersionOfService>& versions) {
  if (!versions) {
    return {};
  }
  boost::json::object object;
  for (const auto& [service, version] : *versions) {
    object[service] = version;
  }
  return object;
}

std::optional<VersionOfService> VersionOfServiceAt(const boost::json::object& object,
                                                   std::string_view key) {
  const boost::json::value* found = object.if_contains({key.data(), key.size()});
  if (found == nullptr || !found->is_object()) {
    return std::nullopt;
  }
  VersionOfService versions;
  for (const auto& [service, version] : found->as_object()) {
    if (version.is_string()) {
      versions.emplace(service, version.as_string());
    }
  }
  return versions;
}

}  // namespace

boost::json::object ToJson(const LeaseRecord& record) {
  return {{"holder", record.holder},
          {"incarnation", record.incarnation},
          {"epoch", record.epoch},
          {"renewals", record.renewals},
          {"released", record.released},
          {"own", ToJson(record.own)},
          {"inherited", ToJson(record.inherited)},
          {"low_balances", BalancesToJson(record.low_balances)},
          {"quarantined", DigestsToJson(record.quarantined)},
          {"era", record.era ? boost::json::value(*record.era) : boost::json::value()},
          {"inherited_all", record.inherited_all},
          {"software_versions", VersionsToJson(record.software_versions)},
          {"unrecorded_versions", VersionOfServiceToJson(record.unrecorded_versions)}};
}

LeaseRecord LeaseRecordFromJson(const boost::json::object& object) {
  LeaseRecord record;
  record.holder = TextAt(object, "holder");
  record.incarnation = TextAt(object, "incarnation");
  record.epoch = NumberAt(object, "epoch");
  record.renewals = NumberAt(object, "renewals");
  record.released = FlagAt(object, "released");
  record.own = ScopesAt(object, "own");
  record.inherited = ScopesAt(object, "inherited");
  record.low_balances = BalancesAt(object, "low_balances");
  record.quarantined = DigestsAt(object, "quarantined");
  record.era = EraAt(object);
  record.inherited_all = FlagAt(object, "inherited_all");
  record.software_versions = VersionsAt(object, "software_versions");
  record.unrecorded_versions = VersionOfServiceAt(object, "unrecorded_versions");
  return record;
}

}  // namespace rudderloom
