/// @file
/// Reads the headers of answers, and decides which bytes are an HTTP answer.
#ifndef RUDDERLOOM_HTTP_ANSWER_HEAD_HPP
#define RUDDERLOOM_HTTP_ANSWER_HEAD_HPP

#include <optional>  // for optional

#include "rudderloom/http/asio.hpp"  // for Awaitable

namespace rudderloom {

/// @brief Parses one answer, whose body is read in pieces.
/// @ingroup http
using AnswerParser = http::response_parser<http::buffer_body>;

/// @brief Reads the header of the next answer on a connection. Interim (1xx) answers are skipped.
///
/// Beast's parser accepts headers that are not valid by RFC 9110 and RFC 9112, or that a proxy
/// can't pass on. They are errors here, so every reader of answers uses this function:
/// - `bad_status`: the status is not between 100 and 599, or announces another protocol, which no
///   request of this process asks for.
/// - `bad_obs_fold`: a line begins with a blank. It may have been a field of its own, such as that
///   of the body's length.
/// - `bad_transfer_encoding`: the body has another transfer coding than chunks, which no request of
///   this process accepts, and which is not decoded.
/// - `header_limit`: the header is longer than kMaxUnparsedBytes, or follows too many interim ones.
/// @param parser Receives a new parser, which has read the header if there was no error.
/// @param is_head_request The answer to a HEAD request has no body.
/// @return The error of the connection or of the parser; none if the header is complete and valid.
/// @ingroup http
Awaitable<boost::system::error_code> ReadAnswerHead(tcp::socket& socket,
                                                    beast::flat_buffer& buffer,
                                                    std::optional<AnswerParser>& parser,
                                                    bool is_head_request);

}  // namespace rudderloom

#endif
