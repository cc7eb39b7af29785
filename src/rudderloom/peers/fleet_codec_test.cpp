#include "rudderloom/peers/fleet_codec.hpp"

#include <capnp/message.h>    // for MallocMessageBuilder
#include <doctest/doctest.h>  // for TEST_CASE

namespace rudderloom {
namespace {

// What a holder tells after `endpoints` engines have changed.
HolderDigest DigestOf(int endpoints) {
  HolderDigest digest;
  digest.holds = true;
  digest.epoch = 3;
  digest.endpoints_age = Duration(120);
  digest.serving.version = 77;
  digest.endpoints.version = StoreRevision(3, 1'234);
  digest.endpoints.whole = true;
  digest.serving.gone = {"i-gone"};
  digest.loads_due = {{{"scribe-pool", "milo24", ""}, {Duration(5'200), 40}},
                      {{"scribe-pool", "milo24", "a1"}, {Duration(0), 0}}};
  for (int i = 0; i < endpoints; ++i) {
    const std::string number = std::to_string(1'000 + i);
    EndpointRecord record;
    record.id = "i-5f00c4" + number;
    record.instance = record.id;
    record.service = "scribe-pool";
    record.address = "10.3.64." + std::to_string(i % 200) + ":8429";
    record.availability_zone = "surrey-c";
    record.slots = 32;
    record.leaving = i % 7 == 0;
    record.tells_models = false;
    const std::vector<ResidentModel> models{{"milo24" + number, 1, {"a1", "a12"}},
                                            {"bacu22" + number, 1, {}},
                                            {"tiny82" + number, 2, {"a3"}}};
    digest.serving.values.emplace_back(record.instance, models);
    digest.endpoints.values.emplace_back(record.instance, record);
  }
  return digest;
}

TEST_CASE("a digest comes through whole") {
  const HolderDigest told = DigestOf(20);
  capnp::MallocMessageBuilder message;
  Write(told, message.initRoot<rpc::Digest>());
  const HolderDigest heard = Read(message.getRoot<rpc::Digest>().asReader());
  CHECK(heard.serving.version == told.serving.version);
  CHECK(heard.serving.values == told.serving.values);
  CHECK(heard.serving.gone == told.serving.gone);
  CHECK_FALSE(heard.serving.whole);
  CHECK(heard.endpoints.version == told.endpoints.version);
  CHECK(heard.endpoints.whole);
  CHECK(heard.endpoints.values == told.endpoints.values);
  CHECK(heard.endpoints_age == told.endpoints_age);
  CHECK(heard.loads_due == told.loads_due);
}

// A configuration of `count` routes and a service with an engine.
RouteTablePtr MakeTable(std::uint64_t version, int count) {
  std::vector<Route> routes;
  for (int i = 0; i < count; ++i) {
    const std::string number = std::to_string(1'000 + i);
    Route route;
    route.name = "r-a6" + number;
    route.host = "ficu95.example";
    route.prefix = "/lohu930/" + number + "/";
    route.kind = i % 2 == 0 ? RouteKind::kStream : RouteKind::kRepeatable;
    route.timeout = Duration(5'000 + i);
    route.priority = 1;
    route.max_attempts = 2;
    route.resumable = i % 2 == 0;
    route.shares = {{"scribe-pool", 9}, {"desk", 1}};
    routes.push_back(route);
  }
  EngineSpec engine;
  engine.slots = 48;
  engine.token_capacity = 252'302;
  engine.memory_mb = 220'000;
  engine.adapter_slots = 8;
  engine.loads_per_second = 34.5;
  engine.models = {{"daka5", 72'700, Duration(5'800), Duration(1'200), 66, Duration(400)}};
  ServiceSpec pool;
  pool.name = "scribe-pool";
  pool.max_connections = 2'000;
  pool.engine = engine;
  ServiceSpec desk;
  desk.name = "desk";
  ClientLimits limits;
  limits.header_bytes = 9'000;
  limits.body_bytes = 70'000;
  limits.header_time = Duration(4'000);
  limits.idle_time = Duration(30'000);
  Customer limited;
  limited.name = "member-a";
  limited.keys = {rudderloom::DigestOf("key-1"), rudderloom::DigestOf("key-2")};
  limited.priority = 3;
  limited.quota = {QuotaUnit::kTokens, 626'220, 626'220, 200};
  Customer open;
  open.name = "member-b";
  open.keys = {rudderloom::DigestOf("key-3")};
  return std::make_shared<const RouteTable>(version, routes, std::vector{pool, desk}, limits,
                                            Callers{true, {limited, open}});
}

// Bytes of a digest with what a node lacks that has configuration `seen`; that node takes it.
std::size_t Tell(const ConfigurationLog& from, ConfigurationLog& to) {
  HolderDigest told;
  told.holds = true;
  told.tells_configuration = true;
  told.configuration = from.Since(to.Version());
  told.configuration_age = Duration(70);
  told.relay_pause = Duration(160);
  capnp::MallocMessageBuilder message;
  Write(told, message.initRoot<rpc::Digest>());
  const HolderDigest heard = Read(message.getRoot<rpc::Digest>().asReader());
  CHECK(heard.configuration_age == told.configuration_age);
  CHECK(heard.tells_configuration);
  CHECK(heard.relay_pause == told.relay_pause);
  CHECK(to.Apply(heard.configuration));
  return message.sizeInWords() * sizeof(capnp::word);
}

TEST_CASE("a configuration comes through whole, and later what changed in it") {
  constexpr int kRoutes = 2'000;
  ConfigurationLog holder;
  ConfigurationLog node;
  holder.Offer(MakeTable(3, kRoutes));
  const std::size_t whole = Tell(holder, node);
  std::vector<Route> routes = holder.Current()->Routes();
  for (std::size_t i = 0; i < 10; ++i) {
    routes[i * 7].timeout = Duration(900);
  }
  std::vector<ServiceSpec> services;
  for (const auto& [name, service] : holder.Current()->Services()) {
    services.push_back(service);
  }
  CHECK(node.Current()->NeedsKeys());
  CHECK(node.Current()->Customers().All() == holder.Current()->Customers().All());
  std::vector<Customer> customers = holder.Current()->Customers().All();
  customers[0].keys.pop_back();
  holder.Offer(std::make_shared<const RouteTable>(8, routes, services, ClientLimits{},
                                                  Callers{true, customers}));
  const std::size_t changes = Tell(holder, node);
  MESSAGE("bytes: whole ", whole, ", ten changed routes ", changes);
  CHECK(whole / kRoutes <= 150);
  CHECK(changes <= 2'500);
  CHECK(node.Version() == 8);
  CHECK(node.Current()->Routes().size() == kRoutes);
  CHECK(node.Current()->Services() == holder.Current()->Services());
  CHECK(node.Current()->Limits() == ClientLimits{});
  CHECK(node.Current()->Customers().All() == customers);
  CHECK(node.Current()->Customers().Find(rudderloom::DigestOf("key-2")) == nullptr);
  for (const Route& route : holder.Current()->Routes()) {
    const Route* found = node.Current()->Find(route.host, route.prefix);
    REQUIRE(found != nullptr);
    CHECK(*found == route);
  }
}

TEST_CASE("a digest without changes, as of a node that holds no lease, comes through") {
  capnp::MallocMessageBuilder message;
  Write(HolderDigest(), message.initRoot<rpc::Digest>());
  const HolderDigest heard = Read(message.getRoot<rpc::Digest>().asReader());
  CHECK_FALSE(heard.holds);
  CHECK(heard.serving.values.empty());
  CHECK(heard.endpoints.values.empty());
}

TEST_CASE("what a holder tells of a changed engine takes some hundred bytes at most") {
  constexpr int kEngines = 100;
  capnp::MallocMessageBuilder message;
  Write(DigestOf(kEngines), message.initRoot<rpc::Digest>());
  const std::size_t bytes = message.sizeInWords() * sizeof(capnp::word);
  MESSAGE("bytes an engine: ", bytes / kEngines);
  CHECK(bytes / kEngines <= 240);
}

}  // namespace
}  // namespace rudderloom
