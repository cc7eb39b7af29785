/// @file
/// Grants permits for single requests to endpoints that crash from rejections, or that can answer
/// only part of what all nodes might send at once.
#ifndef RUDDERLOOM_ENDPOINT_LIMITS_SLOT_BOOK_HPP
#define RUDDERLOOM_ENDPOINT_LIMITS_SLOT_BOOK_HPP

#include <cstdint>   // for uint64_t
#include <deque>     // for deque
#include <map>       // for map
#include <optional>  // for optional

#include "rudderloom/base/clock.hpp"                 // for TimePoint
#include "rudderloom/endpoint_limits/in_flight.hpp"  // for InFlightWork
#include "rudderloom/fleet/endpoint_key.hpp"         // for EndpointKey

namespace rudderloom {

/// @brief What matters of a request to an endpoint that tolerates few rejections.
/// @ingroup endpoint_limits
struct SlotTerms {
  double rejections_per_second = 0.0;  ///< Tolerated by the endpoint from all nodes together.
  std::uint32_t slots = 0;             ///< As the endpoint states them; 0: not known.
  Duration max_hold{0};                ///< After this time the request has ended.

  bool operator==(const SlotTerms&) const = default;
};

/// @brief What became of a granted request.
/// @ingroup endpoint_limits
enum class SlotOutcome {
  kUnsent,
  kUnknown,   ///< It was sent, and may still be rejected.
  kAccepted,  ///< The endpoint answers, or has not rejected it within `kRejectionDelay`.
  kRejected,  ///< The endpoint had no room for it.
  kEnded,     ///< It no longer occupies the endpoint.
};

/// @brief A node's report on one of its granted requests.
/// @ingroup endpoint_limits
struct SlotReport {
  EndpointKey endpoint = 0;
  GrantId grant = 0;
  SlotOutcome outcome = SlotOutcome::kEnded;

  bool operator==(const SlotReport&) const = default;
};

/// @brief A granted request is sent within this time of the inquiry, or not at all.
/// @ingroup endpoint_limits
constexpr Duration kGrantSendTime{1'000};

/// @brief An endpoint without room rejects a request within this time after it was sent: several
/// round trips between two availability zones.
/// @ingroup endpoint_limits
constexpr Duration kRejectionDelay{25};

/// @brief The endpoint counts its rejections over this time.
/// @ingroup endpoint_limits
constexpr Duration kRejectionWindow{1'000};

/// @brief A rejection of a granted request no longer counts this long after the inquiry.
/// @ingroup endpoint_limits
constexpr Duration kGrantLifetime = kGrantSendTime + kRejectionDelay + kRejectionWindow;

/// @brief Bounds how many of the requests of all nodes an endpoint can reject within a second. Does
/// no I/O; time is passed in.
///
/// A granted request counts until it is known to be accepted or to have ended, and a rejected one
/// for `kRejectionWindow` after that. At most `max_rejections` requests count at any time, so no
/// second contains more rejections, whatever room the endpoint has. Beneath that bound, requests
/// are granted while fewer occupy the endpoint than it has accepted together; one beyond is tried
/// now and then.
///
/// Grants by the work in flight are kept beside, see `InFlightWork`; a request needs one or the
/// other.
/// @ingroup endpoint_limits
class SlotBook {
 public:
  /// @param last_grant Grants are numbered from the next one. A granting node that restarts passes
  /// a random number, so that late reports on earlier grants match none of its own.
  explicit SlotBook(GrantId last_grant = 0) : last_grant_(last_grant) {}

  /// @brief Returns a grant, or nothing if the endpoint might reject the request.
  /// @param max_rejections Of the requests granted here, within `kRejectionWindow`.
  std::optional<GrantId> Ask(EndpointKey key,
                             const SlotTerms& terms,
                             std::uint32_t max_rejections,
                             TimePoint now);

  /// @brief Grants or refuses a request by the work in flight at the endpoint.
  InFlightDecision AskInFlight(EndpointKey key, const InFlightTerms& terms, TimePoint now);

  /// @brief Records a node's report; unknown grants are ignored.
  void Report(const SlotReport& report, TimePoint now);

 private:
  struct Undecided {
    TimePoint counts_until;
    TimePoint ends_at;  // at the latest
  };
  struct Endpoint {
    std::map<GrantId, Undecided> undecided;
    std::map<GrantId, TimePoint> accepted;  // when it has ended at the latest
    std::deque<TimePoint> rejected_at;
    std::optional<std::uint32_t> room;  // accepted together since the last rejection
    TimePoint next_trial_at;            // of a request beyond `room`
    TimePoint last_asked_at;
    InFlightWork in_flight;
  };

  static void RecordInFlight(InFlightWork& work, const SlotReport& report, TimePoint now);
  static void Expire(Endpoint& endpoint, TimePoint now);
  void Trim(TimePoint now);

  std::map<EndpointKey, Endpoint> endpoints_;
  GrantId last_grant_;
  TimePoint trimmed_at_;
};

}  // namespace rudderloom

#endif
