#include "process/cluster.hpp"

#include <sys/types.h>  // for pid_t

#include <csignal>     // for kill, SIGKILL
#include <cstdlib>     // for mkdtemp
#include <deque>       // for deque
#include <exception>   // for uncaught_exceptions
#include <filesystem>  // for remove_all
#include <fstream>     // for ofstream
#include <iostream>    // for cerr
#include <sstream>     // for istringstream

namespace rudderloom::tests {

namespace bp = boost::process;
namespace json = boost::json;

namespace {

constexpr Duration kPollInterval{50};
constexpr std::size_t kLogTailLines = 60;

void SleepFor(Duration time) {
  asio::io_context context;
  Timer timer(context, time);
  timer.wait();
}

const std::string kBinaryDirectory = RUDDERLOOM_BINARIES;

}  // namespace

const char* const kDeclarations = R"({
  "models": [
    {"name": "m", "version": "1", "pool": "p", "memory": "1GiB", "copies": 2},
    {"name": "n", "version": "1", "pool": "p", "memory": "1GiB"}
  ],
  "services": [{"name": "desk", "pool": "desk", "repeatable": ["GET"], "deadline": "4s"}],
  "kinds": [{"name": "urgent", "priority": 0, "deadline": "5s"}]
})";

std::string Response::Header(const std::string& name) const {
  for (const auto& [key, value] : headers) {
    if (beast::iequals(key, name)) {
      return value;
    }
  }
  return "";
}

json::object Response::Json() const {
  json::error_code error;
  const json::value value = json::parse(body, error);
  return error || !value.is_object() ? json::object() : value.as_object();
}

Program::Program(const std::string& path,
                 const std::vector<std::string>& arguments,
                 std::string log)
    : log_(std::move(log)),
      child_(path, bp::args(arguments), bp::std_out > out_, bp::std_err > log_) {
  std::string line;
  std::getline(out_, line);
  std::istringstream ready_line(line);
  std::string field;
  ready_line >> field;
  if (field != "ready") {
    throw std::runtime_error(path + " did not start: " + line);
  }
  while (ready_line >> field) {
    addresses_.push_back(
        field.substr(field.find('=') == std::string::npos ? 0 : field.find('=') + 1));
  }
}

Program::~Program() {
  Kill();
}

void Program::Signal(int number) {
  std::error_code error;
  if (child_.running(error)) {
    ::kill(child_.id(), number);
  }
}

void Program::Kill() {
  std::error_code error;
  Signal(SIGCONT);
  if (child_.running(error)) {
    child_.terminate(error);
  }
  child_.wait(error);
}

int Program::Wait(Duration timeout) {
  const TimePoint deadline = Now() + timeout;
  std::error_code error;
  while (child_.running(error)) {
    if (Now() >= deadline) {
      return -1;
    }
    SleepFor(kPollInterval);
  }
  return child_.exit_code();
}

std::string Program::LogTail() {
  std::deque<std::string> lines;
  std::ifstream log(log_);
  for (std::string line; std::getline(log, line);) {
    lines.push_back(std::move(line));
    if (lines.size() > kLogTailLines) {
      lines.pop_front();
    }
  }
  std::ostringstream text;
  std::error_code error;
  if (!child_.running(error)) {
    text << "ended by itself, native status " << child_.native_exit_code() << "\n";
  }
  for (const std::string& line : lines) {
    text << line << "\n";
  }
  return text.str();
}

Cluster::Cluster() {
  std::string pattern =
      (std::filesystem::temp_directory_path() / "rudderloom-test-XXXXXX").string();
  if (::mkdtemp(pattern.data()) == nullptr) {
    throw std::runtime_error("can't create a temporary directory for the test");
  }
  directory_ = pattern;
}

Cluster::~Cluster() {
  if (std::uncaught_exceptions() > 0) {
    for (const std::string& name : start_order_) {
      if (const auto program = programs_.find(name); program != programs_.end()) {
        std::cerr << "-- end of the log of " << name << "\n" << program->second->LogTail();
      }
    }
  }
  while (!start_order_.empty()) {
    programs_.erase(start_order_.back());
    start_order_.pop_back();
  }
  std::error_code ignored;
  std::filesystem::remove_all(directory_, ignored);
}

Program& Cluster::Start(const std::string& name,
                        const std::string& path,
                        const std::vector<std::string>& arguments) {
  start_order_.push_back(name);
  programs_[name] = std::make_unique<Program>(path, arguments, directory_ + "/" + name + ".log");
  return At(name);
}

