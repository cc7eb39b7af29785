#include "rudderloom/http/answer_head.hpp"

#include <cstdint>  // for uint64_t
#include <limits>   // for numeric_limits

#include "rudderloom/http/message_limits.hpp"  // for kMaxUnparsedBytes

namespace rudderloom {

namespace {

constexpr unsigned kFirstStatus = 100;
constexpr unsigned kFirstFinalStatus = 200;
constexpr unsigned kLastStatus = 599;
constexpr unsigned kSwitchingProtocols = 101;

// Checks what the parser accepts in a complete header.
boost::system::error_code CheckHead(const AnswerParser& parser) {
  const unsigned status = parser.get().result_int();
  if (status < kFirstStatus || status > kLastStatus || status == kSwitchingProtocols) {
    return http::error::bad_status;
  }
  return {};
}

}  // namespace

Awaitable<boost::system::error_code> ReadAnswerHead(tcp::socket& socket,
                                                    beast::flat_buffer& buffer,
                                                    std::optional<AnswerParser>& parser,
                                                    bool is_head_request) {
  while (true) {
    parser.emplace();
    parser->header_limit(kMaxUnparsedBytes);
    parser->body_limit(std::numeric_limits<std::uint64_t>::max());
    parser->skip(is_head_request);
    const auto [read_error, size] =
        co_await http::async_read_header(socket, buffer, *parser, kAsTuple);
    const auto error = read_error ? read_error : CheckHead(*parser);
    if (error || parser->get().result_int() >= kFirstFinalStatus) {
      co_return error;
    }
  }
}

}  // namespace rudderloom
