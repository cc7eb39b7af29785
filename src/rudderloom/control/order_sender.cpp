#include "rudderloom/control/order_sender.hpp"

#include <boost/json.hpp>  // for object

#include "rudderloom/base/log_line.hpp"  // for LogLine

namespace rudderloom {

namespace json = boost::json;

namespace {

OrderOutcome ToOutcome(unsigned status) {
  switch (status) {
    case 200:
      return OrderOutcome::kDone;
    case 202:
    case 503:
      return OrderOutcome::kNotYet;
    case 409:
      return OrderOutcome::kFenced;
    case 507:
      return OrderOutcome::kNoMemory;
    default:
      return OrderOutcome::kUnknown;
  }
}

}  // namespace

Awaitable<OrderOutcome> OrderSender::Send(Order order) {
  const OrderOutcome outcome = co_await Exchange(order);
  metrics_.Count({"rudderloom_orders_total", "outcome", NameOf(outcome)});
  LogLine("order_ended")
      .With("kind", order.load ? "load" : "unload")
      .With("unit", order.unit)
      .With("endpoint", order.endpoint)
      .With("epoch", order.epoch)
      .With("sequence", order.sequence)
      .With("outcome", NameOf(outcome));
  co_return outcome;
}

Awaitable<OrderOutcome> OrderSender::Exchange(const Order& order) {
  const std::string id =
      order.pool + "/" + std::to_string(order.epoch) + "/" + std::to_string(order.sequence);
  const json::object body{{"order", id},
                          {"epoch", order.epoch},
                          {"sequence", order.sequence},
                          {"action", order.load ? "load" : "unload"},
                          {"unit", order.unit},
                          {"memory", order.memory}};
  HttpRequest request =
      MakeRequest(http::verb::post, order.address, "/orders", json::serialize(body));
  CallTimeouts times;
  times.first_byte = order_timeout_;
  // The lease may have changed hands while the order was queued.
  if (Now() >= order.valid_until) {
    co_return OrderOutcome::kNotSent;
  }
  auto answer =
      co_await client_.Call(order.address, std::move(request), times, ConnectionReuse::kNever);
  if (auto* failure = std::get_if<HttpFailure>(&answer)) {
    co_return failure->may_have_been_sent ? OrderOutcome::kUnknown : OrderOutcome::kNotSent;
  }
  co_return ToOutcome(std::get<HttpResponse>(answer).result_int());
}

}  // namespace rudderloom
