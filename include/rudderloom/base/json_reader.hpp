/// @file
/// Validating JSON reader: collects every error with its JSON path and continues reading.
#ifndef RUDDERLOOM_BASE_JSON_READER_HPP
#define RUDDERLOOM_BASE_JSON_READER_HPP

#include <boost/json.hpp>  // for value, object
#include <cstdint>         // for int64_t, uint64_t
#include <functional>      // for function
#include <optional>        // for optional
#include <set>             // for set
#include <string>          // for string
#include <string_view>     // for string_view
#include <variant>         // for variant
#include <vector>          // for vector

#include "rudderloom/base/clock.hpp"  // for Duration

namespace rudderloom {

/// @brief An error in a JSON document.
/// @ingroup base
struct JsonError {
  std::string path;  ///< JSON path, for example `/listeners/callers/port`; may carry a file name.
  std::string message;  ///< What is wrong, for example `70000 is not in 1..65535`.

  /// @brief `path: message`, as `rudderloom check` prints it.
  std::string Text() const { return path + ": " + message; }
  bool operator==(const JsonError&) const = default;
};

/// @brief All errors of one document, in reading order.
/// @ingroup base
using JsonErrors = std::vector<JsonError>;

/// @brief Parses text as a JSON object; a syntax error becomes one JsonError at `path`.
/// @ingroup base
std::variant<boost::json::object, JsonErrors> ParseJsonObject(std::string_view text,
                                                              const std::string& path);

/// @brief Longest time in settings and options: sums of several still fit into a TimePoint.
/// @ingroup base
inline constexpr Duration kMaxSettingTime = std::chrono::hours(100'000);

/// @brief Parses `"250ms"`, `"2.5s"`, `"10m"` or `"2h"`; empty when the unit or number is invalid.
/// @ingroup base
std::optional<Duration> ParseDuration(std::string_view text);

/// @brief Parses `"512B"`, `"64KiB"`, `"8MiB"` or `"14GiB"` into bytes; empty when invalid.
/// @ingroup base
std::optional<std::uint64_t> ParseSize(std::string_view text);

/// @brief Reads the members of one JSON object; `Finish` reports the unknown ones.
/// An absent member takes the given default; without a default it is an error.
/// @ingroup base
class ObjectReader {
 public:
  ObjectReader(const boost::json::object& object, std::string path, JsonErrors& errors);

  std::string String(std::string_view key, const std::optional<std::string>& fallback = {});
  std::int64_t Integer(std::string_view key,
                       std::int64_t min,
                       std::int64_t max,
                       std::optional<std::int64_t> fallback = {});
  double Number(std::string_view key, double min, double max, std::optional<double> fallback);
  bool Boolean(std::string_view key, bool fallback);
  Duration Time(std::string_view key, std::optional<Duration> fallback = {});
  std::uint64_t Size(std::string_view key, std::optional<std::uint64_t> fallback = {});
  std::vector<std::string> Strings(std::string_view key);

  /// @brief Reads a nested object; an absent one is read as empty when `optional`.
  void Object(std::string_view key, bool optional, const std::function<void(ObjectReader&)>& read);

  /// @brief Reads an array of objects; an absent one is empty.
  void Objects(std::string_view key, const std::function<void(ObjectReader&)>& read);

  /// @brief Adds an error for the member `key`.
  void Fail(std::string_view key, std::string message);

  /// @brief Reports every member that was never read. Called automatically for nested objects.
  void Finish();

  /// @brief JSON path of this object.
  const std::string& Path() const { return path_; }

 private:
  const boost::json::value* Find(std::string_view key, bool required);

  const boost::json::object& object_;
  std::string path_;
  JsonErrors& errors_;
  std::set<std::string, std::less<>> requested_keys_;
};

}  // namespace rudderloom

#endif
