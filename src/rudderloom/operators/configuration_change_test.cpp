#include "rudderloom/operators/configuration_change.hpp"

#include <doctest/doctest.h>  // for TEST_CASE

#include "fakes/cells.hpp"       // for ProvedCell
#include "fakes/fake_store.hpp"  // for FakeStore

namespace rudderloom {

namespace {

using fakes::FakePlatform;
using fakes::FakeStore;
using fakes::RunCoroutine;
using fakes::WriteFault;

struct TestOperator {
  explicit TestOperator(FakePlatform& platform)
      : store(platform),
        changer(context, store, [this](ConfigurationPtr accepted) { last = std::move(accepted); }) {
  }

  ChangeResult Drain(const std::string& endpoint,
                     std::uint64_t generation,
                     const std::string& author,
                     const std::string& token) {
    return RunCoroutine(context,
                        changer.Make({author, token, generation, DrainEndpoint{endpoint, false}}));
  }

  asio::io_context context;
  FakeStore store;
  ConfigurationPtr last;
  ConfigurationChanger changer;
};

}  // namespace

TEST_CASE("a change is accepted, and a repetition is reported as unchanged") {
  FakePlatform platform;
  TestOperator ada(platform);
  const auto first = ada.Drain("ep1", 0, "ada", "t1");
  REQUIRE(std::holds_alternative<ChangeAccepted>(first));
  CHECK(std::get<ChangeAccepted>(first).generation == 1);
  CHECK(ada.last->drained.contains("ep1"));
  CHECK(std::holds_alternative<ChangeUnchanged>(ada.Drain("ep1", 1, "ada", "t2")));
}

TEST_CASE("operators race: exactly one change wins, and the other author is told whose") {
  FakePlatform platform;
  TestOperator ada(platform);
  TestOperator bob(platform);
  bool raced = false;
  platform.before_write = [&](const std::string&, const StoredObject&) {
    if (!raced) {
      raced = true;
      CHECK(std::holds_alternative<ChangeAccepted>(bob.Drain("ep2", 0, "bob", "t2")));
    }
  };
  const auto lost = ada.Drain("ep1", 0, "ada", "t1");
  REQUIRE(std::holds_alternative<ChangeConflict>(lost));
  CHECK(std::get<ChangeConflict>(lost).author == "bob");
  CHECK(std::get<ChangeConflict>(lost).generation == 1);
  // A change that is made after the race has ended also gets a conflict.
  const auto late = ada.Drain("ep1", 0, "ada", "t3");
  REQUIRE(std::holds_alternative<ChangeConflict>(late));
  fakes::ProvedCell("configuration written", "operators racing", "operators race");
}

TEST_CASE("a lost answer is settled by reading back the writer's token") {
  FakePlatform platform;
  platform.write_fault = [](std::uint64_t number) {
    return number == 1 ? WriteFault::kLostAfter : WriteFault::kNone;
  };
  TestOperator ada(platform);
  const auto result = ada.Drain("ep1", 0, "ada", "t1");
  REQUIRE(std::holds_alternative<ChangeAccepted>(result));
  CHECK(std::get<ChangeAccepted>(result).generation == 1);
  fakes::ProvedCell("configuration written", "platform losing its answer", "a lost answer");
}

TEST_CASE("a lost answer while another operator goes on: the change is accepted and applied once") {
  FakePlatform platform;
  TestOperator ada(platform);
  TestOperator bob(platform);
  platform.write_fault = [&](std::uint64_t number) {
    if (number == 1) {
      return WriteFault::kLostAfter;
    }
    if (number == 2) {
      platform.write_fault = nullptr;
      CHECK(std::holds_alternative<ChangeAccepted>(bob.Drain("ep2", 1, "bob", "t2")));
    }
    return WriteFault::kNone;
  };
  CHECK(std::holds_alternative<ChangeAccepted>(ada.Drain("ep1", 0, "ada", "t1")));
  fakes::ProvedCell("configuration written", "platform losing its answer + operators racing",
                    "a lost answer while another operator goes on");
}

TEST_CASE("a change lost before it took effect is retried and applied once") {
  for (const auto fault :
       {WriteFault::kLostBefore, WriteFault::kThrottled, WriteFault::kUnreachable}) {
    FakePlatform platform;
    platform.write_fault = [fault](std::uint64_t number) {
      return number <= 2 ? fault : WriteFault::kNone;
    };
    TestOperator ada(platform);
    CHECK(std::holds_alternative<ChangeAccepted>(ada.Drain("ep1", 0, "ada", "t1")));
    CHECK(platform.version == 1);
  }
  fakes::ProvedCell("configuration written", "platform answering 5xx", "a change lost before");
}

TEST_CASE("an outage is told as what it is: unreachable, or unknown with a token for the retry") {
  FakePlatform platform;
  platform.down = true;
  TestOperator ada(platform);
  CHECK(std::holds_alternative<ChangeUnreachable>(ada.Drain("ep1", 0, "ada", "t1")));
  platform.down = false;
  platform.write_fault = [](std::uint64_t number) {
    return number == 1 ? WriteFault::kLostAfter : WriteFault::kUnreachable;
  };
  const auto unknown = ada.Drain("ep1", 0, "ada", "t2");
  REQUIRE(std::holds_alternative<ChangeUnknown>(unknown));
  CHECK(std::get<ChangeUnknown>(unknown).token == "t2");
  // The retry with the same token shows that the change took effect.
  platform.write_fault = nullptr;
  const auto settled = ada.Drain("ep1", 0, "ada", "t2");
  REQUIRE(std::holds_alternative<ChangeAccepted>(settled));
  CHECK(platform.version == 1);
  fakes::ProvedCell("configuration written", "platform down", "an outage is told as what it is");
  fakes::ProvedCell("configuration written", "platform losing its answer + platform down",
                    "an outage is told as what it is");
}

TEST_CASE("an invalid change is rejected without a write") {
  FakePlatform platform;
  TestOperator ada(platform);
  ChangeRequest request;
  request.token = "t1";
  request.what = ApplySet{"set", {{"a.json", R"({"adapters": [{"name": "a"}]})"}}};
  const auto result = RunCoroutine(ada.context, ada.changer.Make(request));
  REQUIRE(std::holds_alternative<ChangeInvalid>(result));
  CHECK_FALSE(std::get<ChangeInvalid>(result).validation_errors.empty());
  CHECK(platform.writes == 0);
}

}  // namespace rudderloom
