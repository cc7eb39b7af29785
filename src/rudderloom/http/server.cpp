#include "rudderloom/http/server.hpp"

#include <sys/socket.h>  // for recv, MSG_PEEK

#include <optional>  // for optional
#include <utility>   // for move

#include "rudderloom/base/log_line.hpp"        // for LogLine
#include "rudderloom/http/message_limits.hpp"  // for kMaxUnparsedBytes

namespace rudderloom {

namespace {

constexpr std::size_t kReadBytes = 4096;
// Of a body, also while the budget for bodies is exhausted. Most bodies are shorter.
constexpr std::size_t kFreeBodyBytes = 16 * 1024;
// The request, and its copy that is written to an endpoint.
constexpr std::size_t kBodyCopies = 2;
constexpr Duration kAcceptRetryDelay{50};
constexpr Duration kDiscardTime{500};
// For a request that was sent before its client could see that the server stops.
constexpr Duration kLastRequestWait{50};
constexpr unsigned kInternalError = 500;

ReadFailure ToReadFailure(boost::system::error_code error) {
  if (error == http::error::header_limit || error == http::error::buffer_overflow) {
    return ReadFailure::kHeaderTooLarge;
  }
  if (error == http::error::body_limit) {
    return ReadFailure::kBodyTooLarge;
  }
  return ReadFailure::kMalformed;
}

bool IsProtocolError(boost::system::error_code error) {
  return error.category() == make_error_code(http::error::bad_method).category() &&
         error != http::error::end_of_stream && error != http::error::partial_message;
}

template <class Message>
void AddHeaders(Message& message, const HeaderList& headers) {
  for (const auto& [name, value] : headers) {
    message.set(name, value);
  }
}

}  // namespace

HttpExchange::HttpExchange(tcp::socket& socket,
                           HttpRequest request,
                           const HttpLimits& limits,
                           const bool& closing,
                           const beast::flat_buffer& received)
    : socket_(socket),
      request_(std::move(request)),
      limits_(limits),
      closing_(closing),
      received_(received),
      progress_(socket) {}

HttpExchange::~HttpExchange() {
  if (watch_) {
    watch_->on_close = nullptr;
  }
}

void HttpExchange::LimitSendBuffer(std::size_t bytes) {
  if (bytes == 0) {
    return;
  }
  boost::system::error_code ignored;
  socket_.set_option(asio::socket_base::send_buffer_size(static_cast<int>(bytes)), ignored);
  send_buffer_limited_ = true;
}

bool HttpExchange::DecideKeepAlive() {
  boost::system::error_code ignored;
  const bool has_next = received_.size() > 0 || (closing_ && socket_.available(ignored) > 0);
  keep_alive_ = request_.keep_alive() && (!closing_ || has_next);
  return keep_alive_;
}

bool HttpExchange::HasBody(unsigned status) const {
  constexpr unsigned kOk = 200;
  const auto code = http::int_to_status(status);
  return request_.method() != http::verb::head && status >= kOk &&
         code != http::status::no_content && code != http::status::not_modified;
}

HttpExchange::Framing HttpExchange::StreamFraming(unsigned status) const {
  constexpr unsigned kFirstVersionWithChunks = 11;
  if (!HasBody(status)) {
    return Framing::kNoBody;
  }
  return request_.version() >= kFirstVersionWithChunks ? Framing::kChunks : Framing::kUntilClose;
}

Awaitable<bool> HttpExchange::Send(Reply reply) {
  const bool has_body = HasBody(reply.status);
  HttpResponse response;
  response.result(reply.status);
  response.version(request_.version());
  response.keep_alive(DecideKeepAlive());
  if (!reply.content_type.empty()) {
    response.set(http::field::content_type, reply.content_type);
  }
  AddHeaders(response, reply.headers);
  if (has_body) {
    response.body() = std::move(reply.body);
    response.prepare_payload();
  }
  started_ = true;
  http::response_serializer<http::string_body> serializer(response);
  Watchdog watchdog(socket_, limits_.write_time, [this] { return progress_.HasGrown(); });
  while (!serializer.is_done()) {
    const auto [error, size] = co_await http::async_write_some(socket_, serializer, kAsTuple);
    progress_.Accepted(size);
    if (error) {
      too_slow_ = watchdog.Expired();
      co_return false;
    }
  }
  ended_ = true;
  co_return true;
}

Awaitable<bool> HttpExchange::StartStream(unsigned status,
                                          std::string content_type,
                                          HeaderList headers) {
  framing_ = StreamFraming(status);
  if (framing_ == Framing::kUntilClose) {
    CloseAfterAnswer();
  }
  http::response<http::empty_body> response;
  response.result(status);
  response.version(request_.version());
  response.keep_alive(DecideKeepAlive());
  response.set(http::field::content_type, content_type);
  AddHeaders(response, headers);
  if (framing_ == Framing::kChunks) {
    response.chunked(true);
  }
  started_ = true;
  http::response_serializer<http::empty_body> serializer(response);
  Watchdog watchdog(socket_, limits_.write_time, [this] { return progress_.HasGrown(); });
  const auto [error, size] = co_await http::async_write_header(socket_, serializer, kAsTuple);
  progress_.Accepted(size);
  too_slow_ = watchdog.Expired();
  co_return !error;
}

template <class Buffers>
Awaitable<bool> HttpExchange::Write(const Buffers& buffers) {
  beast::buffers_suffix<Buffers> rest(buffers);
  Watchdog watchdog(socket_, limits_.write_time, [this] { return progress_.HasGrown(); });
  while (asio::buffer_size(rest) > 0) {
    const auto [error, size] = co_await socket_.async_write_some(rest, kAsTuple);
    progress_.Accepted(size);
    rest.consume(size);
    if (error) {
      too_slow_ = watchdog.Expired();
      co_return false;
    }
  }
  co_return true;
}

Awaitable<bool> HttpExchange::WriteChunk(std::string_view data) {
  if (data.empty() || framing_ == Framing::kNoBody) {
    co_return true;
  }
  const auto piece = asio::buffer(data.data(), data.size());
  if (framing_ == Framing::kUntilClose) {
    const bool written = co_await Write(piece);
    co_return written;
  }
  const auto chunk = http::make_chunk(piece);
  const bool written = co_await Write(chunk);
  co_return written;
}

Awaitable<bool> HttpExchange::EndStream() {
  if (framing_ == Framing::kNoBody || framing_ == Framing::kUntilClose) {
    ended_ = true;
    co_return true;
  }
  const auto last = http::make_chunk_last();
  ended_ = co_await Write(last);
  co_return ended_;
}

bool HttpExchange::PeerClosed() {
  char byte = 0;
  const auto got = ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void HttpExchange::WatchPeer(std::function<void()> on_close) {
  watch_ = std::make_shared<PeerWatch>(PeerWatch{std::move(on_close)});
  socket_.async_wait(tcp::socket::wait_read,
                     [this, watch = watch_](boost::system::error_code error) {
                       // After StopWatching, this object may be destroyed.
                       if (!watch->on_close || (!error && !PeerClosed())) {
                         return;
                       }
                       const auto on_close = std::move(watch->on_close);
                       watch->on_close = nullptr;
                       on_close();
                     });
}

void HttpExchange::StopWatching() {
  if (watch_) {
    watch_->on_close = nullptr;
    watch_.reset();
    boost::system::error_code ignored;
    socket_.cancel(ignored);
  }
}

HttpServer::HttpServer(asio::io_context& context, HttpLimits limits, HttpHandlers handlers)
    : context_(context), limits_(limits), handlers_(std::move(handlers)), acceptor_(context) {}

std::uint16_t HttpServer::Listen(const std::string& ip, std::uint16_t port) {
  const tcp::endpoint address(asio::ip::make_address(ip), port);
  acceptor_.open(address.protocol());
  acceptor_.set_option(asio::socket_base::reuse_address(true));
  acceptor_.bind(address);
  acceptor_.listen();
  asio::co_spawn(
      context_, [self = shared_from_this()] { return self->AcceptLoop(); }, asio::detached);
  return acceptor_.local_endpoint().port();
}

void HttpServer::StopListening() {
  AcceptWaitingConnections();
  boost::system::error_code ignored;
  acceptor_.close(ignored);
}

void HttpServer::Stop() {
  StopListening();
  stopping_ = true;
  close_after_response_ = true;
  boost::system::error_code ignored;
  for (tcp::socket* socket : idle_sockets_) {
    socket->cancel(ignored);
  }
}

void HttpServer::RefusePartialRequests() {
  refuse_partial_requests_ = true;
  for (Watchdog* watchdog : reading_) {
    watchdog->Expire();
  }
}

// Closing the listening socket would reset the connections in its queue.
void HttpServer::AcceptWaitingConnections() {
  boost::system::error_code error;
  acceptor_.non_blocking(true, error);
  while (!error) {
    tcp::socket socket(context_);
    acceptor_.accept(socket, error);
    if (!error) {
      ServeInBackground(std::move(socket));
    }
  }
}

Awaitable<void> HttpServer::AcceptLoop() {
  while (!stopping_) {
    auto [error, socket] = co_await acceptor_.async_accept(kAsTuple);
    if (error == asio::error::operation_aborted || error == asio::error::bad_descriptor) {
      co_return;
    }
    if (error) {
      LogLine("accept_failed", Severity::kWarning).With("error", error.message());
      Timer pause(context_, kAcceptRetryDelay);
      co_await pause.async_wait(kAsTuple);
      continue;
    }
    ServeInBackground(std::move(socket));
  }
}

void HttpServer::ServeInBackground(tcp::socket socket) {
  boost::system::error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  auto owned = std::make_shared<tcp::socket>(std::move(socket));
  asio::co_spawn(
      context_, [self = shared_from_this(), owned] { return self->Serve(std::move(*owned)); },
      asio::detached);
}

Awaitable<void> HttpServer::Serve(tcp::socket socket) {
  ++connections_;
  if (connections_ > limits_.connections) {
    co_await Refuse(socket, ReadFailure::kTooManyConnections);
  } else {
    beast::flat_buffer buffer(kMaxUnparsedBytes);
    while (co_await ServeOne(socket, buffer)) {
    }
  }
  boost::system::error_code ignored;
  socket.shutdown(tcp::socket::shutdown_send, ignored);
  if (socket.available(ignored) > 0) {
    co_await DiscardInput(socket);
  }
  --connections_;
}

// Waits up to the idle timeout for the first byte of a request, while the server stops only for one
// that is on its way; false when the connection ends or the timeout expires first.
Awaitable<bool> HttpServer::AwaitRequest(tcp::socket& socket, beast::flat_buffer& buffer) {
  if (buffer.size() > 0) {
    co_return true;
  }
  const TimePoint idle_since = Now();
  while (true) {
    const bool last_request = stopping_;
    idle_sockets_.insert(&socket);
    const Duration idle_left = limits_.idle_time - Between(idle_since, Now());
    Watchdog watchdog(socket, last_request ? kLastRequestWait : idle_left);
    const auto [error, size] =
        co_await socket.async_read_some(buffer.prepare(kReadBytes), kAsTuple);
    idle_sockets_.erase(&socket);
    buffer.commit(size);
    if (error != asio::error::operation_aborted) {
      co_return !error;
    }
    // The client may rely on an idle timeout that was raised during the wait.
    const bool has_idle_time = !stopping_ && Between(idle_since, Now()) < limits_.idle_time;
    const bool has_stop_time = stopping_ && !last_request;
    // Timers expire before the sockets are asked if this thread was delayed.
    boost::system::error_code ignored;
    const bool has_arrived = socket.available(ignored) > 0;
    if (!has_idle_time && !has_stop_time && !has_arrived) {
      co_return false;
    }
  }
}

// Reads a request, and stops when its body may hold no more.
Awaitable<std::variant<boost::system::error_code, ReadFailure>> HttpServer::ReadRequest(
    tcp::socket& socket,
    beast::flat_buffer& buffer,
    RequestParser& parser,
    ByteShare& body) {
  const auto [head_error, head_size] =
      co_await http::async_read_header(socket, buffer, parser, kAsTuple);
  boost::system::error_code error = head_error;
  while (!error && !parser.is_done()) {
    const auto [read_error, size] =
        co_await http::async_read_some(socket, buffer, parser, kAsTuple);
    error = read_error;
    body.Set(kBodyCopies * parser.get().body().size());
    if (body.Full()) {
      co_return ReadFailure::kNoMemory;
    }
  }
  co_return error;
}

Awaitable<bool> HttpServer::ServeOne(tcp::socket& socket, beast::flat_buffer& buffer) {
  if (!co_await AwaitRequest(socket, buffer)) {
    co_return false;
  }
  RequestParser parser;
  ByteShare body(*bodies_, kBodyCopies * kFreeBodyBytes);
  parser.header_limit(limits_.header_bytes);
  parser.body_limit(limits_.body_bytes);
  std::optional<ReadFailure> failure;
  {
    Watchdog watchdog(socket, refuse_partial_requests_ ? kLastRequestWait : limits_.header_time);
    reading_.insert(&watchdog);
    const auto read = co_await ReadRequest(socket, buffer, parser, body);
    reading_.erase(&watchdog);
    const auto* stopped = std::get_if<ReadFailure>(&read);
    const auto error = stopped != nullptr ? boost::system::error_code()
                                          : std::get<boost::system::error_code>(read);
    if (stopped != nullptr) {
      failure = *stopped;
    } else if (error && watchdog.Expired()) {
      failure = refuse_partial_requests_ ? ReadFailure::kStopping : ReadFailure::kTooSlow;
    } else if (error && !IsProtocolError(error)) {
      co_return false;
    } else if (error) {
      failure = ToReadFailure(error);
    }
  }
  if (failure) {
    co_await Refuse(socket, *failure);
    co_return false;
  }
  ++active_requests_;
  HttpExchange exchange(socket, parser.release(), limits_, close_after_response_, buffer);
  bool failed = false;
  try {
    co_await handlers_.handle(exchange);
  } catch (const std::exception& error) {
    LogLine("handler_failed", Severity::kError).With("error", error.what());
    failed = true;
  }
  if (failed) {
    co_await AnswerFailed(exchange);
  }
  --active_requests_;
  if (exchange.TooSlow() && handlers_.slow_reader) {
    handlers_.slow_reader();
  }
  if (exchange.MustReset()) {
    boost::system::error_code ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
  }
  co_return exchange.KeepAlive();
}

// After a handler that threw: answers, unless the response has started and can only be cut.
Awaitable<void> HttpServer::AnswerFailed(HttpExchange& exchange) {
  if (exchange.Started()) {
    exchange.Abort();
    co_return;
  }
  exchange.StopWatching();
  Reply reply;
  reply.status = kInternalError;
  reply.body = "{\"error\":\"internal\"}";
  exchange.CloseAfterAnswer();
  co_await exchange.Send(std::move(reply));
}

Awaitable<void> HttpServer::Refuse(tcp::socket& socket, ReadFailure failure) {
  HttpRequest request;
  request.version(11);
  request.keep_alive(false);
  const beast::flat_buffer no_further_request;
  HttpExchange exchange(socket, std::move(request), limits_, close_after_response_,
                        no_further_request);
  Reply reply = handlers_.read_failure(failure);
  co_await exchange.Send(std::move(reply));
  boost::system::error_code ignored;
  socket.shutdown(tcp::socket::shutdown_send, ignored);
  co_await DiscardInput(socket);
}

// Reads incoming data for a moment: closing with unread data would reset the connection, and the
// client could lose the response.
Awaitable<void> HttpServer::DiscardInput(tcp::socket& socket) {
  Watchdog watchdog(socket, kDiscardTime);
  std::string discarded(kReadBytes, '\0');
  while (!watchdog.Expired()) {
    const auto [error, size] = co_await socket.async_read_some(asio::buffer(discarded), kAsTuple);
    if (error) {
      co_return;
    }
  }
}

}  // namespace rudderloom
