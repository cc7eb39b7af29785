#include "load/sender.hpp"

#include "standin/expected_answer.hpp"  // for ExpectedText

namespace rudderloom::load {

namespace json = boost::json;

namespace {

constexpr Duration kResponseTimeout{120'000};

std::string PromptText(const RequestSpec& spec) {
  return "prompt number " + std::to_string(spec.prompt_number);
}

json::array ChatMessages(const RequestSpec& spec) {
  return {json::object{{"role", "user"}, {"content", PromptText(spec)}}};
}

std::string CallId(const Scenario& scenario, const RequestSpec& spec) {
  return "call-" + std::to_string(scenario.seed) + "-" + std::to_string(spec.number);
}

// The prompt as the engine stand-in hashes it: chat messages are hashed as their JSON text.
std::string HashedPrompt(const TrafficClass& traffic, const RequestSpec& spec) {
  return traffic.type == TrafficClass::Type::kChat ? json::serialize(ChatMessages(spec))
                                                   : PromptText(spec);
}

// Extracts the text of one chunk of a stream.
std::string ChunkText(const json::object& chunk, bool chat) {
  const json::value* choices = chunk.if_contains("choices");
  if (choices == nullptr || !choices->is_array() || choices->as_array().empty()) {
    return "";
  }
  const json::object& choice = choices->as_array().front().as_object();
  const json::value* text_parent =
      chat ? choice.if_contains("delta") : &choices->as_array().front();
  if (text_parent == nullptr || !text_parent->is_object()) {
    return "";
  }
  const json::value* text = text_parent->as_object().if_contains(chat ? "content" : "text");
  return text != nullptr && text->is_string() ? std::string(text->as_string()) : "";
}

void SetFailure(Outcome& outcome, RequestResult result, const std::string& reason) {
  outcome.result = result;
  outcome.reason = reason;
}

}  // namespace

HttpRequest Sender::BuildRequest(const RequestSpec& spec, const std::string& target) const {
  const TrafficClass& traffic = scenario_.mix[spec.class_index];
  HttpRequest request;
  if (traffic.type == TrafficClass::Type::kService) {
    request = MakeRequest(http::string_to_verb(traffic.method), target,
                          "/services/" + traffic.target_name + traffic.path, R"({"load":true})");
    request.set("X-Call-Id", CallId(scenario_, spec));
    if (traffic.idempotent) {
      request.set("Idempotency-Key", CallId(scenario_, spec));
    }
  } else {
    const bool chat = traffic.type == TrafficClass::Type::kChat;
    json::object body{
        {"model", traffic.target_name}, {"max_tokens", traffic.tokens}, {"stream", traffic.stream}};
    if (chat) {
      body["messages"] = ChatMessages(spec);
    } else {
      body["prompt"] = PromptText(spec);
    }
    request = MakeRequest(http::verb::post, target,
                          chat ? "/v1/chat/completions" : "/v1/completions", json::serialize(body));
  }
  request.set("X-Caller", traffic.caller);
  if (!traffic.request_kind.empty()) {
    request.set("X-Request-Kind", traffic.request_kind);
  }
  return request;
}

Awaitable<Outcome> Sender::Send(RequestSpec spec) {
  const TrafficClass& traffic = scenario_.mix[spec.class_index];
  Outcome outcome;
  outcome.class_index = spec.class_index;
  if (traffic.type == TrafficClass::Type::kService) {
    outcome.call_id = CallId(scenario_, spec);
  }
  const TimePoint started = Now();
  Duration time_to_first_token{0};
  for (outcome.attempt_count = 1;; ++outcome.attempt_count) {
    co_await SendAttempt(spec, outcome);
    time_to_first_token =
        outcome.time_to_first_token + Between(started, Now()) - outcome.total_time;
    // Like common SDKs, retries every failure except an error of a call that is not safe to repeat.
    const bool repeatable = traffic.idempotent || traffic.type != TrafficClass::Type::kService;
    const bool should_retry = outcome.result == RequestResult::kRefused ||
                              outcome.result == RequestResult::kNotConnected ||
                              (outcome.result == RequestResult::kReportedError && repeatable);
    if (!should_retry || outcome.attempt_count >= traffic.max_attempts) {
      break;
    }
    Timer pause(context_, std::chrono::seconds(1));
    co_await pause.async_wait(kAsTuple);
    ++spec.node_index;
  }
  outcome.time_to_first_token = time_to_first_token;
  outcome.total_time = Between(started, Now());
  co_return outcome;
}

// Makes one attempt. Like a load balancer, it tries the next entry node while connecting fails.
Awaitable<void> Sender::SendAttempt(const RequestSpec& spec, Outcome& outcome) {
  const TimePoint started = Now();
  CallTimeouts times;
  times.connect = Duration(500);
  times.first_byte = kResponseTimeout;
  times.between = kResponseTimeout;
  for (std::size_t i = 0; i < scenario_.entry_nodes.size(); ++i) {
    const std::string& target =
        scenario_.entry_nodes[(spec.node_index + i) % scenario_.entry_nodes.size()];
    HttpRequest request = BuildRequest(spec, target);
    auto opened = co_await client_.Open(target, std::move(request), times, ConnectionReuse::kNever);
    if (auto* failure = std::get_if<HttpFailure>(&opened)) {
      if (failure->may_have_been_sent) {
        outcome.all_refusals_said_not_run = false;
        SetFailure(outcome, RequestResult::kReportedError, "cut");
        outcome.total_time = Between(started, Now());
        co_return;
      }
      SetFailure(outcome, RequestResult::kNotConnected, "unconnected");
      continue;
    }
    auto answer = std::move(std::get<std::unique_ptr<HttpStream>>(opened));
    outcome.time_to_first_token = Between(started, Now());
    co_await ReadResponse(spec, *answer, outcome);
    break;
  }
  outcome.total_time = Between(started, Now());
}

Awaitable<void> Sender::ReadResponse(const RequestSpec& spec,
                                     HttpStream& answer,
                                     Outcome& outcome) {
  std::string body;
  while (true) {
    auto piece = co_await answer.ReadSome();
    if (std::holds_alternative<HttpFailure>(piece)) {
      outcome.all_refusals_said_not_run = false;
      SetFailure(outcome, RequestResult::kReportedError, "cut");
      co_return;
    }
    if (std::holds_alternative<HttpStream::End>(piece)) {
      break;
    }
    body += std::get<std::string>(piece);
  }
  if (answer.Header("Content-Type") == "application/problem+json") {
    outcome.result = RequestResult::kRefused;
    const json::object problem = json::parse(body).as_object();
    outcome.reason = std::string(problem.at("reason").as_string());
    outcome.ran = std::string(problem.at("ran").as_string());
    outcome.all_refusals_said_not_run = outcome.all_refusals_said_not_run && outcome.ran == "no";
    outcome.retry_after_missing = answer.Header("Retry-After").empty();
    co_return;
  }
  if (answer.Status() != 200) {
    outcome.all_refusals_said_not_run = false;
    SetFailure(outcome, RequestResult::kReportedError, "status_" + std::to_string(answer.Status()));
    co_return;
  }
  if (scenario_.mix[spec.class_index].stream) {
    CheckStream(spec, body, outcome);
  } else {
    CheckBody(spec, body, outcome);
  }
}

void Sender::CheckText(const RequestSpec& spec,
                       const std::string& text,
                       bool is_final,
                       Outcome& outcome) const {
  const TrafficClass& traffic = scenario_.mix[spec.class_index];
  const std::string expected =
      standin::ExpectedText(traffic.target_name, HashedPrompt(traffic, spec), traffic.tokens);
  if (text == expected && is_final) {
    outcome.result = RequestResult::kComplete;
    outcome.tokens = traffic.tokens;
  } else if (expected.starts_with(text)) {
    SetFailure(outcome, RequestResult::kTruncated, "short");
  } else {
    SetFailure(outcome, RequestResult::kMismatched, "foreign");
  }
}

void Sender::CheckBody(const RequestSpec& spec, const std::string& body, Outcome& outcome) const {
  const TrafficClass& traffic = scenario_.mix[spec.class_index];
  json::error_code error;
  const json::value parsed = json::parse(body, error);
  if (error || !parsed.is_object()) {
    SetFailure(outcome, RequestResult::kTruncated, "not_json");
    return;
  }
  const json::object& object = parsed.as_object();
  if (traffic.type == TrafficClass::Type::kService) {
    const json::value* call = object.if_contains("call");
    const bool matches =
        call != nullptr && call->is_string() && call->as_string() == outcome.call_id;
    outcome.result = matches ? RequestResult::kComplete : RequestResult::kMismatched;
    outcome.reason = matches ? "" : "foreign";
    return;
  }
  const json::object& choice = object.at("choices").as_array().front().as_object();
  const bool chat = traffic.type == TrafficClass::Type::kChat;
  const json::value& text =
      chat ? choice.at("message").as_object().at("content") : choice.at("text");
  CheckText(spec, std::string(text.as_string()), true, outcome);
}

void Sender::CheckStream(const RequestSpec& spec, const std::string& body, Outcome& outcome) const {
  const bool chat = scenario_.mix[spec.class_index].type == TrafficClass::Type::kChat;
  std::string text;
  bool done = false;
  std::size_t start = 0;
  constexpr std::string_view kDataPrefix = "data: ";
  while (start < body.size()) {
    const std::size_t end = std::min(body.find('\n', start), body.size());
    const std::string_view line = std::string_view(body).substr(start, end - start);
    start = end + 1;
    if (!line.starts_with(kDataPrefix)) {
      continue;
    }
    const std::string_view data = line.substr(kDataPrefix.size());
    if (data == "[DONE]") {
      done = true;
      continue;
    }
    const json::object chunk = json::parse({data.data(), data.size()}).as_object();
    if (chunk.contains("error")) {
      SetFailure(outcome, RequestResult::kReportedError, "error_event");
      return;
    }
    text += ChunkText(chunk, chat);
  }
  CheckText(spec, text, done, outcome);
}

Awaitable<std::map<std::string, std::int64_t>> Sender::FetchRunCounts(std::string address) {
  std::map<std::string, std::int64_t> run_counts;
  HttpRequest request = MakeRequest(http::verb::get, address, "/stats");
  auto answer =
      co_await client_.Call(address, std::move(request), CallTimeouts{}, ConnectionReuse::kNever);
  const auto* response = std::get_if<HttpResponse>(&answer);
  if (response == nullptr) {
    co_return run_counts;
  }
  const json::object stats = json::parse(response->body()).as_object();
  for (const auto& member : stats.at("runs").as_object()) {
    const std::string call(member.key());
    if (call.starts_with("call-" + std::to_string(scenario_.seed) + "-")) {
      run_counts[call] = member.value().as_int64();
    }
  }
  co_return run_counts;
}

}  // namespace rudderloom::load
