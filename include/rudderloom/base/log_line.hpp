/// @file
/// One log line of key=value pairs for each event, written through glog.
#ifndef RUDDERLOOM_BASE_LOG_LINE_HPP
#define RUDDERLOOM_BASE_LOG_LINE_HPP

#include <cstdint>      // for int64_t
#include <string>       // for string
#include <string_view>  // for string_view
#include <type_traits>  // for is_integral_v

namespace rudderloom {

/// @brief How much attention a log line asks for.
/// @ingroup base
enum class Severity { kInfo, kWarning, kError };

/// @brief Collects the pairs of one event and writes them when it goes out of scope.
/// Values with blanks, quotes or equals signs are quoted. Never pass prompt text or secrets.
/// @ingroup base
class LogLine {
 public:
  explicit LogLine(std::string_view event, Severity severity = Severity::kInfo);
  LogLine(const LogLine&) = delete;
  LogLine& operator=(const LogLine&) = delete;
  ~LogLine();

  /// @brief Adds one pair.
  LogLine& With(std::string_view key, std::string_view value);

  /// @brief Adds one pair with a whole number.
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

/// @brief Sends glog's output to standard error with the given program name.
/// @ingroup base
void StartLogging(const char* program);

}  // namespace rudderloom

#endif
