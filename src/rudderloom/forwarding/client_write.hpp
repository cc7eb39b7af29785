// Observes how long a client takes to accept a piece of its answer.
#ifndef RUDDERLOOM_FORWARDING_CLIENT_WRITE_HPP
#define RUDDERLOOM_FORWARDING_CLIENT_WRITE_HPP

#include <string>  // for string

#include "rudderloom/forwarding/forwarder.hpp"  // for ForwardingState

namespace rudderloom {

// Lasts as long as a write to a client. While it does, nothing is read from the endpoint.
class ClientWrite {
 public:
  // `state` must outlive this object. `bytes` are held in the process until the write ends.
  ClientWrite(ForwardingState& state, const std::string& request_id, std::size_t bytes);
  ClientWrite(const ClientWrite&) = delete;
  ClientWrite& operator=(const ClientWrite&) = delete;
  ~ClientWrite();

 private:
  ForwardingState& state_;
  const ReaderMemory::Writes::iterator write_;
};

// Logs and counts the clients that have not read for so long that their requests are paused.
// Called periodically.
void ReviewSlowReaders(ForwardingState& state);

}  // namespace rudderloom

#endif
