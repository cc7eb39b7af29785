/// @file
/// Detects whether this node has lost its links to the endpoints.
#ifndef RUDDERLOOM_FORWARDING_ENDPOINT_REACH_HPP
#define RUDDERLOOM_FORWARDING_ENDPOINT_REACH_HPP

#include <cstdint>  // for uint32_t
#include <map>      // for map
#include <set>      // for set
#include <string>   // for string

#include "rudderloom/base/clock.hpp"  // for TimePoint

namespace rudderloom {

/// @brief Distinguishes lost links of this node from endpoints that have failed. Does no I/O; time
/// is passed in.
///
/// A node whose links are cut fails at one endpoint after the other, and reaches none in between.
/// Only new connections show this: open ones may go on while new ones are refused. Endpoints that
/// have crashed one after another look the same, so others are probed before the node takes itself
/// for cut off.
///
/// Taking a failed endpoint for a lost link costs one request to a peer; the reverse costs callers
/// their answers.
/// @ingroup forwarding
class EndpointReach {
 public:
  /// @brief Records that a new connection to the endpoint has carried an answer.
  void Reached(const std::string& instance, TimePoint now);

  /// @brief Records that a connection to the endpoint could not be opened, or that a probe got no
  /// answer. A connection that ends during a request does not count: endpoints lose answers too.
  /// @param endpoint_count Number of endpoints that are known.
  /// @return True if the node may be cut off from all endpoints: others must be probed now, and
  /// then ConfirmCutOff() called.
  bool Failed(const std::string& instance, std::size_t endpoint_count, TimePoint now);

  /// @brief The probes after Failed() are over. Returns true if no endpoint was reached meanwhile;
  /// the node is cut off then.
  bool ConfirmCutOff();

  /// @brief Returns true if the endpoint is one of those that failed since one was last reached.
  bool FailedInARow(const std::string& instance) const {
    return failed_in_a_row_.contains(instance);
  }

  /// @brief True while this node is cut off from all endpoints.
  bool CutOff() const { return state_ == State::kCutOff; }

  /// @brief True if requests for the endpoint must go through another node.
  bool NeedsGateway(const std::string& instance, TimePoint now) const;

  /// @brief True if requests for any endpoint may have to go through another node.
  bool NeedsGateways(TimePoint now) const;

  /// @brief Records that another node could not reach the endpoint either.
  void GatewayFailed(const std::string& instance, TimePoint now);

  /// @brief True if other endpoints should be probed, to tell a failed endpoint from a lost link.
  /// Then it returns false for a while.
  bool TakeVerificationDue(TimePoint now);

  /// @brief True if an endpoint whose connection broke should be probed. Then it returns false for
  /// a while.
  bool TakeProbeDue(TimePoint now);

  /// @brief True if an endpoint was reached after `moment`.
  bool ReachedSince(TimePoint moment) const { return reached_at_ > moment; }

  /// @brief Drops endpoints that have not failed lately.
  void Trim(TimePoint now);

 private:
  enum class State { kReaching, kSuspected, kCutOff };

  struct Failures {
    std::uint32_t consecutive = 0;
    TimePoint last_at;
    TimePoint gateways_fail_until;
  };

  bool TakeDue(TimePoint& last_at, TimePoint now) const;
  static bool FailsRepeatedly(const Failures& failures, TimePoint now);

  std::map<std::string, Failures> failures_;  // by instance
  // Instances that failed since an endpoint was last reached.
  std::map<std::string, TimePoint> failed_in_a_row_;
  State state_ = State::kReaching;
  TimePoint reached_at_;
  TimePoint verified_at_;
  TimePoint probed_at_;
};

}  // namespace rudderloom

#endif
