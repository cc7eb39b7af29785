// The placement lease object of the platform, written conditionally on its version.
#ifndef RUDDERLOOM_TESTS_FAKES_LEASE_OBJECT_HPP
#define RUDDERLOOM_TESTS_FAKES_LEASE_OBJECT_HPP

#include <optional>  // for optional

#include "rudderloom/placement/lease_keeper.hpp"  // for LeaseRecord, LeaseWrite

namespace rudderloom::fakes {

struct LeaseObject {
  std::optional<LeaseRecord> record;
  std::uint64_t revision = 0;
  std::uint64_t era = 0;

  StoreRevision Version() const { return {era, record ? revision : 0}; }

  /// @brief Applies the write; returns false if it was made for another version.
  bool Put(const LeaseWrite& write) {
    if (write.version.Number() != Version().Number()) {
      return false;
    }
    record = write.record;
    ++revision;
    return true;
  }
};

/// @brief Runs one step of a keeper whose calls all succeed.
inline void Step(LeaseKeeper& keeper, LeaseObject& store, TimePoint now) {
  keeper.ApplyRead(store.record, store.Version(), true, now);
  if (auto write = keeper.NextWrite(now)) {
    if (store.Put(*write)) {
      keeper.OnWriteSucceeded(store.Version(), now);
    } else {
      keeper.WriteFailed();
    }
  }
}

}  // namespace rudderloom::fakes

#endif
