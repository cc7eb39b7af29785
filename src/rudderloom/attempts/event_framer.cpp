#include "rudderloom/attempts/event_framer.hpp"

#include <algorithm>  // for min
#include <charconv>   // for from_chars

namespace rudderloom {

namespace {

constexpr std::string_view kIdField = "id:";

// Returns the end of the first event including its blank line; npos if it is incomplete.
std::size_t EndOfEvent(std::string_view text) {
  std::size_t end = std::string_view::npos;
  for (const std::string_view separator : {"\n\n", "\r\n\r\n"}) {
    const std::size_t found = text.find(separator);
    if (found != std::string_view::npos) {
      end = std::min(end, found + separator.size());
    }
  }
  return end;
}

// Empty unless the whole value is a number.
std::optional<std::uint64_t> ParseId(std::string_view value) {
  value.remove_prefix(std::min(value.find_first_not_of(' '), value.size()));
  if (value.ends_with('\r')) {
    value.remove_suffix(1);
  }
  std::uint64_t id = 0;
  const char* end = value.data() + value.size();
  const auto parsed = std::from_chars(value.data(), end, id);
  return parsed.ec == std::errc() && parsed.ptr == end ? std::optional(id) : std::nullopt;
}

// Of several ids in one event the last one counts, as for the clients that read it.
std::optional<std::uint64_t> IdOf(std::string_view event) {
  std::optional<std::uint64_t> id;
  while (!event.empty()) {
    const std::size_t end = event.find('\n');
    std::string_view line = event.substr(0, end);
    event = end == std::string_view::npos ? std::string_view() : event.substr(end + 1);
    if (line.starts_with(kIdField)) {
      line.remove_prefix(kIdField.size());
      id = ParseId(line);
    }
  }
  return id;
}

}  // namespace

std::optional<StreamEvent> EventFramer::Next() {
  const std::size_t end = EndOfEvent(pending_);
  if (end == std::string::npos) {
    return std::nullopt;
  }
  StreamEvent event;
  event.text = pending_.substr(0, end);
  event.id = IdOf(event.text);
  pending_.erase(0, end);
  return event;
}

}  // namespace rudderloom
