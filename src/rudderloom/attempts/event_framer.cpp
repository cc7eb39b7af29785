#include "rudderloom/forwarding/event_framer.hpp"

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

std::optional<std::uint64_t> IdOf(std::string_view event) {
  while (!event.empty()) {
    const std::size_t end = event.find('\n');
    std::string_view line = event.substr(0, end);
    event = end == std::string_view::npos ? std::string_view() : event.substr(end + 1);
    if (!line.starts_with(kIdField)) {
      continue;
    }
    line.remove_prefix(kIdField.size());
    line.remove_prefix(std::min(line.find_first_not_of(' '), line.size()));
    std::uint64_t id = 0;
    if (std::from_chars(line.data(), line.data() + line.size(), id).ec == std::errc()) {
      return id;
    }
  }
  return std::nullopt;
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
