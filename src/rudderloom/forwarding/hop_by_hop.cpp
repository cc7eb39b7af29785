#include "forwarding/hop_by_hop.hpp"

namespace rudderloom {

bool IsHopByHop(http::field field) {
  switch (field) {
    case http::field::connection:
    case http::field::keep_alive:
    case http::field::proxy_connection:
    case http::field::te:
    case http::field::trailer:
    case http::field::transfer_encoding:
    case http::field::content_length:
    case http::field::upgrade:
    case http::field::expect:
      return true;
    default:
      return false;
  }
}

void EraseHopByHop(HttpRequest& request) {
  for (auto field = request.begin(); field != request.end();) {
    field = IsHopByHop(field->name()) ? request.erase(field) : std::next(field);
  }
}

void SetPayloadLength(HttpRequest& request) {
  if (request.body().empty()) {
    request.prepare_payload();
  } else {
    request.content_length(request.body().size());
  }
}

HeaderList EndToEndHeaders(const AnswerHead& head) {
  HeaderList headers;
  for (const auto& field : head) {
    if (!IsHopByHop(field.name()) && field.name() != http::field::content_type) {
      headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
    }
  }
  return headers;
}

}  // namespace rudderloom
