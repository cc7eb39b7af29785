#include "peers/configuration_codec.hpp"

#include "peers/changes_codec.hpp"  // for WriteChanges, ReadChanges

namespace rudderloom {

namespace {

std::uint32_t Milliseconds(Duration duration) {
  return static_cast<std::uint32_t>(duration.count());
}

rpc::RouteKind ToRpc(RouteKind kind) {
  switch (kind) {
    case RouteKind::kRepeatable:
      return rpc::RouteKind::REPEATABLE;
    case RouteKind::kOnce:
      return rpc::RouteKind::ONCE;
    case RouteKind::kStream:
      return rpc::RouteKind::STREAM;
  }
  return rpc::RouteKind::ONCE;
}

// Unknown kinds, sent by a newer version, are not repeatable.
RouteKind FromRpc(rpc::RouteKind kind) {
  switch (kind) {
    case rpc::RouteKind::REPEATABLE:
      return RouteKind::kRepeatable;
    case rpc::RouteKind::ONCE:
      return RouteKind::kOnce;
    case rpc::RouteKind::STREAM:
      return RouteKind::kStream;
  }
  return RouteKind::kOnce;
}

void WriteShares(const std::vector<ServiceShare>& shares,
                 capnp::List<rpc::ServiceShare>::Builder out) {
  for (unsigned i = 0; i < shares.size(); ++i) {
    out[i].setService(shares[i].service);
    out[i].setWeight(shares[i].weight);
  }
}

void WriteRoute(const std::pair<std::string, Route>& entry, rpc::RouteEntry::Builder out) {
  const Route& route = entry.second;
  out.setName(route.name);
  out.setHost(route.host);
  out.setPrefix(route.prefix);
  out.setKind(ToRpc(route.kind));
  out.setTimeoutMs(Milliseconds(route.timeout));
  out.setGoalMs(Milliseconds(route.goal));
  out.setLongestPauseMs(Milliseconds(route.longest_pause));
  out.setPatienceMs(Milliseconds(route.patience));
  out.setPriority(route.priority);
  out.setMaxAttempts(route.max_attempts);
  out.setResumable(route.resumable);
  out.setIsPublic(route.is_public);
  WriteShares(route.shares, out.initShares(route.shares.size()));
}

std::pair<std::string, Route> ReadRoute(rpc::RouteEntry::Reader in) {
  Route route;
  route.name = in.getName().cStr();
  route.host = in.getHost().cStr();
  route.prefix = in.getPrefix().cStr();
  route.kind = FromRpc(in.getKind());
  route.timeout = Duration(in.getTimeoutMs());
  route.goal = Duration(in.getGoalMs());
  route.longest_pause = Duration(in.getLongestPauseMs());
  route.patience = Duration(in.getPatienceMs());
  route.priority = in.getPriority();
  route.max_attempts = in.getMaxAttempts();
  route.resumable = in.getResumable();
  route.is_public = in.getIsPublic();
  for (const auto share : in.getShares()) {
    route.shares.push_back({share.getService().cStr(), share.getWeight()});
  }
  return {route.host + route.prefix, std::move(route)};
}

void WriteModel(const ModelSpec& model, rpc::ModelEntry::Builder out) {
  out.setName(model.name);
  out.setMemoryMb(model.memory_mb);
  out.setLoadMs(Milliseconds(model.load_time));
  out.setDiskLoadMs(Milliseconds(model.disk_load_time));
  out.setMemoryLoadMs(Milliseconds(model.memory_load_time));
  out.setAdapterMemoryMb(model.adapter_memory_mb);
}

ModelSpec ReadModel(rpc::ModelEntry::Reader in) {
  ModelSpec model;
  model.name = in.getName().cStr();
  model.memory_mb = in.getMemoryMb();
  model.load_time = Duration(in.getLoadMs());
  model.disk_load_time = Duration(in.getDiskLoadMs());
  model.memory_load_time = Duration(in.getMemoryLoadMs());
  model.adapter_memory_mb = in.getAdapterMemoryMb();
  return model;
}

void WriteEngine(const EngineSpec& engine, rpc::EngineEntry::Builder out) {
  out.setSlots(engine.slots);
  out.setTokenCapacity(engine.token_capacity);
  out.setMemoryMb(engine.memory_mb);
  out.setAdapterSlots(engine.adapter_slots);
  out.setLoadsPerSecond(engine.loads_per_second);
  auto models = out.initModels(engine.models.size());
  for (unsigned i = 0; i < engine.models.size(); ++i) {
    WriteModel(engine.models[i], models[i]);
  }
}

EngineSpec ReadEngine(rpc::EngineEntry::Reader in) {
  EngineSpec engine;
  engine.slots = in.getSlots();
  engine.token_capacity = in.getTokenCapacity();
  engine.memory_mb = in.getMemoryMb();
  engine.adapter_slots = in.getAdapterSlots();
  engine.loads_per_second = in.getLoadsPerSecond();
  for (const auto model : in.getModels()) {
    engine.models.push_back(ReadModel(model));
  }
  return engine;
}

void WriteService(const std::pair<std::string, ServiceSpec>& entry,
                  rpc::ServiceEntry::Builder out) {
  const ServiceSpec& service = entry.second;
  out.setName(service.name);
  out.setMaxConnections(service.max_connections);
  if (service.engine) {
    WriteEngine(*service.engine, out.initEngine());
  }
}

std::pair<std::string, ServiceSpec> ReadService(rpc::ServiceEntry::Reader in) {
  ServiceSpec service;
  service.name = in.getName().cStr();
  service.max_connections = in.getMaxConnections();
  if (in.hasEngine()) {
    service.engine = ReadEngine(in.getEngine());
  }
  return {service.name, std::move(service)};
}

void WriteCustomer(const std::pair<std::string, Customer>& entry, rpc::CustomerEntry::Builder out) {
  const Customer& customer = entry.second;
  out.setName(customer.name);
  auto keys = out.initKeys(customer.keys.size());
  for (unsigned i = 0; i < customer.keys.size(); ++i) {
    const auto& bytes = customer.keys[i].bytes;
    keys.set(i, capnp::Data::Reader(bytes.data(), bytes.size()));
  }
  if (customer.priority) {
    out.setPriority(*customer.priority);
  }
  out.setCountsTokens(customer.quota.unit == QuotaUnit::kTokens);
  out.setPerSecond(customer.quota.per_second);
  out.setBurst(customer.quota.burst);
  out.setPlainTokens(customer.quota.default_tokens);
}

std::pair<std::string, Customer> ReadCustomer(rpc::CustomerEntry::Reader in) {
  Customer customer;
  customer.name = in.getName().cStr();
  for (const auto key : in.getKeys()) {
    const auto chars = key.asChars();
    if (const auto digest = KeyDigestFrom({chars.begin(), chars.size()})) {
      customer.keys.push_back(*digest);
    }
  }
  if (in.getPriority() >= 0) {
    customer.priority = static_cast<std::uint32_t>(in.getPriority());
  }
  customer.quota.unit = in.getCountsTokens() ? QuotaUnit::kTokens : QuotaUnit::kRequests;
  customer.quota.per_second = in.getPerSecond();
  customer.quota.burst = in.getBurst();
  customer.quota.default_tokens = in.getPlainTokens();
  return {customer.name, std::move(customer)};
}

}  // namespace

void Write(const ConfigurationChanges& changes, rpc::ConfigurationChanges::Builder out) {
  out.setVersion(changes.version);
  out.setSince(changes.since);
  WriteChanges(changes.routes, out.initRoutes(), WriteRoute);
  WriteChanges(changes.services, out.initServices(), WriteService);
  WriteChanges(changes.customers, out.initCustomers(), WriteCustomer);
  out.setNeedKeys(changes.need_keys);
  out.setHeaderBytes(changes.limits.header_bytes);
  out.setBodyBytes(changes.limits.body_bytes);
  out.setHeaderMs(Milliseconds(changes.limits.header_time));
  out.setIdleMs(Milliseconds(changes.limits.idle_time));
}

ConfigurationChanges Read(rpc::ConfigurationChanges::Reader in) {
  ConfigurationChanges changes;
  changes.version = in.getVersion();
  changes.since = in.getSince();
  changes.routes = ReadChanges<Route>(in.getRoutes(), ReadRoute);
  changes.services = ReadChanges<ServiceSpec>(in.getServices(), ReadService);
  changes.customers = ReadChanges<Customer>(in.getCustomers(), ReadCustomer);
  changes.need_keys = in.getNeedKeys();
  changes.limits.header_bytes = in.getHeaderBytes();
  changes.limits.body_bytes = in.getBodyBytes();
  changes.limits.header_time = Duration(in.getHeaderMs());
  changes.limits.idle_time = Duration(in.getIdleMs());
  return changes;
}

}  // namespace rudderloom
