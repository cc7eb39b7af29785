// The platform's object API: versions, conditional updates, watches, rate limits and call counts.
#include <deque>   // for deque
#include <map>     // for map
#include <string>  // for string

#include "standin/standin.hpp"  // for Frame

namespace rudderloom::standin {

namespace json = boost::json;

namespace {

constexpr std::string_view kRoot = "/apis/rudderloom/v1/";
constexpr std::size_t kValueLimit = 1 << 20;
constexpr std::size_t kHistory = 2000;
constexpr std::int64_t kWatchPollMs = 10;
constexpr Duration kBookmarkEvery{5'000};

struct Event {
  std::int64_t version;
  std::string kind;
  std::string type;
  json::object object;
};

struct Target {
  std::string kind;
  std::string name;
  std::map<std::string, std::string> query;
};

Target ParseTarget(std::string_view target) {
  Target result;
  target.remove_prefix(std::min(kRoot.size(), target.size()));
  const std::size_t mark = target.find('?');
  std::string_view path = target.substr(0, mark);
  std::string query(mark == std::string_view::npos ? "" : target.substr(mark + 1));
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

Reply Status(unsigned code, const std::string& reason) {
  Reply reply = JsonReply(code, {{"kind", "Status"}, {"code", code}, {"reason", reason}});
  if (code == 429) {
    reply.headers.emplace_back("Retry-After", "1");
  }
  return reply;
}

class Platform {
 public:
  explicit Platform(const Options& options)
      : options_(options), writes_(options.writes_per_second), reads_(options.reads_per_second) {}

  void Run() {
    frame_.Run(
        options_, [this](HttpExchange& exchange) { return Handle(exchange); },
        [this] { return Stats(); }, [](std::string) -> Awaitable<void> { co_return; },
        []() -> Awaitable<void> { co_return; });
  }

 private:
  using Objects = std::map<std::string, json::object>;

  json::object Stats() const {
    json::object counts;
    for (const auto& [name, count] : counts_) {
      counts[name] = count;
    }
    return {{"calls", counts}, {"version", version_}};
  }

  Awaitable<void> Handle(HttpExchange& exchange) {
    const HttpRequest& request = exchange.Request();
    const Target target = ParseTarget({request.target().data(), request.target().size()});
    const bool is_read = request.method() == http::verb::get;
    const bool is_watch = is_read && target.query.contains("watch");
    const std::string verb = is_watch ? "watch"
                                      : std::string(http::to_string(request.method())) +
                                            (target.name.empty() ? "s" : "");
    ++counts_[verb + " " + target.kind];
    if (!(is_read ? reads_ : writes_).Take()) {
      ++counts_["throttled"];
      co_await exchange.Send(Status(429, "TooManyRequests"));
      co_return;
    }
    if (is_watch) {
      co_await Watch(exchange, target);
      co_return;
    }
    Reply reply = is_read ? Read(target) : Write(request, target);
    if (!is_read && reply.status < 300 && frame_.faults.Take("lose_answer")) {
      ++counts_["lost answers"];
      exchange.Abort();
      co_return;
    }
    co_await exchange.Send(std::move(reply));
  }

  Reply Read(const Target& target) {
    const Objects& objects = kinds_[target.kind];
    if (target.name.empty()) {
      json::array items;
      for (const auto& [name, object] : objects) {
        items.push_back(object);
      }
      return JsonReply(
          200, {{"metadata", {{"resourceVersion", std::to_string(version_)}}}, {"items", items}});
    }
    const auto found = objects.find(target.name);
    if (found == objects.end()) {
      return Status(404, "NotFound");
    }
    return JsonReply(200, found->second);
  }

  Reply Write(const HttpRequest& request, const Target& target) {
    Objects& objects = kinds_[target.kind];
    const auto found = objects.find(target.name);
    const bool exists = found != objects.end();
    if (request.method() == http::verb::delete_) {
      if (!exists) {
        return Status(404, "NotFound");
      }
      json::object gone = found->second;
      objects.erase(found);
      Store(target, "DELETED", gone);
      return Status(200, "Deleted");
    }
    if (request.body().size() > kValueLimit) {
      return Status(413, "RequestEntityTooLarge");
    }
    json::error_code error;
    json::value parsed = json::parse(request.body(), error);
    if (error || !parsed.is_object()) {
      return Status(400, "BadRequest");
    }
    json::object object = std::move(parsed.as_object());
    json::object& metadata = object["metadata"].is_object() ? object["metadata"].as_object()
                                                            : object["metadata"].emplace_object();
    const json::value* wanted = metadata.if_contains("resourceVersion");
    const std::string wanted_version =
        wanted != nullptr && wanted->is_string() ? std::string(wanted->as_string()) : "";
    if (request.method() == http::verb::post && exists) {
      return Status(409, "AlreadyExists");
    }
    if (!wanted_version.empty()) {
      const std::string present =
          exists ? std::string(found->second.at("metadata").at("resourceVersion").as_string())
                 : "0";
      if (present != wanted_version) {
        return Status(409, "Conflict");
      }
    }
    metadata["name"] = target.name;
    Store(target, exists ? "MODIFIED" : "ADDED", object);
    return JsonReply(exists ? 200 : 201, object);
  }

  // Gives the object the next version, keeps it and its event.
  void Store(const Target& target, const std::string& type, json::object& object) {
    ++version_;
    object["metadata"].as_object()["resourceVersion"] = std::to_string(version_);
    if (type != "DELETED") {
      kinds_[target.kind][target.name] = object;
    }
    events_.push_back({version_, target.kind, type, object});
    if (events_.size() > kHistory) {
      compacted_ = events_.front().version;
      events_.pop_front();
    }
  }

  Awaitable<void> Watch(HttpExchange& exchange, const Target& target) {
    const auto from = target.query.find("resourceVersion");
    std::int64_t seen = from == target.query.end() ? version_ : std::stoll(from->second);
    if (frame_.faults.Take("compact")) {
      compacted_ = version_;
    }
    if (seen < compacted_) {
      co_await exchange.Send(Status(410, "Expired"));
      co_return;
    }
    const auto timeout = target.query.find("timeoutSeconds");
    const std::int64_t seconds = timeout == target.query.end() ? 30 : std::stoll(timeout->second);
    const TimePoint until = Now() + std::chrono::seconds(seconds);
    TimePoint bookmark_at = Now() + kBookmarkEvery;
    HeaderList headers;
    bool open = co_await exchange.StartStream(200, "application/json", headers);
    while (open && Now() < until && frame_.faults.Get("refuse") == 0) {
      const bool silent = frame_.faults.Get("silent_watch") > 0;
      std::string lines;
      for (const Event& event : events_) {
        if (!silent && event.version > seen) {
          seen = event.version;
          if (event.kind == target.kind) {
            lines += json::serialize(json::object{{"type", event.type}, {"object", event.object}}) +
                     "\n";
          }
        }
      }
      if (!silent && Now() >= bookmark_at) {
        bookmark_at = Now() + kBookmarkEvery;
        lines += json::serialize(json::object{
                     {"type", "BOOKMARK"},
                     {"object", {{"metadata", {{"resourceVersion", std::to_string(seen)}}}}}}) +
                 "\n";
      }
      open = co_await exchange.WriteChunk(lines);
      co_await Pause(frame_.context, kWatchPollMs);
      open = open && !exchange.PeerClosed();
    }
    if (open) {
      co_await exchange.EndStream();
    }
  }

  Options options_;
  Frame frame_;
  Bucket writes_;
  Bucket reads_;
  std::map<std::string, Objects> kinds_;
  std::deque<Event> events_;
  std::map<std::string, std::int64_t> counts_;
  std::int64_t version_ = 0;
  std::int64_t compacted_ = 0;
};

}  // namespace

void RunPlatform(const Options& options) {
  Platform platform(options);
  platform.Run();
}

}  // namespace rudderloom::standin
