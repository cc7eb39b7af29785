#include "app/wait.hpp"

#include "rudderloom/http/asio.hpp"  // for Timer

namespace rudderloom {

void BlockFor(Duration pause) {
  asio::io_context context;
  Timer timer(context, pause);
  // Timer::wait() would throw when a signal interrupts it.
  timer.async_wait([](boost::system::error_code) {});
  context.run();
}

}  // namespace rudderloom
