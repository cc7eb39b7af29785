// A Cap'n Proto connection to another entry node, for use on a kj event loop.
#ifndef RUDDERLOOM_PEERS_PEER_CONNECTION_HPP
#define RUDDERLOOM_PEERS_PEER_CONNECTION_HPP

#include <capnp/rpc-twoparty.h>  // for TwoPartyClient
#include <kj/async-io.h>         // for Network, AsyncIoStream
#include <memory>                // for shared_ptr
#include <string>                // for string

namespace rudderloom {

// An established connection and its bootstrap capability. It must outlive every capability received
// over it. EzRpcClient is not used: if it is destroyed while connecting, its pending steps access
// freed memory, and if it is used again after the connection was closed, its destructor throws.
struct PeerConnection {
  explicit PeerConnection(kj::Own<kj::AsyncIoStream> connected)
      : stream(kj::mv(connected)), client(*stream), main(client.bootstrap()) {}

  kj::Own<kj::AsyncIoStream> stream;
  capnp::TwoPartyClient client;
  capnp::Capability::Client main;
};

// Connects to an IP address and port. Destroying the promise cancels the attempt.
inline kj::Promise<std::shared_ptr<PeerConnection>> ConnectToPeer(kj::Network& network,
                                                                  const std::string& address) {
  return network.parseAddress(address)
      .then([](kj::Own<kj::NetworkAddress>&& parsed) {
        auto connected = parsed->connect();
        return connected.attach(kj::mv(parsed));
      })
      .then([](kj::Own<kj::AsyncIoStream>&& stream) {
        return std::make_shared<PeerConnection>(kj::mv(stream));
      });
}

}  // namespace rudderloom

#endif
