/// @file
/// An io_context whose suspended coroutines end before what they refer to.
#ifndef RUDDERLOOM_HTTP_ENDING_CONTEXT_HPP
#define RUDDERLOOM_HTTP_ENDING_CONTEXT_HPP

#include "rudderloom/http/asio.hpp"  // for asio

namespace rudderloom {

/// @brief An io_context that can destroy its suspended coroutines while it still exists.
///
/// A server's sockets and timers need the context and are destroyed before it. The context's own
/// destructor destroys the coroutines that are still suspended, after the server's state that
/// their locals refer to. So the owner of both calls `EndCoroutines` first.
/// @ingroup http
class EndingContext : public asio::io_context {
 public:
  using asio::io_context::io_context;

  /// @brief Destroys all suspended coroutines and handlers. The context must have been stopped and
  /// nobody may run it any more.
  void EndCoroutines() { shutdown(); }
};

}  // namespace rudderloom

#endif
