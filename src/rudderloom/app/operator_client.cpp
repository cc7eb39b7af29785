#include "app/operator_client.hpp"

#include <capnp/ez-rpc.h>  // for EzRpcClient
#include <kj/async-io.h>   // for AsyncIoProvider
#include <kj/timer.h>      // for Timer

#include "node.capnp.h"              // for rpc::Node
#include "peers/operator_codec.hpp"  // for Write, Read

namespace rudderloom {

namespace {

constexpr kj::Duration kCallTime = 15 * kj::SECONDS;

NodeLine ReadNode(rpc::NodeStatus::Reader in) {
  return {in.getName().cStr(), in.getAddress().cStr(), in.getAvailabilityZone().cStr(),
          in.getGeneration(),  in.getLive(),           in.getStopping()};
}

EndpointLine ReadEndpoint(rpc::EndpointStatus::Reader in) {
  EndpointLine line{in.getName().cStr(),
                    in.getPool().cStr(),
                    in.getAddress().cStr(),
                    in.getState().cStr(),
                    in.getMemory(),
                    in.getReserved(),
                    {}};
  for (const auto unit : in.getUnits()) {
    line.units.emplace_back(unit.getUnit().cStr(), unit.getState().cStr());
  }
  return line;
}

}  // namespace

struct OperatorClient::Impl {
  explicit Impl(const std::string& daemon)
      : client(daemon), node(client.getMain<rpc::Node>().castAs<rpc::Operator>()) {}

  template <class Promise>
  auto Wait(Promise&& promise) {
    return client.getIoProvider()
        .getTimer()
        .timeoutAfter(kCallTime, kj::mv(promise))
        .wait(client.getWaitScope());
  }

  capnp::EzRpcClient client;
  rpc::Operator::Client node;
};

OperatorClient::OperatorClient(const std::string& daemon) : impl_(std::make_unique<Impl>(daemon)) {}

OperatorClient::~OperatorClient() = default;

std::variant<ChangeResult, CallFailed> OperatorClient::Change(const ChangeRequest& request) {
  try {
    auto call = impl_->node.changeRequest();
    Write(request, call.initRequest());
    const auto response = impl_->Wait(call.send());
    return Read(response.getResult());
  } catch (const kj::Exception& error) {
    return CallFailed{error.getDescription().cStr()};
  }
}

std::variant<Configuration, CallFailed> OperatorClient::Get() {
  try {
    const auto response = impl_->Wait(impl_->node.getRequest().send());
    const std::string text = response.getConfiguration().getJson().cStr();
    if (text.empty()) {
      return Configuration();
    }
    auto parsed = ParseJsonObject(text, "/");
    if (auto* mistakes = std::get_if<JsonErrors>(&parsed)) {
      return CallFailed{mistakes->front().Text()};
    }
    auto read = ConfigurationFromJson(std::get<boost::json::object>(parsed));
    if (auto* mistakes = std::get_if<JsonErrors>(&read)) {
      return CallFailed{mistakes->front().Text()};
    }
    return std::move(std::get<Configuration>(read));
  } catch (const kj::Exception& error) {
    return CallFailed{error.getDescription().cStr()};
  }
}

std::variant<StatusLines, CallFailed> OperatorClient::Status() {
  try {
    const auto response = impl_->Wait(impl_->node.statusRequest().send());
    const auto status = response.getStatus();
    StatusLines lines;
    lines.node = ReadNode(status.getNode());
    for (const auto other : status.getOthers()) {
      lines.others.push_back(ReadNode(other));
    }
    for (const auto endpoint : status.getEndpoints()) {
      lines.endpoints.push_back(ReadEndpoint(endpoint));
    }
    for (const auto pool : status.getHeldPools()) {
      lines.held_pools.emplace_back(pool.cStr());
    }
    return lines;
  } catch (const kj::Exception& error) {
    return CallFailed{error.getDescription().cStr()};
  }
}

}  // namespace rudderloom
