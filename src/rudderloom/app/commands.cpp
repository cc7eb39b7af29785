#include "rudderloom/app/commands.hpp"

#include <algorithm>   // for sort
#include <chrono>      // for system_clock
#include <ctime>       // for gmtime_r, strftime
#include <filesystem>  // for directory_iterator
#include <iostream>    // for cout, cerr
#include <random>      // for random_device

#include "app/operator_client.hpp"              // for OperatorClient
#include "app/output.hpp"                       // for Print
#include "app/wait.hpp"                         // for BlockFor
#include "rudderloom/fleet/fleet_settings.hpp"  // for ParseFleetSettings
#include "rudderloom/settings/settings.hpp"     // for ParseSettings

namespace rudderloom {

namespace json = boost::json;
namespace fs = std::filesystem;

namespace {

constexpr Duration kWaitPollInterval{100};

std::string NewToken() {
  std::random_device device;
  return "change-" + std::to_string(device()) + std::to_string(device());
}

std::variant<std::vector<DeclarationFile>, JsonErrors> ReadDirectory(const std::string& directory) {
  std::error_code error;
  std::vector<std::string> paths;
  for (const auto& entry : fs::directory_iterator(directory, error)) {
    if (entry.path().extension() == ".json") {
      paths.push_back(entry.path().string());
    }
  }
  if (error) {
    return JsonErrors{{directory, error.message()}};
  }
  if (paths.empty()) {
    return JsonErrors{{directory, "has no .json files"}};
  }
  std::sort(paths.begin(), paths.end());
  std::vector<DeclarationFile> files;
  for (const std::string& path : paths) {
    auto text = ReadFile(path);
    if (auto* errors = std::get_if<JsonErrors>(&text)) {
      return std::move(*errors);
    }
    files.push_back({fs::path(path).filename().string(), std::get<std::string>(text)});
  }
  return files;
}

// Returns the name of a declaration set, which is that of its directory.
std::string DeclarationSetName(const std::string& directory) {
  return fs::weakly_canonical(directory).filename().string();
}

ExitStatus ReportUnreachable(const CallFailure& failure, const CommandOptions& options) {
  PrintFailure("unreachable", "daemon " + options.daemon + ": " + failure.message, options.json);
  return ExitStatus::kUnreachable;
}

// Waits until the generation is in force on every live entry node, or the wait time is up;
// prints the nodes that are behind. The change is accepted already, so a daemon that stops
// answering is reported as behind.
ExitStatus WaitUntilInForce(OperatorClient& client,
                            std::uint64_t generation,
                            const CommandOptions& options) {
  const TimePoint deadline = Now() + options.wait_time;
  while (true) {
    auto status = client.Status();
    if (std::holds_alternative<CallFailure>(status)) {
      PrintInForce(generation, {options.daemon}, 1, options.json);
      return ExitStatus::kBehind;
    }
    const StatusSummary& summary = std::get<StatusSummary>(status);
    std::vector<std::string> behind;
    if (summary.node.generation < generation) {
      behind.push_back(summary.node.name);
    }
    for (const NodeSummary& node : summary.others) {
      if (node.live && node.generation < generation) {
        behind.push_back(node.name);
      }
    }
    if (behind.empty() || Now() >= deadline) {
      PrintInForce(generation, behind, summary.others.size() + 1, options.json);
      return behind.empty() ? ExitStatus::kOk : ExitStatus::kBehind;
    }
    BlockFor(kWaitPollInterval);
  }
}

// Prints the result of a change and returns its exit status.
struct ResultPrinter {
  OperatorClient& client;
  const CommandOptions& options;

