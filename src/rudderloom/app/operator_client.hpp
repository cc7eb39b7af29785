// A blocking client of the operator interface, used by the commands.
#ifndef RUDDERLOOM_APP_OPERATOR_CLIENT_HPP
#define RUDDERLOOM_APP_OPERATOR_CLIENT_HPP

#include <memory>   // for unique_ptr
#include <string>   // for string
#include <variant>  // for variant
#include <vector>   // for vector

#include "rudderloom/configuration/configuration.hpp"     // for Configuration
#include "rudderloom/operators/configuration_change.hpp"  // for ChangeResult

namespace rudderloom {

// A call that the daemon did not answer, or answered with invalid data.
struct CallFailure {
  std::string message;
};

struct NodeSummary {
  std::string name;
  std::string address;
  std::string availability_zone;
  std::uint64_t generation = 0;
  bool live = false;
  bool stopping = false;
};

struct EndpointSummary {
  std::string name;
  std::string pool;
  std::string address;
  std::string state;
  std::uint64_t memory = 0;
  std::uint64_t reserved = 0;
  std::vector<std::pair<std::string, std::string>> units;  // unit and state
};

struct StatusSummary {
  NodeSummary node;
  std::vector<NodeSummary> others;
  std::vector<EndpointSummary> endpoints;
  std::vector<std::string> held_pools;
};

class OperatorClient {
 public:
  explicit OperatorClient(const std::string& daemon);
  ~OperatorClient();

  std::variant<ChangeResult, CallFailure> Change(const ChangeRequest& request);
  std::variant<Configuration, CallFailure> Get();
  std::variant<StatusSummary, CallFailure> Status();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace rudderloom

#endif
