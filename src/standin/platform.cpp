// The platform's object API with resource versions, conditional updates, watches and rate limits.
// Counts the calls by verb and kind.
#include <deque>   // for deque
#include <map>     // for map
#include <string>  // for string

#include "standin/standin.hpp"  // for Frame

namespace rudderloom::standin {

namespace json = boost::json;

namespace {

constexpr std::string_view kApiRoot = "/apis/rudderloom/v1/";
constexpr std::size_t kMaxObjectBytes = 1 << 20;
constexpr std::size_t kMaxHistory = 2000;
constexpr std::int64_t kWatchPollIntervalMs = 10;
constexpr Duration kBookmarkInterval{5'000};

struct WatchEvent {
  std::int64_t version;
  std::string kind;
  std::string type;
  json::object object;
};

struct RequestTarget {
  std::string kind;
  std::string name;
  std::map<std::string, std::string> query;
};

RequestTarget ParseRequestTarget(std::string_view target) {
  RequestTarget result;
  target.remove_prefix(std::min(kApiRoot.size(), target.size()));
  const std::size_t query_mark = target.find('?');
  std::string_view path = target.substr(0, query_mark);
  std::string query(query_mark == std::string_view::npos ? "" : target.substr(query_mark + 1));
  const std::size_t slash = path.find('/');
  result.kind = path.substr(0, slash);
  result.name = slash == std::string_view::npos ? "" : path.substr(slash + 1);
  std::size_t start = 0;
  while (start < query.size()) {
    const std::size_t end = std::min(query.find('&', start), query.size());
    const std::string pair = query.substr(start, end - start);
    const std::size_t equals = pair.find('=');
    result.query[pair.substr(0, equals)] =
        equals == std::string::npos ? "" : pair.substr(equals + 1);
    start = end + 1;
  }
  return result;
}

Reply StatusReply(unsigned code, const std::string& reason) {
  Reply reply = JsonReply(code, {{"kind", "Status"}, {"code", code}, {"reason", reason}});
  if (code == 429) {
    reply.headers.emplace_back("Retry-After", "1");
  }
  return reply;
}

class Platform {
 public:
  explicit Platform(const Options& options)
      : options_(options),
        write_limiter_(options.writes_per_second),
        read_limiter_(options.reads_per_second) {}

  void Run() {
    runtime_.Run(
        options_, [this](HttpExchange& exchange) { return Handle(exchange); },
        [this] { return Stats(); }, [](std::string) -> Awaitable<void> { co_return; },
        []() -> Awaitable<void> { co_return; });
  }

 private:
  using Objects = std::map<std::string, json::object>;

  json::object Stats() const {
    json::object counts;
    for (const auto& [name, count] : call_counts_) {
      counts[name] = count;
    }
    return {{"calls", counts}, {"version", latest_version_}};
  }

  Awaitable<void> Handle(HttpExchange& exchange) {
    const HttpRequest& request = exchange.Request();
    const RequestTarget target =
        ParseRequestTarget({request.target().data(), request.target().size()});
    const bool is_read = request.method() == http::verb::get;
    const bool is_watch = is_read && target.query.contains("watch");
    const std::string verb = is_watch ? "watch"
                                      : std::string(http::to_string(request.method())) +
                                            (target.name.empty() ? "s" : "");
    ++call_counts_[verb + " " + target.kind];
    if (!(is_read ? read_limiter_ : write_limiter_).TryAcquire()) {
      ++call_counts_["throttled"];
      co_await exchange.Send(StatusReply(429, "TooManyRequests"));
      co_return;
    }
    if (is_watch) {
      co_await Watch(exchange, target);
      co_return;
    }
    Reply reply = is_read ? Read(target) : Write(request, target);
    if (!is_read && reply.status < 300 && runtime_.faults.ConsumeOne("lose_answer")) {
      ++call_counts_["lost answers"];
      exchange.Abort();
      co_return;
    }
    co_await exchange.Send(std::move(reply));
  }

  Reply Read(const RequestTarget& target) {
    const Objects& objects = objects_by_kind_[target.kind];
    if (target.name.empty()) {
      json::array items;
      for (const auto& [name, object] : objects) {
        items.push_back(object);
      }
      return JsonReply(200, {{"metadata", {{"resourceVersion", std::to_string(latest_version_)}}},
                             {"items", items}});
    }
    const auto found = objects.find(target.name);
    if (found == objects.end()) {
      return StatusReply(404, "NotFound");
    }
    return JsonReply(200, found->second);
  }

  Reply Write(const HttpRequest& request, const RequestTarget& target) {
    Objects& objects = objects_by_kind_[target.kind];
    const auto found = objects.find(target.name);
    const bool exists = found != objects.end();
    if (request.method() == http::verb::delete_) {
      if (!exists) {
        return StatusReply(404, "NotFound");
      }
      json::object deleted = found->second;
      objects.erase(found);
      RecordChange(target, "DELETED", deleted);
      return StatusReply(200, "Deleted");
    }
    if (request.body().size() > kMaxObjectBytes) {
      return StatusReply(413, "RequestEntityTooLarge");
    }
    json::error_code error;
    json::value parsed = json::parse(request.body(), error);
    if (error || !parsed.is_object()) {
      return StatusReply(400, "BadRequest");
    }
    json::object object = std::move(parsed.as_object());
    json::object& metadata = object["metadata"].is_object() ? object["metadata"].as_object()
                                                            : object["metadata"].emplace_object();
    const json::value* expected = metadata.if_contains("resourceVersion");
    const std::string expected_version =
        expected != nullptr && expected->is_string() ? std::string(expected->as_string()) : "";
    if (request.method() == http::verb::post && exists) {
      return StatusReply(409, "AlreadyExists");
    }
    if (!expected_version.empty()) {
      const std::string current_version =
          exists ? std::string(found->second.at("metadata").at("resourceVersion").as_string())
                 : "0";
      if (current_version != expected_version) {
        return StatusReply(409, "Conflict");
      }
    }
    metadata["name"] = target.name;
    RecordChange(target, exists ? "MODIFIED" : "ADDED", object);
    return JsonReply(exists ? 200 : 201, object);
  }

  // Assigns the next resource version, stores the object and appends the change to the history.
  void RecordChange(const RequestTarget& target, const std::string& type, json::object& object) {
    ++latest_version_;
    object["metadata"].as_object()["resourceVersion"] = std::to_string(latest_version_);
    if (type != "DELETED") {
      objects_by_kind_[target.kind][target.name] = object;
    }
    events_.push_back({latest_version_, target.kind, type, object});
    if (events_.size() > kMaxHistory) {
      compacted_version_ = events_.front().version;
      events_.pop_front();
    }
  }

  Awaitable<void> Watch(HttpExchange& exchange, const RequestTarget& target) {
    const auto start_version = target.query.find("resourceVersion");
    std::int64_t last_seen =
        start_version == target.query.end() ? latest_version_ : std::stoll(start_version->second);
    if (runtime_.faults.ConsumeOne("compact")) {
      compacted_version_ = latest_version_;
    }
    if (last_seen < compacted_version_) {
      co_await exchange.Send(StatusReply(410, "Expired"));
      co_return;
    }
    const auto timeout = target.query.find("timeoutSeconds");
    const std::int64_t seconds = timeout == target.query.end() ? 30 : std::stoll(timeout->second);
    const TimePoint end_time = Now() + std::chrono::seconds(seconds);
    TimePoint next_bookmark = Now() + kBookmarkInterval;
    HeaderList headers;
    bool open = co_await exchange.StartStream(200, "application/json", headers);
    while (open && Now() < end_time && runtime_.faults.Get("refuse") == 0) {
      const bool silent = runtime_.faults.Get("silent_watch") > 0;
      std::string lines;
      for (const WatchEvent& event : events_) {
        if (!silent && event.version > last_seen) {
          last_seen = event.version;
          if (event.kind == target.kind) {
            lines += json::serialize(json::object{{"type", event.type}, {"object", event.object}}) +
                     "\n";
          }
        }
      }
      if (!silent && Now() >= next_bookmark) {
        next_bookmark = Now() + kBookmarkInterval;
        lines +=
            json::serialize(json::object{
                {"type", "BOOKMARK"},
                {"object", {{"metadata", {{"resourceVersion", std::to_string(last_seen)}}}}}}) +
            "\n";
      }
      open = co_await exchange.WriteChunk(lines);
      co_await SleepFor(runtime_.context, kWatchPollIntervalMs);
      open = open && !exchange.PeerClosed();
    }
    if (open) {
      co_await exchange.EndStream();
    }
  }

  Options options_;
  StandinRuntime runtime_;
  TokenBucket write_limiter_;
  TokenBucket read_limiter_;
  std::map<std::string, Objects> objects_by_kind_;
  std::deque<WatchEvent> events_;
  std::map<std::string, std::int64_t> call_counts_;
  std::int64_t latest_version_ = 0;
  std::int64_t compacted_version_ = 0;
};

}  // namespace

void RunPlatform(const Options& options) {
  Platform platform(options);
  platform.Run();
}

}  // namespace rudderloom::standin