  ExitStatus operator()(const ChangeAccepted& accepted) {
    PrintResult("accepted", accepted.generation, "", options.json);
    return options.wait ? WaitUntilInForce(client, accepted.generation, options) : ExitStatus::kOk;
  }
  ExitStatus operator()(const ChangeUnchanged& unchanged) {
    PrintResult("unchanged", unchanged.generation, "", options.json);
    return options.wait ? WaitUntilInForce(client, unchanged.generation, options) : ExitStatus::kOk;
  }
  ExitStatus operator()(const ChangeConflict& conflict) {
    PrintResult("conflict", conflict.generation,
                "\"" + conflict.author + "\" changed it first; look at `diff` and apply again",
                options.json);
    return ExitStatus::kConflict;
  }
  ExitStatus operator()(const ChangeInvalid& invalid) {
    PrintErrors(invalid.validation_errors, options.json);
    return ExitStatus::kInvalid;
  }
  ExitStatus operator()(const ChangeUnreachable& unreachable) {
    PrintFailure("platform_unreachable", unreachable.message + "; nothing was changed",
                 options.json);
    return ExitStatus::kUnreachable;
  }
  ExitStatus operator()(const ChangeUnknown& unknown) {
    PrintFailure("outcome_unknown", "ask again with --token " + unknown.token, options.json);
    return ExitStatus::kUnknown;
  }
};

ExitStatus Change(ChangeRequest request, const CommandOptions& options) {
  OperatorClient client(options.daemon);
  request.author = options.author;
  request.token = options.token.empty() ? NewToken() : options.token;
  if (options.generation) {
    request.expected_generation = *options.generation;
  } else {
    auto current = client.Get();
    if (auto* failure = std::get_if<CallFailure>(&current)) {
      return ReportUnreachable(*failure, options);
    }
    request.expected_generation = std::get<Configuration>(current).generation;
  }
  auto result = client.Change(request);
  if (std::holds_alternative<CallFailure>(result)) {
    // The daemon may still have made the change.
    PrintFailure("outcome_unknown",
                 "no answer from " + options.daemon + "; ask again with --token " + request.token,
                 options.json);
    return ExitStatus::kUnknown;
  }
  return std::visit(ResultPrinter{client, options}, std::get<ChangeResult>(result));
}

}  // namespace

namespace {

// Validates a settings file of either daemon variant.
JsonErrors ValidateSettings(const std::string& text) {
  if (IsFleetSettings(text)) {
    auto read = ParseFleetSettings(text);
    const auto* errors = std::get_if<JsonErrors>(&read);
    return errors == nullptr ? JsonErrors() : *errors;
  }
  auto read = ParseSettings(text);
  const auto* errors = std::get_if<JsonErrors>(&read);
  return errors == nullptr ? JsonErrors() : *errors;
}

}  // namespace

ExitStatus CheckSettings(const std::string& file, bool json) {
  auto text = ReadFile(file);
  if (auto* errors = std::get_if<JsonErrors>(&text)) {
    PrintErrors(*errors, json);
    return ExitStatus::kInvalid;
  }
  if (auto errors = ValidateSettings(std::get<std::string>(text)); !errors.empty()) {
    PrintErrors(errors, json);
    return ExitStatus::kInvalid;
  }
  PrintResult("valid", std::nullopt, file, json);
  return ExitStatus::kOk;
}

ExitStatus CheckDeclarations(const std::string& directory, bool json) {
  auto files = ReadDirectory(directory);
  if (auto* errors = std::get_if<JsonErrors>(&files)) {
    PrintErrors(*errors, json);
    return ExitStatus::kInvalid;
  }
  ChangeRequest request;
  request.what = ApplySet{DeclarationSetName(directory),
                          std::move(std::get<std::vector<DeclarationFile>>(files))};
  auto changed = ApplyChange(Configuration(), request);
  if (auto* errors = std::get_if<JsonErrors>(&changed)) {
    PrintErrors(*errors, json);
    return ExitStatus::kInvalid;
  }
  PrintResult("valid", std::nullopt, directory, json);
  return ExitStatus::kOk;
}

ExitStatus Apply(const std::string& directory, const CommandOptions& options) {
  auto files = ReadDirectory(directory);
  if (auto* errors = std::get_if<JsonErrors>(&files)) {
    PrintErrors(*errors, options.json);
    return ExitStatus::kInvalid;
  }
  ChangeRequest request;
  request.what = ApplySet{DeclarationSetName(directory),
                          std::move(std::get<std::vector<DeclarationFile>>(files))};
  return Change(std::move(request), options);
}

ExitStatus Drain(const std::string& endpoint, bool undo, const CommandOptions& options) {
  ChangeRequest request;
  request.what = DrainEndpoint{endpoint, undo};
  return Change(std::move(request), options);
}

ExitStatus Get(const CommandOptions& options) {
  OperatorClient client(options.daemon);
  auto current = client.Get();
  if (auto* failure = std::get_if<CallFailure>(&current)) {
    return ReportUnreachable(*failure, options);
  }
  std::cout << json::serialize(ToJson(std::get<Configuration>(current))) << "\n";
  return ExitStatus::kOk;
}

ExitStatus Diff(const std::string& directory, const CommandOptions& options) {
  auto files = ReadDirectory(directory);
  if (auto* errors = std::get_if<JsonErrors>(&files)) {
    PrintErrors(*errors, options.json);
    return ExitStatus::kInvalid;
  }
  auto merged = MergeFiles(std::get<std::vector<DeclarationFile>>(files));
  if (auto* errors = std::get_if<JsonErrors>(&merged)) {
    PrintErrors(*errors, options.json);
    return ExitStatus::kInvalid;
  }
  OperatorClient client(options.daemon);
  auto current = client.Get();
  if (auto* failure = std::get_if<CallFailure>(&current)) {
    return ReportUnreachable(*failure, options);
  }
  const auto& sets = std::get<Configuration>(current).sets;
  const auto in_force = sets.find(DeclarationSetName(directory));
  const bool differs = PrintDiff(in_force == sets.end() ? DeclarationSet() : in_force->second,
                                 std::get<DeclarationSet>(merged), options.json);
  return differs ? ExitStatus::kDiffers : ExitStatus::kOk;
}

ExitStatus Events(const CommandOptions& options) {
  OperatorClient client(options.daemon);
  auto current = client.Get();
  if (auto* failure = std::get_if<CallFailure>(&current)) {
    return ReportUnreachable(*failure, options);
  }
  PrintEvents(std::get<Configuration>(current).catalog, options.json);
  return ExitStatus::kOk;
}

ExitStatus PrintStatus(const CommandOptions& options) {
  OperatorClient client(options.daemon);
  auto status = client.Status();
  if (auto* failure = std::get_if<CallFailure>(&status)) {
    return ReportUnreachable(*failure, options);
  }
  PrintStatusSummary(std::get<StatusSummary>(status), options.json);
  return ExitStatus::kOk;
}

}  // namespace rudderloom
