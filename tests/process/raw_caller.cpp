#include "process/raw_caller.hpp"

namespace rudderloom::tests {

namespace json = boost::json;

namespace {

std::string MemberText(const json::object& object, const std::string& name) {
  const json::value* found = object.if_contains(name);
  return found == nullptr || !found->is_string() ? "" : std::string(found->as_string());
}

}  // namespace

std::string Received::Reason() const {
  return MemberText(response.Json(), "reason");
}

std::string Received::Ran() const {
  return MemberText(response.Json(), "ran");
}

bool Received::IsFailedStream() const {
  const std::size_t last = response.body.rfind("data: ");
  if (!header || complete || response.status != 200 || last == std::string::npos) {
    return false;
  }
  json::error_code error;
  const json::value event = json::parse(response.body.substr(last + 6), error);
  return !error && event.is_object() && event.as_object().contains("error") &&
         response.body.ends_with("\n\n");
}

std::string Received::Text() const {
  const std::size_t size = response.body.size();
  return "header " + std::to_string(header) + ", complete " + std::to_string(complete) +
         ", status " + std::to_string(response.status) + ", reason " + Reason() + ", ran " + Ran() +
         ", end of body: " + response.body.substr(size - std::min<std::size_t>(size, 120));
}

RawCaller::RawCaller(const std::string& address) {
  socket_.connect(ParseAddress(address));
}

RawCaller::RawCaller(const std::string& address, const std::string& bytes) : RawCaller(address) {
  Send(bytes);
}

void RawCaller::Send(const std::string& bytes) {
  boost::system::error_code ignored;
  asio::write(socket_, asio::buffer(bytes), ignored);
}

bool RawCaller::RunFor(Duration timeout, const bool& done) {
  context_.restart();
  const TimePoint deadline = Now() + timeout;
  while (!done && Now() < deadline) {
    context_.run_one_until(deadline);
  }
  if (!done) {
    boost::system::error_code ignored;
    socket_.cancel(ignored);
    context_.restart();
    context_.run();
    return false;
  }
  return true;
}

Received RawCaller::Receive(Duration timeout) {
  Received received;
  http::response_parser<http::string_body> parser;
  parser.eager(true);
  parser.body_limit(boost::none);
  bool done = false;
  http::async_read(socket_, buffer_, parser, [&](boost::system::error_code error, std::size_t) {
    received.complete = !error;
    done = true;
  });
  RunFor(timeout, done);
  received.header = parser.is_header_done();
  if (received.header) {
    received.response.status = parser.get().result_int();
    received.response.body = parser.get().body();
    for (const auto& field : parser.get()) {
      received.response.headers.emplace_back(std::string(field.name_string()),
                                             std::string(field.value()));
    }
  }
  return received;
}

bool RawCaller::ReceiveText(const std::string& text, Duration timeout) {
  const TimePoint deadline = Now() + timeout;
  const auto arrived = [&] {
    const auto data = buffer_.cdata();
    return std::string(static_cast<const char*>(data.data()), data.size()).find(text) !=
           std::string::npos;
  };
  bool open = true;
  while (open && !arrived() && Now() < deadline) {
    bool done = false;
    socket_.async_read_some(buffer_.prepare(4096),
                            [&](boost::system::error_code error, std::size_t size) {
                              buffer_.commit(size);
                              open = !error;
                              done = true;
                            });
    RunFor(Between(Now(), deadline), done);
  }
  return arrived();
}

bool RawCaller::EndsSilently(Duration timeout) {
  bool done = false;
  bool ended = false;
  socket_.async_read_some(buffer_.prepare(1),
                          [&](boost::system::error_code error, std::size_t size) {
                            ended = error == asio::error::eof && size == 0;
                            done = true;
                          });
  RunFor(timeout, done);
  return ended && buffer_.size() == 0;
}

std::string RequestBytes(const std::string& target,
                         const std::string& body,
                         const std::string& headers) {
  const std::string verb = body.empty() ? "GET " : "POST ";
  const std::string size =
      body.empty() ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n";
  return verb + target + " HTTP/1.1\r\nHost: x\r\n" + size + headers + "\r\n" + body;
}

bool Accepts(const std::string& address) {
  asio::io_context context;
  tcp::socket socket(context);
  boost::system::error_code error;
  socket.connect(ParseAddress(address), error);
  return !error;
}

}  // namespace rudderloom::tests
