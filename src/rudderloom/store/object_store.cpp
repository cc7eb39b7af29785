#include "rudderloom/store/object_store.hpp"

#include <algorithm>  // for find
#include <charconv>   // for from_chars

#include "rudderloom/base/json_fields.hpp"   // for TextAt
#include "rudderloom/base/lenient_json.hpp"  // for ParseLeniently
#include "rudderloom/http/client.hpp"        // for HttpClient
#include "rudderloom/http/pause.hpp"         // for PauseFor

namespace rudderloom {

namespace json = boost::json;

namespace {

constexpr std::string_view kApiRoot = "/apis/rudderloom/v1/";
constexpr std::string_view kWritersKey = "rudderloom/writers";
constexpr std::size_t kMaxWriters = 16;

StoreError ToStoreError(const HttpResponse& response) {
  using Kind = StoreError::Kind;
  const std::string message = "status " + std::to_string(response.result_int());
  switch (response.result_int()) {
    case 404:
      return {Kind::kNotFound, message};
    case 409:
      return {Kind::kConflict, message};
    case 410:
      return {Kind::kExpired, message};
    case 429:
      return {Kind::kThrottled, message};
    case 400:
    case 413:
    case 422:
      return {Kind::kRefused, message};
    default:
      // A 5xx may come from a proxy in front of the platform or be sent after the write took
      // effect.
      return {Kind::kUnknown, message};
  }
}

// This platform has no eras.
StoreRevision ReadVersion(const json::object& metadata) {
  const std::string text = TextAt(metadata, "resourceVersion");
  std::uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return {0, number};
}

std::vector<std::string> SplitWriters(std::string_view text) {
  std::vector<std::string> writers;
  while (!text.empty()) {
    const std::size_t comma = text.find(',');
    writers.emplace_back(text.substr(0, comma));
    text = comma == std::string_view::npos ? std::string_view() : text.substr(comma + 1);
  }
  return writers;
}

StoredObject ParseObject(const json::value& value) {
  StoredObject object;
  if (!value.is_object()) {
    return object;
  }
  const json::value* metadata = value.as_object().if_contains("metadata");
  if (metadata != nullptr && metadata->is_object()) {
    const json::object& members = metadata->as_object();
    object.version = ReadVersion(members);
    if (const json::value* name = members.if_contains("name"); name && name->is_string()) {
      object.name = std::string(name->as_string());
    }
    const json::value* object_annotations = members.if_contains("annotations");
    if (object_annotations != nullptr && object_annotations->is_object()) {
      const json::value* writers = object_annotations->as_object().if_contains(kWritersKey);
      if (writers != nullptr && writers->is_string()) {
        object.writers = SplitWriters(std::string_view(writers->as_string()));
      }
    }
  }
  const json::value* spec = value.as_object().if_contains("spec");
  if (spec != nullptr && spec->is_object()) {
    object.spec = spec->as_object();
  }
  return object;
}

std::string SerializeObject(const StoredObject& object) {
  std::string writers;
  for (const std::string& writer : object.writers) {
    writers += (writers.empty() ? "" : ",") + writer;
  }
  json::object metadata{{"name", object.name}, {"annotations", {{kWritersKey, writers}}}};
  if (object.version) {
    metadata["resourceVersion"] = std::to_string(object.version->Number());
  }
  return json::serialize(json::object{{"metadata", metadata}, {"spec", object.spec}});
}

// Splits the body of a watch response into lines and parses each as an event.
class WatchLineParser {
 public:
  // False if a line is too long.
  bool Feed(std::string_view chunk, const std::function<void(WatchEvent)>& on_event) {
    text_ += chunk;
    std::size_t start = 0;
    for (std::size_t end = text_.find('\n'); end != std::string::npos;
         end = text_.find('\n', start)) {
      EmitEvent(std::string_view(text_).substr(start, end - start), on_event);
      start = end + 1;
    }
    text_.erase(0, start);
    return text_.size() <= kMaxLineBytes;
  }

 private:
  // Four times the largest object of the platform's store.
  static constexpr std::size_t kMaxLineBytes = 4 * 1024 * 1024;

  static void EmitEvent(std::string_view line, const std::function<void(WatchEvent)>& on_event) {
    json::error_code error;
    const json::value value = ParseLeniently(line, error);
    if (error || !value.is_object()) {
      return;
    }
    const json::value* type = value.as_object().if_contains("type");
    const json::value* object = value.as_object().if_contains("object");
    if (type == nullptr || object == nullptr || !type->is_string()) {
      return;
    }
    WatchEvent event;
    event.object = ParseObject(*object);
    if (type->as_string() == "DELETED") {
      event.kind = WatchEvent::Kind::kGone;
    } else if (type->as_string() != "BOOKMARK") {
      event.kind = WatchEvent::Kind::kPut;
    }
    on_event(std::move(event));
  }

