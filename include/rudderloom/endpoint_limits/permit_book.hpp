/// @file
/// Grants permits for single requests to endpoints with a limit.
#ifndef RUDDERLOOM_ENDPOINT_LIMITS_PERMIT_BOOK_HPP
#define RUDDERLOOM_ENDPOINT_LIMITS_PERMIT_BOOK_HPP

#include <cstdint>      // for uint32_t
#include <map>          // for map
#include <optional>     // for optional
#include <string_view>  // for string_view

#include "rudderloom/endpoint_limits/endpoint_limit.hpp"  // for EndpointKey
#include "rudderloom/endpoint_limits/slot_book.hpp"       // for SlotBook

namespace rudderloom {

/// @brief Terms on which requests to an endpoint are spaced by the work that they bring.
/// @ingroup endpoint_limits
struct SpacingTerms {
  Duration interval{0};  ///< To the next request of any node, if this one is granted.
  Duration max_wait{0};  ///< Refused if its turn comes later. Less urgent requests pass less.

  bool operator==(const SpacingTerms&) const = default;
};

/// @brief Longest interval; greater ones are reduced to it.
/// @ingroup endpoint_limits
constexpr Duration kMaxSpacing{2'000};

/// @brief A node's inquiry whether it may send one request to an endpoint.
/// @ingroup endpoint_limits
struct PermitRequest {
  EndpointKey endpoint = 0;
  /// @brief Fleet-wide, as announced by the endpoint; empty: no limit.
  std::optional<double> requests_per_second;
  Duration max_wait{0};                ///< Maximum time that the request can wait.
  std::optional<SlotTerms> slot = {};  ///< Set if the endpoint tolerates few rejections.
  /// @brief Set if the request is granted by the work in flight; the other terms are then ignored
  /// and need a permit of their own, as another node may grant those.
  std::optional<InFlightTerms> in_flight = {};
  /// @brief Set if the request is granted by its turn at the endpoint; like `in_flight`.
  std::optional<SpacingTerms> spacing = {};
};

/// @brief Decision of the node that was asked.
/// @ingroup endpoint_limits
enum class PermitVerdict {
  kNotGranting,  ///< It is neither the lease holder nor its deputy, or does not know the terms.
  kGranted,
  kRefused,
};

/// @brief Returns the name used as a metric label.
/// @ingroup endpoint_limits
std::string_view NameOf(PermitVerdict verdict);

/// @brief Answer to a `PermitRequest`.
/// @ingroup endpoint_limits
struct PermitAnswer {
  PermitVerdict verdict = PermitVerdict::kNotGranting;
  /// @brief Granted: the request may be sent after this time. Refused: time until the next permit.
  Duration wait{0};
  /// @brief Of a granted request for a slot or by the work in flight, to be reported on.
  GrantId grant = 0;
  /// @brief The request was decided by its in-flight terms. An earlier build does not know them:
  /// its answer says nothing about them.
  bool by_in_flight = false;
};

/// @brief Maximum time that a request waits for its permit.
/// @ingroup endpoint_limits
constexpr Duration kMaxPermitWait{500};

/// @brief Whether a node grants permits, and at which rate.
/// @ingroup endpoint_limits
struct PermitBasis {
  /// @brief `kMaxPermitWait` after the node became responsible: by then all requests permitted by
  /// its predecessor have been sent.
  TimePoint valid_from;
  TimePoint valid_until;  ///< No request may be sent later.
  double fraction = 1.0;  ///< Granted fraction of each limit.
  /// @brief Slots are granted from then on: requests granted by others no longer count.
  TimePoint slots_from = {};
  TimePoint holder_share_from =
      {};  ///< Until then only the deputy's share of rejections is risked.
};

/// @brief The fraction of a limit that the deputy grants while the lease holder is unreachable. The
/// holder may still grant permits to nodes that reach it: together they grant at most 1.5 times the
/// limit.
/// @ingroup endpoint_limits
constexpr double kDeputyFraction = 0.5;

/// @brief Rejections that an endpoint tolerates are divided between the lease holder and its
/// deputy, who may both grant at one time.
/// @return Rejections that the granter may risk within `kRejectionWindow`.
/// @ingroup endpoint_limits
std::uint32_t RejectionShare(double rejections_per_second, bool is_holder);

/// @brief A node whose last message from the holder is older asks the holder's deputy.
/// @ingroup endpoint_limits
constexpr Duration kMaxHolderMessageAge{1'000};

/// @brief Spaces the requests of all nodes evenly according to each endpoint's limit, and grants
/// slots of endpoints that tolerate few rejections. Does no I/O; time is passed in.
///
/// A single node keeps the book, so the total does not grow with the fleet: within a time T at most
/// `limit` x T + 1 requests are permitted, even if one node takes over from another.
/// @ingroup endpoint_limits
class PermitBook {
 public:
  /// @param last_grant See SlotBook::SlotBook().
  explicit PermitBook(GrantId last_grant = 0) : slots_(last_grant) {}

  /// @brief Answers as the lease holder or its deputy. Not for requests with in-flight terms.
  PermitAnswer Ask(const PermitRequest& ask, const PermitBasis& basis, TimePoint now);

  /// @brief Answers by the work in flight at the endpoint. Any node may: the asking nodes agree on
  /// the granting node of an endpoint.
  PermitAnswer AskInFlight(EndpointKey endpoint, const InFlightTerms& terms, TimePoint now);

  /// @brief Answers by turns: the requests of all nodes to the endpoint are spaced by their
  /// intervals, in the order in which they ask. Any node may answer, like AskInFlight().
  PermitAnswer AskForTurn(EndpointKey endpoint, const SpacingTerms& terms, TimePoint now);

  /// @brief Records what became of a granted request.
  void Report(const SlotReport& report, TimePoint now) { slots_.Report(report, now); }

 private:
  void Trim(TimePoint now);

  std::map<EndpointKey, TimePoint> next_at_;  // earliest time of the next request per endpoint
  std::map<EndpointKey, TimePoint> next_turn_at_;
  SlotBook slots_;
  TimePoint trimmed_at_;
};

}  // namespace rudderloom

#endif
