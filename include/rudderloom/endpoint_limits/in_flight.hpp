/// @file
/// Bounds the work that all nodes together have in flight at an endpoint.
#ifndef RUDDERLOOM_ENDPOINT_LIMITS_IN_FLIGHT_HPP
#define RUDDERLOOM_ENDPOINT_LIMITS_IN_FLIGHT_HPP

#include <cstdint>   // for uint32_t, uint64_t
#include <map>       // for map
#include <optional>  // for optional
#include <variant>   // for variant

#include "rudderloom/base/clock.hpp"  // for TimePoint

namespace rudderloom {

/// @brief Identifies a granted request at the node that granted it; 0 for none.
/// @ingroup endpoint_limits
using GrantId = std::uint64_t;

/// @brief How long a granted request counts as in flight.
/// @ingroup endpoint_limits
enum class InFlightUntil {
  kAnswerBegins,  ///< Costs are milliseconds of work; the endpoint works through them in order.
  kEnded,         ///< Costs are slots.
};

/// @brief Limit of a node that has no answers of the service yet: the highest that others passed
/// within `kOthersLimitTime`. With a low limit of its own it would be refused while others keep the
/// endpoint busy, and would never get an answer to learn from.
/// @ingroup endpoint_limits
constexpr std::uint32_t kLimitOfOthers = 0;

/// @brief Time for which a limit that was passed counts for nodes that know none.
/// @ingroup endpoint_limits
constexpr Duration kOthersLimitTime{10'000};

/// @brief Limit while no node has passed one, as when all nodes start.
/// @ingroup endpoint_limits
constexpr std::uint32_t kFirstInFlightLimit = 4;

/// @brief Terms on which a request is granted by the work in flight at its endpoint.
/// @ingroup endpoint_limits
struct InFlightTerms {
  std::uint32_t cost = 1;  ///< 1 for a slot; at an engine the milliseconds to prefill the prompt.
  /// @brief Granted if the total cost in flight at the endpoint, including this one, is at most
  /// this. Less urgent requests pass a lower limit. `kLimitOfOthers`: the asking node doesn't know.
  std::uint32_t limit = 0;
  Duration max_hold{0};  ///< After this time the request no longer counts, if no report arrives.
  InFlightUntil until = InFlightUntil::kEnded;

  bool operator==(const InFlightTerms&) const = default;
};

/// @brief Longest time that a request counts without a report.
/// @ingroup endpoint_limits
constexpr Duration kMaxInFlightHold{120'000};

/// @brief Highest cost and highest limit; greater ones are reduced to it.
/// @ingroup endpoint_limits
constexpr std::uint32_t kMaxInFlightCost = 600'000;

/// @brief Most granted requests in flight at one endpoint: bounds the memory of a granting node
/// when others pass wrong costs.
/// @ingroup endpoint_limits
constexpr std::size_t kMaxInFlightRequests = 1'024;

/// @brief Time over which the limit recovers in full after an endpoint rejected a request. It
/// recovers slowly at first, with the square of the time: at an endpoint that always has room for
/// less than the limit, each step of the recovery costs a rejection.
/// @ingroup endpoint_limits
constexpr Duration kInFlightRecoveryTime{30'000};

/// @brief A node that begins to grant for an endpoint grants up to half of the limit at first, and
/// up to all of it after this time: requests that others granted before may still be there. After
/// the loss of a lease holder the nodes' views differ for up to 3 s, and three nodes may grant.
/// @ingroup endpoint_limits
constexpr Duration kInFlightStartTime{3'000};

/// @brief Requests refused with the same limit are told to ask again one after the other, as the
/// endpoint makes room for them, but at most this much later than the first.
/// @ingroup endpoint_limits
constexpr Duration kMaxInFlightSpread{1'000};

/// @brief Shortest wait returned with a refusal. It bounds how often a node asks again.
/// @ingroup endpoint_limits
constexpr Duration kMinInFlightWait{5};

/// @brief The request does not fit now.
/// @ingroup endpoint_limits
struct InFlightRefusal {
  Duration wait{0};  ///< Estimated time until its cost fits under its limit, in its turn.
};

/// @brief A grant, or a refusal with a wait.
/// @ingroup endpoint_limits
using InFlightDecision = std::variant<GrantId, InFlightRefusal>;

/// @brief The granted requests in flight at one endpoint. Does no I/O; time is passed in. Not
/// thread-safe.
///
/// The total cost of requests in flight is at most the highest limit passed, except for a single
/// request that exceeds its limit alone: it is granted when nothing else is in flight. Requests
/// that count until their answers begin are processed in order, so the cost of the oldest decreases
/// by 1 per millisecond, down to zero.
/// @ingroup endpoint_limits
class InFlightWork {
 public:
  /// @param grant Assigned if the request is granted; must be greater than all earlier ones.
  InFlightDecision Ask(GrantId grant, const InFlightTerms& terms, TimePoint now);

  /// @brief The answer to the request has begun.
  void Accepted(GrantId grant, TimePoint now);

  /// @brief The request was not sent.
  void Unsent(GrantId grant, TimePoint now) { Remove(grant, now); }

  /// @brief The request has ended.
  void Ended(GrantId grant, TimePoint now);

  /// @brief The endpoint had no room for the request. Until `kInFlightRecoveryTime` later less is
  /// granted: at first the cost that the endpoint kept beside the rejected request, but at least
  /// half of what was granted before, as a single rejection may have another cause.
  void Rejected(GrantId grant, TimePoint now);

  /// @brief Returns the total cost in flight, less what the oldest request has progressed.
  std::uint32_t Total(TimePoint now) const;

  bool Empty() const { return requests_.empty(); }

 private:
  struct Request {
    std::uint32_t cost = 0;
    std::uint32_t limit = 0;
    InFlightUntil until = InFlightUntil::kEnded;
    TimePoint granted_at;
    TimePoint counts_until;
  };
  struct Lowered {
    std::uint32_t total = 0;  // granted at most, when it was rejected
    TimePoint rejected_at;
  };

  // Returns false if the grant is unknown.
  bool Remove(GrantId grant, TimePoint now);
  void Expire(TimePoint now);
  std::uint32_t Progress(TimePoint now) const;
  std::uint32_t LimitOfOthers(TimePoint now) const;
  void RecordLimit(std::uint32_t limit, TimePoint now);
  std::uint32_t StartLimit(std::uint32_t limit, TimePoint now) const;
  std::uint32_t EffectiveLimit(std::uint32_t limit, TimePoint now) const;
  Duration WaitFor(std::uint32_t cost, std::uint32_t limit, TimePoint now) const;
  Duration WaitInTurn(const InFlightTerms& terms, Duration wait, TimePoint now);
  Duration TimeToFree(const InFlightTerms& terms, TimePoint now) const;
  Duration TypicalHold() const;
  Duration UntilFreed(std::uint32_t excess, TimePoint now) const;

  std::map<GrantId, Request> requests_;  // in the order of the grants
  std::uint64_t cost_ = 0;               // sum over `requests_`
  TimePoint oldest_since_;               // when the first of `requests_` became the oldest
  TimePoint next_expiry_ = TimePoint::max();
  std::optional<Lowered> lowered_;
  std::optional<TimePoint> first_asked_at_;
  std::uint32_t others_limit_ = 0;  // the highest passed lately
  TimePoint others_limit_at_;       // when it was passed last
  Duration typical_hold_;           // of requests that ended
  bool has_hold_ = false;
  std::map<std::uint32_t, TimePoint> next_turns_;  // of refused requests, by their limit
};

}  // namespace rudderloom

#endif
