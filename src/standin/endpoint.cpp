// A model engine with request slots, priorities, resumable streams, and load and unload orders that
// carry fencing tokens.
#include <algorithm>  // for min_element
#include <map>        // for map
#include <set>        // for set
#include <tuple>      // for tie

#include "standin/expected_answer.hpp"  // for ExpectedToken
#include "standin/standin.hpp"          // for Frame

namespace rudderloom::standin {

namespace json = boost::json;

namespace {

constexpr std::int64_t kDefaultMaxTokens = 16;
constexpr std::int64_t kSlotPollIntervalMs = 2;
constexpr std::int64_t kMaxQueuedPerSlot = 4;
constexpr int kWeightFetchAttempts = 40;
constexpr std::int64_t kWeightRetryDelayMs = 250;

struct ResidentUnit {
  std::uint64_t memory = 0;
  bool loading = false;
};

struct QueuedRequest {
  std::int64_t priority;
  std::uint64_t arrival;
  bool operator<(const QueuedRequest& other) const {
    return std::tie(priority, arrival) < std::tie(other.priority, other.arrival);
  }
  bool operator==(const QueuedRequest&) const = default;
};

// Parameters of one completion request.
struct CompletionRequest {
  std::string unit;
  std::string model;
  std::string prompt;
  std::string request_id;
  bool chat = false;
  bool stream = false;
  std::int64_t token_count = kDefaultMaxTokens;
  std::int64_t first_token = 0;
};

std::string ExtractPrompt(const json::object& body) {
  if (const json::value* prompt = body.if_contains("prompt")) {
    return prompt->is_string() ? std::string(prompt->as_string()) : json::serialize(*prompt);
  }
  if (const json::value* messages = body.if_contains("messages")) {
    return json::serialize(*messages);
  }
  return "";
}

Reply OpenAiError(unsigned status, const std::string& code, const std::string& message) {
  return JsonReply(status, {{"error", {{"code", code}, {"message", message}, {"type", code}}}});
}

class Endpoint {
 public:
  explicit Endpoint(const Options& options) : options_(options) {
    incarnation_ = std::to_string(std::chrono::system_clock::now().time_since_epoch().count());
  }

  void Run() {
    runtime_.Run(
        options_, [this](HttpExchange& exchange) { return Handle(exchange); },
        [this] { return Stats(); },
        [this](std::string address) -> Awaitable<void> {
          address_ = address;
          co_await RegisterEndpoint(runtime_, options_, address_, "live");
        },
        [this]() -> Awaitable<void> {
          state_ = "leaving";
          co_await RegisterEndpoint(runtime_, options_, address_, "leaving");
        });
  }

 private:
  Awaitable<void> Handle(HttpExchange& exchange) {
    const std::string target(exchange.Request().target());
    if (target == "/load") {
      co_await exchange.Send(JsonReply(200, LoadReport()));
    } else if (target == "/orders") {
      co_await HandleOrder(exchange);
    } else if (target == "/leave") {
      state_ = "leaving";
      co_await exchange.Send(JsonReply(200, {}));
    } else if (target == "/v1/chat/completions" || target == "/v1/completions") {
      co_await HandleCompletion(exchange, target == "/v1/chat/completions");
    } else {
      co_await exchange.Send(OpenAiError(404, "not_found", "no such path"));
    }
  }

  std::uint64_t UsedMemory() const {
    std::uint64_t used = 0;
    for (const auto& [unit, resident] : resident_units_) {
      used += resident.memory;
    }
    return used;
  }

  json::object LoadReport() {
    const std::int64_t lag = runtime_.faults.Get("load_lag_ms");
    if (lag > 0 && !last_report_.empty() && Between(last_report_time_, Now()).count() < lag) {
      return last_report_;
    }
    json::array units;
    for (const auto& [unit, resident] : resident_units_) {
      if (!resident.loading) {
        units.push_back(json::string(unit));
      }
    }
    last_report_ = {{"name", options_.name},     {"incarnation", incarnation_},
                    {"state", state_},           {"slots", options_.slots},
                    {"running", running_},       {"waiting", queue_.size()},
                    {"memory", options_.memory}, {"used", UsedMemory()},
                    {"epoch", latest_epoch_},    {"resident", units}};
    last_report_time_ = Now();
    return last_report_;
  }

  json::object Stats() {
    json::object orders;
    for (const auto& [name, count] : order_counts_) {
      orders[name] = count;
    }
    return {{"completions", completions_},
            {"most_running", peak_running_},
            {"overcommits", rejected_overcommits_},
            {"most_used", peak_memory_used_},
            {"memory", options_.memory},
            {"after_leaving", requests_while_leaving_},
            {"orders", orders},
            {"report", LoadReport()}};
  }

  // --- load and unload orders ---