  std::string text_;
};

class HttpObjectStore : public ObjectStore {
 public:
  HttpObjectStore(asio::io_context& context,
                  std::string address,
                  Duration call_time,
                  Duration watch_time,
                  CallObserver observer)
      : client_(context),
        address_(std::move(address)),
        watch_time_(watch_time),
        observer_(std::move(observer)) {
    times_.connect = call_time;
    times_.first_byte = call_time;
    times_.between = call_time;
  }

  Awaitable<std::variant<StoredObject, StoreError>> Get(std::string kind,
                                                        std::string name) override {
    auto answer = co_await Call("get", http::verb::get, kind, "/" + name, "");
    if (auto* error = std::get_if<StoreError>(&answer)) {
      co_return std::move(*error);
    }
    co_return ParseObject(std::get<json::value>(answer));
  }

  Awaitable<std::variant<ObjectList, StoreError>> List(std::string kind) override {
    auto answer = co_await Call("list", http::verb::get, kind, "", "");
    if (auto* error = std::get_if<StoreError>(&answer)) {
      co_return std::move(*error);
    }
    ObjectList list;
    const json::value& value = std::get<json::value>(answer);
    if (!value.is_object()) {
      co_return StoreError{StoreError::Kind::kUnknown, "response is not a list of objects"};
    }
    const json::value* items = value.as_object().if_contains("items");
    if (items == nullptr || !items->is_array()) {
      co_return StoreError{StoreError::Kind::kUnknown, "the list response has no \"items\" array"};
    }
    for (const json::value& item : items->as_array()) {
      list.objects.push_back(ParseObject(item));
    }
    const json::value* metadata = value.as_object().if_contains("metadata");
    if (metadata != nullptr && metadata->is_object()) {
      list.version = ReadVersion(metadata->as_object());
    }
    if (list.version.Number() == 0) {
      co_return StoreError{StoreError::Kind::kUnknown, "the list response has no revision"};
    }
    co_return list;
  }

  Awaitable<std::variant<StoredObject, StoreError>> Put(std::string kind,
                                                        StoredObject object) override {
    const bool create = object.version == kMustNotExist;
    const std::string name = object.name;
    auto answer = co_await Call(create ? "create" : "update", http::verb::put, kind, "/" + name,
                                SerializeObject(object));
    if (auto* error = std::get_if<StoreError>(&answer)) {
      co_return std::move(*error);
    }
    co_return ParseObject(std::get<json::value>(answer));
  }

  Awaitable<std::variant<std::monostate, StoreError>> Delete(std::string kind,
                                                             std::string name) override {
    auto answer = co_await Call("delete", http::verb::delete_, kind, "/" + name, "");
    if (auto* error = std::get_if<StoreError>(&answer)) {
      co_return std::move(*error);
    }
    co_return std::monostate{};
  }

  Awaitable<StoreError> Watch(std::string kind,
                              StoreRevision version,
                              std::function<void(WatchEvent)> on_event) override {
    const std::string target =
        std::string(kApiRoot) + kind +
        "?watch=1&allowWatchBookmarks=true&resourceVersion=" + std::to_string(version.Number()) +
        "&timeoutSeconds=" + std::to_string(watch_time_.count() / 1000);
    observer_("watch", kind, target.size());
    HttpRequest request = MakeRequest(http::verb::get, address_, target);
    CallTimeouts times = times_;
    // Bookmarks arrive every few seconds, so a watch that receives nothing for this long has
    // failed.
    times.between = watch_time_;
    auto opened =
        co_await client_.Open(address_, std::move(request), times, ConnectionReuse::kNever);
    if (auto* failure = std::get_if<HttpFailure>(&opened)) {
      co_return StoreError{StoreError::Kind::kUnreachable, failure->message};
    }
    auto stream = std::move(std::get<std::unique_ptr<HttpStream>>(opened));
    if (stream->Status() != 200) {
      HttpResponse response;
      response.result(stream->Status());
      co_return ToStoreError(response);
    }
    WatchLineParser line_parser;
    while (true) {
      auto chunk = co_await stream->ReadSome();
      if (auto* failure = std::get_if<HttpFailure>(&chunk)) {
        co_return StoreError{StoreError::Kind::kUnreachable, failure->message};
      }
      if (std::holds_alternative<HttpStream::End>(chunk)) {
        co_return StoreError{StoreError::Kind::kUnreachable, ""};
      }
      const std::string& text = std::get<std::string>(chunk);
      observer_("watch_bytes", kind, text.size());
      if (!line_parser.Feed(text, on_event)) {
        co_return StoreError{StoreError::Kind::kUnreachable, "a line of the watch is too long"};
      }
    }
  }

