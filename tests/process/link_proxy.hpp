// A TCP proxy in front of an endpoint that can cut the links of single nodes to it.
#ifndef RUDDERLOOM_TESTS_PROCESS_LINK_PROXY_HPP
#define RUDDERLOOM_TESTS_PROCESS_LINK_PROXY_HPP

#include <cstdint>     // for uint16_t
#include <functional>  // for function
#include <memory>      // for unique_ptr
#include <set>         // for set
#include <string>      // for string

namespace rudderloom::tests {

/// @brief What happens to the connections of a node whose link is cut.
enum class LinkCut {
  kReset,     ///< Open and new connections are reset.
  kSilent,    ///< Open and new connections carry no data.
  kOpenLive,  ///< Open connections work; new ones are reset.
};

/// @brief Identifies a connection between two ports of 127.0.0.1.
struct LoopbackPorts {
  std::uint16_t client = 0;
  std::uint16_t server = 0;
};

/// @brief Returns the name of the node whose process opened the connection; empty for any other
/// process.
using NodeOfConnection = std::function<std::string(const LoopbackPorts&)>;

/// @brief Forwards connections to an endpoint, on a thread of its own.
class LinkProxy {
 public:
  explicit LinkProxy(NodeOfConnection node_of_connection);
  LinkProxy(const LinkProxy&) = delete;
  LinkProxy& operator=(const LinkProxy&) = delete;
  ~LinkProxy();

  const std::string& Address() const;
  void SetTarget(const std::string& address);

  /// @brief Cuts the links of these nodes, and of no others.
  void Cut(const std::set<std::string>& nodes, LinkCut how);
  void Restore() { Cut({}, LinkCut::kReset); }

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

/// @brief Returns the inode of the client's socket; 0 if there is none. Asks the kernel for this
/// one connection, as reading its whole table takes tens of milliseconds.
std::uint32_t ClientSocketInode(const LoopbackPorts& connection);

/// @brief Returns true if the process has opened the socket with this inode.
bool HasSocket(int process, std::uint32_t inode);

}  // namespace rudderloom::tests

#endif
