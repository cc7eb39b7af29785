#include "rudderloom/base/json_reader.hpp"

#include <array>         // for array
#include <charconv>      // for from_chars
#include <system_error>  // for errc
#include <utility>       // for pair, move

namespace rudderloom {

namespace json = boost::json;

namespace {

struct Unit {
  std::string_view name;
  std::uint64_t factor;
};

constexpr std::uint64_t kKibibyte = 1024;

constexpr std::array kTimeUnits{Unit{"ms", 1}, Unit{"s", 1000}, Unit{"m", 60'000},
                                Unit{"h", 3'600'000}};
constexpr std::array kSizeUnits{Unit{"B", 1}, Unit{"KiB", kKibibyte},
                                Unit{"MiB", kKibibyte* kKibibyte},
                                Unit{"GiB", kKibibyte* kKibibyte* kKibibyte}};

// Largest number accepted before a unit, so that the product fits into 64 bits.
constexpr std::uint64_t kMaxBeforeUnit = 1'000'000'000;

template <std::size_t N>
std::optional<std::uint64_t> ParseWithUnit(std::string_view text,
                                           const std::array<Unit, N>& units) {
  std::uint64_t number = 0;
  const char* end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, number);
  if (error != std::errc() || number > kMaxBeforeUnit) {
    return std::nullopt;
  }
  const std::string_view name(rest, static_cast<std::size_t>(end - rest));
  for (const Unit& unit : units) {
    if (unit.name == name) {
      return number * unit.factor;
    }
  }
  return std::nullopt;
}

std::string ToText(const json::value& value) {
  return json::serialize(value);
}

}  // namespace

std::variant<json::object, JsonErrors> ParseJsonObject(std::string_view text,
                                                       const std::string& path) {
  json::error_code error;
  json::value value = json::parse({text.data(), text.size()}, error);
  if (error) {
    return JsonErrors{{path, "not JSON: " + error.message()}};
  }
  if (!value.is_object()) {
    return JsonErrors{{path, "not a JSON object"}};
  }
  return std::move(value.as_object());
}

std::optional<Duration> ParseDuration(std::string_view text) {
  if (const auto whole = ParseWithUnit(text, kTimeUnits)) {
    return Duration(static_cast<Duration::rep>(*whole));
  }
  // A decimal fraction: digits, a point, digits and the unit.
  const std::size_t point = text.find('.');
  const std::size_t unit = text.find_first_not_of("0123456789.");
  if (point == 0 || point == std::string_view::npos || unit == std::string_view::npos) {
    return std::nullopt;
  }
  double number = 0.0;
  const auto read = std::from_chars(text.data(), text.data() + unit, number);
  std::string one("1");
  one += text.substr(unit);
  const auto factor = ParseWithUnit(one, kTimeUnits);
  if (read.ec != std::errc() || read.ptr != text.data() + unit || !factor ||
      number > static_cast<double>(kMaxBeforeUnit)) {
    return std::nullopt;
  }
  return Duration(static_cast<Duration::rep>(number * static_cast<double>(*factor)));
}

std::optional<std::uint64_t> ParseSize(std::string_view text) {
  return ParseWithUnit(text, kSizeUnits);
}

ObjectReader::ObjectReader(const json::object& object, std::string path, JsonErrors& errors)
    : object_(object), path_(std::move(path)), errors_(errors) {}

const json::value* ObjectReader::Find(std::string_view key, bool required) {
  requested_keys_.emplace(key);
  const json::value* found = object_.if_contains({key.data(), key.size()});
  if (found == nullptr && required) {
    Fail(key, "is missing");
  }
  return found;
}

void ObjectReader::Fail(std::string_view key, std::string message) {
  errors_.push_back({path_ + "/" + std::string(key), std::move(message)});
}

std::string ObjectReader::String(std::string_view key, const std::optional<std::string>& fallback) {
  const json::value* found = Find(key, !fallback);
  if (found == nullptr) {
    return fallback.value_or("");
  }
  if (!found->is_string()) {
    Fail(key, ToText(*found) + " is not a string");
    return fallback.value_or("");
  }
  if (found->as_string().empty() && !fallback) {
    Fail(key, "is empty");
  }
  return std::string(found->as_string());
}

std::int64_t ObjectReader::Integer(std::string_view key,
                                   std::int64_t min,
                                   std::int64_t max,
                                   std::optional<std::int64_t> fallback) {
  const json::value* found = Find(key, !fallback);
  if (found == nullptr) {
    return fallback.value_or(min);
  }
  json::error_code error;
  const auto value = found->is_number() && !found->is_double()
                         ? found->to_number<std::int64_t>(error)
                         : std::int64_t{0};
  if (!found->is_number() || found->is_double() || error) {
    Fail(key, ToText(*found) + " is not a whole number");
    return fallback.value_or(min);
  }
  if (value < min || value > max) {
    Fail(key,
         std::to_string(value) + " is not in " + std::to_string(min) + ".." + std::to_string(max));
  }
  return value;
}

double ObjectReader::Number(std::string_view key,
                            double min,
                            double max,
                            std::optional<double> fallback) {
  const json::value* found = Find(key, !fallback);
  if (found == nullptr) {
    return fallback.value_or(min);
  }
  if (!found->is_number()) {
    Fail(key, ToText(*found) + " is not a number");
    return fallback.value_or(min);
  }
  const double value = found->to_number<double>();
  if (!(value >= min && value <= max)) {
    Fail(key, ToText(*found) + " is out of range");
  }
  return value;
}

bool ObjectReader::Boolean(std::string_view key, bool fallback) {
  const json::value* found = Find(key, false);
  if (found == nullptr) {
    return fallback;
  }
  if (!found->is_bool()) {
    Fail(key, ToText(*found) + " is not true or false");
    return fallback;
  }
  return found->as_bool();
}

Duration ObjectReader::Time(std::string_view key, std::optional<Duration> fallback) {
  const json::value* found = Find(key, !fallback);
  if (found == nullptr) {
    return fallback.value_or(Duration(0));
  }
  const auto parsed =
      found->is_string() ? ParseDuration(std::string_view(found->as_string())) : std::nullopt;
  if (!parsed) {
    Fail(key, ToText(*found) + " is not a time such as \"250ms\", \"5s\", \"10m\" or \"2h\"");
    return fallback.value_or(Duration(0));
  }
  if (*parsed > kMaxSettingTime) {
    Fail(key, ToText(*found) + " is longer than 100000h");
    return fallback.value_or(Duration(0));
  }
  return *parsed;
}

std::uint64_t ObjectReader::Size(std::string_view key, std::optional<std::uint64_t> fallback) {
  const json::value* found = Find(key, !fallback);
  if (found == nullptr) {
    return fallback.value_or(0);
  }
  const auto parsed =
      found->is_string() ? ParseSize(std::string_view(found->as_string())) : std::nullopt;
  if (!parsed) {
    Fail(key, ToText(*found) + " is not a size such as \"64KiB\", \"8MiB\" or \"14GiB\"");
    return fallback.value_or(0);
  }
  return *parsed;
}

std::vector<std::string> ObjectReader::Strings(std::string_view key) {
  std::vector<std::string> result;
  const json::value* found = Find(key, false);
  if (found == nullptr) {
    return result;
  }
  if (!found->is_array()) {
    Fail(key, ToText(*found) + " is not a list of strings");
    return result;
  }
  for (const json::value& element : found->as_array()) {
    if (element.is_string()) {
      result.emplace_back(element.as_string());
    } else {
      Fail(key, ToText(element) + " is not a string");
    }
  }
  return result;
}

void ObjectReader::Object(std::string_view key,
                          bool optional,
                          const std::function<void(ObjectReader&)>& read) {
  const json::value* found = Find(key, !optional);
  if (found != nullptr && !found->is_object()) {
    Fail(key, ToText(*found) + " is not an object");
    return;
  }
  if (found == nullptr && !optional) {
    return;
  }
  const json::object empty;
  const json::object& object = found == nullptr ? empty : found->as_object();
  ObjectReader nested(object, path_ + "/" + std::string(key), errors_);
  read(nested);
  nested.Finish();
}

void ObjectReader::Objects(std::string_view key, const std::function<void(ObjectReader&)>& read) {
  const json::value* found = Find(key, false);
  if (found == nullptr) {
    return;
  }
  if (!found->is_array()) {
    Fail(key, ToText(*found) + " is not a list");
    return;
  }
  std::size_t index = 0;
  for (const json::value& element : found->as_array()) {
    const std::string position = std::string(key) + "/" + std::to_string(index++);
    if (!element.is_object()) {
      Fail(position, ToText(element) + " is not an object");
      continue;
    }
    ObjectReader nested(element.as_object(), path_ + "/" + position, errors_);
    read(nested);
    nested.Finish();
  }
}

void ObjectReader::Finish() {
  for (const auto& member : object_) {
    const std::string_view key(member.key().data(), member.key().size());
    if (requested_keys_.find(key) == requested_keys_.end()) {
      Fail(key, "is not a known key");
    }
  }
}

}  // namespace rudderloom
