// Entry point of the rudderloom binary.
#include <cxxopts.hpp>     // for Options
#include <functional>      // for function
#include <iostream>        // for cout
#include <map>             // for map
#include <kj/exception.h>  // for Exception

#include "rudderloom/app/commands.hpp"       // for Apply
#include "rudderloom/app/daemon.hpp"         // for RunDaemon
#include "rudderloom/app/fleet_daemon.hpp"   // for RunFleetDaemon
#include "rudderloom/base/log_line.hpp"      // for StartLogging
#include "rudderloom/settings/settings.hpp"  // for ParseSettings

namespace rudderloom {
namespace {

constexpr const char* kUsageText =
    "rudderloom: serves many models on fewer accelerators\n"
    "\n"
    "  rudderloom daemon --settings FILE        run an entry node\n"
    "  rudderloom check --settings FILE         check settings, offline\n"
    "  rudderloom check --declarations DIR      check declarations, offline\n"
    "  rudderloom check-configuration FILE      check a platform configuration, offline\n"
    "  rudderloom apply DIR --daemon ADDR       put declarations into force\n"
    "  rudderloom diff DIR --daemon ADDR        compare declarations with those in force\n"
    "  rudderloom get --daemon ADDR             print the configuration in force\n"
    "  rudderloom events --daemon ADDR          list the declared serving events\n"
    "  rudderloom drain ENDPOINT --daemon ADDR  take an endpoint out of service (--undo)\n"
    "  rudderloom status --daemon ADDR          entry nodes, endpoints and what is resident\n"
    "  rudderloom --version\n"
    "\n"
    "Each command has --help. Exit statuses: 0 done, 1 failed, 2 invalid, 3 conflict,\n"
    "4 unreachable, 5 outcome unknown, 6 not in force everywhere yet, 7 differs, 64 usage.\n"
    "check-configuration: 0 nothing found, 1 findings, 2 unreadable, 64 usage.\n";

using Parsed = cxxopts::ParseResult;

// A subcommand: declares its options and runs it.
struct Command {
  std::string summary;
  std::function<void(cxxopts::Options&)> declare;
  std::function<ExitStatus(const Parsed&)> run;
};

std::string DefaultAuthor() {
  const char* user = std::getenv("USER");
  return user == nullptr ? "unknown" : user;
}

void DeclareDaemonAddress(cxxopts::Options& options) {
  options.add_options()("daemon", "peer address of any entry node", cxxopts::value<std::string>())(
      "output", "text or json", cxxopts::value<std::string>()->default_value("text"));
}

void DeclareChange(cxxopts::Options& options) {
  DeclareDaemonAddress(options);
  options.add_options()("author", "name shown to an operator whose change conflicts with this one",
                        cxxopts::value<std::string>()->default_value(DefaultAuthor()))(
      "token", "token of an earlier attempt whose outcome is unknown",
      cxxopts::value<std::string>()->default_value(""))(
      "generation", "expected generation; the change is rejected if it differs",
      cxxopts::value<std::uint64_t>())(
      "wait", "wait until the change is in force on every live entry node")(
      "wait-time", "maximum time to wait", cxxopts::value<std::string>()->default_value("10s"));
}

void DeclarePositional(cxxopts::Options& options, const std::string& name) {
  options.add_options()(name, "", cxxopts::value<std::string>());
  options.parse_positional({name});
  options.positional_help("<" + name + ">");
}

bool WantsJson(const Parsed& parsed, const std::string& option = "output") {
  const std::string output = parsed[option].as<std::string>();
  if (output != "text" && output != "json") {
    throw std::invalid_argument("--" + option + " is text or json, not " + output);
  }
  return output == "json";
}

std::string Required(const Parsed& parsed, const std::string& name) {
  if (parsed.count(name) == 0) {
    throw std::invalid_argument("--" + name + " is missing");
  }
  return parsed[name].as<std::string>();
}

CommandOptions ReadOptions(const Parsed& parsed) {
  CommandOptions options;
  options.daemon = Required(parsed, "daemon");
  options.json = WantsJson(parsed);
  return options;
}

CommandOptions ReadChangeOptions(const Parsed& parsed) {
  CommandOptions options = ReadOptions(parsed);
  options.author = parsed["author"].as<std::string>();
  options.token = parsed["token"].as<std::string>();
  if (parsed.count("generation") > 0) {
    options.generation = parsed["generation"].as<std::uint64_t>();
  }
  options.wait = parsed.count("wait") > 0;
  const auto time = ParseDuration(parsed["wait-time"].as<std::string>());
  if (!time || *time > kMaxSettingTime) {
    throw std::invalid_argument("--wait-time is a time such as 10s, at most 100000h");
  }
  options.wait_time = *time;
  return options;
}

ExitStatus Daemon(const Parsed& parsed) {
  const std::string file = Required(parsed, "settings");
  auto text = ReadFile(file);
  if (std::holds_alternative<JsonErrors>(text)) {
    return CheckSettings(file, false);
  }
  if (IsFleetSettings(std::get<std::string>(text))) {
    auto fleet = ParseFleetSettings(std::get<std::string>(text));
    return std::holds_alternative<JsonErrors>(fleet)
               ? CheckSettings(file, false)
               : static_cast<ExitStatus>(RunFleetDaemon(std::get<FleetSettings>(fleet), file));
  }
  auto settings = ParseSettings(std::get<std::string>(text));
  if (std::holds_alternative<JsonErrors>(settings)) {
    return CheckSettings(file, false);
  }
  return static_cast<ExitStatus>(RunDaemon(std::get<Settings>(settings)));
}

ExitStatus Check(const Parsed& parsed) {
  const bool json = WantsJson(parsed);
  if (parsed.count("settings") + parsed.count("declarations") != 1) {
    throw std::invalid_argument("give --settings FILE or --declarations DIR");
  }
  return parsed.count("settings") > 0
             ? CheckSettings(parsed["settings"].as<std::string>(), json)
             : CheckDeclarations(parsed["declarations"].as<std::string>(), json);
}

ExitStatus CheckConfigurationFile(const Parsed& parsed) {
  std::optional<std::string> in_force;
  if (parsed.count("in-force") > 0) {
    in_force = parsed["in-force"].as<std::string>();
  }
  return CheckPlatformConfiguration(Required(parsed, "file"), in_force,
                                    WantsJson(parsed, "format"));
}

void DeclareCheckConfiguration(cxxopts::Options& options) {
  options.add_options()("in-force", "file with the version in force, to list differences",
                        cxxopts::value<std::string>())(
      "format", "text or json", cxxopts::value<std::string>()->default_value("text"));
  DeclarePositional(options, "file");
}

std::map<std::string, Command> Commands() {
  std::map<std::string, Command> commands;
  commands["daemon"] = {"run an entry node",
                        [](cxxopts::Options& options) {
                          options.add_options()("settings", "settings file (JSON)",
                                                cxxopts::value<std::string>());
                        },
                        Daemon};
  commands["check"] = {
      "check settings or declarations, offline",
      [](cxxopts::Options& options) {
        options.add_options()("settings", "settings file (JSON)", cxxopts::value<std::string>())(
            "declarations", "directory of declarations", cxxopts::value<std::string>())(
            "output", "text or json", cxxopts::value<std::string>()->default_value("text"));
      },
      Check};
  commands["check-configuration"] = {"check a platform configuration, offline",
                                     DeclareCheckConfiguration, CheckConfigurationFile};
  commands["apply"] = {"put a directory of declarations into force",
                       [](cxxopts::Options& options) {
                         DeclareChange(options);
                         DeclarePositional(options, "directory");
                       },
                       [](const Parsed& parsed) {
                         return Apply(Required(parsed, "directory"), ReadChangeOptions(parsed));
                       }};
  commands["drain"] = {"take an endpoint out of service, or return it",
                       [](cxxopts::Options& options) {
                         DeclareChange(options);
                         options.add_options()("undo", "return it to service");
                         DeclarePositional(options, "endpoint");
                       },
                       [](const Parsed& parsed) {
                         return Drain(Required(parsed, "endpoint"), parsed.count("undo") > 0,
                                      ReadChangeOptions(parsed));
                       }};
  commands["diff"] = {"compare a directory of declarations with what is in force",
                      [](cxxopts::Options& options) {
                        DeclareDaemonAddress(options);
                        DeclarePositional(options, "directory");
                      },
                      [](const Parsed& parsed) {
                        return Diff(Required(parsed, "directory"), ReadOptions(parsed));
                      }};
  commands["get"] = {"print the configuration in force", DeclareDaemonAddress,
                     [](const Parsed& parsed) { return Get(ReadOptions(parsed)); }};
  commands["events"] = {"list the declared serving events", DeclareDaemonAddress,
                        [](const Parsed& parsed) { return Events(ReadOptions(parsed)); }};
  commands["status"] = {"entry nodes, endpoints and what is resident", DeclareDaemonAddress,
                        [](const Parsed& parsed) { return PrintStatus(ReadOptions(parsed)); }};
  return commands;
}

ExitStatus RunCommand(const std::string& name, const Command& command, int argc, char** argv) {
  cxxopts::Options options("rudderloom " + name, command.summary);
  options.add_options()("help", "print this help");
  command.declare(options);
  const Parsed parsed = options.parse(argc, argv);
  if (parsed.count("help") > 0) {
    std::cout << options.help();
    return ExitStatus::kOk;
  }
  return command.run(parsed);
}

ExitStatus Run(int argc, char** argv) {
  const std::string first = argc > 1 ? argv[1] : "";
  if (first == "--version") {
    std::cout << "rudderloom " << RUDDERLOOM_VERSION << "\n";
    return ExitStatus::kOk;
  }
  if (first == "--help") {
    std::cout << kUsageText;
    return ExitStatus::kOk;
  }
  const auto commands = Commands();
  const auto found = commands.find(first);
  if (found == commands.end()) {
    std::cerr << (first.empty() ? "" : "no such command: " + first + "\n") << kUsageText;
    return ExitStatus::kUsage;
  }
  try {
    return RunCommand(first, found->second, argc - 1, argv + 1);
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << error.what() << "\n";
    return ExitStatus::kUsage;
  } catch (const std::invalid_argument& error) {
    std::cerr << error.what() << "\n";
    return ExitStatus::kUsage;
  }
}

}  // namespace
}  // namespace rudderloom

int main(int argc, char** argv) {
  rudderloom::StartLogging(argv[0]);
  try {
    return static_cast<int>(rudderloom::Run(argc, argv));
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
  } catch (const kj::Exception& error) {
    std::cerr << error.getDescription().cStr() << "\n";
  }
  return static_cast<int>(rudderloom::ExitStatus::kFailed);
}
