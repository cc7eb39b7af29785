/// @file
/// The Cap'n Proto side of an entry node: heartbeats with peers, and operators' calls.
#ifndef RUDDERLOOM_PEERS_NODE_SERVER_HPP
#define RUDDERLOOM_PEERS_NODE_SERVER_HPP

#include <cstdint>     // for uint16_t
#include <functional>  // for function
#include <memory>      // for shared_ptr
#include <string>      // for string

#include "rudderloom/control/contact.hpp"                 // for Contact
#include "rudderloom/control/control_state.hpp"           // for NodeReport
#include "rudderloom/control/messages.hpp"                // for message::Any
#include "rudderloom/operators/configuration_change.hpp"  // for ChangeRequest
#include "rudderloom/telemetry/metrics.hpp"               // for Metrics

namespace rudderloom {

/// @brief What the server hands on.
/// @ingroup peers
struct NodeServerHooks {
  std::function<void(message::Any)> post;
  /// @brief Makes a change and calls back, from any thread.
  std::function<void(ChangeRequest, std::function<void(ChangeResult)>)> change;
};

/// @brief Runs Cap'n Proto's event loop on a thread of its own.
/// @ingroup peers
class NodeServer {
 public:
  /// @brief Listens, with port 0 on one from the kernel.
  /// @throws kj::Exception when the address can't be had.
  NodeServer(const ListenerSettings& listener,
             MembershipSettings membership,
             Contact& contact,
             Metrics& metrics);
  NodeServer(const NodeServer&) = delete;
  NodeServer& operator=(const NodeServer&) = delete;
  ~NodeServer();

  /// @brief The address taken, as IP number and port.
  const std::string& Address() const { return address_; }

  /// @brief Begins to answer and to send heartbeats.
  void Start(NodeServerHooks hooks);

  /// @brief Ends the event loop; no hook is called after this.
  void Stop();

  /// @brief Takes the newest report. May be called from any thread.
  void Reported(std::shared_ptr<const NodeReport> report);

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
  std::string address_;
};

}  // namespace rudderloom

#endif
