#include "rudderloom/fleet/holder_statement.hpp"

namespace rudderloom {

HolderDigest DigestFor(const HolderStatement& statement, const NodeCounts& asking, TimePoint now) {
  HolderDigest digest = statement.common;
  if (!digest.holds) {
    return digest;
  }
  digest.loads = statement.loads.Without(asking.node);
  digest.standby = statement.standbys.contains(asking.node);
  digest.serving = statement.serving->Since(asking.serving_seen);
  if (statement.endpoints_confirmed_at) {
    digest.endpoints = statement.endpoints->Since(asking.endpoints_seen);
    digest.endpoints_age = Between(*statement.endpoints_confirmed_at, now);
  }
  return digest;
}

}  // namespace rudderloom
