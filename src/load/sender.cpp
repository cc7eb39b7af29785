#include "load/sender.hpp"

#include "standin/expected_answer.hpp"  // for ExpectedText

namespace rudderloom::load {

namespace json = boost::json;

namespace {

constexpr Duration kAnswerTime{120'000};

std::string PromptOf(const Asked& asked) {
  return "prompt number " + std::to_string(asked.prompt);
}

json::array MessagesOf(const Asked& asked) {
  return {json::object{{"role", "user"}, {"content", PromptOf(asked)}}};
}

std::string CallIdOf(const Scenario& scenario, const Asked& asked) {
  return "call-" + std::to_string(scenario.seed) + "-" + std::to_string(asked.number);
}

// What the stand-in engine hashes of the request.
std::string HashedPrompt(const Part& part, const Asked& asked) {
  return part.type == Part::Type::kChat ? json::serialize(MessagesOf(asked)) : PromptOf(asked);
}

// The text that one chunk of a stream adds.
std::string ChunkText(const json::object& chunk, bool chat) {
  const json::value* choices = chunk.if_contains("choices");
  if (choices == nullptr || !choices->is_array() || choices->as_array().empty()) {
    return "";
  }
  const json::object& choice = choices->as_array().front().as_object();
  const json::value* holder = chat ? choice.if_contains("delta") : &choices->as_array().front();
  if (holder == nullptr || !holder->is_object()) {
    return "";
  }
  const json::value* text = holder->as_object().if_contains(chat ? "content" : "text");
  return text != nullptr && text->is_string() ? std::string(text->as_string()) : "";
}

void SetError(Outcome& outcome, Ending ending, const std::string& reason) {
  outcome.ending = ending;
  outcome.reason = reason;
}

}  // namespace

HttpRequest Sender::Make(const Asked& asked, const std::string& target) const {
  const Part& part = scenario_.mix[asked.part];
  HttpRequest request;
  if (part.type == Part::Type::kService) {
    request = MakeRequest(http::string_to_verb(part.method), target,
                          "/services/" + part.model + part.path, R"({"load":true})");
    request.set("X-Call-Id", CallIdOf(scenario_, asked));
    if (part.keyed) {
      request.set("Idempotency-Key", CallIdOf(scenario_, asked));
    }
  } else {
    const bool chat = part.type == Part::Type::kChat;
    json::object body{{"model", part.model}, {"max_tokens", part.tokens}, {"stream", part.stream}};
    if (chat) {
      body["messages"] = MessagesOf(asked);
    } else {
      body["prompt"] = PromptOf(asked);
    }
    request = MakeRequest(http::verb::post, target,
                          chat ? "/v1/chat/completions" : "/v1/completions", json::serialize(body));
  }
  request.set("X-Caller", part.caller);
  if (!part.kind.empty()) {
    request.set("X-Request-Kind", part.kind);
  }
  return request;
}

Awaitable<Outcome> Sender::Send(Asked asked) {
  const Part& part = scenario_.mix[asked.part];
  Outcome outcome;
  outcome.part = asked.part;
  if (part.type == Part::Type::kService) {
    outcome.call_id = CallIdOf(scenario_, asked);
  }
  const TimePoint started = Now();
  Duration first{0};
  for (outcome.tries = 1;; ++outcome.tries) {
    co_await SendOnce(asked, outcome);
    first = outcome.first + Between(started, Now()) - outcome.total;
    // As SDKs do: a failure that shows is tried again, unless the call may not be repeated.
    const bool repeatable = part.keyed || part.type != Part::Type::kService;
    const bool again = outcome.ending == Ending::kRefused ||
                       outcome.ending == Ending::kUnconnected ||
                       (outcome.ending == Ending::kVisibleError && repeatable);
    if (!again || outcome.tries >= part.tries) {
      break;
    }
    Timer pause(context_, std::chrono::seconds(1));
    co_await pause.async_wait(kAsTuple);
    ++asked.target;
  }
  outcome.first = first;
  outcome.total = Between(started, Now());
  co_return outcome;
}

// One try. Like a balancer, it goes on to the next entry node while none takes the connection.
Awaitable<void> Sender::SendOnce(const Asked& asked, Outcome& outcome) {
  const TimePoint started = Now();
  CallTimes times;
  times.connect = Duration(500);
  times.first_byte = kAnswerTime;
  times.between = kAnswerTime;
  for (std::size_t i = 0; i < scenario_.targets.size(); ++i) {
    const std::string& target = scenario_.targets[(asked.target + i) % scenario_.targets.size()];
    HttpRequest request = Make(asked, target);
    auto opened = co_await client_.Open(target, std::move(request), times, Reuse::kNever);
    if (auto* failure = std::get_if<HttpFailure>(&opened)) {
      if (failure->may_have_left) {
        outcome.all_said_not_run = false;
        SetError(outcome, Ending::kVisibleError, "cut");
        outcome.total = Between(started, Now());
        co_return;
      }
      SetError(outcome, Ending::kUnconnected, "unconnected");
      continue;
    }
    auto answer = std::move(std::get<std::unique_ptr<HttpStream>>(opened));
    outcome.first = Between(started, Now());
    co_await ReadAnswer(asked, *answer, outcome);
    break;
  }
  outcome.total = Between(started, Now());
}

Awaitable<void> Sender::ReadAnswer(const Asked& asked, HttpStream& answer, Outcome& outcome) {
  std::string body;
  while (true) {
    auto piece = co_await answer.ReadSome();
    if (std::holds_alternative<HttpFailure>(piece)) {
      outcome.all_said_not_run = false;
      SetError(outcome, Ending::kVisibleError, "cut");
      co_return;
    }
    if (std::holds_alternative<HttpStream::End>(piece)) {
      break;
    }
    body += std::get<std::string>(piece);
  }
  if (answer.Header("Content-Type") == "application/problem+json") {
    outcome.ending = Ending::kRefused;
    const json::object problem = json::parse(body).as_object();
    outcome.reason = std::string(problem.at("reason").as_string());
    outcome.ran = std::string(problem.at("ran").as_string());
    outcome.all_said_not_run = outcome.all_said_not_run && outcome.ran == "no";
    outcome.retry_after_missing = answer.Header("Retry-After").empty();
    co_return;
  }
  if (answer.Status() != 200) {
    outcome.all_said_not_run = false;
    SetError(outcome, Ending::kVisibleError, "status_" + std::to_string(answer.Status()));
    co_return;
  }
  if (scenario_.mix[asked.part].stream) {
    CheckStream(asked, body, outcome);
  } else {
    CheckWhole(asked, body, outcome);
  }
}

void Sender::CheckText(const Asked& asked,
                       const std::string& text,
                       bool ended,
                       Outcome& outcome) const {
  const Part& part = scenario_.mix[asked.part];
  const std::string expected =
      standin::ExpectedText(part.model, HashedPrompt(part, asked), part.tokens);
  if (text == expected && ended) {
    outcome.ending = Ending::kWhole;
    outcome.tokens = part.tokens;
  } else if (expected.starts_with(text)) {
    SetError(outcome, Ending::kShort, "short");
  } else {
    SetError(outcome, Ending::kForeign, "foreign");
  }
}

void Sender::CheckWhole(const Asked& asked, const std::string& body, Outcome& outcome) const {
  const Part& part = scenario_.mix[asked.part];
  json::error_code error;
  const json::value parsed = json::parse(body, error);
  if (error || !parsed.is_object()) {
    SetError(outcome, Ending::kShort, "not_json");
    return;
  }
  const json::object& object = parsed.as_object();
  if (part.type == Part::Type::kService) {
    const json::value* call = object.if_contains("call");
    const bool mine = call != nullptr && call->is_string() && call->as_string() == outcome.call_id;
    outcome.ending = mine ? Ending::kWhole : Ending::kForeign;
    outcome.reason = mine ? "" : "foreign";
    return;
  }
  const json::object& choice = object.at("choices").as_array().front().as_object();
  const bool chat = part.type == Part::Type::kChat;
  const json::value& text =
      chat ? choice.at("message").as_object().at("content") : choice.at("text");
  CheckText(asked, std::string(text.as_string()), true, outcome);
}

void Sender::CheckStream(const Asked& asked, const std::string& body, Outcome& outcome) const {
  const bool chat = scenario_.mix[asked.part].type == Part::Type::kChat;
  std::string text;
  bool done = false;
  std::size_t start = 0;
  constexpr std::string_view kData = "data: ";
  while (start < body.size()) {
    const std::size_t end = std::min(body.find('\n', start), body.size());
    const std::string_view line = std::string_view(body).substr(start, end - start);
    start = end + 1;
    if (!line.starts_with(kData)) {
      continue;
    }
    const std::string_view data = line.substr(kData.size());
    if (data == "[DONE]") {
      done = true;
      continue;
    }
    const json::object chunk = json::parse({data.data(), data.size()}).as_object();
    if (chunk.contains("error")) {
      SetError(outcome, Ending::kVisibleError, "error_event");
      return;
    }
    text += ChunkText(chunk, chat);
  }
  CheckText(asked, text, done, outcome);
}

Awaitable<std::map<std::string, std::int64_t>> Sender::ReadRuns(std::string address) {
  std::map<std::string, std::int64_t> runs;
  HttpRequest request = MakeRequest(http::verb::get, address, "/stats");
  auto answer = co_await client_.Call(address, std::move(request), CallTimes{}, Reuse::kNever);
  const auto* response = std::get_if<HttpResponse>(&answer);
  if (response == nullptr) {
    co_return runs;
  }
  const json::object stats = json::parse(response->body()).as_object();
  for (const auto& member : stats.at("runs").as_object()) {
    const std::string call(member.key());
    if (call.starts_with("call-" + std::to_string(scenario_.seed) + "-")) {
      runs[call] = member.value().as_int64();
    }
  }
  co_return runs;
}

}  // namespace rudderloom::load
