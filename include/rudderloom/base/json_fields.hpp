/// @file
/// Lenient reading of JSON that other processes wrote: what is absent or odd reads as empty.
/// For settings and declarations, which must be checked, see json_reader.hpp.
#ifndef RUDDERLOOM_BASE_JSON_FIELDS_HPP
#define RUDDERLOOM_BASE_JSON_FIELDS_HPP

#include <boost/json.hpp>  // for object
#include <cstdint>         // for uint64_t
#include <string>          // for string
#include <string_view>     // for string_view

namespace rudderloom {

/// @brief A string member; empty when there is none.
/// @ingroup base
inline std::string TextAt(const boost::json::object& object, std::string_view key) {
  const boost::json::value* found = object.if_contains({key.data(), key.size()});
  return found != nullptr && found->is_string() ? std::string(found->as_string()) : "";
}

/// @brief A whole number member that is not negative; 0 when there is none.
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

/// @brief A true or false member; false when there is none.
/// @ingroup base
inline bool FlagAt(const boost::json::object& object, std::string_view key) {
  const boost::json::value* found = object.if_contains({key.data(), key.size()});
  return found != nullptr && found->is_bool() && found->as_bool();
}

}  // namespace rudderloom

#endif
