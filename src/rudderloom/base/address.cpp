#include "rudderloom/base/address.hpp"

#include <boost/asio/ip/address.hpp>  // for make_address
#include <charconv>                   // for from_chars

namespace rudderloom {

bool IsAddress(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos) {
    return false;
  }
  boost::system::error_code error;
  boost::asio::ip::make_address(text.substr(0, colon), error);
  std::uint16_t port = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
  return !error && parsed.ec == std::errc() && parsed.ptr == end;
}

}  // namespace rudderloom
