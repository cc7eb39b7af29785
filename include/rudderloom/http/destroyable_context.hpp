/// @file
/// An io_context whose suspended coroutines can be destroyed before the state they refer to.
#ifndef RUDDERLOOM_HTTP_DESTROYABLE_CONTEXT_HPP
#define RUDDERLOOM_HTTP_DESTROYABLE_CONTEXT_HPP

#include "rudderloom/http/asio.hpp"  // for asio

namespace rudderloom {

/// @brief An io_context that can destroy its suspended coroutines while it still exists.
///
/// A server's sockets and timers need the context and are destroyed before it. The destructor of
/// io_context destroys the coroutines that are still suspended, which is after the server state
/// that their locals refer to is gone. The owner of both therefore calls `DestroyCoroutines` first.
/// @ingroup http
class DestroyableContext : public asio::io_context {
 public:
  using asio::io_context::io_context;

  /// @brief Destroys all suspended coroutines and handlers. The context must be stopped, and
  /// no thread may run it afterwards.
  void DestroyCoroutines() { shutdown(); }
};

}  // namespace rudderloom

#endif
