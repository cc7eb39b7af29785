/// @file
/// Queue of waiting requests: decides which one starts next and which ones are refused at once. The
/// time is passed in.
#ifndef RUDDERLOOM_ADMISSION_ADMISSION_QUEUE_HPP
#define RUDDERLOOM_ADMISSION_ADMISSION_QUEUE_HPP

#include <cstdint>     // for uint64_t
#include <deque>       // for deque
#include <functional>  // for function
#include <map>         // for map
#include <optional>    // for optional
#include <string>      // for string
#include <vector>      // for vector

#include "rudderloom/base/clock.hpp"  // for TimePoint

namespace rudderloom {

/// @brief Identifies a waiting request.
/// @ingroup admission
using Ticket = std::uint64_t;

/// @brief A request to be queued for admission.
/// @ingroup admission
struct QueuedRequest {
  Ticket ticket = 0;
  std::string target;         ///< Name of the requested model, adapter or service.
  std::string caller;         ///< Caller whose fair share the request is charged to.
  std::int64_t priority = 5;  ///< 0 is the highest priority.
  TimePoint deadline;         ///< Time by which the request must have started.
};

/// @brief Why a request is not admitted.
/// @ingroup admission
struct AdmissionRefusal {
  enum class Reason {
    kQueueFull,
    kDeadlineUnreachable,  ///< The expected wait exceeds the deadline.
    kDeadlinePassed,       ///< The deadline passed, before or while the request waited.
    kStopping,             ///< The node stops before the request can start.
  };
  Reason reason = Reason::kQueueFull;
  Duration retry_delay{1'000};  ///< Delay after which the client should retry.
};

/// @brief Queue with strict priorities, and fair sharing between callers of the same priority.
/// @ingroup admission
class AdmissionQueue {
 public:
  explicit AdmissionQueue(std::size_t capacity) : capacity_(capacity) {}

  /// @brief Enqueues a request or refuses it. `slots` is the number of requests for its target that
  /// this node may run at once.
  std::optional<AdmissionRefusal> Enqueue(const QueuedRequest& applicant,
                                          std::uint32_t slots,
                                          TimePoint now);

  /// @brief Removes and returns the next request that can start; empty if none can.
  /// @param can_start Called for waiting requests in order; the first accepted request is returned.
  std::optional<QueuedRequest> Next(const std::function<bool(const QueuedRequest&)>& can_start);

  /// @brief Removes a waiting request; true if it was queued.
  bool Remove(Ticket ticket);

  /// @brief Removes and returns all requests whose deadline has passed.
  std::vector<QueuedRequest> Expire(TimePoint now);

  /// @brief Lets no waiting request wait beyond `latest`. Removes and returns those that are not
  /// expected to be served by then.
  /// @param slots_for Number of requests for a target that this node may run at once.
  std::vector<QueuedRequest> LimitDeadlines(
      TimePoint latest,
      const std::function<std::uint32_t(const QueuedRequest&)>& slots_for,
      TimePoint now);

  /// @brief Records how long a request for the target occupied its slot.
  void RecordServiceTime(const std::string& target, Duration service_time);

  /// @brief Expected wait of a request that arrives now.
  Duration ExpectedWait(const std::string& target,
                        std::int64_t priority,
                        std::uint32_t slots) const;

  /// @brief Number of waiting requests, over all targets or for one.
  std::size_t Size() const { return size_; }
  std::size_t Waiting(const std::string& target) const;

 private:
  struct CallerQueue {  // the waiting requests of one caller at one priority
    std::deque<QueuedRequest> waiting;
    double virtual_time = 0.0;  // grows with each started request
  };
  using CallerQueues = std::map<std::string, CallerQueue>;

  Duration ServiceTimeOf(const std::string& target) const;
  // Expected time until a request with `ahead` others before it has been served.
  Duration WaitBehind(const std::string& target, std::size_t ahead, std::uint32_t slots) const;

  std::size_t capacity_;
  std::size_t size_ = 0;
  std::map<std::int64_t, CallerQueues> priorities_;
  std::map<std::string, std::map<std::int64_t, std::size_t>> waiting_;  // by target and priority
  std::map<std::string, double> service_times_ms_;
};

}  // namespace rudderloom

#endif
