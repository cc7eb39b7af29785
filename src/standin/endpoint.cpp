// A model engine: slots, priorities, streams with resume, and fenced orders to load and unload.
#include <algorithm>  // for min_element
#include <map>        // for map
#include <set>        // for set
#include <tuple>      // for tie

#include "standin/expected_answer.hpp"  // for ExpectedToken
#include "standin/standin.hpp"          // for Frame

namespace rudderloom::standin {

namespace json = boost::json;

namespace {

constexpr std::int64_t kDefaultTokens = 16;
constexpr std::int64_t kSlotPollMs = 2;
constexpr std::int64_t kWaitingPerSlot = 4;
constexpr int kWeightTries = 40;
constexpr std::int64_t kWeightPauseMs = 250;

struct Resident {
  std::uint64_t memory = 0;
  bool loading = false;
};

struct Waiter {
  std::int64_t priority;
  std::uint64_t number;
  bool operator<(const Waiter& other) const {
    return std::tie(priority, number) < std::tie(other.priority, other.number);
  }
  bool operator==(const Waiter&) const = default;
};

// What one completion call asks for.
struct Completion {
  std::string unit;
  std::string model;
  std::string prompt;
  std::string request_id;
  bool chat = false;
  bool stream = false;
  std::int64_t tokens = kDefaultTokens;
  std::int64_t from = 0;
};

std::string PromptOf(const json::object& body) {
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
    frame_.Run(
        options_, [this](HttpExchange& exchange) { return Handle(exchange); },
        [this] { return Stats(); },
        [this](std::string address) -> Awaitable<void> {
          address_ = address;
          co_await Announce(frame_, options_, address_, "live");
        },
        [this]() -> Awaitable<void> {
          state_ = "leaving";
          co_await Announce(frame_, options_, address_, "leaving");
        });
  }

 private:
  Awaitable<void> Handle(HttpExchange& exchange) {
    const std::string target(exchange.Request().target());
    if (target == "/load") {
      co_await exchange.Send(JsonReply(200, Report()));
    } else if (target == "/orders") {
      co_await Order(exchange);
    } else if (target == "/leave") {
      state_ = "leaving";
      co_await exchange.Send(JsonReply(200, {}));
    } else if (target == "/v1/chat/completions" || target == "/v1/completions") {
      co_await Complete(exchange, target == "/v1/chat/completions");
    } else {
      co_await exchange.Send(OpenAiError(404, "not_found", "no such path"));
    }
  }

  std::uint64_t Used() const {
    std::uint64_t used = 0;
    for (const auto& [unit, resident] : residents_) {
      used += resident.memory;
    }
    return used;
  }

  json::object Report() {
    const std::int64_t lag = frame_.faults.Get("load_lag_ms");
    if (lag > 0 && !last_report_.empty() && Between(last_report_at_, Now()).count() < lag) {
      return last_report_;
    }
    json::array units;
    for (const auto& [unit, resident] : residents_) {
      if (!resident.loading) {
        units.push_back(json::string(unit));
      }
    }
    last_report_ = {{"name", options_.name},     {"incarnation", incarnation_},
                    {"state", state_},           {"slots", options_.slots},
                    {"running", running_},       {"waiting", waiters_.size()},
                    {"memory", options_.memory}, {"used", Used()},
                    {"epoch", epoch_},           {"resident", units}};
    last_report_at_ = Now();
    return last_report_;
  }

  json::object Stats() {
    json::object orders;
    for (const auto& [name, count] : order_counts_) {
      orders[name] = count;
    }
    return {{"completions", completions_},
            {"most_running", most_running_},
            {"overcommits", overcommits_},
            {"most_used", most_used_},
            {"memory", options_.memory},
            {"after_leaving", after_leaving_},
            {"orders", orders},
            {"report", Report()}};
  }

  // --- orders ---

