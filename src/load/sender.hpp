/// @file
/// Sends the requests of a load run, retries failed ones and checks the answers.
#ifndef RUDDERLOOM_LOAD_SENDER_HPP
#define RUDDERLOOM_LOAD_SENDER_HPP

#include "load/outcome.hpp"            // for Outcome
#include "rudderloom/http/client.hpp"  // for HttpClient

namespace rudderloom::load {

/// @brief One request to send.
struct RequestSpec {
  std::size_t class_index = 0;  // into Scenario::mix
  std::uint64_t number = 0;     // unique within the run
  std::uint64_t prompt_number = 0;
  std::size_t node_index = 0;  // entry node to try first
};

/// @brief Sends requests to the entry nodes of a scenario and verifies each answer.
class Sender {
 public:
  Sender(asio::io_context& context, const Scenario& scenario)
      : context_(context), scenario_(scenario), client_(context) {}

  /// @brief Sends until the request is answered, may not be repeated or is out of attempts.
  Awaitable<Outcome> Send(RequestSpec spec);

  /// @brief Fetches from a service stand-in how often each call of this run was executed.
  Awaitable<std::map<std::string, std::int64_t>> FetchRunCounts(std::string address);

 private:
  Awaitable<void> SendAttempt(const RequestSpec& spec, Outcome& outcome);
  Awaitable<void> ReadResponse(const RequestSpec& spec, HttpStream& answer, Outcome& outcome);
  HttpRequest BuildRequest(const RequestSpec& spec, const std::string& target) const;
  void CheckText(const RequestSpec& spec,
                 const std::string& text,
                 bool is_final,
                 Outcome& outcome) const;
  void CheckBody(const RequestSpec& spec, const std::string& body, Outcome& outcome) const;
  void CheckStream(const RequestSpec& spec, const std::string& body, Outcome& outcome) const;

  asio::io_context& context_;
  const Scenario& scenario_;
  HttpClient client_;
};

}  // namespace rudderloom::load

#endif
