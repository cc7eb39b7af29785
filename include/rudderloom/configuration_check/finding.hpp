/// @file
/// Findings of a configuration check and their output forms.
#ifndef RUDDERLOOM_CONFIGURATION_CHECK_FINDING_HPP
#define RUDDERLOOM_CONFIGURATION_CHECK_FINDING_HPP

#include <boost/json.hpp>  // for object
#include <string>          // for string
#include <string_view>     // for string_view
#include <vector>          // for vector

namespace rudderloom {

/// @brief How serious a finding is.
/// @ingroup configuration_check
enum class FindingSeverity {
  kError,    ///< The configuration is refused, or the entry cannot work as written.
  kWarning,  ///< It works, but probably not as intended.
  kChange,   ///< A difference from the version in force.
};

/// @brief Returns the name used in output.
/// @ingroup configuration_check
std::string_view NameOf(FindingSeverity severity);

/// @brief One result of a configuration check. Contains no API keys.
/// @ingroup configuration_check
struct Finding {
  FindingSeverity severity = FindingSeverity::kError;
  std::string place;  ///< JSON path or the entry's kind and name, for example `route "r1"`.
  std::string message;
  bool operator==(const Finding&) const = default;
};

/// @brief All findings of a check, in reading order.
/// @ingroup configuration_check
using Findings = std::vector<Finding>;

/// @brief Appends findings to others.
/// @ingroup configuration_check
void Append(Findings& findings, Findings more);

/// @brief Returns one line per finding: severity, place and message. Control characters, which
/// names in the configuration may contain, are replaced.
/// @ingroup configuration_check
std::string ToText(const Findings& findings);

/// @brief Returns the findings and their number by severity.
/// @ingroup configuration_check
boost::json::object ToJson(const Findings& findings);

}  // namespace rudderloom

#endif
