/// @file
/// Data that forwarding reads from client requests and endpoint answers, independent of the header
/// names on the wire.
#ifndef RUDDERLOOM_FORWARDING_HEADER_CODEC_HPP
#define RUDDERLOOM_FORWARDING_HEADER_CODEC_HPP

#include <cstdint>   // for uint64_t
#include <optional>  // for optional
#include <string>    // for string
#include <vector>    // for vector

#include "rudderloom/base/clock.hpp"                      // for Duration
#include "rudderloom/customers/key_digest.hpp"            // for KeyDigest
#include "rudderloom/endpoint_limits/endpoint_limit.hpp"  // for LimitAnnouncement
#include "rudderloom/http/asio.hpp"                       // for HttpRequest

namespace rudderloom {

/// @brief One part of a prompt. Requests that begin with the same parts can share cached prompt
/// processing.
/// @ingroup forwarding
struct PromptPart {
  std::uint64_t id = 0;
  std::uint64_t tokens = 0;
};

/// @brief Metadata of a client's request.
/// @ingroup forwarding
struct RequestMetadata {
  std::string id;                    ///< Identifies this attempt of the client.
  std::optional<Duration> deadline;  ///< How long the client waits for the answer.
  std::string model;                 ///< Empty for a plain service.
  std::string adapter;               ///< Adapter of the model; empty for none.
  std::uint64_t tokens_in = 0;
  std::uint64_t tokens_out = 0;   ///< Upper bound, or the client's estimate if it gives one.
  bool declares_tokens = false;   ///< True when the request declares its token counts.
  std::uint64_t token_limit = 0;  ///< Declared bound on prompt plus answer tokens.
  std::vector<PromptPart> prompt;
  bool resumes_stream = false;  ///< The client takes up a stream that broke off.
  std::string began_as;  ///< Id of the client's attempt that began this stream; empty: not named.
  std::optional<KeyDigest> key;  ///< Digest of the API key; empty for none or several.
};

/// @brief Caller identity that is passed to an endpoint.
/// @ingroup forwarding
struct CallerMetadata {
  bool identity_verified =
      false;             ///< Customers are authenticated; the caller's claims are dropped.
  std::string customer;  ///< Empty when no customer is passed on.
};

/// @brief Metadata that this node adds to a request for an endpoint.
/// @ingroup forwarding
struct ForwardMetadata {
  std::string endpoint;  ///< Name of the intended endpoint; any other endpoint refuses the request.
  Duration time_left{0};
  std::optional<std::uint32_t> urgency;        ///< 0 is the most urgent.
  std::optional<std::string> after_event;      ///< Resumes the stream after this event.
  std::optional<std::string> weights_version;  ///< Other versions refuse the request.
  CallerMetadata caller;
};

/// @brief Metadata of an endpoint's answer.
/// @ingroup forwarding
struct AnswerMetadata {
  std::string request_id;  ///< Empty when the answer has none.
  bool is_signed = false;  ///< The answer carries the endpoint's signature.
  bool not_run = false;  ///< The endpoint guarantees that the request has not run and will not run.
  bool wrong_instance = false;  ///< Another endpoint now listens at the address.
  bool not_resident = false;    ///< The endpoint does not hold the model or adapter.
  std::string weights_version;
  bool leaving = false;  ///< The endpoint is about to end and takes no further requests.
  bool has_unreadable_leaving = false;  ///< The answer says something else about it.
  /// @brief Time for which a rejection asks this node not to send anything; empty if it doesn't.
  std::optional<Duration> retry_after;
  bool has_unreadable_retry_after = false;  ///< A rejection names a time that can't be read.
  /// @brief Rejections per second that the endpoint tolerates before it crashes.
  LimitAnnouncement tolerated_rejections;
  LimitAnnouncement limit;  ///< The endpoint's rate limit on requests from all nodes together.
};

/// @brief Status line and header fields of an answer.
/// @ingroup forwarding
using AnswerHead = http::response_header<http::fields>;

/// @brief Translates between HTTP headers of one wire format and the types above. Makes no
/// decisions.
/// @ingroup forwarding
class HeaderCodec {
 public:
  virtual ~HeaderCodec() = default;

  virtual RequestMetadata ReadRequest(const HttpRequest& request) const = 0;
  virtual AnswerMetadata ReadAnswer(const AnswerHead& head, const std::string& endpoint) const = 0;
  virtual void Write(const ForwardMetadata& terms, HttpRequest& request) const = 0;

  /// @brief Returns a request that every endpoint answers without running anything.
  virtual HttpRequest MakeProbe(const std::string& address) const = 0;

  /// @brief Returns the headers of a refusal: the request id and when to retry.
  virtual HeaderList RefusalHeaders(const std::string& request_id,
                                    std::optional<Duration> retry_delay) const = 0;
};

}  // namespace rudderloom

#endif