  Awaitable<void> HandleOrder(HttpExchange& exchange) {
    const json::object order = json::parse(exchange.Request().body()).as_object();
    if (runtime_.faults.ConsumeOne("drop_orders")) {
      ++order_counts_["dropped"];
      exchange.Abort();
      co_return;
    }
    if (runtime_.faults.ConsumeOne("late_orders")) {
      ++order_counts_["late"];
      exchange.Abort();
      asio::co_spawn(
          runtime_.context,
          [this, order]() -> Awaitable<void> {
            co_await SleepFor(runtime_.context, runtime_.faults.Get("late_ms"));
            co_await ApplyOrder(order);
          },
          asio::detached);
      co_return;
    }
    Reply reply = co_await ApplyOrder(order);
    if (runtime_.faults.ConsumeOne("lose_order_answer")) {
      exchange.Abort();
      co_return;
    }
    co_await exchange.Send(std::move(reply));
  }

  bool RejectStaleOrder(const json::object& order) {
    if (!options_.checks_fencing || runtime_.faults.Get("ignore_fences") > 0) {
      return false;
    }
    const std::int64_t epoch = order.at("epoch").as_int64();
    const std::int64_t sequence = order.at("sequence").as_int64();
    const std::string unit(order.at("unit").as_string());
    if (epoch < latest_epoch_ || sequence < latest_sequences_[unit]) {
      return true;
    }
    latest_epoch_ = epoch;
    latest_sequences_[unit] = sequence;
    return false;
  }

  Awaitable<Reply> ApplyOrder(json::object order) {
    const std::string id(order.at("order").as_string());
    const std::string unit(order.at("unit").as_string());
    const bool load = order.at("action").as_string() == "load";
    if (RejectStaleOrder(order)) {
      ++order_counts_["fenced"];
      co_return JsonReply(409, {{"outcome", "fenced"}, {"epoch", latest_epoch_}});
    }
    ++order_counts_[load ? "load" : "unload"];
    if (!load) {
      resident_units_.erase(unit);
      co_return JsonReply(200, {{"outcome", "done"}});
    }
    const auto found = resident_units_.find(unit);
    if (found != resident_units_.end() && !found->second.loading) {
      co_return JsonReply(200, {{"outcome", "done"}});
    }
    if (found != resident_units_.end()) {
      co_return JsonReply(202, {{"outcome", "loading"}});
    }
    const std::uint64_t memory = order.at("memory").to_number<std::uint64_t>();
    if (UsedMemory() + memory > options_.memory) {
      ++rejected_overcommits_;
      co_return JsonReply(507, {{"outcome", "no_memory"}});
    }
    resident_units_[unit] = {memory, true};
    peak_memory_used_ = std::max(peak_memory_used_, UsedMemory());
    const bool fetched = co_await FetchWeights(unit);
    const auto current = resident_units_.find(unit);
    if (!fetched) {
      resident_units_.erase(unit);
      co_return JsonReply(503, {{"outcome", "not_started"}});
    }
    if (current != resident_units_.end()) {
      current->second.loading = false;
    }
    co_return JsonReply(200, {{"outcome", "done"}});
  }

