#include "rudderloom/forwarding/endpoint_connection.hpp"

#include <sys/socket.h>  // for recv, MSG_PEEK

#include <algorithm>  // for max
#include <array>      // for array
#include <charconv>   // for from_chars
#include <sstream>    // for ostringstream

#include "rudderloom/http/client.hpp"  // for ParseAddress, EnableDeadPeerDetection

namespace rudderloom {

namespace {

constexpr std::size_t kReadBufferBytes = 16 * 1024;
constexpr std::size_t kMaxIdlePerInstance = 32;
constexpr Duration kPeerSilenceLimit{3'000};
constexpr Duration kDefaultKeepAlive{4'000};
// The endpoint may close slightly before the announced time.
constexpr Duration kKeepAliveMargin{1'000};

bool IsLocalError(const boost::system::error_code& error) {
  return error == asio::error::no_descriptors || error == asio::error::no_buffer_space ||
         error == asio::error::no_memory ||
         error == boost::system::errc::too_many_files_open_in_system;
}

}  // namespace

EndpointConnection::EndpointConnection(asio::io_context& context)
    : channel_(std::make_shared<Channel>(context)), socket_(channel_->socket) {}

EndpointConnection::~EndpointConnection() {
  Close();
}

Awaitable<std::optional<ConnectionFailure>> EndpointConnection::Connect(std::string address) {
  tcp::endpoint endpoint;
  try {
    endpoint = ParseAddress(address);
  } catch (const std::invalid_argument& error) {
    co_return ConnectionFailure{false, error.what()};
  }
  if (closed_) {
    co_return ConnectionFailure{false, "closed"};
  }
  boost::system::error_code ignored;
  if (buffer_bytes_ > 0) {
    // The receive buffer's size decides the window that is offered with the connection's first
    // packet.
    const auto size = static_cast<int>(buffer_bytes_);
    socket_.open(endpoint.protocol(), ignored);
    socket_.set_option(asio::socket_base::receive_buffer_size(size), ignored);
    socket_.set_option(asio::socket_base::send_buffer_size(size), ignored);
  }
  const auto [error] = co_await socket_.async_connect(endpoint, kAsTuple);
  if (error) {
    ConnectionFailure failure;
    failure.message = "connect: " + error.message();
    failure.refused = error == asio::error::connection_refused;
    failure.local = IsLocalError(error);
    co_return failure;
  }
  socket_.set_option(tcp::no_delay(true), ignored);
  EnableDeadPeerDetection(socket_, kPeerSilenceLimit);
  co_return std::nullopt;
}

void EndpointConnection::StartRequest(const HttpRequest& request) {
  std::ostringstream head;
  head << request.base();
  channel_->request = head.str() + request.body();
  channel_->write = Write::kRunning;
  asio::async_write(socket_, asio::buffer(channel_->request),
                    [channel = channel_](boost::system::error_code error, std::size_t) {
                      channel->request = std::string();
                      channel->write = error ? Write::kFailed : Write::kDone;
                    });
}

ConnectionFailure EndpointConnection::Failure(boost::system::error_code error) const {
  return {channel_->write != Write::kNone, error.message()};
}

Awaitable<std::variant<EndpointConnection::End, ConnectionFailure>> EndpointConnection::ReadHead(
    bool is_head_request) {
  const auto error = co_await ReadAnswerHead(socket_, buffer_, parser_, is_head_request);
  if (error) {
    co_return Failure(error);
  }
  co_return End{};
}

const AnswerHead& EndpointConnection::Head() const {
  return parser_->get().base();
}

Awaitable<std::variant<std::string, EndpointConnection::End, ConnectionFailure>>
EndpointConnection::ReadSome() {
  std::array<char, kReadBufferBytes> chunk;
  while (!parser_->is_done()) {
    parser_->get().body().data = chunk.data();
    parser_->get().body().size = chunk.size();
    const auto [error, size] = co_await http::async_read_some(socket_, buffer_, *parser_, kAsTuple);
    const std::size_t received = chunk.size() - parser_->get().body().size;
    if (received > 0) {
      co_return std::string(chunk.data(), received);
    }
    if (error && error != http::error::need_buffer) {
      co_return Failure(error);
    }
  }
  // The system tells the error of a connection once. If the write has taken it, the read sees a
  // close.
  if (EndsWithConnection() && channel_->write == Write::kFailed) {
    co_return ConnectionFailure{true, "the request could not be written"};
  }
  co_return End{};
}

Awaitable<std::optional<ConnectionFailure>> EndpointConnection::SkipBody() {
  while (true) {
    auto chunk = co_await ReadSome();
    if (auto* failure = std::get_if<ConnectionFailure>(&chunk)) {
      co_return std::move(*failure);
    }
    if (std::holds_alternative<End>(chunk)) {
      co_return std::nullopt;
    }
  }
}

bool EndpointConnection::Reusable() const {
  return may_reuse_ && socket_.is_open() && parser_ && parser_->is_done() &&
         parser_->get().keep_alive() && !parser_->get().need_eof() && buffer_.size() == 0 &&
         channel_->write == Write::kDone;
}

bool EndpointConnection::IsIdle() {
  char byte = 0;
  const auto received = ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

Duration EndpointConnection::KeepAliveTime() const {
  const auto found = Head().find(http::field::keep_alive);
  if (found == Head().end()) {
    return kDefaultKeepAlive;
  }
  const std::string_view text(found->value().data(), found->value().size());
  constexpr std::string_view kTimeout = "timeout=";
  const std::size_t at = text.find(kTimeout);
  if (at == std::string_view::npos) {
    return kDefaultKeepAlive;
  }
  int seconds = 0;
  std::from_chars(text.data() + at + kTimeout.size(), text.data() + text.size(), seconds);
  const Duration announced = std::chrono::seconds(seconds);
  return std::max(announced - kKeepAliveMargin, announced / 4);
}

void EndpointConnection::Close() {
  closed_ = true;
  boost::system::error_code ignored;
  socket_.close(ignored);
}

std::unique_ptr<EndpointConnection> ConnectionPool::Take(const std::string& instance,
                                                         TimePoint now) {
  const auto found = idle_.find(instance);
  if (found == idle_.end()) {
    return nullptr;
  }
  auto& connections = found->second;
  while (!connections.empty()) {
    Idle idle = std::move(connections.back());
    connections.pop_back();
    if (now < idle.reusable_until && idle.connection->IsIdle()) {
      return std::move(idle.connection);
    }
  }
  return nullptr;
}

void ConnectionPool::Put(const std::string& instance,
                         std::unique_ptr<EndpointConnection> connection,
                         TimePoint now) {
  auto& connections = idle_[instance];
  if (!connection->Reusable() || connections.size() >= kMaxIdlePerInstance) {
    return;
  }
  const TimePoint reusable_until = now + connection->KeepAliveTime();
  connections.push_back({std::move(connection), now, reusable_until});
}

void ConnectionPool::DropIdleSince(const std::string& instance, TimePoint since) {
  const auto found = idle_.find(instance);
  if (found != idle_.end()) {
    std::erase_if(found->second, [&](const Idle& idle) { return idle.idle_since <= since; });
  }
}

void ConnectionPool::Trim(const std::vector<std::string>& instances, TimePoint now) {
  const std::set<std::string> known(instances.begin(), instances.end());
  std::erase_if(idle_, [&](const auto& entry) { return !known.contains(entry.first); });
  for (auto& [instance, connections] : idle_) {
    std::erase_if(connections, [&](const Idle& idle) { return now >= idle.reusable_until; });
  }
}

}  // namespace rudderloom
