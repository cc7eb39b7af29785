/// @file
/// Revision of the platform's store, ordered across restores.
#ifndef RUDDERLOOM_BASE_STORE_REVISION_HPP
#define RUDDERLOOM_BASE_STORE_REVISION_HPP

#include <cstdint>  // for uint64_t
#include <string>   // for string

namespace rudderloom {

/// @brief A revision number together with the era in which the store issued it.
///
/// Revision numbers increase with each change, but a store restored from an older backup issues
/// some of them again for other changes. Each restore increases the era, so every revision of a
/// later era is newer than all revisions of earlier ones.
/// @ingroup base
class StoreRevision {
 public:
  constexpr StoreRevision() = default;
  constexpr StoreRevision(std::uint64_t era, std::uint64_t number) : era_(era), number_(number) {}

  /// @brief 0 if the store does not report one.
  constexpr std::uint64_t Era() const { return era_; }

  /// @brief The number issued by the store; 0 for an entry that does not exist.
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

/// @brief Formats a revision as `era.number`, for logs.
/// @ingroup base
inline std::string TextOf(const StoreRevision& revision) {
  return std::to_string(revision.Era()) + "." + std::to_string(revision.Number());
}

}  // namespace rudderloom

#endif
