#include "peers/fleet_codec.hpp"

#include <capnp/message.h>           // for MallocMessageBuilder
#include <capnp/serialize-packed.h>  // for writePackedMessage, PackedMessageReader
#include <kj/io.h>                   // for VectorOutputStream, ArrayInputStream
#include <algorithm>                 // for max, min
#include <limits>                    // for numeric_limits

#include "peers/changes_codec.hpp"        // for WriteChanges, ReadChanges
#include "peers/configuration_codec.hpp"  // for Write, Read
#include "peers/crash_codec.hpp"          // for WriteNews, ReadNews
#include "peers/forecast_codec.hpp"       // for WriteLoadsDue, ReadLoadsDue
#include "peers/versions_codec.hpp"       // for WriteVersions, ReadVersions
#include "peers/gateway_codec.hpp"        // for WriteGateways, ReadGateways
#include "peers/quarantine_codec.hpp"     // for WriteQuarantine, ReadQuarantine

namespace rudderloom {

namespace {

constexpr std::uint64_t kTokenUnit = 64;

template <class Number>
Number ClampTo(std::uint64_t value) {
  return static_cast<Number>(std::min<std::uint64_t>(value, std::numeric_limits<Number>::max()));
}

void WriteLoads(const LoadTable& loads, capnp::List<rpc::EndpointLoad>::Builder out) {
  unsigned index = 0;
  for (const auto& [endpoint, load] : loads) {
    auto entry = out[index++];
    entry.setEndpoint(endpoint);
    entry.setRequests(ClampTo<std::uint8_t>(load.requests));
    entry.setDeferred(ClampTo<std::uint8_t>(load.deferred));
    entry.setUnreadTokenUnits(
        ClampTo<std::uint16_t>((load.unread_tokens + kTokenUnit - 1) / kTokenUnit));
  }
}

LoadTable ReadLoads(capnp::List<rpc::EndpointLoad>::Reader in) {
  LoadTable loads;
  for (const auto entry : in) {
    loads[entry.getEndpoint()] = {entry.getRequests(), entry.getDeferred(),
                                  entry.getUnreadTokenUnits() * kTokenUnit};
  }
  return loads;
}

void WriteModels(const std::vector<ResidentModel>& models,
                 capnp::List<rpc::ServedModel>::Builder out) {
  for (unsigned i = 0; i < models.size(); ++i) {
    out[i].setName(models[i].name);
    out[i].setVersion(models[i].version);
    auto adapters = out[i].initAdapters(models[i].adapters.size());
    unsigned index = 0;
    for (const std::string& adapter : models[i].adapters) {
      adapters.set(index++, adapter);
    }
  }
}

std::vector<ResidentModel> ReadModels(capnp::List<rpc::ServedModel>::Reader in) {
  std::vector<ResidentModel> models;
  for (const auto entry : in) {
    ResidentModel model{entry.getName().cStr(), entry.getVersion(), {}};
    for (const auto adapter : entry.getAdapters()) {
      model.adapters.insert(adapter.cStr());
    }
    models.push_back(std::move(model));
  }
  return models;
}

void WriteEndpoint(const EndpointRecord& record, rpc::EndpointEntry::Builder out) {
  out.setInstance(record.id);
  out.setBorn(record.born);
  out.setService(record.service);
  out.setAddress(record.address);
  out.setAvailabilityZone(record.availability_zone);
  out.setSoftwareVersion(record.software_version);
  out.setSlots(record.slots);
  out.setLeaving(record.leaving);
}

EndpointRecord ReadEndpoint(rpc::EndpointEntry::Reader in) {
  EndpointRecord record;
  record.id = in.getInstance().cStr();
  record.born = in.getBorn();
  record.instance = InstanceName(record.id, record.born);
  record.service = in.getService().cStr();
  record.address = in.getAddress().cStr();
  record.availability_zone = in.getAvailabilityZone().cStr();
  record.software_version = in.getSoftwareVersion();
  record.slots = in.getSlots();
  record.leaving = in.getLeaving();
  record.includes_models = false;
  return record;
}

void WriteEndpointEntry(const std::pair<std::string, EndpointRecord>& entry,
                        rpc::EndpointEntry::Builder out) {
  WriteEndpoint(entry.second, out);
}

void WriteServing(const std::pair<std::string, std::vector<ResidentModel>>& entry,
                  rpc::Serving::Builder out) {
  out.setInstance(entry.first);
  WriteModels(entry.second, out.initModels(entry.second.size()));
}

std::pair<std::string, EndpointRecord> ReadEndpointEntry(rpc::EndpointEntry::Reader in) {
  EndpointRecord record = ReadEndpoint(in);
  std::string instance = record.instance;
  return {std::move(instance), std::move(record)};
}

std::pair<std::string, std::vector<ResidentModel>> ReadServing(rpc::Serving::Reader in) {
  return {in.getInstance().cStr(), ReadModels(in.getModels())};
}

void WriteStrings(const std::vector<std::string>& strings, capnp::List<capnp::Text>::Builder out) {
  for (unsigned i = 0; i < strings.size(); ++i) {
    out.set(i, strings[i]);
  }
}

std::vector<std::string> ReadStrings(capnp::List<capnp::Text>::Reader in) {
  std::vector<std::string> strings;
  for (const auto text : in) {
    strings.emplace_back(text.cStr());
  }
  return strings;
}

// Messages with many names consist mostly of pointers and padding, which packing removes. Unpacked
// changes took up to 13 Mbit/s of a lease holder's link with 85 other nodes.
void WritePacked(const HolderDigest& digest, rpc::Digest::Builder out) {
  capnp::MallocMessageBuilder message;
  auto changes = message.initRoot<rpc::DigestChanges>();
  WriteChanges(digest.serving, changes.initServing(), WriteServing);
  WriteChanges(digest.endpoints, changes.initEndpoints(), WriteEndpointEntry);
  Write(digest.configuration, changes.initConfiguration());
  kj::VectorOutputStream packed;
  capnp::writePackedMessage(packed, message);
  out.setPackedChanges(packed.getArray());
}

void ReadPacked(rpc::Digest::Reader in, HolderDigest& digest) {
  kj::ArrayInputStream packed(in.getPackedChanges());
  capnp::PackedMessageReader message(packed);
  const auto changes = message.getRoot<rpc::DigestChanges>();
  digest.serving = ReadChanges<std::vector<ResidentModel>>(changes.getServing(), ReadServing);
  digest.endpoints =
      ReadChanges<EndpointRecord, StoreRevision>(changes.getEndpoints(), ReadEndpointEntry);
  digest.has_era = changes.getEndpoints().getEra() >= 0;
  digest.configuration = Read(changes.getConfiguration());
}

void WriteSpending(const SpendingTable& table, capnp::List<rpc::CustomerSpending>::Builder out) {
  unsigned index = 0;
  for (const auto& [customer, spending] : table) {
    auto entry = out[index++];
    entry.setCustomer(customer);
    entry.setNodes(spending.nodes);
    entry.setSpent(spending.spent);
    entry.setAsked(spending.asked);
  }
}

SpendingTable ReadSpending(capnp::List<rpc::CustomerSpending>::Reader in) {
  SpendingTable table;
  for (const auto entry : in) {
    table[entry.getCustomer()] = {entry.getSpent(), entry.getAsked(), entry.getNodes()};
  }
  return table;
}

void WriteBalances(const BalanceTable& balances, capnp::List<rpc::CustomerBalance>::Builder out) {
  unsigned index = 0;
  for (const auto& [customer, balance] : balances) {
    auto entry = out[index++];
    entry.setCustomer(customer);
    entry.setNodes(balance.nodes);
    entry.setLevel(balance.level);
    entry.setAskedPerSecond(balance.asked_per_second);
  }
}

BalanceTable ReadBalances(capnp::List<rpc::CustomerBalance>::Reader in) {
  BalanceTable balances;
  for (const auto entry : in) {
    balances[entry.getCustomer()] = {entry.getLevel(), entry.getNodes(), entry.getAskedPerSecond()};
  }
  return balances;
}

constexpr double kNoLimit = -1.0;

std::optional<double> ReadRate(double rate) {
  return rate < 0.0 ? std::nullopt : std::optional(rate);
}

void WriteLimits(std::uint64_t version,
                 const SentLimits& limits,
                 rpc::EndpointLimits::Builder out) {
  out.setVersion(version);
  auto entries = out.initLimits(limits.size());
  unsigned index = 0;
  for (const auto& [endpoint, limit] : limits) {
    auto entry = entries[index++];
    entry.setEndpoint(endpoint);
    entry.setAgeMs(ClampTo<std::uint32_t>(static_cast<std::uint64_t>(limit.age.count())));
    entry.setRequestsPerSecond(limit.requests_per_second.value_or(kNoLimit));
    entry.setRejectionsPerSecond(limit.rejections_per_second.value_or(kNoLimit));
  }
}

SentLimits ReadLimits(capnp::List<rpc::EndpointLimit>::Reader in) {
  SentLimits limits;
  for (const auto entry : in) {
    limits[entry.getEndpoint()] = {ReadRate(entry.getRequestsPerSecond()),
                                   Duration(entry.getAgeMs()),
                                   ReadRate(entry.getRejectionsPerSecond())};
  }
  return limits;
}

// A cost of 0 stands for a request without these terms.
void WriteInFlight(const InFlightTerms& terms, rpc::PlacementHolder::PermitParams::Builder out) {
  out.setInFlightCost(std::max(1U, terms.cost));
  out.setInFlightLimit(terms.limit);
  out.setUntilAnswerBegins(terms.until == InFlightUntil::kAnswerBegins);
  out.setMaxHoldMs(ClampTo<std::uint32_t>(
      static_cast<std::uint64_t>(std::max(Duration(0), terms.max_hold).count())));
}

}  // namespace

void Write(const NodeCounts& counts, rpc::NodeCounts::Builder out) {
  out.setNode(counts.node);
  out.setIncarnation(counts.incarnation);
  out.setServingSeen(counts.serving_seen);
  out.setRoutesVersion(counts.routes_version);
  out.setEndpointsSeen(counts.endpoints_seen.Number());
  out.setEndpointsSeenEra(static_cast<std::int64_t>(counts.endpoints_seen.Era()));
  out.setProcessorShare(static_cast<float>(counts.processor_share));
  out.setAddress(counts.address);
  out.setAvailabilityZone(counts.availability_zone);
  out.setStandsFor(counts.represented_nodes);
  WriteStrings(counts.avoided_relays, out.initAvoidedRelays(counts.avoided_relays.size()));
  WriteLoads(counts.loads, out.initLoads(counts.loads.size()));
  out.setReportNumber(counts.report_number);
  WriteSpending(counts.spending, out.initSpending(counts.spending.size()));
  if (!counts.crash_news.Empty()) {
    WriteNews(counts.crash_news, out.initCrashNews());
  }
  out.setQuarantineSeen(counts.quarantine_seen);
  if (!counts.limits.empty() || counts.limits_seen != 0) {
    WriteLimits(counts.limits_seen, counts.limits, out.initLimits());
  }
  out.setCutOff(!counts.reaches_endpoints);
  out.setNeedsGateways(counts.needs_gateways);
  out.setConfirmsStarts(counts.confirms_starts);
  if (!counts.gateways.empty()) {
    WriteGateways(counts.gateways, out.initGateways(counts.gateways.size()));
  }
  auto units = out.initUnits(counts.units.size());
  unsigned index = 0;
  for (const auto& [unit, count] : counts.units) {
    auto entry = units[index++];
    entry.setService(unit.service);
    entry.setModel(unit.model);
    entry.setAdapter(unit.adapter);
    entry.setRunning(count.running);
    entry.setWaiting(count.waiting);
    entry.setOfferedMs(static_cast<std::uint64_t>(count.offered.count()));
  }
}

NodeCounts Read(rpc::NodeCounts::Reader in) {
  NodeCounts counts;
  counts.node = in.getNode().cStr();
  counts.incarnation = in.getIncarnation().cStr();
  counts.serving_seen = in.getServingSeen();
  counts.routes_version = in.getRoutesVersion();
  counts.endpoints_seen = ReadRevision(in.getEndpointsSeen(), in.getEndpointsSeenEra());
  counts.has_era = in.getEndpointsSeenEra() >= 0;
  counts.processor_share = in.getProcessorShare();
  counts.address = in.getAddress().cStr();
  counts.availability_zone = in.getAvailabilityZone().cStr();
  counts.represented_nodes = in.getStandsFor();
  counts.avoided_relays = ReadStrings(in.getAvoidedRelays());
  counts.loads = ReadLoads(in.getLoads());
  counts.report_number = in.getReportNumber();
  counts.spending = ReadSpending(in.getSpending());
  counts.crash_news = ReadNews(in.getCrashNews());
  counts.quarantine_seen = in.getQuarantineSeen();
  counts.limits = ReadLimits(in.getLimits().getLimits());
  counts.limits_seen = in.getLimits().getVersion();
  counts.reaches_endpoints = !in.getCutOff();
  counts.needs_gateways = in.getNeedsGateways();
  counts.confirms_starts = in.getConfirmsStarts();
  counts.gateways = ReadGateways(in.getGateways());
  for (const auto entry : in.getUnits()) {
    const UnitName unit{entry.getService().cStr(), entry.getModel().cStr(),
                        entry.getAdapter().cStr()};
    counts.units[unit] = {entry.getRunning(), entry.getWaiting(),
                          Duration(static_cast<Duration::rep>(entry.getOfferedMs()))};
  }
  return counts;
}

void Write(const HolderDigest& digest, rpc::Digest::Builder out) {
  out.setHolds(digest.is_authoritative);
  out.setEpoch(digest.epoch);
  out.setHolder(digest.holder);
  if (!digest.crash_news.Empty()) {
    WriteNews(digest.crash_news, out.initCrashNews());
  }
  if (!digest.gateways.empty()) {
    WriteGateways(digest.gateways, out.initGateways(digest.gateways.size()));
  }
  if (!digest.is_authoritative) {
    return;
  }
  out.setAgeMs(digest.age.count());
  out.setNodes(digest.nodes);
  out.setGatewaysWanted(digest.gateways_wanted);
  out.setRelay(digest.relay);
  out.setIsRelay(digest.is_relay);
  out.setRelayPauseMs(static_cast<std::uint32_t>(digest.relay_pause.count()));
  out.setRoutesVersion(digest.routes_version);
  out.setStandby(digest.standby);
  WriteStrings(digest.standby_addresses, out.initStandbyAddresses(digest.standby_addresses.size()));
  out.setRenewalsFail(digest.renewals_fail);
  out.setTellsConfiguration(digest.has_configuration);
  WriteLoads(digest.loads, out.initLoads(digest.loads.size()));
  WriteBalances(digest.balances, out.initBalances(digest.balances.size()));
  out.setReportCounted(digest.report_counted);
  out.setTurnPosition(digest.turns.position);
  out.setTurnCount(digest.turns.count);
  out.setTurnPositions(digest.turns.positions);
  out.setTurnClockMs(digest.turns.clock.count());
  if (digest.quarantine) {
    WriteQuarantine(*digest.quarantine, out.initQuarantine());
  }
  if (digest.limits) {
    WriteLimits(digest.limits->version, digest.limits->limits, out.initLimits());
  }
  WriteLoadsDue(digest.loads_due, out.initLoadsDue(digest.loads_due.size()));
  if (digest.software_versions) {
    out.setKnowsVersionHistory(true);
    WriteVersions(*digest.software_versions, out);
  }
  if (digest.settled_versions) {
    out.setTellsSettledVersions(true);
    WriteSettledVersions(*digest.settled_versions, out);
  }
  WritePacked(digest, out);
  if (digest.endpoints_age) {
    out.setEndpointsAgeMs(digest.endpoints_age->count());
  }
  if (digest.configuration_age) {
    out.setConfigurationAgeMs(digest.configuration_age->count());
  }
}

HolderDigest Read(rpc::Digest::Reader in) {
  HolderDigest digest;
  digest.is_authoritative = in.getHolds();
  digest.epoch = in.getEpoch();
  digest.holder = in.getHolder().cStr();
  digest.crash_news = ReadNews(in.getCrashNews());
  digest.gateways = ReadGateways(in.getGateways());
  digest.age = Duration(in.getAgeMs());
  digest.nodes = in.getNodes();
  digest.gateways_wanted = in.getGatewaysWanted();
  digest.relay = in.getRelay().cStr();
  digest.is_relay = in.getIsRelay();
  digest.relay_pause = Duration(in.getRelayPauseMs());
  digest.routes_version = in.getRoutesVersion();
  digest.standby = in.getStandby();
  digest.standby_addresses = ReadStrings(in.getStandbyAddresses());
  digest.renewals_fail = in.getRenewalsFail();
  digest.has_configuration = in.getTellsConfiguration();
  digest.loads = ReadLoads(in.getLoads());
  digest.balances = ReadBalances(in.getBalances());
  digest.report_counted = in.getReportCounted();
  digest.turns = {in.getTurnPosition(), in.getTurnCount(), in.getTurnPositions(),
                  Duration(in.getTurnClockMs())};
  if (in.hasQuarantine()) {
    digest.quarantine = ReadQuarantine(in.getQuarantine());
  }
  if (in.hasLimits()) {
    digest.limits = LimitTable{in.getLimits().getVersion(), ReadLimits(in.getLimits().getLimits())};
  }
  digest.loads_due = ReadLoadsDue(in.getLoadsDue());
  if (in.getKnowsVersionHistory()) {
    digest.software_versions = ReadVersions(in);
  }
  if (in.getTellsSettledVersions()) {
    digest.settled_versions = ReadSettledVersions(in);
  }
  if (in.hasPackedChanges()) {
    ReadPacked(in, digest);
  }
  if (in.getEndpointsAgeMs() >= 0) {
    digest.endpoints_age = Duration(in.getEndpointsAgeMs());
  }
  if (in.getConfigurationAgeMs() >= 0) {
    digest.configuration_age = Duration(in.getConfigurationAgeMs());
  }
  return digest;
}

void Write(const SpendAnswer& answer, rpc::PlacementHolder::SpendResults::Builder out) {
  switch (answer.verdict) {
    case SpendVerdict::kUndecided:
      out.setVerdict(rpc::SpendVerdict::CANT_SAY);
      break;
    case SpendVerdict::kGranted:
      out.setVerdict(rpc::SpendVerdict::GRANTED);
      break;
    case SpendVerdict::kRefused:
      out.setVerdict(rpc::SpendVerdict::REFUSED);
      break;
  }
  out.setWaitMs(ClampTo<std::uint32_t>(static_cast<std::uint64_t>(answer.wait.count())));
}

// With an unknown verdict, sent by a newer version, the node decides itself.
SpendAnswer Read(rpc::PlacementHolder::SpendResults::Reader in) {
  SpendAnswer answer;
  answer.wait = Duration(in.getWaitMs());
  if (in.getVerdict() == rpc::SpendVerdict::GRANTED) {
    answer.verdict = SpendVerdict::kGranted;
  } else if (in.getVerdict() == rpc::SpendVerdict::REFUSED) {
    answer.verdict = SpendVerdict::kRefused;
  }
  return answer;
}

void Write(const PermitAnswer& answer, rpc::PlacementHolder::PermitResults::Builder out) {
  switch (answer.verdict) {
    case PermitVerdict::kNotGranting:
      out.setVerdict(rpc::PermitVerdict::NOT_GRANTING);
      break;
    case PermitVerdict::kGranted:
      out.setVerdict(rpc::PermitVerdict::GRANTED);
      break;
    case PermitVerdict::kRefused:
      out.setVerdict(rpc::PermitVerdict::REFUSED);
      break;
  }
  out.setWaitMs(ClampTo<std::uint32_t>(static_cast<std::uint64_t>(answer.wait.count())));
  out.setGrant(answer.grant);
  out.setByInFlight(answer.by_in_flight);
}

// An unknown verdict, sent by a newer version, is not a grant.
PermitAnswer Read(rpc::PlacementHolder::PermitResults::Reader in) {
  PermitAnswer answer;
  answer.wait = Duration(in.getWaitMs());
  answer.grant = in.getGrant();
  answer.by_in_flight = in.getByInFlight();
  if (in.getVerdict() == rpc::PermitVerdict::GRANTED) {
    answer.verdict = PermitVerdict::kGranted;
  } else if (in.getVerdict() == rpc::PermitVerdict::REFUSED) {
    answer.verdict = PermitVerdict::kRefused;
  }
  return answer;
}

void Write(const PermitRequest& ask, rpc::PlacementHolder::PermitParams::Builder out) {
  out.setEndpoint(ask.endpoint);
  out.setMostWaitMs(static_cast<std::uint32_t>(ask.max_wait.count()));
  out.setRateLimited(ask.requests_per_second.has_value());
  // No second contains more rejections than requests, so an earlier build keeps to the tolerance by
  // granting that many requests.
  const double tolerated = ask.slot ? ask.slot->rejections_per_second : kNoLimit;
  out.setRequestsPerSecond(ask.requests_per_second.value_or(tolerated));
  out.setRejectionsPerSecond(tolerated);
  if (ask.slot) {
    out.setSlots(ask.slot->slots);
    out.setMaxHoldMs(ClampTo<std::uint32_t>(
        static_cast<std::uint64_t>(std::max(Duration(0), ask.slot->max_hold).count())));
  }
  if (ask.in_flight) {
    WriteInFlight(*ask.in_flight, out);
  }
  if (ask.spacing) {
    // An interval of 0 stands for a request without these terms.
    out.setSpacingMs(static_cast<std::uint32_t>(
        std::clamp(ask.spacing->interval, Duration(1), kMaxSpacing).count()));
    out.setMostWaitMs(ClampTo<std::uint32_t>(
        static_cast<std::uint64_t>(std::max(Duration(0), ask.spacing->max_wait).count())));
  }
}

PermitRequest Read(rpc::PlacementHolder::PermitParams::Reader in) {
  PermitRequest ask;
  ask.endpoint = in.getEndpoint();
  ask.max_wait = Duration(in.getMostWaitMs());
  if (in.getRateLimited()) {
    ask.requests_per_second = in.getRequestsPerSecond();
  }
  if (const auto tolerated = ReadRate(in.getRejectionsPerSecond())) {
    ask.slot = SlotTerms{*tolerated, in.getSlots(), Duration(in.getMaxHoldMs())};
  }
  if (in.getInFlightCost() > 0) {
    const auto until =
        in.getUntilAnswerBegins() ? InFlightUntil::kAnswerBegins : InFlightUntil::kEnded;
    ask.in_flight = InFlightTerms{in.getInFlightCost(), in.getInFlightLimit(),
                                  Duration(in.getMaxHoldMs()), until};
  }
  if (in.getSpacingMs() > 0) {
    ask.spacing = SpacingTerms{std::min(Duration(in.getSpacingMs()), kMaxSpacing),
                               Duration(in.getMostWaitMs())};
  }
  return ask;
}

void Write(const SlotReport& report, rpc::PlacementHolder::SlotUsedParams::Builder out) {
  out.setEndpoint(report.endpoint);
  out.setGrant(report.grant);
  switch (report.outcome) {
    case SlotOutcome::kUnsent:
      out.setOutcome(rpc::SlotOutcome::UNSENT);
      break;
    case SlotOutcome::kUnknown:
      out.setOutcome(rpc::SlotOutcome::UNKNOWN);
      break;
    case SlotOutcome::kAccepted:
      out.setOutcome(rpc::SlotOutcome::ACCEPTED);
      break;
    case SlotOutcome::kRejected:
      out.setOutcome(rpc::SlotOutcome::REJECTED);
      break;
    case SlotOutcome::kEnded:
      out.setOutcome(rpc::SlotOutcome::ENDED);
      break;
  }
}

// An outcome sent by a newer version is unknown.
SlotReport Read(rpc::PlacementHolder::SlotUsedParams::Reader in) {
  SlotReport report{in.getEndpoint(), in.getGrant(), SlotOutcome::kUnknown};
  switch (in.getOutcome()) {
    case rpc::SlotOutcome::UNSENT:
      report.outcome = SlotOutcome::kUnsent;
      break;
    case rpc::SlotOutcome::UNKNOWN:
      break;
    case rpc::SlotOutcome::ACCEPTED:
      report.outcome = SlotOutcome::kAccepted;
      break;
    case rpc::SlotOutcome::REJECTED:
      report.outcome = SlotOutcome::kRejected;
      break;
    case rpc::SlotOutcome::ENDED:
      report.outcome = SlotOutcome::kEnded;
      break;
  }
  return report;
}

}  // namespace rudderloom