  Awaitable<void> Order(HttpExchange& exchange) {
    const json::object order = json::parse(exchange.Request().body()).as_object();
    if (frame_.faults.Take("drop_orders")) {
      ++order_counts_["dropped"];
      exchange.Abort();
      co_return;
    }
    if (frame_.faults.Take("late_orders")) {
      ++order_counts_["late"];
      exchange.Abort();
      asio::co_spawn(
          frame_.context,
          [this, order]() -> Awaitable<void> {
            co_await Pause(frame_.context, frame_.faults.Get("late_ms"));
            co_await Apply(order);
          },
          asio::detached);
      co_return;
    }
    Reply reply = co_await Apply(order);
    if (frame_.faults.Take("lose_order_answer")) {
      exchange.Abort();
      co_return;
    }
    co_await exchange.Send(std::move(reply));
  }

  bool Fenced(const json::object& order) {
    if (!options_.checks_fences || frame_.faults.Get("ignore_fences") > 0) {
      return false;
    }
    const std::int64_t epoch = order.at("epoch").as_int64();
    const std::int64_t sequence = order.at("sequence").as_int64();
    const std::string unit(order.at("unit").as_string());
    if (epoch < epoch_ || sequence < sequences_[unit]) {
      return true;
    }
    epoch_ = epoch;
    sequences_[unit] = sequence;
    return false;
  }

  Awaitable<Reply> Apply(json::object order) {
    const std::string id(order.at("order").as_string());
    const std::string unit(order.at("unit").as_string());
    const bool load = order.at("action").as_string() == "load";
    if (Fenced(order)) {
      ++order_counts_["fenced"];
      co_return JsonReply(409, {{"outcome", "fenced"}, {"epoch", epoch_}});
    }
    ++order_counts_[load ? "load" : "unload"];
    if (!load) {
      residents_.erase(unit);
      co_return JsonReply(200, {{"outcome", "done"}});
    }
    const auto found = residents_.find(unit);
    if (found != residents_.end() && !found->second.loading) {
      co_return JsonReply(200, {{"outcome", "done"}});
    }
    if (found != residents_.end()) {
      co_return JsonReply(202, {{"outcome", "loading"}});
    }
    const std::uint64_t memory = order.at("memory").to_number<std::uint64_t>();
    if (Used() + memory > options_.memory) {
      ++overcommits_;
      co_return JsonReply(507, {{"outcome", "no_memory"}});
    }
    residents_[unit] = {memory, true};
    most_used_ = std::max(most_used_, Used());
    const bool fetched = co_await Fetch(unit);
    const auto still = residents_.find(unit);
    if (!fetched) {
      residents_.erase(unit);
      co_return JsonReply(503, {{"outcome", "not_started"}});
    }
    if (still != residents_.end()) {
      still->second.loading = false;
    }
    co_return JsonReply(200, {{"outcome", "done"}});
  }

