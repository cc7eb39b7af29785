/// @file
/// Key-value map that records the version of each change, for incremental replication.
#ifndef RUDDERLOOM_BASE_CHANGE_LOG_HPP
#define RUDDERLOOM_BASE_CHANGE_LOG_HPP

#include <algorithm>  // for max, min_element
#include <cstdint>    // for uint64_t
#include <map>        // for map
#include <optional>   // for optional
#include <string>     // for string
#include <utility>    // for pair
#include <vector>     // for vector

namespace rudderloom {

/// @brief The changes since a version.
/// @ingroup base
template <class Value, class VersionType = std::uint64_t>
struct Changes {
  VersionType version{};  ///< All changes up to it are included or already known.
  bool whole = false;     ///< `values` is the complete set, not a difference.
  std::vector<std::pair<std::string, Value>> values;  ///< New or changed values.
  std::vector<std::string> gone;                      ///< Keys that were removed.
  bool operator==(const Changes&) const = default;
};

/// @brief Keeps the latest value of each key and a bounded number of removed keys. Performs no I/O.
///
/// Versions only increase, and logs of the same source can be compared by version. A change is
/// assigned the version that its source reports as reached after it, which is never older than the
/// version of the change itself.
/// @ingroup base
template <class Value, class VersionType = std::uint64_t>
class ChangeLog {
 public:
  /// @brief Applies one change, which gets its version at the next `Reached`.
  void Put(const std::string& key, const Value& value) {
    const auto [found, added] = entries_.try_emplace(key);
    if (!added && found->second.value == value) {
      return;
    }
    found->second = {value, std::nullopt};
    removed_.erase(key);
  }

  void Erase(const std::string& key) {
    if (entries_.erase(key) > 0) {
      removed_[key] = std::nullopt;
    }
  }

  /// @brief Replaces all values by those of a version. Keys added and removed in between are
  /// unknown.
  void Replace(const std::map<std::string, Value>& values, const VersionType& version) {
    Update(values, version);
    removed_.clear();
    complete_since_ = version_;
  }

  /// @brief Like Replace, when no key was both added and removed since the last version.
  void Update(const std::map<std::string, Value>& values, const VersionType& version) {
    for (auto entry = entries_.begin(); entry != entries_.end();) {
      if (values.contains(entry->first)) {
        ++entry;
        continue;
      }
      removed_[entry->first] = std::nullopt;
      entry = entries_.erase(entry);
    }
    for (const auto& [key, value] : values) {
      Put(key, value);
    }
    Reached(version);
  }

  /// @brief Declares that all changes up to this version have been applied.
  void Reached(const VersionType& version) {
    version_ = std::max(version_, version);
    for (auto& [key, entry] : entries_) {
      entry.changed = entry.changed.value_or(version_);
    }
    for (auto& [key, changed] : removed_) {
      changed = changed.value_or(version_);
    }
    TrimRemoved();
  }

  /// @brief Applies another log's changes; false when this log is not older. Both must share a
  /// source.
  bool Apply(const Changes<Value, VersionType>& changes) {
    if (changes.version <= version_) {
      return false;
    }
    if (changes.whole) {
      Replace({changes.values.begin(), changes.values.end()}, changes.version);
      return true;
    }
    for (const auto& [key, value] : changes.values) {
      Put(key, value);
    }
    for (const std::string& key : changes.gone) {
      Erase(key);
    }
    Reached(changes.version);
    return true;
  }

  /// @brief The version up to which the values are known; default-constructed before the first.
  const VersionType& Version() const { return version_; }

  /// @brief Returns the changes that a log at version `seen` is missing.
  Changes<Value, VersionType> Since(const VersionType& seen) const {
    Changes<Value, VersionType> changes;
    changes.version = version_;
    if (seen >= version_) {
      return changes;
    }
    changes.whole = seen < complete_since_;
    for (const auto& [key, entry] : entries_) {
      if (changes.whole || IsAfter(entry.changed, seen)) {
        changes.values.emplace_back(key, entry.value);
      }
    }
    for (const auto& [key, changed] : removed_) {
      if (!changes.whole && IsAfter(changed, seen)) {
        changes.gone.push_back(key);
      }
    }
    return changes;
  }

  /// @brief Returns the value of a key; null when there is none.
  const Value* Find(const std::string& key) const {
    const auto found = entries_.find(key);
    return found == entries_.end() ? nullptr : &found->second.value;
  }

  /// @brief Returns all values, ordered by key.
  std::vector<Value> Values() const {
    std::vector<Value> values;
    values.reserve(entries_.size());
    for (const auto& [key, entry] : entries_) {
      values.push_back(entry.value);
    }
    return values;
  }

  std::size_t Size() const { return entries_.size(); }

 private:
  // Empty while the version of a change is unknown: it counts as newer than any version.
  using ChangeVersion = std::optional<VersionType>;
  static constexpr std::size_t kMaxRemovedKept = 256;

  struct Entry {
    Value value;
    ChangeVersion changed;
  };

  static bool IsAfter(const ChangeVersion& changed, const VersionType& seen) {
    return !changed || *changed > seen;
  }

  void TrimRemoved() {
    while (removed_.size() > kMaxRemovedKept) {
      const auto oldest = std::min_element(
          removed_.begin(), removed_.end(),
          [](const auto& left, const auto& right) { return left.second < right.second; });
      complete_since_ = std::max(complete_since_, oldest->second.value_or(version_));
      removed_.erase(oldest);
    }
  }

  std::map<std::string, Entry> entries_;
  std::map<std::string, ChangeVersion> removed_;  // the version of each removal
  VersionType version_{};
  VersionType complete_since_{};  // removals before it are no longer recorded
};

}  // namespace rudderloom

#endif
