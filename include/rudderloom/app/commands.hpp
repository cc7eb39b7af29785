/// @file
/// The operator commands of the rudderloom binary.
#ifndef RUDDERLOOM_APP_COMMANDS_HPP
#define RUDDERLOOM_APP_COMMANDS_HPP

#include <cstdint>   // for uint64_t
#include <optional>  // for optional
#include <string>    // for string

#include "rudderloom/base/clock.hpp"  // for Duration

namespace rudderloom {

/// @brief Exit statuses of all commands; documented in docs/OPERATORS.md.
/// @ingroup app
enum class ExitStatus {
  kOk = 0,
  kFailed = 1,       ///< A daemon aborted requests at its stop, or an unexpected error occurred.
  kFindings = 1,     ///< `check-configuration` found something.
  kInvalid = 2,      ///< Settings or declarations contain errors.
  kConflict = 3,     ///< Another change was made first.
  kUnreachable = 4,  ///< The daemon or the platform was unreachable; nothing was changed.
  kUnknown = 5,      ///< The outcome of the change is unknown; retry with its token.
  kBehind = 6,       ///< Accepted, but not in force everywhere within the wait time.
  kDiffers = 7,      ///< `diff` found differences.
  kUsage = 64,       ///< Invalid command line.
};

/// @brief Options shared by the operator commands.
/// @ingroup app
struct CommandOptions {
  std::string daemon;  ///< Peer address of any entry node.
  bool json = false;
  std::string author;
  std::string token;
  std::optional<std::uint64_t> generation;  ///< Expected; when empty, the one the daemon reports.
  bool wait = false;
  Duration wait_time{10'000};
};

ExitStatus CheckSettings(const std::string& file, bool json);
ExitStatus CheckDeclarations(const std::string& directory, bool json);

/// @brief Checks a configuration of the platform's interface offline, and compares it with the
/// version in force, if that file is given. Returns kFindings if there is any finding or
/// difference, and kInvalid if a file cannot be read.
ExitStatus CheckPlatformConfiguration(const std::string& file,
                                      const std::optional<std::string>& in_force,
                                      bool json);
ExitStatus Apply(const std::string& directory, const CommandOptions& options);
ExitStatus Drain(const std::string& endpoint, bool undo, const CommandOptions& options);
ExitStatus Get(const CommandOptions& options);
ExitStatus Diff(const std::string& directory, const CommandOptions& options);
ExitStatus Events(const CommandOptions& options);
ExitStatus PrintStatus(const CommandOptions& options);

}  // namespace rudderloom

#endif
