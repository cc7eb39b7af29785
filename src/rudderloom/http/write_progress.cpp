#include "rudderloom/http/write_progress.hpp"

#include <linux/sockios.h>  // for SIOCOUTQ
#include <sys/ioctl.h>      // for ioctl

namespace rudderloom {

namespace {

// Bytes that the socket has accepted and its peer has not acknowledged; 0 if the system can't tell.
std::int64_t UnacknowledgedBytes(tcp::socket& socket) {
  int bytes = 0;
  return ::ioctl(socket.native_handle(), SIOCOUTQ, &bytes) == 0 ? bytes : 0;
}

}  // namespace

bool WriteProgress::HasGrown() {
  const std::int64_t acknowledged = accepted_ - UnacknowledgedBytes(socket_);
  const bool has_grown = acknowledged > acknowledged_;
  acknowledged_ = acknowledged;
  return has_grown;
}

}  // namespace rudderloom