  Awaitable<bool> FetchWeights(std::string unit) {
    if (options_.weight_store.empty()) {
      co_await SleepFor(runtime_.context, options_.load_ms);
      co_return true;
    }
    for (int i = 0; i < kWeightFetchAttempts; ++i) {
      HttpRequest request = MakeRequest(http::verb::get, options_.weight_store, "/weights/" + unit);
      CallTimeouts times;
      times.first_byte = Duration(60'000);
      auto answer = co_await runtime_.client.Call(options_.weight_store, std::move(request), times,
                                                  ConnectionReuse::kNever);
      const auto* response = std::get_if<HttpResponse>(&answer);
      if (response != nullptr && response->result_int() == 200) {
        co_return true;
      }
      co_await SleepFor(runtime_.context, kWeightRetryDelayMs);
    }
    co_return false;
  }

  // --- completion requests ---

  Awaitable<bool> AcquireSlot(std::int64_t priority) {
    const QueuedRequest self{priority, ++last_arrival_};
    queue_.insert(self);
    while (running_ >= options_.slots || *queue_.begin() != self) {
      co_await SleepFor(runtime_.context, kSlotPollIntervalMs);
    }
    queue_.erase(self);
    ++running_;
    peak_running_ = std::max(peak_running_, running_);
    co_return true;
  }

  Awaitable<void> HandleCompletion(HttpExchange& exchange, bool chat) {
    const HttpRequest& request = exchange.Request();
    json::error_code error;
    const json::value body = json::parse(request.body(), error);
    if (error || !body.is_object()) {
      co_await exchange.Send(OpenAiError(400, "invalid_json", "body is not a JSON object"));
      co_return;
    }
    const json::object& object = body.as_object();
    CompletionRequest completion;
    completion.chat = chat;
    completion.unit = std::string(object.at("model").as_string());
    completion.model = completion.unit.substr(0, completion.unit.find('@'));
    completion.prompt = ExtractPrompt(object);
    completion.request_id = std::string(request["X-Request-Id"]);
    if (const json::value* stream = object.if_contains("stream")) {
      completion.stream = stream->is_bool() && stream->as_bool();
    }
    if (const json::value* tokens = object.if_contains("max_tokens")) {
      completion.token_count = tokens->to_number<std::int64_t>();
    }
    const std::string last_event(request["Last-Event-ID"]);
    completion.first_token = last_event.empty() ? 0 : std::stoll(last_event) + 1;
    const auto found = resident_units_.find(completion.unit);
    if (found == resident_units_.end() || found->second.loading) {
      co_await exchange.Send(OpenAiError(404, "model_not_found", "not resident here"));
      co_return;
    }
    if (state_ != "live") {
      ++requests_while_leaving_;
    }
    if (static_cast<std::int64_t>(queue_.size()) >= options_.slots * kMaxQueuedPerSlot) {
      Reply busy = OpenAiError(429, "overloaded", "too many requests wait here");
      busy.headers.emplace_back("Retry-After", "1");
      co_await exchange.Send(std::move(busy));
      co_return;
    }
    const std::string priority(request["X-Priority"]);
    co_await AcquireSlot(priority.empty() ? 5 : std::stoll(priority));
    ++completions_;
    co_await SendCompletion(exchange, completion);
    --running_;
  }

  Awaitable<void> SendCompletion(HttpExchange& exchange, const CompletionRequest& completion) {
    HeaderList headers{{"X-Request-Id", completion.request_id}};
    if (state_ != "live") {
      headers.emplace_back("X-Endpoint-State", state_);
    }
    const std::int64_t slowdown = std::max<std::int64_t>(1, runtime_.faults.Get("slow_factor"));
    const std::int64_t token_delay = options_.token_ms * slowdown;
    if (!completion.stream) {
      co_await SleepFor(runtime_.context, token_delay * completion.token_count);
      Reply reply = JsonReply(200, CompletionBody(completion));
      reply.headers = headers;
      co_await exchange.Send(std::move(reply));
      co_return;
    }
    bool open = co_await exchange.StartStream(200, "text/event-stream", headers);
    const std::int64_t cut_after = runtime_.faults.Get("cut_after_tokens");
    const bool cut_stream = cut_after > 0 && runtime_.faults.ConsumeOne("cut_streams");
    for (std::int64_t i = completion.first_token; open && i <= completion.token_count; ++i) {
      co_await SleepFor(runtime_.context, token_delay);
      if (cut_stream && i - completion.first_token >= cut_after) {
        exchange.Abort();
        co_return;
      }
      const std::string event = "id: " + std::to_string(i) +
                                "\ndata: " + json::serialize(ChunkBody(completion, i)) + "\n\n";
      open = co_await exchange.WriteChunk(event);
    }
    if (open && co_await exchange.WriteChunk("data: [DONE]\n\n")) {
      co_await exchange.EndStream();
    }
  }

  static json::object CompletionBody(const CompletionRequest& completion) {
    const std::string text =
        ExpectedText(completion.model, completion.prompt, completion.token_count);
    json::object choice{{"index", 0}, {"finish_reason", "length"}};
    if (completion.chat) {
      choice["message"] = {{"role", "assistant"}, {"content", text}};
    } else {
      choice["text"] = text;
    }
    return {{"id", "cmpl-" + completion.request_id},
            {"object", completion.chat ? "chat.completion" : "text_completion"},
            {"created", 0},
            {"model", completion.model},
            {"choices", json::array{choice}},
            {"usage", {{"completion_tokens", completion.token_count}}}};
  }

  static json::object ChunkBody(const CompletionRequest& completion, std::int64_t index) {
    const bool last = index == completion.token_count;
    const std::string token = last ? "" : ExpectedToken(completion.model, completion.prompt, index);
    json::object choice{{"index", 0}};
    if (completion.chat) {
      choice["delta"] = last ? json::object() : json::object{{"content", token}};
    } else {
      choice["text"] = token;
    }
    choice["finish_reason"] = last ? json::value("length") : json::value(nullptr);
    return {{"id", "cmpl-" + completion.request_id},
            {"object", completion.chat ? "chat.completion.chunk" : "text_completion"},
            {"created", 0},
            {"model", completion.model},
            {"choices", json::array{choice}}};
  }

  Options options_;
  StandinRuntime runtime_;
  std::string address_;
  std::string incarnation_;
  std::string state_ = "live";
  std::map<std::string, ResidentUnit> resident_units_;
  std::map<std::string, std::int64_t> latest_sequences_;
  std::map<std::string, std::int64_t> order_counts_;
  std::set<QueuedRequest> queue_;
  std::uint64_t last_arrival_ = 0;
  std::int64_t latest_epoch_ = 0;
  std::int64_t running_ = 0;
  std::int64_t peak_running_ = 0;
  std::int64_t completions_ = 0;
  std::int64_t requests_while_leaving_ = 0;
  std::int64_t rejected_overcommits_ = 0;
  std::uint64_t peak_memory_used_ = 0;
  json::object last_report_;
  TimePoint last_report_time_;
};

}  // namespace

void RunEndpoint(const Options& options) {
  Endpoint endpoint(options);
  endpoint.Run();
}

}  // namespace rudderloom::standin
