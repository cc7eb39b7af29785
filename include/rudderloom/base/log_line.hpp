/// @file
/// Structured logging: one line of key=value pairs per event, written through glog.
#ifndef RUDDERLOOM_BASE_LOG_LINE_HPP
#define RUDDERLOOM_BASE_LOG_LINE_HPP

#include <cstdint>      // for int64_t
#include <string>       // for string
#include <string_view>  // for string_view
#include <type_traits>  // for is_integral_v

namespace rudderloom {

/// @brief Severity of a log line.
/// @ingroup base
enum class Severity { kInfo, kWarning, kError };

/// @brief Collects the key=value pairs of one event and writes them on destruction.
/// Empty values and those with whitespace, quotes, equals signs or backslashes are quoted.
/// Never pass prompt text or secrets.
/// @ingroup base
class LogLine {
 public:
  explicit LogLine(std::string_view event, Severity severity = Severity::kInfo);
  LogLine(const LogLine&) = delete;
  LogLine& operator=(const LogLine&) = delete;
  ~LogLine();

  /// @brief Adds one pair.
  LogLine& With(std::string_view key, std::string_view value);

  /// @brief Adds one pair with an integer value.
  template <class Number>
  requires std::is_integral_v<Number> LogLine& With(std::string_view key, Number value) {
    return With(key, std::to_string(value));
  }

  /// @brief The line so far, for tests.
  const std::string& Text() const { return text_; }

 private:
  std::string text_;
  Severity severity_;
};

/// @brief Initializes glog with the given program name and directs its output to standard error.
/// @ingroup base
void StartLogging(const char* program);

}  // namespace rudderloom

#endif
