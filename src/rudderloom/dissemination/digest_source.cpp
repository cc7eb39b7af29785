#include "rudderloom/dissemination/digest_source.hpp"

namespace rudderloom {

namespace {

// A relay at its maximum number of members sends further nodes back to the holder. Other relays are
// never refused: they ask only while there is no holder.
bool Refuses(const DigestSource& statement, const NodeCounts& asking) {
  const auto& members = statement.loads.by_node;
  return asking.represented_nodes == 1 && statement.max_members &&
         members.size() >= *statement.max_members && !members.contains(asking.node);
}

// A relay with 10 Mbit/s sends this many routes of 125 bytes (fleet_codec_test) to 16 nodes in half
// a second. Larger changes are read from the store by each node.
constexpr std::size_t kMaxRoutesPerDigest = 300;
// An encoded model takes about a third of the bytes of a route.
constexpr std::size_t kModelsPerRoute = 3;

// Estimated encoded size of the changes, in routes.
std::size_t SizeInRoutes(const ConfigurationChanges& changes) {
  std::size_t models = 0;
  for (const auto& [name, service] : changes.services.values) {
    models += service.engine ? service.engine->models.size() : 0;
  }
  return changes.routes.values.size() + models / kModelsPerRoute;
}

// Balances of the customers with requests at the asking node or at its members.
BalanceTable BalancesFor(const BalanceTable& all, const NodeCounts& asking) {
  BalanceTable balances;
  for (const auto& [customer, spending] : asking.spending) {
    if (const auto found = all.find(customer); found != all.end()) {
      balances.insert(*found);
    }
  }
  return balances;
}

LoadsDue LoadsDueFor(const LoadsDue& all, const NodeCounts& asking) {
  LoadsDue due;
  for (const auto& [unit, load] : all) {
    if (asking.units.contains(unit)) {
      due.emplace(unit, load);
    }
  }
  return due;
}

// Empty if the asking node is up to date, which is by far the most common case.
std::optional<QuarantineTable> QuarantineFor(const DigestSource& statement,
                                             const NodeCounts& asking) {
  const std::uint64_t version = statement.quarantine ? statement.quarantine->version : 0;
  if (version == asking.quarantine_seen) {
    return std::nullopt;
  }
  return statement.quarantine ? *statement.quarantine : QuarantineTable();
}

std::optional<LimitTable> LimitsFor(const DigestSource& statement, const NodeCounts& asking) {
  return statement.limits.version == asking.limits_seen ? std::nullopt
                                                        : std::optional(statement.limits);
}

// A node of a software version without eras is assumed to be in the current era, as it assumes
// itself.
StoreRevision SeenRevision(const NodeCounts& asking, const EndpointLog& log) {
  return asking.has_era ? asking.endpoints_seen
                        : StoreRevision(log.Version().Era(), asking.endpoints_seen.Number());
}

GatewayList GatewaysFor(const DigestSource& statement, const NodeCounts& asking) {
  if (!asking.needs_gateways) {
    return {};
  }
  const std::size_t count = asking.represented_nodes > 1 ? kMaxRelayedGateways : kMaxGateways;
  return SelectGateways(statement.gateways, asking.node, count);
}

HolderDigest HolderOnlyDigest(const DigestSource& statement, const NodeCounts& asking) {
  HolderDigest digest;
  digest.gateways = GatewaysFor(statement, asking);
  digest.holder = statement.common.holder;
  digest.epoch = statement.common.epoch;
  digest.crash_news = statement.common.crash_news;
  return digest;
}

}  // namespace

void AddTransitTime(HolderDigest& digest, Duration transit_time) {
  digest.age += transit_time;
  if (digest.endpoints_age) {
    *digest.endpoints_age += transit_time;
  }
  if (digest.configuration_age) {
    *digest.configuration_age += transit_time;
  }
}

HolderDigest DigestFor(const DigestSource& statement, const NodeCounts& asking, TimePoint now) {
  if (!statement.common.is_authoritative || Refuses(statement, asking)) {
    return HolderOnlyDigest(statement, asking);
  }
  HolderDigest digest = statement.common;
  digest.age = Between(statement.made_at, now);
  digest.gateways = GatewaysFor(statement, asking);
  if (statement.roster) {
    digest.relay = statement.roster->RelayFor(asking);
    digest.is_relay = statement.roster->IsRelay(asking.node);
    digest.standby = statement.roster->IsStandby(asking.node);
  }
  if (!digest.relay.empty()) {
    digest.balances.clear();
    digest.loads_due.clear();
    return digest;
  }
  digest.loads_due = LoadsDueFor(statement.common.loads_due, asking);
  if (!digest.standby) {
    digest.balances = BalancesFor(statement.common.balances, asking);
  }
  if (const auto counted = statement.reports_counted.find(asking.node);
      counted != statement.reports_counted.end()) {
    digest.report_counted = counted->second;
  }
  digest.turns.position = 0;
  digest.turns.count = 0;
  if (const auto span = statement.turns.find(asking.node); span != statement.turns.end()) {
    digest.turns.position = span->second.first;
    digest.turns.count = span->second.count;
  }
  digest.loads = statement.loads.Without(asking.node);
  digest.quarantine = QuarantineFor(statement, asking);
  digest.limits = LimitsFor(statement, asking);
  if (statement.serving) {
    digest.serving = statement.serving->Since(asking.serving_seen);
  }
  if (statement.endpoints && statement.endpoints_confirmed_at) {
    digest.endpoints = statement.endpoints->Since(SeenRevision(asking, *statement.endpoints));
    digest.endpoints_age = Between(*statement.endpoints_confirmed_at, now);
  }
  if (statement.configuration && statement.configuration_confirmed_at) {
    ConfigurationChanges changes = statement.configuration->Since(asking.routes_version);
    if (SizeInRoutes(changes) <= kMaxRoutesPerDigest) {
      digest.configuration = std::move(changes);
    }
    digest.configuration_age = Between(*statement.configuration_confirmed_at, now);
  }
  return digest;
}

}  // namespace rudderloom
