/// @file
/// The Cap'n Proto server of an entry node, for heartbeats of peers and operator calls.
#ifndef RUDDERLOOM_PEERS_NODE_SERVER_HPP
#define RUDDERLOOM_PEERS_NODE_SERVER_HPP

#include <cstdint>     // for uint16_t
#include <functional>  // for function
#include <memory>      // for shared_ptr
#include <string>      // for string

#include "rudderloom/control/contact.hpp"                 // for ContactMonitor
#include "rudderloom/control/control_state.hpp"           // for NodeReport
#include "rudderloom/control/messages.hpp"                // for message::Any
#include "rudderloom/operators/configuration_change.hpp"  // for ChangeRequest
#include "rudderloom/telemetry/metrics.hpp"               // for Metrics

namespace rudderloom {

/// @brief Callbacks of the server.
/// @ingroup peers
struct NodeServerHooks {
  std::function<void(message::Any)> post;  ///< Sends a message to the control state.
  /// @brief Applies a change. The callback may be called from any thread.
  std::function<void(ChangeRequest, std::function<void(ChangeResult)>)> change;
};

/// @brief Runs a Cap'n Proto event loop on its own thread.
/// @ingroup peers
class NodeServer {
 public:
  /// @brief Starts listening. With port 0 the kernel chooses a free port.
  /// @throws kj::Exception if the address can't be bound.
  NodeServer(const ListenerSettings& listener,
             MembershipSettings membership,
             ContactMonitor& contact,
             Metrics& metrics);
  NodeServer(const NodeServer&) = delete;
  NodeServer& operator=(const NodeServer&) = delete;
  ~NodeServer();

  /// @brief Returns the bound IP address and port.
  const std::string& Address() const { return address_; }

  /// @brief Starts to serve calls and to send heartbeats.
  void Start(NodeServerHooks hooks);

  /// @brief Stops the event loop. No hook is called afterwards.
  void Stop();

  /// @brief Stores the latest report. May be called from any thread.
  void UpdateReport(std::shared_ptr<const NodeReport> report);

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
  std::string address_;
};

}  // namespace rudderloom

#endif
