#include "rudderloom/attempts/event_relay.hpp"

#include <charconv>  // for from_chars
#include <optional>  // for optional

namespace rudderloom {

namespace {

constexpr std::string_view kEventEnd = "\n\n";
constexpr std::string_view kDoneEvent = "data: [DONE]";

std::optional<std::int64_t> IdOf(std::string_view event) {
  constexpr std::string_view kField = "id:";
  if (!event.starts_with(kField)) {
    return std::nullopt;
  }
  event.remove_prefix(kField.size());
  if (event.starts_with(' ')) {
    event.remove_prefix(1);
  }
  std::int64_t id = 0;
  const auto parsed = std::from_chars(event.data(), event.data() + event.size(), id);
  if (parsed.ec != std::errc()) {
    return std::nullopt;
  }
  return id;
}

}  // namespace

EventRelay::Verdict EventRelay::Feed(std::string_view chunk, std::string& out) {
  partial_ += chunk;
  std::size_t start = 0;
  for (std::size_t end = partial_.find(kEventEnd); end != std::string::npos;
       end = partial_.find(kEventEnd, start)) {
    const std::size_t next = end + kEventEnd.size();
    if (AppendEvent(std::string_view(partial_).substr(start, next - start), out) == Verdict::kGap) {
      return Verdict::kGap;
    }
    start = next;
  }
  partial_.erase(0, start);
  return partial_.size() > kMaxEventBytes ? Verdict::kTooLong : Verdict::kOk;
}

EventRelay::Verdict EventRelay::AppendEvent(std::string_view event, std::string& out) {
  if (done_) {
    return Verdict::kOk;
  }
  if (event.starts_with(kDoneEvent)) {
    done_ = true;
    out += event;
    return Verdict::kOk;
  }
  const auto id = IdOf(event);
  if (id && *id <= last_id_) {
    return Verdict::kOk;
  }
  if (id && *id > last_id_ + 1) {
    return Verdict::kGap;
  }
  if (id) {
    last_id_ = *id;
  } else {
    ++unnumbered_;
  }
  out += event;
  return Verdict::kOk;
}

}  // namespace rudderloom
