#include "process/link_proxy.hpp"

#include <arpa/inet.h>        // for htons, htonl
#include <linux/inet_diag.h>  // for inet_diag_req_v2
#include <linux/netlink.h>    // for nlmsghdr
#include <linux/sock_diag.h>  // for SOCK_DIAG_BY_FAMILY
#include <netinet/in.h>       // for INADDR_LOOPBACK
#include <sys/socket.h>       // for socket
#include <unistd.h>           // for close

#include <array>       // for array
#include <filesystem>  // for directory_iterator
#include <future>      // for promise
#include <list>        // for list
#include <thread>      // for thread

#include "rudderloom/http/client.hpp"               // for ParseAddress
#include "rudderloom/http/destroyable_context.hpp"  // for DestroyableContext
#include "rudderloom/http/pause.hpp"                // for PauseFor

namespace rudderloom::tests {

namespace {

constexpr std::size_t kChunkBytes = 16 * 1024;
constexpr Duration kCutCheckInterval{10};

void ResetConnection(tcp::socket& socket) {
  boost::system::error_code ignored;
  socket.set_option(asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

}  // namespace

std::uint32_t ClientSocketInode(const LoopbackPorts& connection) {
  struct Request {
    nlmsghdr header;
    inet_diag_req_v2 query;
  };
  Request request{};
  request.header.nlmsg_len = sizeof(request);
  request.header.nlmsg_type = SOCK_DIAG_BY_FAMILY;
  request.header.nlmsg_flags = NLM_F_REQUEST;
  request.query.sdiag_family = AF_INET;
  request.query.sdiag_protocol = IPPROTO_TCP;
  request.query.idiag_states = ~0U;
  request.query.id.idiag_sport = htons(connection.client);
  request.query.id.idiag_dport = htons(connection.server);
  request.query.id.idiag_src[0] = htonl(INADDR_LOOPBACK);
  request.query.id.idiag_dst[0] = htonl(INADDR_LOOPBACK);
  request.query.id.idiag_cookie[0] = INET_DIAG_NOCOOKIE;
  request.query.id.idiag_cookie[1] = INET_DIAG_NOCOOKIE;
  const int kernel = ::socket(AF_NETLINK, SOCK_RAW, NETLINK_SOCK_DIAG);
  struct Answer {
    nlmsghdr header;
    inet_diag_msg socket;
    std::array<char, 512> attributes;
  };
  Answer answer{};
  const bool answered = ::send(kernel, &request, sizeof(request), 0) > 0 &&
                        ::recv(kernel, &answer, sizeof(answer), 0) > 0;
  ::close(kernel);
  return answered && answer.header.nlmsg_type == SOCK_DIAG_BY_FAMILY ? answer.socket.idiag_inode
                                                                     : 0;
}

bool HasSocket(int process, std::uint32_t inode) {
  const std::string socket = "socket:[" + std::to_string(inode) + "]";
  const std::string directory = "/proc/" + std::to_string(process) + "/fd";
  std::error_code error;
  std::filesystem::directory_iterator entry(directory, error);
  while (!error && entry != std::filesystem::directory_iterator()) {
    if (std::filesystem::read_symlink(entry->path(), error) == socket) {
      return true;
    }
    entry.increment(error);
  }
  return false;
}

struct LinkProxy::Impl {
  struct Link {
    explicit Link(asio::io_context& context) : node(context), endpoint(context) {}
    std::string name;
    tcp::socket node;
    tcp::socket endpoint;
  };
  using LinkPtr = std::shared_ptr<Link>;

  explicit Impl(NodeOfConnection connection_owner)
      : node_of_connection(std::move(connection_owner)),
        acceptor(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)),
        address("127.0.0.1:" + std::to_string(acceptor.local_endpoint().port())) {
    asio::co_spawn(context, AcceptLoop(), asio::detached);
    thread = std::thread([this] { context.run(); });
  }

  ~Impl() {
    context.stop();
    thread.join();
    context.DestroyCoroutines();
  }

  bool IsCut(const std::string& node) const { return cut_nodes.contains(node); }

  Awaitable<void> AcceptLoop() {
    while (true) {
      auto [error, socket] = co_await acceptor.async_accept(kAsTuple);
      if (error) {
        co_return;
      }
      auto link = std::make_shared<Link>(context);
      link->node = std::move(socket);
      asio::co_spawn(context, Serve(link), asio::detached);
    }
  }

  Awaitable<void> Serve(LinkPtr link) {
    boost::system::error_code ignored;
    link->name = node_of_connection(
        {link->node.remote_endpoint(ignored).port(), acceptor.local_endpoint(ignored).port()});
    if (IsCut(link->name) && how != LinkCut::kSilent) {
      ResetConnection(link->node);
      co_return;
    }
    co_await AwaitRestore(link);
    const auto [error] = co_await link->endpoint.async_connect(ParseAddress(target), kAsTuple);
    if (error) {
      ResetConnection(link->node);
      co_return;
    }
    link->node.set_option(tcp::no_delay(true), ignored);
    link->endpoint.set_option(tcp::no_delay(true), ignored);
    links.push_back(link);
    asio::co_spawn(context, Pump(link, link->node, link->endpoint), asio::detached);
    co_await Pump(link, link->endpoint, link->node);
    links.remove(link);
  }

  Awaitable<void> AwaitRestore(LinkPtr link) {
    while (IsCut(link->name) && how == LinkCut::kSilent) {
      co_await PauseFor(context, kCutCheckInterval);
    }
  }

  Awaitable<void> Pump(LinkPtr link, tcp::socket& from, tcp::socket& to) {
    std::array<char, kChunkBytes> chunk;
    while (true) {
      const auto [read_error, size] = co_await from.async_read_some(asio::buffer(chunk), kAsTuple);
      co_await AwaitRestore(link);
      if (read_error == asio::error::eof) {
        boost::system::error_code ignored;
        to.shutdown(tcp::socket::shutdown_send, ignored);
        co_return;
      }
      if (read_error) {
        ResetConnection(from);
        ResetConnection(to);
        co_return;
      }
      const auto [error, written] =
          co_await asio::async_write(to, asio::buffer(chunk.data(), size), kAsTuple);
      if (error) {
        ResetConnection(from);
        co_return;
      }
    }
  }

  void Cut(const std::set<std::string>& nodes, LinkCut cut) {
    cut_nodes = nodes;
    how = cut;
    for (const LinkPtr& link : links) {
      if (how == LinkCut::kReset && IsCut(link->name)) {
        ResetConnection(link->node);
        ResetConnection(link->endpoint);
      }
    }
  }

  // Runs the action on the proxy's thread and waits for it.
  void RunOnThread(const std::function<void()>& action) {
    std::promise<void> done;
    asio::post(context, [&] {
      action();
      done.set_value();
    });
    done.get_future().wait();
  }

  NodeOfConnection node_of_connection;
  DestroyableContext context{1};
  tcp::acceptor acceptor;
  const std::string address;
  std::string target;
  std::list<LinkPtr> links;
  std::set<std::string> cut_nodes;
  LinkCut how = LinkCut::kReset;
  std::thread thread;
};

LinkProxy::LinkProxy(NodeOfConnection node_of_connection)
    : impl_(std::make_unique<Impl>(std::move(node_of_connection))) {}

LinkProxy::~LinkProxy() = default;

const std::string& LinkProxy::Address() const {
  return impl_->address;
}

void LinkProxy::SetTarget(const std::string& address) {
  impl_->RunOnThread([&] { impl_->target = address; });
}

void LinkProxy::Cut(const std::set<std::string>& nodes, LinkCut how) {
  impl_->RunOnThread([&] { impl_->Cut(nodes, how); });
}

}  // namespace rudderloom::tests
