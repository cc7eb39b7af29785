/// @file
/// Which waiting request starts next, and which is refused at once. Pure; time is passed in.
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

/// @brief A request that asks to be let in.
/// @ingroup admission
struct Applicant {
  Ticket ticket = 0;
  std::string target;         ///< Name of the model, adapter or service.
  std::string caller;         ///< Whose fair share it counts on.
  std::int64_t priority = 5;  ///< 0 goes first.
  TimePoint deadline;         ///< When it must have started.
};

/// @brief Why a request is not let in.
/// @ingroup admission
struct AdmissionRefusal {
  enum class Reason {
    kQueueFull,
    kDeadlineUnreachable,  ///< It would wait longer than its deadline allows.
    kDeadlinePassed,       ///< It waited, and its time is up.
  };
  Reason reason = Reason::kQueueFull;
  Duration come_back{1'000};  ///< When asking again makes sense.
};

/// @brief Waiting requests: strict priorities, and among equals fair shares between callers.
/// @ingroup admission
class AdmissionQueue {
 public:
  explicit AdmissionQueue(std::size_t capacity) : capacity_(capacity) {}

  /// @brief Takes a request in to wait, or refuses it now. `room` is how many requests of its
  /// target this node may run at once.
  std::optional<AdmissionRefusal> Enter(const Applicant& applicant,
                                        std::uint32_t room,
                                        TimePoint now);

  /// @brief The next request that can start, taken out; empty when none can.
  /// @param can_start Asked in order; the first request that it accepts is the one given back.
  std::optional<Applicant> Next(const std::function<bool(const Applicant&)>& can_start);

  /// @brief Takes out a request that no longer waits; true when it was there.
  bool Remove(Ticket ticket);

  /// @brief Takes out all whose deadline passed.
  std::vector<Applicant> Expire(TimePoint now);

  /// @brief Learns how long a request of this target occupied its place.
  void Served(const std::string& target, Duration length);

  /// @brief Expected wait of a request that came now.
  Duration ExpectedWait(const std::string& target, std::int64_t priority, std::uint32_t room) const;

  /// @brief Requests waiting, over all targets or for one.
  std::size_t Size() const { return size_; }
  std::size_t Waiting(const std::string& target) const;

 private:
  struct Line {  // the waiting requests of one caller at one priority
    std::deque<Applicant> waiting;
    double served = 0.0;  // virtual time: grows with each start
  };
  using Lines = std::map<std::string, Line>;

  Duration LengthOf(const std::string& target) const;

  std::size_t capacity_;
  std::size_t size_ = 0;
  std::map<std::int64_t, Lines> priorities_;
  std::map<std::string, std::map<std::int64_t, std::size_t>> waiting_;  // by target and priority
  std::map<std::string, double> lengths_ms_;
};

}  // namespace rudderloom

#endif