Program& Cluster::StartPlatform() {
  return Start("platform", kBinaryDirectory + "/standin/rudderloom_standin", {"platform"});
}

Program& Cluster::StartEndpoint(const std::string& name, std::vector<std::string> extra_arguments) {
  std::vector<std::string> arguments{"endpoint", "--name",     name,
                                     "--pool",   "p",          "--load-ms",
                                     "100",      "--platform", At("platform").Address()};
  arguments.insert(arguments.end(), extra_arguments.begin(), extra_arguments.end());
  return Start(name, kBinaryDirectory + "/standin/rudderloom_standin", arguments);
}

Program& Cluster::StartService(const std::string& name, const std::string& service) {
  return Start(name, kBinaryDirectory + "/standin/rudderloom_standin",
               {"service", "--name", name, "--pool", service, "--service", service, "--platform",
                At("platform").Address()});
}

Program& Cluster::StartNode(const std::string& name, json::object settings) {
  settings["node"] = {{"name", name}, {"availability_zone", "zone-a"}};
  settings["platform"] = {
      {"address", At("platform").Address()}, {"call_time", "500ms"}, {"backoff_most", "1s"}};
  if (!settings.contains("residency")) {
    settings["residency"] = {{"loads_per_second", 20.0}};
  }
  if (!settings.contains("stop_notice")) {
    settings["stop_notice"] = "200ms";
  }
  const std::string path = directory_ + "/" + name + ".json";
  std::ofstream(path) << json::serialize(settings);
  return Start(name, kBinaryDirectory + "/rudderloom/app/rudderloom",
               {"daemon", "--settings", path});
}

std::pair<int, std::string> Cluster::RunCli(std::vector<std::string> arguments) {
  bp::ipstream out;
  bp::child child(kBinaryDirectory + "/rudderloom/app/rudderloom", bp::args(arguments),
                  bp::std_out > out, bp::std_err > bp::null);
  std::string text;
  for (std::string line; std::getline(out, line);) {
    text += line + "\n";
  }
  child.wait();
  return {child.exit_code(), text};
}

void Cluster::Apply(const std::string& node, const std::string& set, const std::string& text) {
  const std::string directory = directory_ + "/" + set;
  std::filesystem::create_directory(directory);
  std::ofstream(directory + "/all.json") << text;
  const auto [status, printed] =
      RunCli({"apply", directory, "--daemon", At(node).Address(1), "--wait"});
  if (status != 0) {
    throw std::runtime_error("apply: " + printed);
  }
}

Response Cluster::Call(const std::string& address,
                       const std::string& target,
                       const std::string& body,
                       const HeaderList& headers,
                       const std::string& method) {
  const http::verb default_method = body.empty() ? http::verb::get : http::verb::post;
  HttpRequest request = MakeRequest(method.empty() ? default_method : http::string_to_verb(method),
                                    address, target, body);
  for (const auto& [name, value] : headers) {
    request.set(name, value);
  }
  Response response;
  CallTimeouts timeouts;
  timeouts.first_byte = Duration(30'000);
  timeouts.between = Duration(30'000);
  bool done = false;
  asio::co_spawn(
      context_,
      [&]() -> Awaitable<void> {
        auto result =
            co_await client_.Call(address, std::move(request), timeouts, ConnectionReuse::kNever);
        if (const auto* received = std::get_if<HttpResponse>(&result)) {
          response.status = received->result_int();
          response.body = received->body();
          for (const auto& field : *received) {
            response.headers.emplace_back(std::string(field.name_string()),
                                          std::string(field.value()));
          }
        }
        done = true;
      },
      asio::detached);
  context_.restart();
  while (!done) {
    context_.run_one();
  }
  return response;
}

void Cluster::SetFaults(const std::string& name, const json::object& faults) {
  Call(At(name).Address(), "/faults", json::serialize(faults));
}

json::object Cluster::Stats(const std::string& name) {
  return Call(At(name).Address(), "/stats").Json();
}

void Cluster::Sleep(Duration time) {
  SleepFor(time);
}

bool Cluster::WaitUntil(const std::function<bool()>& condition, Duration timeout) {
  const TimePoint deadline = Now() + timeout;
  while (!condition()) {
    if (Now() >= deadline) {
      return false;
    }
    SleepFor(kPollInterval);
  }
  return true;
}

bool Cluster::WaitUntilServed(const std::string& node, const std::string& model) {
  const std::string body = R"({"model": ")" + model + R"(", "prompt": "p", "max_tokens": 1})";
  return WaitUntil([&] { return Call(At(node).Address(), "/v1/completions", body).status == 200; });
}

}  // namespace rudderloom::tests
