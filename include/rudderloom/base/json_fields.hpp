/// @file
/// Lenient access to JSON written by other processes: absent or invalid members read as empty.
/// Settings and declarations must be validated; json_reader.hpp does that.
#ifndef RUDDERLOOM_BASE_JSON_FIELDS_HPP
#define RUDDERLOOM_BASE_JSON_FIELDS_HPP

#include <boost/json.hpp>  // for object
#include <cstdint>         // for uint64_t
#include <string>          // for string
#include <string_view>     // for string_view

namespace rudderloom {

/// @brief Returns a string member; empty when it is absent or not a string.
/// @ingroup base
inline std::string TextAt(const boost::json::object& object, std::string_view key) {
  const boost::json::value* found = object.if_contains({key.data(), key.size()});
  return found != nullptr && found->is_string() ? std::string(found->as_string()) : "";
}

/// @brief Returns a non-negative integer member; 0 when it is absent or invalid.
/// @ingroup base
inline std::uint64_t NumberAt(const boost::json::object& object, std::string_view key) {
  const boost::json::value* found = object.if_contains({key.data(), key.size()});
  if (found == nullptr || !found->is_number()) {
    return 0;
  }
  boost::json::error_code error;
  const auto number = found->to_number<std::uint64_t>(error);
  return error ? 0 : number;
}

/// @brief Returns a boolean member; false when it is absent or not a boolean.
/// @ingroup base
inline bool FlagAt(const boost::json::object& object, std::string_view key) {
  const boost::json::value* found = object.if_contains({key.data(), key.size()});
  return found != nullptr && found->is_bool() && found->as_bool();
}

}  // namespace rudderloom

#endif