  Awaitable<bool> Fetch(std::string unit) {
    if (options_.weight_store.empty()) {
      co_await Pause(frame_.context, options_.load_ms);
      co_return true;
    }
    for (int i = 0; i < kWeightTries; ++i) {
      HttpRequest request = MakeRequest(http::verb::get, options_.weight_store, "/weights/" + unit);
      CallTimes times;
      times.first_byte = Duration(60'000);
      auto answer = co_await frame_.client.Call(options_.weight_store, std::move(request), times,
                                                Reuse::kNever);
      const auto* response = std::get_if<HttpResponse>(&answer);
      if (response != nullptr && response->result_int() == 200) {
        co_return true;
      }
      co_await Pause(frame_.context, kWeightPauseMs);
    }
    co_return false;
  }

  // --- completions ---

  Awaitable<bool> TakeSlot(std::int64_t priority) {
    const Waiter me{priority, ++waiter_number_};
    waiters_.insert(me);
    while (running_ >= options_.slots || *waiters_.begin() != me) {
      co_await Pause(frame_.context, kSlotPollMs);
    }
    waiters_.erase(me);
    ++running_;
    most_running_ = std::max(most_running_, running_);
    co_return true;
  }

  Awaitable<void> Complete(HttpExchange& exchange, bool chat) {
    const HttpRequest& request = exchange.Request();
    json::error_code error;
    const json::value body = json::parse(request.body(), error);
    if (error || !body.is_object()) {
      co_await exchange.Send(OpenAiError(400, "invalid_json", "body is not a JSON object"));
      co_return;
    }
    const json::object& object = body.as_object();
    Completion completion;
    completion.chat = chat;
    completion.unit = std::string(object.at("model").as_string());
    completion.model = completion.unit.substr(0, completion.unit.find('@'));
    completion.prompt = PromptOf(object);
    completion.request_id = std::string(request["X-Request-Id"]);
    if (const json::value* stream = object.if_contains("stream")) {
      completion.stream = stream->is_bool() && stream->as_bool();
    }
    if (const json::value* tokens = object.if_contains("max_tokens")) {
      completion.tokens = tokens->to_number<std::int64_t>();
    }
    const std::string last_event(request["Last-Event-ID"]);
    completion.from = last_event.empty() ? 0 : std::stoll(last_event) + 1;
    const auto found = residents_.find(completion.unit);
    if (found == residents_.end() || found->second.loading) {
      co_await exchange.Send(OpenAiError(404, "model_not_found", "not resident here"));
      co_return;
    }
    if (state_ != "live") {
      ++after_leaving_;
    }
    if (static_cast<std::int64_t>(waiters_.size()) >= options_.slots * kWaitingPerSlot) {
      Reply busy = OpenAiError(429, "overloaded", "too many requests wait here");
      busy.headers.emplace_back("Retry-After", "1");
      co_await exchange.Send(std::move(busy));
      co_return;
    }
    const std::string priority(request["X-Priority"]);
    co_await TakeSlot(priority.empty() ? 5 : std::stoll(priority));
    ++completions_;
    co_await Answer(exchange, completion);
    --running_;
  }

  Awaitable<void> Answer(HttpExchange& exchange, const Completion& completion) {
    HeaderList headers{{"X-Request-Id", completion.request_id}};
    if (state_ != "live") {
      headers.emplace_back("X-Endpoint-State", state_);
    }
    const std::int64_t slow = std::max<std::int64_t>(1, frame_.faults.Get("slow_factor"));
    const std::int64_t pause = options_.token_ms * slow;
    if (!completion.stream) {
      co_await Pause(frame_.context, pause * completion.tokens);
      Reply reply = JsonReply(200, Whole(completion));
      reply.headers = headers;
      co_await exchange.Send(std::move(reply));
      co_return;
    }
    bool open = co_await exchange.StartStream(200, "text/event-stream", headers);
    const std::int64_t cut_after = frame_.faults.Get("cut_after_tokens");
    const bool cut = cut_after > 0 && frame_.faults.Take("cut_streams");
    for (std::int64_t i = completion.from; open && i <= completion.tokens; ++i) {
      co_await Pause(frame_.context, pause);
      if (cut && i - completion.from >= cut_after) {
        exchange.Abort();
        co_return;
      }
      const std::string event =
          "id: " + std::to_string(i) + "\ndata: " + json::serialize(Chunk(completion, i)) + "\n\n";
      open = co_await exchange.WriteChunk(event);
    }
    if (open && co_await exchange.WriteChunk("data: [DONE]\n\n")) {
      co_await exchange.EndStream();
    }
  }

  static json::object Whole(const Completion& completion) {
    const std::string text = ExpectedText(completion.model, completion.prompt, completion.tokens);
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
            {"usage", {{"completion_tokens", completion.tokens}}}};
  }

  static json::object Chunk(const Completion& completion, std::int64_t index) {
    const bool last = index == completion.tokens;
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
  Frame frame_;
  std::string address_;
  std::string incarnation_;
  std::string state_ = "live";
  std::map<std::string, Resident> residents_;
  std::map<std::string, std::int64_t> sequences_;
  std::map<std::string, std::int64_t> order_counts_;
  std::set<Waiter> waiters_;
  std::uint64_t waiter_number_ = 0;
  std::int64_t epoch_ = 0;
  std::int64_t running_ = 0;
  std::int64_t most_running_ = 0;
  std::int64_t completions_ = 0;
  std::int64_t after_leaving_ = 0;
  std::int64_t overcommits_ = 0;
  std::uint64_t most_used_ = 0;
  json::object last_report_;
  TimePoint last_report_at_;
};

}  // namespace

void RunEndpoint(const Options& options) {
  Endpoint endpoint(options);
  endpoint.Run();
}

}  // namespace rudderloom::standin
