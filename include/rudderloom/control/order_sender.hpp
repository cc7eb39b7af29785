/// @file
/// Sends orders to endpoints over HTTP/JSON and tells what is known of their effect.
#ifndef RUDDERLOOM_CONTROL_ORDER_SENDER_HPP
#define RUDDERLOOM_CONTROL_ORDER_SENDER_HPP

#include "rudderloom/http/client.hpp"        // for HttpClient
#include "rudderloom/residency/order.hpp"    // for Order
#include "rudderloom/telemetry/metrics.hpp"  // for Metrics

namespace rudderloom {

/// @brief Sends one order once; whether it is sent again is the pool keeper's decision.
/// @ingroup control
class OrderSender {
 public:
  OrderSender(HttpClient& client, Duration order_time, Metrics& metrics)
      : client_(client), order_time_(order_time), metrics_(metrics) {}

  /// @brief Sends the order unless its time has passed, and waits for the endpoint's answer.
  Awaitable<OrderOutcome> Send(Order order);

 private:
  Awaitable<OrderOutcome> Exchange(const Order& order);

  HttpClient& client_;
  Duration order_time_;
  Metrics& metrics_;
};

}  // namespace rudderloom

#endif
