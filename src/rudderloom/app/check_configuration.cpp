// The check-configuration command.
#include <iostream>  // for cout
#include <optional>  // for optional

#include "app/output.hpp"                                          // for PrintFailure
#include "platform/configuration_check.hpp"                        // for ReadConfigurationText
#include "rudderloom/app/commands.hpp"                             // for ExitStatus
#include "rudderloom/configuration_check/configuration_check.hpp"  // for CheckConfiguration
#include "rudderloom/settings/settings.hpp"                        // for ReadFile

namespace rudderloom {

namespace {

using platform::CheckedConfiguration;
using platform::UnreadableConfiguration;

// Prints why a file cannot be read.
std::optional<CheckedConfiguration> ReadConfigurationFile(const std::string& file, bool json) {
  const auto text = ReadFile(file);
  if (const auto* errors = std::get_if<JsonErrors>(&text)) {
    PrintErrors(*errors, json);
    return std::nullopt;
  }
  auto reading = platform::ReadConfigurationText(std::get<std::string>(text));
  if (const auto* unreadable = std::get_if<UnreadableConfiguration>(&reading)) {
    PrintErrors({{file, unreadable->message}}, json);
    return std::nullopt;
  }
  return std::get<CheckedConfiguration>(std::move(reading));
}

}  // namespace

ExitStatus CheckPlatformConfiguration(const std::string& file,
                                      const std::optional<std::string>& in_force,
                                      bool json) {
  auto candidate = ReadConfigurationFile(file, json);
  if (!candidate) {
    return ExitStatus::kInvalid;
  }
  Findings findings = std::move(candidate->findings);
  if (candidate->table) {
    Append(findings, CheckConfiguration(*candidate->table));
  }
  if (in_force) {
    const auto current = ReadConfigurationFile(*in_force, json);
    if (!current) {
      return ExitStatus::kInvalid;
    }
    if (!current->table) {
      PrintErrors({{*in_force, "nodes refuse it, so it is not in force"}}, json);
      return ExitStatus::kInvalid;
    }
    if (candidate->table) {
      Append(findings, CompareConfigurations(*current->table, *candidate->table));
    }
  }
  if (json) {
    std::cout << boost::json::serialize(ToJson(findings)) << "\n";
  } else {
    std::cout << ToText(findings);
  }
  return findings.empty() ? ExitStatus::kOk : ExitStatus::kFindings;
}

}  // namespace rudderloom
