/// @file
/// Sends load and unload orders to endpoints over HTTP/JSON.
#ifndef RUDDERLOOM_CONTROL_ORDER_SENDER_HPP
#define RUDDERLOOM_CONTROL_ORDER_SENDER_HPP

#include "rudderloom/http/client.hpp"        // for HttpClient
#include "rudderloom/residency/order.hpp"    // for Order
#include "rudderloom/telemetry/metrics.hpp"  // for Metrics

namespace rudderloom {

/// @brief Sends each order once. The pool keeper decides on retries.
/// @ingroup control
class OrderSender {
 public:
  OrderSender(HttpClient& client, Duration order_timeout, Metrics& metrics)
      : client_(client), order_timeout_(order_timeout), metrics_(metrics) {}

  /// @brief Sends the order unless it is past `valid_until`, and waits for the response.
  Awaitable<OrderOutcome> Send(Order order);

 private:
  Awaitable<OrderOutcome> Exchange(const Order& order);

  HttpClient& client_;
  Duration order_timeout_;
  Metrics& metrics_;
};

}  // namespace rudderloom

#endif
