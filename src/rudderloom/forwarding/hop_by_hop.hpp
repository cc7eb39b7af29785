#ifndef RUDDERLOOM_FORWARDING_HOP_BY_HOP_HPP
#define RUDDERLOOM_FORWARDING_HOP_BY_HOP_HPP

#include "rudderloom/forwarding/header_codec.hpp"  // for AnswerHead

namespace rudderloom {

// True for headers that concern a single connection, and those that frame a message's body.
bool IsHopByHop(http::field field);

// Removes them from a request.
void EraseHopByHop(HttpRequest& request);

// Sets Content-Length, for an empty body only where the method allows one. Unlike Beast's
// prepare_payload, accepts a body of any method.
void SetPayloadLength(HttpRequest& request);

// Returns the other headers of an answer, without its content type.
HeaderList EndToEndHeaders(const AnswerHead& head);

}  // namespace rudderloom

#endif
