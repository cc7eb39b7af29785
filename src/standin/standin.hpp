// What the four stand-ins share: their options, their faults and a small JSON service frame.
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

// What the command line gave.
struct Options {
  std::string name = "standin";
  std::string address = "127.0.0.1";
  std::uint16_t port = 0;
  std::string platform;      // address, empty: none
  std::string weight_store;  // address, empty: loads take load_ms without it
  std::string pool = "default";
  std::string zone = "zone-a";
  std::string service;  // name of the plain service
  std::uint64_t memory = 24ULL << 30;
  std::int64_t slots = 8;
  std::int64_t token_ms = 5;
  std::int64_t load_ms = 1000;
  bool checks_fences = false;
  std::int64_t writes_per_second = 300;
  std::int64_t reads_per_second = 2000;
  std::int64_t loads_per_second = 2;
  std::int64_t loads_at_once = 8;
};

// The faults that POST /faults switches; each stand-in heeds those that concern it.
class Faults {
 public:
  // Sets every member of `values`, keeps the others.
  void Set(const boost::json::object& values);
  // A number; 0 when never set. true counts as 1.
  std::int64_t Get(std::string_view name) const;
  // True and one less when the count is above zero: for "the next N calls".
  bool Take(std::string_view name);

 private:
  boost::json::object values_;
};

// A token bucket over one second.
class Bucket {
 public:
  explicit Bucket(std::int64_t rate) : rate_(rate), level_(static_cast<double>(rate)) {}
  bool Take();

 private:
  std::int64_t rate_;
  double level_;
  TimePoint last_ = Now();
};

// The frame of one stand-in: answers /faults and /stats, passes on everything else.
struct Frame {
  asio::io_context context{1};
  Faults faults;
  HttpClient client{context};
  std::shared_ptr<HttpServer> server;

  // Serves until SIGTERM or SIGINT, prints `ready ADDRESS` first, then calls `started`.
  // After the signal, `leaving` runs and the process ends once no answer is under way.
  void Run(const Options& options,
           std::function<Awaitable<void>(HttpExchange&)> handle,
           std::function<boost::json::object()> stats,
           const std::function<Awaitable<void>(std::string)>& started,
           std::function<Awaitable<void>()> leaving);
};

// Waits on the frame's context.
Awaitable<void> Pause(asio::io_context& context, std::int64_t milliseconds);

// An answer with a JSON body.
Reply JsonReply(unsigned status, const boost::json::object& body);

// Announces an endpoint in the platform as a controller of the platform would.
Awaitable<void> Announce(Frame& frame,
                         const Options& options,
                         std::string address,
                         std::string state);

void RunPlatform(const Options& options);
void RunEndpoint(const Options& options);
void RunService(const Options& options);
void RunWeightStore(const Options& options);

}  // namespace rudderloom::standin

#endif
