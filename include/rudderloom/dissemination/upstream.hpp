/// @file
/// Selects the node to which load reports are sent and from which digests are received.
#ifndef RUDDERLOOM_DISSEMINATION_UPSTREAM_HPP
#define RUDDERLOOM_DISSEMINATION_UPSTREAM_HPP

#include <cstdint>   // for uint64_t
#include <map>       // for map
#include <optional>  // for optional
#include <string>    // for string
#include <vector>    // for vector

#include "rudderloom/dissemination/digest.hpp"  // for HolderDigest

namespace rudderloom {

/// @brief Selects the node to report to: the holder, the relay that the holder has assigned, or, if
/// neither has a digest, the standbys in rotation. Does no I/O; time is passed in.
///
/// All of this is learned from the answers. The store is asked for the holder only at the start and
/// at long intervals, in case all other known nodes are gone.
/// @ingroup dissemination
class Upstream {
 public:
  /// @param self Address on which this node listens for its peers.
  explicit Upstream(std::string self) : self_(std::move(self)) {}

  /// @brief Records the holder named in the lease object of the store.
  void ObserveHolder(const std::string& address, std::uint64_t epoch);

  /// @brief Handles the answer of the node at `from` to a report. Returns true if the digest is
  /// valid: sent by the holder itself or by this node's relay. A standby that is a relay for others
  /// has no newer digest.
  bool HandleAnswer(const std::string& from, const HolderDigest& digest, TimePoint now);

  /// @brief Handles a report that the node at `from` did not answer.
  void HandleFailure(const std::string& from, TimePoint now);

  /// @brief Returns the address to report to; empty if none is known or this node is the holder.
  std::string Address() const;

  /// @brief Returns the last known address of the holder; empty before the first.
  const std::string& Holder() const { return holder_; }

  /// @brief Returns the last known epoch of the lease.
  std::uint64_t Epoch() const { return epoch_; }

  /// @brief Returns the address of the relay that this node reports to; empty for none.
  const std::string& Relay() const { return relay_; }

  /// @brief Returns the relays that recently gave no answer or no valid digest.
  std::vector<std::string> AvoidedRelays(TimePoint now);

 private:
  void UpdateHolder(const std::string& address, std::uint64_t epoch);
  void UseDigest(const std::string& from, const HolderDigest& digest);
  void DropRelay(TimePoint now);
  void TryNextCandidate();

  std::string self_;
  std::string holder_;
  std::uint64_t epoch_ = 0;  // last known epoch of the lease
  std::string relay_;        // empty: none
  std::string candidate_;    // standby asked in place of the holder; empty: none
  std::vector<std::string> standbys_;
  std::size_t next_turn_ = 0;
  std::map<std::string, TimePoint> avoided_until_;  // by address, until this time
};

}  // namespace rudderloom

#endif
