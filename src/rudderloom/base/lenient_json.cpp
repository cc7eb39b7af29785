#include "rudderloom/base/lenient_json.hpp"

#include <cstdint>   // for int64_t
#include <optional>  // for optional
#include <utility>   // for move
#include <vector>    // for vector

namespace rudderloom {

namespace json = boost::json;

namespace {

constexpr std::size_t kMaxDepth = 1'000;
// Containers within which unreadable parts are looked for: a list's response, its items, one item,
// its metadata or content, and a list in it.
constexpr int kMaxSplitDepth = 5;
constexpr std::string_view kWhitespace = " \t\r\n";

json::parse_options LenientOptions() {
  json::parse_options options;
  options.allow_invalid_utf8 = true;
  options.max_depth = kMaxDepth;
  return options;
}

std::optional<json::value> ParseWhole(std::string_view text) {
  json::error_code error;
  json::value value = json::parse({text.data(), text.size()}, error, {}, LenientOptions());
  return error ? std::nullopt : std::optional(std::move(value));
}

std::string_view Trimmed(std::string_view text) {
  const std::size_t first = text.find_first_not_of(kWhitespace);
  if (first == std::string_view::npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(kWhitespace) - first + 1);
}

bool IsContainer(std::string_view text) {
  return text.size() >= 2 && ((text.front() == '{' && text.back() == '}') ||
                              (text.front() == '[' && text.back() == ']'));
}

// Finds the parts of a container's text between separators that stand in it directly. Brackets are
// counted, not matched: what is wrong within a part shows when it is parsed.
class Splitter {
 public:
  explicit Splitter(std::string_view text) : text_(text) {}

  // Empty if a string or bracket doesn't end.
  std::optional<std::vector<std::string_view>> Split(char separator) {
    std::vector<std::string_view> parts;
    std::size_t start = 0;
    for (std::size_t i = 0; i < text_.size(); ++i) {
      Advance(text_[i]);
      if (text_[i] == separator && depth_ == 0 && !in_string_) {
        parts.push_back(Trimmed(text_.substr(start, i - start)));
        start = i + 1;
      }
    }
    if (depth_ != 0 || in_string_) {
      return std::nullopt;
    }
    parts.push_back(Trimmed(text_.substr(start)));
    return parts;
  }

 private:
  void Advance(char character) {
    if (in_string_) {
      in_string_ = escaped_ || character != '"';
      escaped_ = !escaped_ && character == '\\';
      return;
    }
    in_string_ = character == '"';
    depth_ += character == '{' || character == '[' ? 1 : 0;
    depth_ -= character == '}' || character == ']' ? 1 : 0;
  }

  std::string_view text_;
  bool in_string_ = false;
  bool escaped_ = false;
  std::int64_t depth_ = 0;
};

std::optional<json::value> ParseParts(std::string_view text, int split_depth);

std::optional<json::value> ParseArray(std::string_view content, int split_depth) {
  const auto elements = Splitter(content).Split(',');
  if (!elements) {
    return std::nullopt;
  }
  json::array array;
  for (const std::string_view element : *elements) {
    array.push_back(ParseParts(element, split_depth).value_or(nullptr));
  }
  return array;
}

std::optional<json::value> ParseObject(std::string_view content, int split_depth) {
  const auto members = Splitter(content).Split(',');
  if (!members) {
    return std::nullopt;
  }
  json::object object;
  for (const std::string_view member : *members) {
    const auto key_and_value = Splitter(member).Split(':');
    if (!key_and_value || key_and_value->size() != 2) {
      continue;
    }
    const auto key = ParseWhole(key_and_value->front());
    if (key && key->is_string()) {
      object[key->get_string()] = ParseParts(key_and_value->back(), split_depth).value_or(nullptr);
    }
  }
  return object;
}

std::optional<json::value> ParseParts(std::string_view text, int split_depth) {
  auto whole = ParseWhole(text);
  if (whole || split_depth == 0 || !IsContainer(text)) {
    return whole;
  }
  const std::string_view content = text.substr(1, text.size() - 2);
  return text.front() == '{' ? ParseObject(content, split_depth - 1)
                             : ParseArray(content, split_depth - 1);
}

}  // namespace

json::value ParseLeniently(std::string_view text, json::error_code& error) {
  error = {};
  json::value whole = json::parse({text.data(), text.size()}, error, {}, LenientOptions());
  if (!error) {
    return whole;
  }
  auto parts = ParseParts(Trimmed(text), kMaxSplitDepth);
  if (!parts) {
    return nullptr;
  }
  error = {};
  return std::move(*parts);
}

}  // namespace rudderloom
