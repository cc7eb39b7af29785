/// @file
/// I/O for the control state: watches on the platform, load polls, orders and timers.
#ifndef RUDDERLOOM_CONTROL_CONTROL_SHELL_HPP
#define RUDDERLOOM_CONTROL_CONTROL_SHELL_HPP

#include <functional>  // for function
#include <memory>      // for shared_ptr
#include <string>      // for string

#include "rudderloom/control/contact.hpp"        // for ContactMonitor
#include "rudderloom/control/control_state.hpp"  // for NodeReport
#include "rudderloom/control/messages.hpp"       // for message::Any
#include "rudderloom/control/order_sender.hpp"   // for OrderSender
#include "rudderloom/http/client.hpp"            // for HttpClient
#include "rudderloom/store/object_store.hpp"     // for ObjectStore
#include "rudderloom/telemetry/metrics.hpp"      // for Metrics

namespace rudderloom {

/// @brief Runs on the thread of one io_context and posts messages to the control state.
/// @ingroup control
class ControlShell {
 public:
  ControlShell(asio::io_context& context,
               Settings settings,
               std::string incarnation,
               std::string peers_address,
               ObjectStore& store,
               ContactMonitor& contact,
               Metrics& metrics,
               std::function<void(message::Any)> post);

  /// @brief Starts the watches, polls and timers.
  void Start();

  /// @brief Executes effects of the control state. May be called from any thread.
  void Execute(PoolEffects effects);

  /// @brief Stores the latest report. May be called from any thread.
  void UpdateReport(std::shared_ptr<const NodeReport> report);

  /// @brief Deletes this node's object from the platform. Gives up after one second.
  Awaitable<void> Unregister();

 private:
  using OnList = std::function<void(const ObjectList&)>;
  using OnEvent = std::function<void(const WatchEvent&)>;

  Awaitable<void> WatchKind(std::string_view kind, OnList on_list, OnEvent on_event);
  Awaitable<void> Register();
  Awaitable<void> TickLoop();
  Awaitable<void> PollLoop();
  Awaitable<void> ConfirmLoop();
  Awaitable<void> Poll(std::string name, std::string address, bool service);
  Awaitable<void> WritePoolRecord(WritePool write);
  Awaitable<void> ReadPoolRecord(ReadPool read);
  Awaitable<void> SendOrder(Order order);
  void LogMove(const MoveDecided& move);
  void PostConfiguration(const StoredObject& object);
  void StartWatches();

  asio::io_context& context_;
  Settings settings_;
  std::string incarnation_;
  std::string peers_address_;
  ObjectStore& store_;
  ContactMonitor& contact_;
  Metrics& metrics_;
  std::function<void(message::Any)> post_;
  HttpClient client_;
  OrderSender orders_;
  std::shared_ptr<const NodeReport> report_;
  std::map<std::string, TimePoint> polled_at_;
  std::map<std::string, std::vector<std::string>> pool_writers_;
  std::map<std::string, NodeState> listed_nodes_;
  std::uint64_t write_count_ = 0;
};

}  // namespace rudderloom

#endif
