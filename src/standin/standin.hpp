/// @file
/// Code shared by the four stand-ins: options, injected faults and a small JSON-over-HTTP server.
#ifndef RUDDERLOOM_STANDIN_STANDIN_HPP
#define RUDDERLOOM_STANDIN_STANDIN_HPP

#include <boost/json.hpp>  // for object
#include <cstdint>         // for int64_t
#include <functional>      // for function
#include <memory>          // for shared_ptr
#include <string>          // for string

#include "rudderloom/http/client.hpp"  // for HttpClient
#include "rudderloom/http/server.hpp"  // for HttpServer

namespace rudderloom::standin {

/// @brief Command-line options; each stand-in reads only those that concern it.
struct Options {
  std::string name = "standin";
  std::string address = "127.0.0.1";
  std::uint16_t port = 0;
  std::string platform;      // address; empty: not registered anywhere
  std::string weight_store;  // address; empty: a load takes load_ms, nothing is downloaded
  std::string pool = "default";
  std::string zone = "zone-a";
  std::string service;  // service that a service stand-in provides
  std::uint64_t memory = 24ULL << 30;
  std::int64_t slots = 8;
  std::int64_t token_ms = 5;
  std::int64_t load_ms = 1000;
  bool checks_fencing = false;
  std::int64_t writes_per_second = 300;
  std::int64_t reads_per_second = 2000;
  std::int64_t loads_per_second = 2;
  std::int64_t full_speed_downloads = 8;
};

/// @brief Faults set through POST /faults; each stand-in applies only those that concern it.
class Faults {
 public:
  /// @brief Overwrites the faults named in `values` and keeps all others.
  void Set(const boost::json::object& values);
  /// @brief Returns the value of a fault: 0 when unset, 1 for `true`.
  std::int64_t Get(std::string_view name) const;
  /// @brief Decrements a positive count and returns true. Used for "the next N calls fail".
  bool ConsumeOne(std::string_view name);

 private:
  boost::json::object values_;
};

/// @brief Rate limiter that allows bursts of up to one second's worth of calls.
class TokenBucket {
 public:
  explicit TokenBucket(std::int64_t rate) : rate_(rate), available_(static_cast<double>(rate)) {}
  /// @brief Takes one token and returns true, or returns false when none is left.
  bool TryAcquire();

 private:
  std::int64_t rate_;
  double available_;
  TimePoint last_refill_ = Now();
};

/// @brief Event loop, HTTP server and HTTP client of one stand-in. Answers /faults and /stats
/// itself and passes every other request to the stand-in's handler.
struct StandinRuntime {
  asio::io_context context{1};
  Faults faults;
  HttpClient client{context};
  std::shared_ptr<HttpServer> server;

  /// @brief Prints `ready ADDRESS`, calls `on_started`, then serves until SIGTERM or SIGINT. After
  /// the signal it calls `on_stopping` and returns once no request is in progress.
  void Run(const Options& options,
           std::function<Awaitable<void>(HttpExchange&)> handle_request,
           std::function<boost::json::object()> collect_stats,
           const std::function<Awaitable<void>(std::string)>& on_started,
           std::function<Awaitable<void>()> on_stopping);
};

/// @brief Suspends the calling coroutine.
Awaitable<void> SleepFor(asio::io_context& context, std::int64_t milliseconds);

/// @brief Builds a reply with a JSON body.
Reply JsonReply(unsigned status, const boost::json::object& body);

/// @brief Writes the endpoint object to the platform, as a platform controller would. Retries until
/// it succeeds or the attempts run out; does nothing without a platform address.
Awaitable<void> RegisterEndpoint(StandinRuntime& runtime,
                                 const Options& options,
                                 std::string address,
                                 std::string state);

void RunPlatform(const Options& options);
void RunEndpoint(const Options& options);
void RunService(const Options& options);
void RunWeightStore(const Options& options);

}  // namespace rudderloom::standin

#endif