 private:
  Awaitable<std::variant<json::value, StoreError>> Call(std::string verb,
                                                        http::verb method,
                                                        std::string kind,
                                                        std::string suffix,
                                                        std::string body) {
    const std::string target = std::string(kApiRoot) + kind + suffix;
    const std::size_t sent = body.size();
    HttpRequest request = MakeRequest(method, address_, target, std::move(body));
    const ConnectionReuse reuse =
        method == http::verb::get ? ConnectionReuse::kAllowed : ConnectionReuse::kNever;
    auto answer = co_await client_.Call(address_, std::move(request), times_, reuse);
    if (auto* failure = std::get_if<HttpFailure>(&answer)) {
      observer_(verb, kind, sent);
      const bool unknown = failure->may_have_been_sent;
      co_return StoreError{unknown ? StoreError::Kind::kUnknown : StoreError::Kind::kUnreachable,
                           failure->message};
    }
    const HttpResponse& response = std::get<HttpResponse>(answer);
    observer_(verb, kind, sent + response.body().size());
    if (response.result_int() >= 300) {
      co_return ToStoreError(response);
    }
    json::error_code error;
    json::value value = ParseLeniently(response.body(), error);
    if (error) {
      co_return StoreError{StoreError::Kind::kUnknown, "response is not valid JSON"};
    }
    co_return value;
  }

  HttpClient client_;
  std::string address_;
  CallTimeouts times_;
  Duration watch_time_;
  CallObserver observer_;
};

}  // namespace

bool StoredObject::WrittenBy(const std::string& token) const {
  return std::find(writers.begin(), writers.end(), token) != writers.end();
}

std::string_view NameOf(StoreError::Kind kind) {
  switch (kind) {
    case StoreError::Kind::kConflict:
      return "conflict";
    case StoreError::Kind::kNotFound:
      return "not_found";
    case StoreError::Kind::kExpired:
      return "expired";
    case StoreError::Kind::kThrottled:
      return "throttled";
    case StoreError::Kind::kRefused:
      return "refused";
    case StoreError::Kind::kUnreachable:
      return "unreachable";
    case StoreError::Kind::kUnknown:
      return "unknown";
  }
  return "unknown";
}

std::unique_ptr<ObjectStore> MakeHttpObjectStore(asio::io_context& context,
                                                 std::string address,
                                                 Duration call_time,
                                                 Duration watch_time,
                                                 CallObserver observer) {
  return std::make_unique<HttpObjectStore>(context, std::move(address), call_time, watch_time,
                                           std::move(observer));
}

Awaitable<std::variant<StoredObject, StoreError>> PutAndConfirm(asio::io_context& context,
                                                                ObjectStore& store,
                                                                std::string kind,
                                                                StoredObject object,
                                                                std::string token,
                                                                ConfirmTimes times) {
  using Kind = StoreError::Kind;
  object.writers.insert(object.writers.begin(), token);
  if (object.writers.size() > kMaxWriters) {
    object.writers.resize(kMaxWriters);
  }
  const TimePoint give_up_at = Now() + times.limit;
  bool outcome_uncertain = false;
  while (true) {
    StoredObject attempt = object;
    auto written = co_await store.Put(kind, std::move(attempt));
    if (std::holds_alternative<StoredObject>(written)) {
      co_return written;
    }
    StoreError error = std::get<StoreError>(written);
    // After a lost response, a conflict may be caused by this own write; its token shows that.
    if (error.kind == Kind::kConflict && outcome_uncertain) {
      auto present = co_await store.Get(kind, object.name);
      if (auto* found = std::get_if<StoredObject>(&present)) {
        if (found->WrittenBy(token)) {
          co_return *found;
        }
        co_return error;
      }
      error.kind = Kind::kUnknown;
    }
    outcome_uncertain = outcome_uncertain || error.kind == Kind::kUnknown;
    const bool is_retryable = error.kind == Kind::kUnknown || error.kind == Kind::kThrottled ||
                              error.kind == Kind::kUnreachable;
    if (!is_retryable || Now() + times.pause >= give_up_at) {
      if (outcome_uncertain) {
        error.kind = Kind::kUnknown;
      }
      co_return error;
    }
    co_await PauseFor(context, times.pause);
  }
}

}  // namespace rudderloom
