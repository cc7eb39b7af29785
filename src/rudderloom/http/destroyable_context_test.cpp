// Destruction order of suspended coroutines and the state that they refer to.
#include "rudderloom/http/destroyable_context.hpp"

#include <doctest/doctest.h>  // for TEST_CASE

namespace rudderloom {
namespace {

struct Server {
  explicit Server(asio::io_context& context) : timer(context) {}
  Timer timer;
  int requests = 0;
};

struct Request {
  explicit Request(Server& server) : server_(server) { ++server_.requests; }
  ~Request() { --server_.requests; }
  Server& server_;
};

Awaitable<void> Serve(Server& server) {
  const Request request(server);
  Timer timer(server.timer.get_executor(), std::chrono::hours(1));
  co_await timer.async_wait(kAsTuple);
}

// Guards against request objects that outlive the server state that they refer to.
TEST_CASE("EndCoroutines destroys suspended coroutines before the state that they refer to") {
  DestroyableContext context;
  auto server = std::make_unique<Server>(context);
  asio::co_spawn(context, Serve(*server), asio::detached);
  context.poll();
  CHECK(server->requests == 1);
  context.stop();
  context.DestroyCoroutines();
  CHECK(server->requests == 0);
  server.reset();
}

}  // namespace
}  // namespace rudderloom
