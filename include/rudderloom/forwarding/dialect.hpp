/// @file
/// The words that forwarding needs from a client's request and an endpoint's answer, without the
/// names that stand on the wire.
#ifndef RUDDERLOOM_FORWARDING_DIALECT_HPP
#define RUDDERLOOM_FORWARDING_DIALECT_HPP

#include <cstdint>   // for uint64_t
#include <optional>  // for optional
#include <string>    // for string
#include <vector>    // for vector

#include "rudderloom/base/clock.hpp"                      // for Duration
#include "rudderloom/customers/key_digest.hpp"            // for KeyDigest
#include "rudderloom/endpoint_limits/endpoint_limit.hpp"  // for LimitAnnouncement
#include "rudderloom/http/asio.hpp"                       // for HttpRequest

namespace rudderloom {

/// @brief One part of a prompt; requests that begin with the same parts share their reading.
/// @ingroup forwarding
struct PromptPart {
  std::uint64_t id = 0;
  std::uint64_t tokens = 0;
};

/// @brief What a client's request says of itself.
/// @ingroup forwarding
struct RequestTerms {
  std::string id;                    ///< Of this attempt of the client.
  std::optional<Duration> deadline;  ///< How long the client waits.
  std::string model;                 ///< Empty for a plain service.
  std::string adapter;               ///< Of the model; empty for none.
  std::uint64_t tokens_in = 0;
  std::uint64_t tokens_out = 0;   ///< At most, or the client's guess where it gives one.
  bool names_tokens = false;      ///< The request says how many tokens it takes.
  std::uint64_t most_tokens = 0;  ///< Of the prompt and of the answer at most, where it says so.
  std::vector<PromptPart> prompt;
  std::optional<KeyDigest> key;  ///< That the caller shows; empty for none, or for several.
};

/// @brief What an endpoint is told of the caller.
/// @ingroup forwarding
struct CallerTerms {
  bool checked = false;  ///< The node knows customers: what the caller says of itself is left out.
  std::string customer;  ///< Empty: the endpoint is told none.
};

/// @brief What this node adds to a request that it sends to an endpoint.
/// @ingroup forwarding
struct SendTerms {
  std::string endpoint;  ///< Name that it answers to; every other one refuses the request.
  Duration time_left{0};
  std::optional<std::uint32_t> urgency;        ///< 0 is the most urgent.
  std::optional<std::string> after_event;      ///< Goes on after this event of a stream.
  std::optional<std::string> weights_version;  ///< Endpoints with other weights refuse.
  CallerTerms caller;
};

/// @brief What an endpoint's answer says.
/// @ingroup forwarding
struct AnswerTerms {
  std::string request_id;       ///< Empty when it names none.
  bool is_signed = false;       ///< Carries the endpoint's signature.
  bool not_run = false;         ///< The request has not run and never will.
  bool wrong_instance = false;  ///< Another endpoint has the address.
  bool not_resident = false;    ///< The endpoint holds no such model or adapter.
  std::string weights_version;
  LimitAnnouncement limit;  ///< Of the endpoint, on requests from all nodes together.
};

/// @brief Header of an answer without its body.
/// @ingroup forwarding
using AnswerHead = http::response_header<http::fields>;

/// @brief Reads and writes the headers of one wire format; decides nothing.
/// @ingroup forwarding
class Dialect {
 public:
  virtual ~Dialect() = default;

  virtual RequestTerms ReadRequest(const HttpRequest& request) const = 0;
  virtual AnswerTerms ReadAnswer(const AnswerHead& head, const std::string& endpoint) const = 0;
  virtual void Write(const SendTerms& terms, HttpRequest& request) const = 0;

  /// @brief Headers of a refusal: when to come back, and whose request it was.
  virtual HeaderList RefusalHeaders(const std::string& request_id,
                                    std::optional<Duration> come_back) const = 0;
};

}  // namespace rudderloom

#endif
