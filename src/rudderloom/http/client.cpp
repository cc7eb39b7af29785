#include "rudderloom/http/client.hpp"

#include <netinet/tcp.h>  // for TCP_USER_TIMEOUT, TCP_KEEPIDLE
#include <sys/socket.h>   // for recv, setsockopt, MSG_PEEK

#include <algorithm>  // for max
#include <array>      // for array
#include <charconv>   // for from_chars
#include <optional>   // for optional
#include <stdexcept>  // for invalid_argument

#include "rudderloom/http/watchdog.hpp"  // for Watchdog

namespace rudderloom {

namespace {

constexpr std::size_t kChunkBytes = 16 * 1024;
// Four times the largest list of the platform's store.
constexpr std::size_t kMaxCallBytes = 4 * 1024 * 1024;
// Of all calls together, so that many faulty peers don't fill a node's memory. Most bodies are
// shorter than what each call may hold besides.
constexpr std::size_t kMaxHeldBytes = 16 * 1024 * 1024;
constexpr std::size_t kFreeCallBytes = 16 * 1024;
constexpr std::size_t kMaxIdlePerAddress = 64;

constexpr int kKeepaliveProbes = 2;
constexpr Duration kPeerSilenceLimit{2'500};

void SetOption(tcp::socket& socket, int level, int name, int value) {
  ::setsockopt(socket.native_handle(), level, name, &value, sizeof(value));
}

void CloseSocket(tcp::socket& socket) {
  boost::system::error_code ignored;
  socket.close(ignored);
}

bool IsStillOpen(tcp::socket& socket) {
  char byte = 0;
  const auto got = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

}  // namespace

void EnableDeadPeerDetection(tcp::socket& socket, Duration limit) {
  const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(limit).count();
  const int interval = std::max(1, static_cast<int>(seconds) / (kKeepaliveProbes + 1));
  SetOption(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(socket, IPPROTO_TCP, TCP_KEEPIDLE, interval);
  SetOption(socket, IPPROTO_TCP, TCP_KEEPINTVL, interval);
  SetOption(socket, IPPROTO_TCP, TCP_KEEPCNT, kKeepaliveProbes);
  SetOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(limit.count()));
}

tcp::endpoint ParseAddress(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  if (colon == std::string::npos) {
    throw std::invalid_argument("no port in address: " + address);
  }
  std::uint16_t port = 0;
  const char* end = address.data() + address.size();
  const auto parsed = std::from_chars(address.data() + colon + 1, end, port);
  boost::system::error_code error;
  const auto ip = asio::ip::make_address(address.substr(0, colon), error);
  if (error || parsed.ec != std::errc() || parsed.ptr != end || port == 0) {
    throw std::invalid_argument("not an IP address and port: " + address);
  }
  return {ip, port};
}

HttpRequest MakeRequest(http::verb verb,
                        const std::string& address,
                        const std::string& target,
                        std::string body) {
  HttpRequest request(verb, target, 11);
  request.set(http::field::host, address);
  if (!body.empty()) {
    request.set(http::field::content_type, "application/json");
  }
  request.body() = std::move(body);
  request.prepare_payload();
  return request;
}

HttpStream::HttpStream(tcp::socket socket, CallTimeouts times, CallGuard* guard)
    : socket_(std::move(socket)), timeouts_(times), guard_(guard) {
  if (guard_ != nullptr) {
    guard_->SetCancel([this] { CloseSocket(socket_); });
  }
}

HttpStream::~HttpStream() {
  if (guard_ != nullptr) {
    guard_->SetCancel({});
  }
}

HttpFailure HttpStream::FailureAfterSend(boost::system::error_code error, bool timed_out) const {
  HttpFailure failure;
  failure.may_have_been_sent = true;
  failure.timed_out = timed_out || error == asio::error::timed_out;
  failure.message = failure.timed_out ? "timed out" : error.message();
  return failure;
}

Awaitable<std::variant<HttpStream::End, HttpFailure>> HttpStream::Start(
    const HttpRequest& request) {
  Watchdog watchdog(socket_, timeouts_.first_byte);
  const auto [write_error, written] = co_await http::async_write(socket_, request, kAsTuple);
  if (write_error) {
    HttpFailure failure = FailureAfterSend(write_error, watchdog.Expired());
    failure.may_have_been_sent = written > 0;
    co_return failure;
  }
  const bool is_head_request = request.method() == http::verb::head;
  const auto error = co_await ReadAnswerHead(socket_, buffer_, parser_, is_head_request);
  if (error) {
    co_return FailureAfterSend(error, watchdog.Expired());
  }
  co_return End{};
}

unsigned HttpStream::Status() const {
  return parser_->get().result_int();
}

std::string HttpStream::Header(std::string_view name) const {
  const auto found = parser_->get().find(beast::string_view(name.data(), name.size()));
  return found == parser_->get().end() ? std::string() : std::string(found->value());
}

HeaderList HttpStream::EndToEndHeaders() const {
  HeaderList headers;
  for (const auto& field : parser_->get()) {
    const bool hop_by_hop =
        field.name() == http::field::connection || field.name() == http::field::keep_alive ||
        field.name() == http::field::transfer_encoding ||
        field.name() == http::field::content_length || field.name() == http::field::upgrade;
    if (!hop_by_hop) {
      headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
    }
  }
  return headers;
}

Awaitable<std::variant<std::string, HttpStream::End, HttpFailure>> HttpStream::ReadSome() {
  std::array<char, kChunkBytes> chunk;
  while (!parser_->is_done()) {
    parser_->get().body().data = chunk.data();
    parser_->get().body().size = chunk.size();
    Watchdog watchdog(socket_, timeouts_.between);
    const auto [error, size] = co_await http::async_read_some(socket_, buffer_, *parser_, kAsTuple);
    const std::size_t got = chunk.size() - parser_->get().body().size;
    if (got > 0) {
      co_return std::string(chunk.data(), got);
    }
    if (error && error != http::error::need_buffer) {
      co_return FailureAfterSend(error, watchdog.Expired());
    }
  }
  co_return End{};
}

bool HttpStream::Reusable() const {
  return parser_->is_done() && parser_->get().keep_alive() && !parser_->get().need_eof() &&
         buffer_.size() == 0 && socket_.is_open();
}

Awaitable<std::variant<std::string, HttpFailure>> ReadBody(HttpStream& stream, ByteShare& held) {
  std::string body;
  while (true) {
    auto chunk = co_await stream.ReadSome();
    if (auto* failure = std::get_if<HttpFailure>(&chunk)) {
      co_return std::move(*failure);
    }
    if (std::holds_alternative<HttpStream::End>(chunk)) {
      co_return body;
    }
    body += std::get<std::string>(chunk);
    held.Set(body.size());
    if (held.Full()) {
      co_return HttpFailure{true, false, false, "the response is too long"};
    }
  }
}

HttpClient::HttpClient(asio::io_context& context)
    : context_(context), bodies_(std::make_shared<ByteBudget>(kMaxHeldBytes)) {}

std::optional<tcp::socket> HttpClient::TakeIdle(const std::string& address) {
  auto& connections = idle_connections_[address];
  while (!connections.empty()) {
    tcp::socket socket = std::move(connections.back().socket);
    connections.pop_back();
    if (IsStillOpen(socket)) {
      return socket;
    }
  }
  return std::nullopt;
}

void HttpClient::CloseIdleUnusedSince(const std::string& address, TimePoint cutoff) {
  std::erase_if(idle_connections_[address], [&](const IdleConnection& connection) {
    return connection.last_used_at <= cutoff;
  });
}

// Connects a closed socket; returns the failure, if any.
Awaitable<std::optional<HttpFailure>> HttpClient::Connect(tcp::socket& socket,
                                                          std::string address,
                                                          Duration limit,
                                                          CallGuard* guard) {
  tcp::endpoint endpoint;
  try {
    endpoint = ParseAddress(address);
  } catch (const std::invalid_argument& error) {
    co_return HttpFailure{false, false, false, error.what()};
  }
  Watchdog watchdog(socket, limit);
  if (guard != nullptr) {
    guard->SetCancel([&socket] { CloseSocket(socket); });
  }
  const auto [error] = co_await socket.async_connect(endpoint, kAsTuple);
  if (guard != nullptr) {
    guard->SetCancel({});
  }
  if (error) {
    HttpFailure failure;
    failure.timed_out = watchdog.Expired();
    failure.message = "connect: " + error.message();
    co_return failure;
  }
  boost::system::error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  EnableDeadPeerDetection(socket, kPeerSilenceLimit);
  co_return std::nullopt;
}

Awaitable<std::variant<std::unique_ptr<HttpStream>, HttpFailure>> HttpClient::Open(
    std::string address,
    HttpRequest request,
    CallTimeouts times,
    ConnectionReuse reuse,
    CallGuard* guard) {
  if (guard != nullptr && guard->Interrupted()) {
    co_return HttpFailure{false, false, false, "interrupted"};
  }
  std::optional<tcp::socket> socket;
  if (reuse == ConnectionReuse::kAllowed) {
    socket = TakeIdle(address);
  }
  const bool reused = socket.has_value();
  if (!socket) {
    socket.emplace(context_);
    auto failure = co_await Connect(*socket, address, times.connect, guard);
    if (failure) {
      co_return std::move(*failure);
    }
  }
  auto stream = std::make_unique<HttpStream>(std::move(*socket), times, guard);
  const TimePoint started_at = Now();
  auto started = co_await stream->Start(request);
  if (auto* failure = std::get_if<HttpFailure>(&started)) {
    failure->on_reused_connection = reused;
    // Pooled connections can stop responding together, without a reset, while new ones still work.
    // Keeping them would cost one further call its full timeout for each of them.
    if (reused && failure->timed_out) {
      CloseIdleUnusedSince(address, started_at);
    }
    co_return *failure;
  }
  co_return stream;
}

Awaitable<std::variant<HttpResponse, HttpFailure>> HttpClient::Call(std::string address,
                                                                    HttpRequest request,
                                                                    CallTimeouts times,
                                                                    ConnectionReuse reuse) {
  auto opened = co_await Open(address, std::move(request), times, reuse);
  if (auto* failure = std::get_if<HttpFailure>(&opened)) {
    co_return *failure;
  }
  auto stream = std::move(std::get<std::unique_ptr<HttpStream>>(opened));
  HttpResponse response;
  response.result(stream->Status());
  for (const auto& [name, value] : stream->EndToEndHeaders()) {
    response.insert(name, value);
  }
  const std::shared_ptr<ByteBudget> bodies = bodies_;
  ByteShare held(*bodies, kFreeCallBytes, kMaxCallBytes);
  auto body = co_await ReadBody(*stream, held);
  if (auto* failure = std::get_if<HttpFailure>(&body)) {
    co_return std::move(*failure);
  }
  response.body() = std::move(std::get<std::string>(body));
  Release(address, std::move(stream));
  co_return response;
}

void HttpClient::Release(const std::string& address, std::unique_ptr<HttpStream> stream) {
  if (!stream->Reusable()) {
    return;
  }
  auto& connections = idle_connections_[address];
  if (connections.size() < kMaxIdlePerAddress) {
    connections.push_back({stream->TakeSocket(), Now()});
  }
}

}  // namespace rudderloom
