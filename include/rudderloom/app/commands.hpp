/// @file
/// The operators' commands of the one binary.
#ifndef RUDDERLOOM_APP_COMMANDS_HPP
#define RUDDERLOOM_APP_COMMANDS_HPP

#include <cstdint>   // for uint64_t
#include <optional>  // for optional
#include <string>    // for string

#include "rudderloom/base/clock.hpp"  // for Duration

namespace rudderloom {

/// @brief Exit statuses of all commands; also in docs/OPERATORS.md.
/// @ingroup app
enum class ExitStatus {
  kOk = 0,
  kFailed = 1,       ///< A daemon had to cut requests at its stop, or something unforeseen.
  kInvalid = 2,      ///< Settings or declarations have mistakes.
  kConflict = 3,     ///< Another change came first.
  kUnreachable = 4,  ///< The daemon or the platform was not reached; nothing was changed.
  kUnknown = 5,      ///< Nobody knows whether the change was made; ask again with its token.
  kBehind = 6,       ///< Accepted, but not in force everywhere within the time given.
  kDiffers = 7,      ///< `diff` found differences.
  kUsage = 64,       ///< The command line makes no sense.
};

/// @brief What the operators' commands have in common.
/// @ingroup app
struct CommandOptions {
  std::string daemon;  ///< Peers' address of any entry node.
  bool json = false;
  std::string author;
  std::string token;
  std::optional<std::uint64_t> generation;  ///< Expected; empty: as the daemon knows it.
  bool wait = false;
  Duration wait_time{10'000};
};

ExitStatus CheckSettings(const std::string& file, bool json);
ExitStatus CheckDeclarations(const std::string& directory, bool json);
ExitStatus Apply(const std::string& directory, const CommandOptions& options);
ExitStatus Drain(const std::string& endpoint, bool undo, const CommandOptions& options);
ExitStatus Get(const CommandOptions& options);
ExitStatus Diff(const std::string& directory, const CommandOptions& options);
ExitStatus Events(const CommandOptions& options);
ExitStatus PrintStatus(const CommandOptions& options);

}  // namespace rudderloom

#endif
