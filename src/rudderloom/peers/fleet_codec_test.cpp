#include "rudderloom/peers/fleet_codec.hpp"

#include <capnp/message.h>    // for MallocMessageBuilder
#include <doctest/doctest.h>  // for TEST_CASE
#include <optional>           // for optional

#include "peers/versions_codec.hpp"  // for Write, Read

namespace rudderloom {
namespace {

// Returns the digest of a lease holder after changes of this many endpoints.
HolderDigest MakeDigest(int endpoints) {
  HolderDigest digest;
  digest.is_authoritative = true;
  digest.epoch = 3;
  digest.endpoints_age = Duration(120);
  digest.serving.version = 77;
  digest.endpoints.version = StoreRevision(3, 1'234);
  digest.endpoints.whole = true;
  digest.serving.gone = {"i-gone"};
  digest.turns = {17, 3, 60, Duration(123'456)};
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
    record.software_version = "v1.2";
    record.slots = 32;
    record.leaving = i % 7 == 0;
    record.includes_models = false;
    const std::vector<ResidentModel> models{{"milo24" + number, 1, {"a1", "a12"}},
                                            {"bacu22" + number, 1, {}},
                                            {"tiny82" + number, 2, {"a3"}}};
    digest.serving.values.emplace_back(record.instance, models);
    digest.endpoints.values.emplace_back(record.instance, record);
  }
  return digest;
}

TEST_CASE("a digest is unchanged after encoding and decoding") {
  const HolderDigest original = MakeDigest(20);
  capnp::MallocMessageBuilder message;
  Write(original, message.initRoot<rpc::Digest>());
  const HolderDigest decoded = Read(message.getRoot<rpc::Digest>().asReader());
  CHECK(decoded.serving.version == original.serving.version);
  CHECK(decoded.serving.values == original.serving.values);
  CHECK(decoded.serving.gone == original.serving.gone);
  CHECK_FALSE(decoded.serving.whole);
  CHECK(decoded.endpoints.version == original.endpoints.version);
  CHECK(decoded.endpoints.whole);
  CHECK(decoded.endpoints.values == original.endpoints.values);
  CHECK(decoded.endpoints_age == original.endpoints_age);
  CHECK(decoded.loads_due == original.loads_due);
  CHECK(decoded.turns.position == 17);
  CHECK(decoded.turns.count == 3);
  CHECK(decoded.turns.positions == 60);
  CHECK(decoded.turns.clock == Duration(123'456));
}

// Guards against nodes that take the absence of positions for the first one.
TEST_CASE("the digest of an earlier build gives no turns") {
  capnp::MallocMessageBuilder message;
  const HolderDigest decoded = Read(message.initRoot<rpc::Digest>().asReader());
  CHECK(decoded.turns.position == 0);
  CHECK(decoded.turns.positions == 0);
}

// Returns a configuration with `count` routes and two services, one of them with an engine.
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
  Customer unlimited;
  unlimited.name = "member-b";
  unlimited.keys = {rudderloom::DigestOf("key-3")};
  return std::make_shared<const RouteTable>(version, routes, std::vector{pool, desk}, limits,
                                            Callers{true, {limited, unlimited}});
}

// Sends the configuration changes that `to` lacks in an encoded digest and applies them. Returns
// the size of the message in bytes.
std::size_t SendChanges(const ConfigurationLog& from, ConfigurationLog& to) {
  HolderDigest original;
  original.is_authoritative = true;
  original.has_configuration = true;
  original.configuration = from.Since(to.Version());
  original.configuration_age = Duration(70);
  original.relay_pause = Duration(160);
  capnp::MallocMessageBuilder message;
  Write(original, message.initRoot<rpc::Digest>());
  const HolderDigest decoded = Read(message.getRoot<rpc::Digest>().asReader());
  CHECK(decoded.configuration_age == original.configuration_age);
  CHECK(decoded.has_configuration);
  CHECK(decoded.relay_pause == original.relay_pause);
  CHECK(to.Apply(decoded.configuration));
  return message.sizeInWords() * sizeof(capnp::word);
}

TEST_CASE("a digest transfers a full configuration and later only the changed parts") {
  constexpr int kRoutes = 2'000;
  ConfigurationLog holder;
  ConfigurationLog node;
  holder.Offer(MakeTable(3, kRoutes));
  const std::size_t full_bytes = SendChanges(holder, node);
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
  const std::size_t change_bytes = SendChanges(holder, node);
  MESSAGE("bytes: full configuration ", full_bytes, ", ten changed routes ", change_bytes);
  CHECK(full_bytes / kRoutes <= 150);
  CHECK(change_bytes <= 2'500);
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

TEST_CASE("permit requests and slot reports are unchanged after encoding and decoding") {
  for (const auto& limit : {std::optional<double>(), std::optional(2.5)}) {
    for (const auto& slot :
         {std::optional<SlotTerms>(), std::optional(SlotTerms{4.0, 32, Duration(9'000)})}) {
      const PermitRequest original{7, limit, Duration(400), slot};
      capnp::MallocMessageBuilder message;
      Write(original, message.initRoot<rpc::PlacementHolder::PermitParams>());
      const PermitRequest decoded =
          Read(message.getRoot<rpc::PlacementHolder::PermitParams>().asReader());
      CHECK(decoded.endpoint == original.endpoint);
      CHECK((limit || !slot || !decoded.requests_per_second));
      CHECK((!limit || decoded.requests_per_second == limit));
      CHECK(decoded.max_wait == original.max_wait);
      CHECK(decoded.slot == original.slot);
    }
  }
  for (const SlotOutcome outcome :
       {SlotOutcome::kUnsent, SlotOutcome::kUnknown, SlotOutcome::kAccepted, SlotOutcome::kRejected,
        SlotOutcome::kEnded}) {
    const SlotReport original{7, 1ULL << 40U, outcome};
    capnp::MallocMessageBuilder message;
    Write(original, message.initRoot<rpc::PlacementHolder::SlotUsedParams>());
    CHECK(Read(message.getRoot<rpc::PlacementHolder::SlotUsedParams>().asReader()) == original);
  }
}

// Guards against an unbounded number of requests while an earlier build holds the lease.
TEST_CASE("an earlier build reads the tolerated rejections as a limit on requests") {
  capnp::MallocMessageBuilder message;
  auto out = message.initRoot<rpc::PlacementHolder::PermitParams>();
  Write(PermitRequest{7, std::nullopt, Duration(0), SlotTerms{4.0, 32, Duration(9'000)}}, out);
  CHECK(out.asReader().getRequestsPerSecond() == 4.0);
}

TEST_CASE("in-flight terms and the answer to them are unchanged after encoding and decoding") {
  for (const auto until : {InFlightUntil::kAnswerBegins, InFlightUntil::kEnded}) {
    const InFlightTerms terms{120, 800, Duration(9'000), until};
    const PermitRequest original{7, std::nullopt, Duration(0), std::nullopt, terms};
    capnp::MallocMessageBuilder message;
    Write(original, message.initRoot<rpc::PlacementHolder::PermitParams>());
    const PermitRequest decoded =
        Read(message.getRoot<rpc::PlacementHolder::PermitParams>().asReader());
    CHECK(decoded.endpoint == original.endpoint);
    CHECK(decoded.in_flight == terms);
    CHECK(!decoded.slot);
    CHECK(!decoded.requests_per_second);
  }
  capnp::MallocMessageBuilder message;
  Write(PermitAnswer{PermitVerdict::kRefused, Duration(40), 0, true},
        message.initRoot<rpc::PlacementHolder::PermitResults>());
  const PermitAnswer answer =
      Read(message.getRoot<rpc::PlacementHolder::PermitResults>().asReader());
  CHECK(answer.verdict == PermitVerdict::kRefused);
  CHECK(answer.wait == Duration(40));
  CHECK(answer.by_in_flight);
}

// Guards against terms with a negative time or no cost that a node sends as other terms.
TEST_CASE("terms of a turn are unchanged after encoding and decoding, and bounded") {
  const auto decode = [](const SpacingTerms& terms) {
    PermitRequest original;
    original.endpoint = 7;
    original.spacing = terms;
    capnp::MallocMessageBuilder message;
    Write(original, message.initRoot<rpc::PlacementHolder::PermitParams>());
    return Read(message.getRoot<rpc::PlacementHolder::PermitParams>().asReader());
  };
  const SpacingTerms terms{Duration(180), Duration(700)};
  CHECK(decode(terms).spacing == terms);
  CHECK(!decode(terms).in_flight);
  CHECK(decode({Duration(0), Duration(-1)}).spacing == SpacingTerms{Duration(1), Duration(0)});
  CHECK(decode({Duration(9'000'000), Duration(0)}).spacing->interval == kMaxSpacing);
}

TEST_CASE("in-flight terms that make no sense stay in-flight terms") {
  capnp::MallocMessageBuilder message;
  const InFlightTerms terms{0, 0, Duration(-1), InFlightUntil::kEnded};
  Write(PermitRequest{7, std::nullopt, Duration(0), std::nullopt, terms},
        message.initRoot<rpc::PlacementHolder::PermitParams>());
  const PermitRequest decoded =
      Read(message.getRoot<rpc::PlacementHolder::PermitParams>().asReader());
  CHECK(decoded.in_flight == InFlightTerms{1, 0, Duration(0), InFlightUntil::kEnded});
}

// Guards against the grant of an earlier build, which ignores in-flight terms, taken for a grant by
// them, and against terms that such a build reads as a limit on requests.
TEST_CASE("an earlier build does not apply in-flight terms, and its answer shows it") {
  capnp::MallocMessageBuilder asked;
  auto out = asked.initRoot<rpc::PlacementHolder::PermitParams>();
  const InFlightTerms terms{1, 18, Duration(9'000), InFlightUntil::kEnded};
  Write(PermitRequest{7, std::nullopt, Duration(0), std::nullopt, terms}, out);
  CHECK(!out.asReader().getRateLimited());
  CHECK(out.asReader().getRejectionsPerSecond() < 0.0);
  // The fields that the earlier build sets.
  capnp::MallocMessageBuilder answered;
  auto result = answered.initRoot<rpc::PlacementHolder::PermitResults>();
  result.setVerdict(rpc::PermitVerdict::GRANTED);
  result.setWaitMs(0);
  result.setGrant(0);
  CHECK(!Read(result.asReader()).by_in_flight);
}

TEST_CASE("a request of an earlier build has no in-flight terms") {
  capnp::MallocMessageBuilder message;
  auto out = message.initRoot<rpc::PlacementHolder::PermitParams>();
  out.setEndpoint(7);
  out.setRejectionsPerSecond(4.0);
  out.setSlots(8);
  out.setMaxHoldMs(9'000);
  CHECK(!Read(out.asReader()).in_flight);
  CHECK(Read(out.asReader()).slot);
}

TEST_CASE(
    "settled versions and confirmations of starts are unchanged after encoding and decoding") {
  capnp::MallocMessageBuilder message;
  HolderDigest digest;
  digest.is_authoritative = true;
  digest.settled_versions = VersionsByService{{"desk", {"v1"}}, {"pool", {"v1", "v2"}}};
  Write(digest, message.initRoot<rpc::Digest>());
  const HolderDigest decoded = Read(message.getRoot<rpc::Digest>().asReader());
  CHECK(decoded.settled_versions == digest.settled_versions);
  NodeCounts counts;
  Write(counts, message.initRoot<rpc::NodeCounts>());
  CHECK(Read(message.getRoot<rpc::NodeCounts>().asReader()).confirms_starts);
  const StartsToConfirm told{{{"s", "v2", 1}}, "desk"};
  Write(told, message.initRoot<rpc::PlacementHolder::StreamsBeginParams>());
  const StartsToConfirm read =
      Read(message.getRoot<rpc::PlacementHolder::StreamsBeginParams>().asReader());
  CHECK(read.starts == told.starts);
  CHECK(read.service == told.service);
  StreamAnswer answer;
  answer.unrecorded_version = "v1";
  Write(answer, message.initRoot<rpc::PlacementHolder::StreamVersionResults>());
  CHECK(Read(message.getRoot<rpc::PlacementHolder::StreamVersionResults>().asReader())
            .unrecorded_version == "v1");
}

// Guards against a node of an earlier build that is taken for one whose starts are confirmed:
// streams that nobody knows would be taken for older ones.
TEST_CASE("a node of an earlier build has no starts confirmed, and its digest tells nothing") {
  capnp::MallocMessageBuilder message;
  message.initRoot<rpc::NodeCounts>();
  CHECK_FALSE(Read(message.getRoot<rpc::NodeCounts>().asReader()).confirms_starts);
  message.initRoot<rpc::Digest>();
  CHECK_FALSE(Read(message.getRoot<rpc::Digest>().asReader()).settled_versions);
}

TEST_CASE("a digest without changes, from a node that holds no lease, can be decoded") {
  capnp::MallocMessageBuilder message;
  Write(HolderDigest(), message.initRoot<rpc::Digest>());
  const HolderDigest decoded = Read(message.getRoot<rpc::Digest>().asReader());
  CHECK_FALSE(decoded.is_authoritative);
  CHECK(decoded.serving.values.empty());
  CHECK(decoded.endpoints.values.empty());
}

TEST_CASE("a changed endpoint takes at most 240 bytes of a digest") {
  constexpr int kEndpoints = 100;
  capnp::MallocMessageBuilder message;
  Write(MakeDigest(kEndpoints), message.initRoot<rpc::Digest>());
  const std::size_t bytes = message.sizeInWords() * sizeof(capnp::word);
  MESSAGE("bytes per endpoint: ", bytes / kEndpoints);
  CHECK(bytes / kEndpoints <= 240);
}

}  // namespace
}  // namespace rudderloom
