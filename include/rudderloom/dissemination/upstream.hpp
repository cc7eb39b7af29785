/// @file
/// Whom a node tells its counts and hears the holder's word from.
#ifndef RUDDERLOOM_DISSEMINATION_UPSTREAM_HPP
#define RUDDERLOOM_DISSEMINATION_UPSTREAM_HPP

#include <cstdint>   // for uint64_t
#include <map>       // for map
#include <optional>  // for optional
#include <string>    // for string
#include <vector>    // for vector

#include "rudderloom/dissemination/digest.hpp"  // for HolderDigest

namespace rudderloom {

/// @brief Decides whom to report to: the holder, the relay that the holder has named, or, when
/// neither has a word, one of the standbys by turns. Pure; time is passed in.
///
/// All of this is learned from answers: the store is asked for the holder only at the start and,
/// seldom, in case all others are gone.
/// @ingroup dissemination
class Upstream {
 public:
  /// @param self Address where this node hears others.
  explicit Upstream(std::string self) : self_(std::move(self)) {}

  /// @brief The lease's object names this holder.
  void HolderSeen(const std::string& address, std::uint64_t epoch);

  /// @brief The node at `from` answered a report; true when its word counts: it is the holder's
  /// own, or that of this node's relay. A standby that relays for others has no newer word.
  bool Answered(const std::string& from, const HolderDigest& digest, TimePoint now);

  /// @brief The node at `from` did not answer a report.
  void Failed(const std::string& from, TimePoint now);

  /// @brief Whom to report to; empty: nobody is known, or this node is the holder.
  std::string Address() const;

  /// @brief Address of the holder, as far as this node knows; empty before it has heard of one.
  const std::string& Holder() const { return holder_; }

  /// @brief Under which the holder is known to hold the lease.
  std::uint64_t Epoch() const { return epoch_; }

  /// @brief Address of the relay that this node reports to; empty for none.
  const std::string& Relay() const { return relay_; }

  /// @brief Relays that lately gave no answer, or none of use.
  std::vector<std::string> AvoidedRelays(TimePoint now);

 private:
  void TakeHolder(const std::string& address, std::uint64_t epoch);
  void TakeWord(const std::string& from, const HolderDigest& digest);
  void LeaveRelay(TimePoint now);
  void TryNext();

  std::string self_;
  std::string holder_;
  std::uint64_t epoch_ = 0;  // that the holder is known to hold the lease under
  std::string relay_;        // empty: none
  std::string tried_;        // a standby asked in place of the holder; empty: none
  std::vector<std::string> standbys_;
  std::size_t next_standby_ = 0;
  std::map<std::string, TimePoint> avoided_;  // until when
};

}  // namespace rudderloom

#endif
