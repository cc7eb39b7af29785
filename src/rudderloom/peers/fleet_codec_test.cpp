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
  digest.endpoints.version = 1'234;
  digest.endpoints.whole = true;
  digest.serving.gone = {"i-gone"};
  for (int i = 0; i < endpoints; ++i) {
    const std::string number = std::to_string(1'000 + i);
    EndpointRecord record;
    record.instance = "i-5f00c4" + number;
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
