#include "app/operator_client.hpp"

#include <capnp/ez-rpc.h>  // for EzRpcClient
#include <kj/async-io.h>   // for AsyncIoProvider
#include <kj/timer.h>      // for Timer

#include "node.capnp.h"              // for rpc::Node
#include "peers/operator_codec.hpp"  // for Write, Read

namespace rudderloom {

namespace {

constexpr kj::Duration kCallTimeout = 15 * kj::SECONDS;

NodeSummary ReadNode(rpc::NodeStatus::Reader in) {
  return {in.getName().cStr(), in.getAddress().cStr(), in.getAvailabilityZone().cStr(),
          in.getGeneration(),  in.getLive(),           in.getStopping()};
}

EndpointSummary ReadEndpoint(rpc::EndpointStatus::Reader in) {
  EndpointSummary summary{in.getName().cStr(),
                          in.getPool().cStr(),
                          in.getAddress().cStr(),
                          in.getState().cStr(),
                          in.getMemory(),
                          in.getReserved(),
                          {}};
  for (const auto unit : in.getUnits()) {
    summary.units.emplace_back(unit.getUnit().cStr(), unit.getState().cStr());
  }
  return summary;
}

}  // namespace

struct OperatorClient::Impl {
  explicit Impl(const std::string& daemon)
      : client(daemon), node(client.getMain<rpc::Node>().castAs<rpc::Operator>()) {}

  template <class Promise>
  auto Wait(Promise&& promise) {
    return client.getIoProvider()
        .getTimer()
        .timeoutAfter(kCallTimeout, kj::mv(promise))
        .wait(client.getWaitScope());
  }

  capnp::EzRpcClient client;
  rpc::Operator::Client node;
};

OperatorClient::OperatorClient(const std::string& daemon) : impl_(std::make_unique<Impl>(daemon)) {}

OperatorClient::~OperatorClient() = default;

std::variant<ChangeResult, CallFailure> OperatorClient::Change(const ChangeRequest& request) {
  try {
    auto call = impl_->node.changeRequest();
    Write(request, call.initRequest());
    const auto response = impl_->Wait(call.send());
    return Read(response.getResult());
  } catch (const kj::Exception& error) {
    return CallFailure{error.getDescription().cStr()};
  }
}

std::variant<Configuration, CallFailure> OperatorClient::Get() {
  try {
    const auto response = impl_->Wait(impl_->node.getRequest().send());
    const std::string text = response.getConfiguration().getJson().cStr();
    if (text.empty()) {
      return Configuration();
    }
    auto parsed = ParseJsonObject(text, "/");
    if (auto* errors = std::get_if<JsonErrors>(&parsed)) {
      return CallFailure{errors->front().Text()};
    }
    auto read = ConfigurationFromJson(std::get<boost::json::object>(parsed));
    if (auto* errors = std::get_if<JsonErrors>(&read)) {
      return CallFailure{errors->front().Text()};
    }
    return std::move(std::get<Configuration>(read));
  } catch (const kj::Exception& error) {
    return CallFailure{error.getDescription().cStr()};
  }
}

std::variant<StatusSummary, CallFailure> OperatorClient::Status() {
  try {
    const auto response = impl_->Wait(impl_->node.statusRequest().send());
    const auto status = response.getStatus();
    StatusSummary summary;
    summary.node = ReadNode(status.getNode());
    for (const auto other : status.getOthers()) {
      summary.others.push_back(ReadNode(other));
    }
    for (const auto endpoint : status.getEndpoints()) {
      summary.endpoints.push_back(ReadEndpoint(endpoint));
    }
    for (const auto pool : status.getHeldPools()) {
      summary.held_pools.emplace_back(pool.cStr());
    }
    return summary;
  } catch (const kj::Exception& error) {
    return CallFailure{error.getDescription().cStr()};
  }
}

}  // namespace rudderloom
