/// @file
/// Values by key with the version of each change, for readers that lack only some of them.
#ifndef RUDDERLOOM_BASE_CHANGE_LOG_HPP
#define RUDDERLOOM_BASE_CHANGE_LOG_HPP

#include <algorithm>  // for max, min_element
#include <cstdint>    // for uint64_t
#include <limits>     // for numeric_limits
#include <map>        // for map
#include <string>     // for string
#include <utility>    // for pair
#include <vector>     // for vector

namespace rudderloom {

/// @brief What changed since some version.
/// @ingroup base
template <class Value>
struct Changes {
  std::uint64_t version = 0;                          ///< Everything up to it is told or known.
  bool whole = false;                                 ///< The values are all that there are.
  std::vector<std::pair<std::string, Value>> values;  ///< New or changed ones.
  std::vector<std::string> gone;                      ///< Keys that are there no more.
  bool operator==(const Changes&) const = default;
};

/// @brief Keeps the newest value of each key, and for a while which keys went. Pure.
///
/// Versions only rise, and two logs of the same source can be compared by theirs. A change counts
/// as being of the version up to which its source reaches when it is told: never of an older one
/// than its own.
/// @ingroup base
template <class Value>
class ChangeLog {
 public:
  /// @brief Takes one change; which version it is of is told by `Reached`.
  void Put(const std::string& key, const Value& value) {
    Entry& entry = entries_[key];
    if (entry.changed != 0 && entry.value == value) {
      return;
    }
    entry = {value, kUnsettled};
    gone_.erase(key);
  }

  void Erase(const std::string& key) {
    if (entries_.erase(key) > 0) {
      gone_[key] = kUnsettled;
    }
  }

  /// @brief Takes all values as of a version. What came and went since the last one isn't known.
  void Replace(const std::map<std::string, Value>& values, std::uint64_t version) {
    Update(values, version);
    gone_.clear();
    complete_since_ = version_;
  }

  /// @brief Takes all values as of a version, with nothing that came and went since the last one.
  void Update(const std::map<std::string, Value>& values, std::uint64_t version) {
    for (auto entry = entries_.begin(); entry != entries_.end();) {
      if (values.contains(entry->first)) {
        ++entry;
        continue;
      }
      gone_[entry->first] = kUnsettled;
      entry = entries_.erase(entry);
    }
    for (const auto& [key, value] : values) {
      Put(key, value);
    }
    Reached(version);
  }

  /// @brief All changes up to this version have been taken.
  void Reached(std::uint64_t version) {
    version_ = std::max(version_, version);
    for (auto& [key, entry] : entries_) {
      entry.changed = entry.changed == kUnsettled ? version_ : entry.changed;
    }
    for (auto& [key, changed] : gone_) {
      changed = changed == kUnsettled ? version_ : changed;
    }
    ForgetOldest();
  }

  /// @brief Takes what another log of the same source told; false when this one is not older.
  bool Apply(const Changes<Value>& changes) {
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

  /// @brief Up to which the values are known; 0 before the first ones.
  std::uint64_t Version() const { return version_; }

  /// @brief What a log at version `seen` lacks.
  Changes<Value> Since(std::uint64_t seen) const {
    Changes<Value> changes;
    changes.version = version_;
    if (seen >= version_) {
      return changes;
    }
    changes.whole = seen < complete_since_;
    for (const auto& [key, entry] : entries_) {
      if (changes.whole || entry.changed > seen) {
        changes.values.emplace_back(key, entry.value);
      }
    }
    for (const auto& [key, changed] : gone_) {
      if (!changes.whole && changed > seen) {
        changes.gone.push_back(key);
      }
    }
    return changes;
  }

  /// @brief The value of a key; null when there is none.
  const Value* Find(const std::string& key) const {
    const auto found = entries_.find(key);
    return found == entries_.end() ? nullptr : &found->second.value;
  }

  /// @brief All values, by key.
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
  // Of a change whose version is not told yet.
  static constexpr std::uint64_t kUnsettled = std::numeric_limits<std::uint64_t>::max();
  static constexpr std::size_t kGoneKept = 256;

  struct Entry {
    Value value;
    std::uint64_t changed = 0;
  };

  void ForgetOldest() {
    while (gone_.size() > kGoneKept) {
      const auto oldest = std::min_element(
          gone_.begin(), gone_.end(),
          [](const auto& left, const auto& right) { return left.second < right.second; });
      complete_since_ = std::max(complete_since_, oldest->second);
      gone_.erase(oldest);
    }
  }

  std::map<std::string, Entry> entries_;
  std::map<std::string, std::uint64_t> gone_;  // when each went
  std::uint64_t version_ = 0;
  std::uint64_t complete_since_ = 0;  // what went before is not remembered
};

}  // namespace rudderloom

#endif
