/// @file
/// Lets requests in and gives each an endpoint: admission and routing of one traffic thread.
#ifndef RUDDERLOOM_CALLERS_DISPATCHER_HPP
#define RUDDERLOOM_CALLERS_DISPATCHER_HPP

#include <map>       // for map
#include <memory>    // for unique_ptr
#include <optional>  // for optional
#include <string>    // for string
#include <variant>   // for variant

#include "rudderloom/admission/admission_queue.hpp"  // for AdmissionQueue
#include "rudderloom/control/messages.hpp"           // for message::TrafficSampled
#include "rudderloom/control/snapshot.hpp"           // for SnapshotPtr
#include "rudderloom/http/asio.hpp"                  // for Awaitable
#include "rudderloom/routing/router.hpp"             // for Router

namespace rudderloom {

/// @brief What one attempt asks for.
/// @ingroup callers
struct DispatchAsk {
  std::string target;    ///< Name of a model, adapter or service.
  bool service = false;  ///< Whether `target` names a service.
  std::string caller;
  std::int64_t priority = 5;
  TimePoint deadline;
  RouteAsk route;
};

/// @brief An endpoint to use now; give it back with Release.
/// @ingroup callers
struct Grant {
  EndpointView endpoint;
  std::string unit;
  std::string target;
  TimePoint started;
};

/// @brief Admission and routing for one io_context; use from its thread only.
/// @ingroup callers
class Dispatcher {
 public:
  Dispatcher(asio::io_context& context, std::size_t queue, std::uint64_t seed);

  /// @brief Takes a new snapshot.
  void Use(SnapshotPtr snapshot);
  const SnapshotPtr& Current() const { return snapshot_; }

  /// @brief Waits for an endpoint, or is refused as soon as that is decided.
  Awaitable<std::variant<Grant, AdmissionRefusal>> Acquire(DispatchAsk ask);

  /// @brief Gives an endpoint back.
  /// @param first_byte Time to the first byte of the answer, for a served request.
  void Release(const Grant& grant, RouteResult result, Duration first_byte);

  /// @brief What runs and what waits.
  message::TrafficSampled Sample() const;

  std::size_t Waiting() const { return queue_.Size(); }

 private:
  struct Waiter {
    DispatchAsk ask;
    Timer timer;
    std::optional<std::variant<Grant, AdmissionRefusal>> result;
  };

  const ServingSet* SetOf(const DispatchAsk& ask) const;
  std::optional<Grant> TryStart(const DispatchAsk& ask);
  void Pump();
  Awaitable<void> PumpLoop();

  asio::io_context& context_;
  SnapshotPtr snapshot_;
  Router router_;
  AdmissionQueue queue_;
  std::map<Ticket, Waiter*> waiters_;
  std::map<std::string, std::uint32_t> running_;    // by target
  std::map<std::string, std::uint32_t> in_flight_;  // by endpoint
  Ticket next_ticket_ = 0;
  bool pumping_ = false;
};

}  // namespace rudderloom

#endif
