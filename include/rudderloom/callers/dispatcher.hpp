/// @file
/// Admission and routing for the requests of one traffic thread.
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
#include "rudderloom/http/call_guard.hpp"            // for CallGuard
#include "rudderloom/routing/router.hpp"             // for Router

namespace rudderloom {

/// @brief Parameters for admitting and routing one attempt.
/// @ingroup callers
struct DispatchRequest {
  std::string target;    ///< Name of a model, adapter or service.
  bool service = false;  ///< Whether `target` names a service.
  std::string caller;
  std::int64_t priority = 5;
  TimePoint deadline;
  RouteQuery route;
};

/// @brief A reserved place on an endpoint. Return it with Dispatcher::Release.
/// @ingroup callers
struct Grant {
  EndpointView endpoint;
  std::string unit;
  std::string target;
  TimePoint started;
};

/// @brief Admits and routes requests. Not thread-safe: use it on the io_context's thread only.
/// @ingroup callers
class Dispatcher {
 public:
  Dispatcher(asio::io_context& context, std::size_t queue, std::uint64_t seed);

  /// @brief Replaces the snapshot and dispatches waiting requests.
  void UpdateSnapshot(SnapshotPtr snapshot);
  const SnapshotPtr& Current() const { return snapshot_; }

  /// @brief Waits for a free endpoint. Returns a refusal as soon as the request can't be served, or
  /// when `guard` interrupts the request.
  Awaitable<std::variant<Grant, AdmissionRefusal>> Acquire(DispatchRequest dispatch,
                                                           CallGuard& guard);

  /// @brief Lets no request wait beyond `deadline`, and refuses at once those that are not expected
  /// to be served by then.
  void BeginStop(TimePoint deadline);

  /// @brief Returns an endpoint and records the result of the attempt.
  /// @param first_byte Time to the first byte of the response, for a served request.
  void Release(const Grant& grant, RouteResult result, Duration first_byte);

  /// @brief Returns the numbers of requests in flight and waiting.
  message::TrafficSampled Sample() const;

  std::size_t Waiting() const { return queue_.Size(); }

 private:
  struct Waiter {
    DispatchRequest dispatch;
    Timer timer;
    std::optional<std::variant<Grant, AdmissionRefusal>> result;
  };

  QueuedRequest ToQueued(const DispatchRequest& dispatch);
  std::uint32_t SlotsFor(const DispatchRequest& dispatch) const;
  AdmissionRefusal BoundByStop(AdmissionRefusal refused, const DispatchRequest& dispatch) const;
  void Refuse(Ticket ticket, AdmissionRefusal refused);

  const ServingSet* FindServingSet(const DispatchRequest& dispatch) const;
  std::optional<Grant> TryStart(const DispatchRequest& dispatch);
  void DispatchWaiting();
  Awaitable<void> DispatchLoop();

  asio::io_context& context_;
  SnapshotPtr snapshot_;
  Router router_;
  AdmissionQueue queue_;
  std::map<Ticket, Waiter*> waiters_;
  std::map<std::string, std::uint32_t> running_;    // by target
  std::map<std::string, std::uint32_t> in_flight_;  // by endpoint
  Ticket next_ticket_ = 0;
  TimePoint stop_deadline_ = TimePoint::max();
  bool loop_running_ = false;
};

}  // namespace rudderloom

#endif
