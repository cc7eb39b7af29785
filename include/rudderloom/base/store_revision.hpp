/// @file
/// A point in the history of the platform's store.
#ifndef RUDDERLOOM_BASE_STORE_REVISION_HPP
#define RUDDERLOOM_BASE_STORE_REVISION_HPP

#include <cstdint>  // for uint64_t
#include <string>   // for string

namespace rudderloom {

/// @brief A revision together with the era that it was given out in.
///
/// Revisions rise with each change, but a store that comes back from an older copy gives some of
/// them out again, for other changes. Its era rises each time: whatever it says in a later era is
/// newer than anything that it said before.
/// @ingroup base
class StoreRevision {
 public:
  constexpr StoreRevision() = default;
  constexpr StoreRevision(std::uint64_t era, std::uint64_t number) : era_(era), number_(number) {}

  /// @brief 0 where the store doesn't tell it.
  constexpr std::uint64_t Era() const { return era_; }

  /// @brief As the store gives it out; 0 for what isn't there.
  constexpr std::uint64_t Number() const { return number_; }

  constexpr bool operator==(const StoreRevision&) const = default;
  constexpr bool operator<(const StoreRevision& other) const {
    return era_ != other.era_ ? era_ < other.era_ : number_ < other.number_;
  }
  constexpr bool operator>(const StoreRevision& other) const { return other < *this; }
  constexpr bool operator<=(const StoreRevision& other) const { return !(other < *this); }
  constexpr bool operator>=(const StoreRevision& other) const { return !(*this < other); }

 private:
  std::uint64_t era_ = 0;
  std::uint64_t number_ = 0;
};

/// @brief For logs.
/// @ingroup base
inline std::string TextOf(const StoreRevision& revision) {
  return std::to_string(revision.Era()) + "." + std::to_string(revision.Number());
}

}  // namespace rudderloom

#endif
