#include "rudderloom/configuration/declarations.hpp"

#include <array>    // for array
#include <ctime>    // for timegm, strptime
#include <utility>  // for move

namespace rudderloom {

namespace json = boost::json;

namespace {

constexpr std::int64_t kMaxCopies = 10'000;
constexpr std::int64_t kLowestPriority = 9;
constexpr std::array kListNames{"models", "adapters", "services", "kinds", "serving_events"};

// Builds one catalog from several sets.
class CatalogReader {
 public:
  explicit CatalogReader(JsonErrors& errors) : errors_(errors) {}

  void Read(const std::string& set_name, const DeclarationSet& set) {
    ObjectReader reader(set, set_name, errors_);
    reader.Objects("models", [&](ObjectReader& item) { ReadModel(item); });
    reader.Objects("adapters", [&](ObjectReader& item) { ReadAdapter(item); });
    reader.Objects("services", [&](ObjectReader& item) { ReadService(item); });
    reader.Objects("kinds", [&](ObjectReader& item) { ReadKind(item); });
    reader.Objects("serving_events", [&](ObjectReader& item) { ReadEvent(item); });
    reader.Finish();
  }

  Catalog Finish() {
    for (const auto& [path, reference] : model_references_) {
      if (!catalog_.models.contains(reference)) {
        errors_.push_back({path, "model \"" + reference + "\" is not declared"});
      }
    }
    for (const auto& [path, reference] : unit_references_) {
      if (!catalog_.models.contains(reference) && !catalog_.adapters.contains(reference)) {
        errors_.push_back({path, "model or adapter \"" + reference + "\" is not declared"});
      }
    }
    for (const auto& [path, reference] : kind_references_) {
      if (!catalog_.kinds.contains(reference)) {
        errors_.push_back({path, "kind \"" + reference + "\" is not declared"});
      }
    }
    return std::move(catalog_);
  }

 private:
  std::string ReadName(ObjectReader& item, const std::string& group) {
    std::string name = item.String("name");
    if (name.find_first_of("@/ \t\n\"") != std::string::npos) {
      item.Fail("name", "\"" + name + "\" contains whitespace, a quote, '@' or '/'");
    }
    // Models and adapters share one namespace, because callers request both by model name.
    if (!name.empty() && !names_.insert(group + " " + name).second) {
      item.Fail("name", "\"" + name + "\" is declared twice");
    }
    return name;
  }

  void ReadModel(ObjectReader& item) {
    Model model;
    model.name = ReadName(item, "model");
    model.version = item.String("version");
    model.pool = item.String("pool");
    model.memory = item.Size("memory");
    model.copies = item.Integer("copies", 1, kMaxCopies, 1);
    catalog_.models[model.name] = model;
  }

  void ReadAdapter(ObjectReader& item) {
    Adapter adapter;
    adapter.name = ReadName(item, "model");
    adapter.version = item.String("version");
    adapter.model = item.String("model");
    adapter.memory = item.Size("memory");
    model_references_.emplace_back(item.Path() + "/model", adapter.model);
    catalog_.adapters[adapter.name] = adapter;
  }

  void ReadService(ObjectReader& item) {
    Service service;
    service.name = ReadName(item, "service");
    service.pool = item.String("pool");
    const std::vector<std::string> methods = item.Strings("repeatable");
    service.repeatable = {methods.begin(), methods.end()};
    if (methods.empty()) {
      service.repeatable = {"GET", "HEAD"};
    }
    service.deadline = item.Time("deadline", service.deadline);
    catalog_.services[service.name] = service;
  }

  void ReadKind(ObjectReader& item) {
    RequestKind kind;
    kind.name = ReadName(item, "kind");
    kind.priority = item.Integer("priority", 0, kLowestPriority);
    kind.deadline = item.Time("deadline", kind.deadline);
    catalog_.kinds[kind.name] = kind;
  }

  void ReadEvent(ObjectReader& item) {
    ServingEvent event;
    event.name = ReadName(item, "event");
    const std::string start = item.String("start");
    const auto parsed = ParseUtc(start);
    if (!parsed && !start.empty()) {
      item.Fail("start", "\"" + start + "\" is not a time such as 2026-12-02T09:00:00Z");
    }
    event.start = parsed.value_or(0);
    event.length = item.Time("length", event.length);
    event.lead = item.Time("lead", event.lead);
    item.Objects("needs", [&](ObjectReader& nested) {
      EventNeed need;
      need.name = nested.String("name");
      need.copies = nested.Integer("copies", 1, kMaxCopies, 1);
      unit_references_.emplace_back(nested.Path() + "/name", need.name);
      event.needs.push_back(need);
    });
    item.Objects("priorities", [&](ObjectReader& nested) {
      const std::string kind = nested.String("kind");
      kind_references_.emplace_back(nested.Path() + "/kind", kind);
      event.priorities[kind] = nested.Integer("priority", 0, kLowestPriority);
    });
    catalog_.events[event.name] = event;
  }

  using References = std::vector<std::pair<std::string, std::string>>;

  JsonErrors& errors_;
  Catalog catalog_;
  std::set<std::string> names_;
  References model_references_;
  References unit_references_;
  References kind_references_;
};

}  // namespace

std::int64_t Catalog::PriorityOf(const std::string& kind, std::int64_t unix_seconds) const {
  const auto declared = kinds.find(kind);
  std::int64_t priority =
      declared == kinds.end() ? RequestKind{}.priority : declared->second.priority;
  for (const auto& [name, event] : events) {
    const std::int64_t end = event.start + event.length.count() / 1000;
    const auto raised = event.priorities.find(kind);
    if (unix_seconds >= event.start && unix_seconds < end && raised != event.priorities.end()) {
      priority = std::min(priority, raised->second);
    }
  }
  return priority;
}

std::optional<std::int64_t> ParseUtc(const std::string& text) {
  std::tm time{};
  const char* rest = ::strptime(text.c_str(), "%Y-%m-%dT%H:%M:%SZ", &time);
  if (rest == nullptr || *rest != '\0') {
    return std::nullopt;
  }
  return ::timegm(&time);
}

std::variant<DeclarationSet, JsonErrors> MergeFiles(const std::vector<DeclarationFile>& files) {
  DeclarationSet set;
  JsonErrors errors;
  for (const DeclarationFile& file : files) {
    auto parsed = ParseJsonObject(file.text, file.name);
    if (auto* nested_errors = std::get_if<JsonErrors>(&parsed)) {
      errors.insert(errors.end(), nested_errors->begin(), nested_errors->end());
      continue;
    }
    for (const auto& member : std::get<json::object>(parsed)) {
      const std::string key(member.key());
      const bool known = std::find(kListNames.begin(), kListNames.end(), key) != kListNames.end();
      if (!known || !member.value().is_array()) {
        errors.push_back({file.name + "/" + key, known ? "is not a list" : "is not a known key"});
        continue;
      }
      json::value& list = set[key];
      if (!list.is_array()) {
        list.emplace_array();
      }
      for (const json::value& item : member.value().as_array()) {
        list.as_array().push_back(item);
      }
    }
  }
  if (!errors.empty()) {
    return errors;
  }
  return set;
}

std::variant<Catalog, JsonErrors> ReadCatalog(const std::map<std::string, DeclarationSet>& sets) {
  JsonErrors errors;
  CatalogReader reader(errors);
  for (const auto& [name, set] : sets) {
    reader.Read(name, set);
  }
  Catalog catalog = reader.Finish();
  if (!errors.empty()) {
    return errors;
  }
  return catalog;
}

}  // namespace rudderloom
