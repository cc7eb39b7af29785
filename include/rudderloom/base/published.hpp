/// @file
/// A value that one thread changes while others read copies of it.
#ifndef RUDDERLOOM_BASE_PUBLISHED_HPP
#define RUDDERLOOM_BASE_PUBLISHED_HPP

#include <memory>  // for shared_ptr

namespace rudderloom {

/// @brief Hands out immutable copies, one for all readers until the value changes.
/// @ingroup base
template <class Value>
class Published {
 public:
  const Value& Get() const { return value_; }

  /// @brief The value, to be changed.
  Value& Change() {
    copy_.reset();
    return value_;
  }

  /// @brief The value as it is now.
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
