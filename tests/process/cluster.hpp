// Runs real daemons and stand-ins as processes on loopback, for end-to-end tests.
#ifndef RUDDERLOOM_TESTS_PROCESS_CLUSTER_HPP
#define RUDDERLOOM_TESTS_PROCESS_CLUSTER_HPP

#include <boost/json.hpp>     // for object
#include <boost/process.hpp>  // for child, ipstream
#include <functional>         // for function
#include <map>                // for map
#include <memory>             // for unique_ptr
#include <string>             // for string
#include <vector>             // for vector

#include "rudderloom/http/client.hpp"  // for HttpClient

namespace rudderloom::tests {

/// @brief A received HTTP response.
struct Response {
  unsigned status = 0;  ///< 0 if no complete response arrived.
  std::string body;
  HeaderList headers;
  Duration duration{0};  ///< From the sending of the request; set by FleetCluster only.
  std::string Header(const std::string& name) const;
  boost::json::object Json() const;
};

/// @brief A child process whose ready line and log are read.
class Program {
 public:
  /// @brief Starts the program and waits for its ready line; throws if there is none. `log` is the
  /// file for its standard error.
  Program(const std::string& path, const std::vector<std::string>& arguments, std::string log);
  ~Program();

  /// @brief Returns address number `index` of the ready line.
  std::string Address(std::size_t index = 0) const { return addresses_.at(index); }
  int ProcessId() const { return child_.id(); }
  void Signal(int number);
  void Kill();
  /// @brief Waits for the process to end; returns its exit status, or -1 if it still runs.
  int Wait(Duration timeout);
  /// @brief Returns the last lines of its log, and the exit status if it ended by itself.
  std::string LogTail();

 private:
  std::string log_;
  boost::process::ipstream out_;
  boost::process::child child_;
  std::vector<std::string> addresses_;
};

/// @brief A platform, stand-ins and entry nodes in a temporary directory of their own.
class Cluster {
 public:
  Cluster();
  /// @brief Stops all programs. Prints their last log lines first if a required check failed.
  ~Cluster();

  Program& StartPlatform();
  Program& StartEndpoint(const std::string& name, std::vector<std::string> extra_arguments = {});
  Program& StartService(const std::string& name, const std::string& service);
  Program& StartNode(const std::string& name, boost::json::object settings = {});
  Program& At(const std::string& name) { return *programs_.at(name); }
  void Remove(const std::string& name) { programs_.erase(name); }

  /// @brief Runs an operator command; returns its exit status and standard output.
  std::pair<int, std::string> RunCli(std::vector<std::string> arguments);

  /// @brief Applies a declaration set of one JSON document through the given node, and waits.
  void Apply(const std::string& node, const std::string& set, const std::string& text);

  /// @brief Sends one HTTP request and waits for the response.
  Response Call(const std::string& address,
                const std::string& target,
                const std::string& body = {},
                const HeaderList& headers = {},
                const std::string& method = {});

  /// @brief Configures the faults that a stand-in injects.
  void SetFaults(const std::string& name, const boost::json::object& faults);

  /// @brief Returns the statistics of a stand-in.
  boost::json::object Stats(const std::string& name);

  /// @brief Polls a condition; returns false if it does not hold in time.
  bool WaitUntil(const std::function<bool()>& condition, Duration timeout = Duration(20'000));

  /// @brief Lets the processes run for this time.
  void Sleep(Duration time);

  /// @brief Waits until a model is served through a node; returns false on timeout.
  bool WaitUntilServed(const std::string& node, const std::string& model);

 protected:
  /// @brief Starts a program under a name.
  Program& Start(const std::string& name,
                 const std::string& path,
                 const std::vector<std::string>& arguments);
  const std::string& Directory() const { return directory_; }
  asio::io_context& Context() { return context_; }
  HttpClient& Client() { return client_; }

 private:
  std::string directory_;
  std::map<std::string, std::unique_ptr<Program>> programs_;
  std::vector<std::string> start_order_;
  asio::io_context context_;
  HttpClient client_{context_};
};

/// @brief A declaration set with the models `m` and `n` in pool `p` and the service `desk`.
extern const char* const kDeclarations;

}  // namespace rudderloom::tests

#endif
