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

constexpr Duration kPoll{50};
constexpr std::size_t kLastLines = 60;

// Between two looks at a condition.
void PausePolling() {
  asio::io_context context;
  Timer timer(context, kPoll);
  timer.wait();
}

const std::string kBinaries = RUDDERLOOM_BINARIES;

}  // namespace

const char* const kDeclarations = R"({
  "models": [
    {"name": "m", "version": "1", "pool": "p", "memory": "1GiB", "copies": 2},
    {"name": "n", "version": "1", "pool": "p", "memory": "1GiB"}
  ],
  "services": [{"name": "desk", "pool": "desk", "repeatable": ["GET"], "deadline": "4s"}],
  "kinds": [{"name": "urgent", "priority": 0, "deadline": "5s"}]
})";

std::string Answer::Header(const std::string& name) const {
  for (const auto& [key, value] : headers) {
    if (beast::iequals(key, name)) {
      return value;
    }
  }
  return "";
}

json::object Answer::Json() const {
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
  std::istringstream words(line);
  std::string word;
  words >> word;
  if (word != "ready") {
    throw std::runtime_error(path + " did not start: " + line);
  }
  while (words >> word) {
    addresses_.push_back(word.substr(word.find('=') == std::string::npos ? 0 : word.find('=') + 1));
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

int Program::Wait(Duration limit) {
  const TimePoint until = Now() + limit;
  std::error_code error;
  while (child_.running(error)) {
    if (Now() >= until) {
      return -1;
    }
    PausePolling();
  }
  return child_.exit_code();
}

std::string Program::LastWords() {
  std::deque<std::string> lines;
  std::ifstream log(log_);
  for (std::string line; std::getline(log, line);) {
    lines.push_back(std::move(line));
    if (lines.size() > kLastLines) {
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
    throw std::runtime_error("no folder for the test");
  }
  folder_ = pattern;
}

Cluster::~Cluster() {
  if (std::uncaught_exceptions() > 0) {
    for (const std::string& name : order_) {
      if (const auto found = programs_.find(name); found != programs_.end()) {
        std::cerr << "-- last words of " << name << "\n" << found->second->LastWords();
      }
    }
  }
  while (!order_.empty()) {
    programs_.erase(order_.back());
    order_.pop_back();
  }
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

Program& Cluster::Start(const std::string& name,
                        const std::string& path,
                        const std::vector<std::string>& arguments) {
  order_.push_back(name);
  programs_[name] = std::make_unique<Program>(path, arguments, folder_ + "/" + name + ".log");
  return At(name);
}

Program& Cluster::StartPlatform() {
  return Start("platform", kBinaries + "/standin/rudderloom_standin", {"platform"});
}

Program& Cluster::StartEndpoint(const std::string& name, std::vector<std::string> more) {
  std::vector<std::string> arguments{"endpoint", "--name",     name,
                                     "--pool",   "p",          "--load-ms",
                                     "100",      "--platform", At("platform").Address()};
  arguments.insert(arguments.end(), more.begin(), more.end());
  return Start(name, kBinaries + "/standin/rudderloom_standin", arguments);
}

Program& Cluster::StartService(const std::string& name, const std::string& service) {
  return Start(name, kBinaries + "/standin/rudderloom_standin",
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
  const std::string path = folder_ + "/" + name + ".json";
  std::ofstream(path) << json::serialize(settings);
  return Start(name, kBinaries + "/rudderloom/app/rudderloom", {"daemon", "--settings", path});
}

std::pair<int, std::string> Cluster::Command(std::vector<std::string> words) {
  bp::ipstream out;
  bp::child child(kBinaries + "/rudderloom/app/rudderloom", bp::args(words), bp::std_out > out,
                  bp::std_err > bp::null);
  std::string text;
  for (std::string line; std::getline(out, line);) {
    text += line + "\n";
  }
  child.wait();
  return {child.exit_code(), text};
}

void Cluster::Apply(const std::string& node, const std::string& set, const std::string& text) {
  const std::string directory = folder_ + "/" + set;
  std::filesystem::create_directory(directory);
  std::ofstream(directory + "/all.json") << text;
  const auto [status, printed] =
      Command({"apply", directory, "--daemon", At(node).Address(1), "--wait"});
  if (status != 0) {
    throw std::runtime_error("apply: " + printed);
  }
}

Answer Cluster::Call(const std::string& address,
                     const std::string& target,
                     const std::string& body,
                     const HeaderList& headers,
                     const std::string& method) {
  const http::verb usual = body.empty() ? http::verb::get : http::verb::post;
  HttpRequest request =
      MakeRequest(method.empty() ? usual : http::string_to_verb(method), address, target, body);
  for (const auto& [name, value] : headers) {
    request.set(name, value);
  }
  Answer answer;
  CallTimes times;
  times.first_byte = Duration(30'000);
  times.between = Duration(30'000);
  bool done = false;
  asio::co_spawn(
      context_,
      [&]() -> Awaitable<void> {
        auto result = co_await client_.Call(address, std::move(request), times, Reuse::kNever);
        if (const auto* response = std::get_if<HttpResponse>(&result)) {
          answer.status = response->result_int();
          answer.body = response->body();
          for (const auto& field : *response) {
            answer.headers.emplace_back(std::string(field.name_string()),
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
  return answer;
}

void Cluster::Faults(const std::string& name, const json::object& faults) {
  Call(At(name).Address(), "/faults", json::serialize(faults));
}

json::object Cluster::Stats(const std::string& name) {
  return Call(At(name).Address(), "/stats").Json();
}

bool Cluster::Until(const std::function<bool()>& condition, Duration limit) {
  const TimePoint until = Now() + limit;
  while (!condition()) {
    if (Now() >= until) {
      return false;
    }
    PausePolling();
  }
  return true;
}

bool Cluster::Served(const std::string& node, const std::string& model) {
  const std::string body = R"({"model": ")" + model + R"(", "prompt": "p", "max_tokens": 1})";
  return Until([&] { return Call(At(node).Address(), "/v1/completions", body).status == 200; });
}

}  // namespace rudderloom::tests
