#include "rudderloom/http/answer_head.hpp"

#include <boost/beast/core/read_size.hpp>  // for read_size
#include <cstdint>                         // for uint64_t
#include <limits>                          // for numeric_limits
#include <string_view>                     // for string_view

#include "rudderloom/http/message_limits.hpp"  // for kMaxUnparsedBytes

namespace rudderloom {

namespace {

constexpr std::size_t kReadBytes = 16 * 1024;
constexpr int kMaxInterimAnswers = 32;
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
  const auto coding = parser.get().find(http::field::transfer_encoding);
  if (coding != parser.get().end() && !beast::iequals(coding->value(), "chunked")) {
    return http::error::bad_transfer_encoding;
  }
  return {};
}

// True if a line begins with a blank, so that the parser takes it for a part of the field before
// it. `unparsed` begins within a header, and may go on behind it.
bool ContinuesField(const beast::flat_buffer& unparsed) {
  constexpr std::string_view kEndOfLine = "\r\n";
  constexpr std::string_view kEndOfHeader = "\r\n\r\n";
  const std::string_view text(static_cast<const char*>(unparsed.cdata().data()), unparsed.size());
  if (text.starts_with(kEndOfLine)) {
    return false;
  }
  const std::string_view lines = text.substr(0, text.find(kEndOfHeader));
  return lines.find("\r\n ") != std::string_view::npos ||
         lines.find("\r\n\t") != std::string_view::npos;
}

// Parses what has been received of a header; `need_more` if that is not all of it.
boost::system::error_code ParseHead(beast::flat_buffer& buffer, AnswerParser& parser) {
  // The parser keeps the end of a field until it has seen the next line's first byte.
  if (ContinuesField(buffer)) {
    return http::error::bad_obs_fold;
  }
  boost::system::error_code error;
  buffer.consume(parser.put(buffer.cdata(), error));
  return error;
}

Awaitable<boost::system::error_code> ReadOneHead(tcp::socket& socket,
                                                 beast::flat_buffer& buffer,
                                                 AnswerParser& parser) {
  boost::system::error_code error = http::error::need_more;
  if (buffer.size() > 0) {
    error = ParseHead(buffer, parser);
  }
  while (error == http::error::need_more) {
    if (buffer.size() == buffer.max_size()) {
      co_return http::error::buffer_overflow;
    }
    const auto space = buffer.prepare(beast::read_size(buffer, kReadBytes));
    const auto [read_error, size] = co_await socket.async_read_some(space, kAsTuple);
    if (read_error == asio::error::eof) {
      co_return parser.got_some() ? http::error::partial_message : http::error::end_of_stream;
    }
    if (read_error) {
      co_return read_error;
    }
    buffer.commit(size);
    error = ParseHead(buffer, parser);
  }
  co_return error ? error : CheckHead(parser);
}

}  // namespace

Awaitable<boost::system::error_code> ReadAnswerHead(tcp::socket& socket,
                                                    beast::flat_buffer& buffer,
                                                    std::optional<AnswerParser>& parser,
                                                    bool is_head_request) {
  for (int interim = 0; interim <= kMaxInterimAnswers; ++interim) {
    parser.emplace();
    parser->header_limit(kMaxUnparsedBytes);
    parser->body_limit(std::numeric_limits<std::uint64_t>::max());
    parser->skip(is_head_request);
    const auto error = co_await ReadOneHead(socket, buffer, *parser);
    if (error || parser->get().result_int() >= kFirstFinalStatus) {
      co_return error;
    }
  }
  co_return http::error::header_limit;
}

}  // namespace rudderloom
