// The platform's one object of the placement lease, written on condition of its version.
#ifndef RUDDERLOOM_TESTS_FAKES_LEASE_OBJECT_HPP
#define RUDDERLOOM_TESTS_FAKES_LEASE_OBJECT_HPP

#include <optional>  // for optional
#include <string>    // for string

#include "rudderloom/placement/lease_keeper.hpp"  // for LeaseRecord, LeaseWrite

namespace rudderloom::fakes {

struct LeaseObject {
  std::optional<LeaseRecord> record;
  std::uint64_t revision = 0;

  std::string Version() const { return record ? std::to_string(revision) : "0"; }

  // False when the write was made for another version.
  bool Put(const LeaseWrite& write) {
    if (write.version != Version()) {
      return false;
    }
    record = write.record;
    ++revision;
    return true;
  }
};

}  // namespace rudderloom::fakes

#endif
