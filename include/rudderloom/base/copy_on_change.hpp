/// @file
/// A value that one thread changes while other threads read immutable copies.
#ifndef RUDDERLOOM_BASE_COPY_ON_CHANGE_HPP
#define RUDDERLOOM_BASE_COPY_ON_CHANGE_HPP

#include <memory>  // for shared_ptr

namespace rudderloom {

/// @brief Returns immutable copies, shared by all readers until the value changes.
/// @ingroup base
template <class Value>
class CopyOnChange {
 public:
  const Value& Get() const { return value_; }

  /// @brief Returns the value for modification and discards the shared copy.
  Value& Change() {
    copy_.reset();
    return value_;
  }

  /// @brief Returns a copy of the current value, created on first use after a change.
  std::shared_ptr<const Value> Copy() {
    if (!copy_) {
      copy_ = std::make_shared<const Value>(value_);
    }
    return copy_;
  }

 private:
  Value value_;
  std::shared_ptr<const Value> copy_;
};

}  // namespace rudderloom

#endif
