/// @file
/// What operators declare: models, adapters, services, kinds of request and serving events.
#ifndef RUDDERLOOM_CONFIGURATION_DECLARATIONS_HPP
#define RUDDERLOOM_CONFIGURATION_DECLARATIONS_HPP

#include <boost/json.hpp>  // for object
#include <cstdint>         // for uint64_t
#include <map>             // for map
#include <set>             // for set
#include <string>          // for string
#include <variant>         // for variant
#include <vector>          // for vector

#include "rudderloom/base/clock.hpp"        // for Duration
#include "rudderloom/base/json_reader.hpp"  // for JsonErrors

namespace rudderloom {

/// @brief A language model, one version of it.
/// @ingroup configuration
struct Model {
  std::string name;
  std::string version;
  std::string pool;          ///< The pool of endpoints that may hold it.
  std::uint64_t memory = 0;  ///< Accelerator memory of one copy, in bytes.
  std::int64_t copies = 1;   ///< Copies wanted in quiet times, at least 1.
};

/// @brief An adapter on a model; callers name it as they name a model.
/// @ingroup configuration
struct Adapter {
  std::string name;
  std::string version;
  std::string model;         ///< Name of the model it sits on.
  std::uint64_t memory = 0;  ///< Accelerator memory beside its model, in bytes.
};

/// @brief A plain service beside the engines.
/// @ingroup configuration
struct Service {
  std::string name;
  std::string pool;
  std::set<std::string> repeatable;  ///< Methods that may be sent twice; usually GET and HEAD.
  Duration deadline{5'000};
};

/// @brief A kind of request with its usual priority and deadline.
/// @ingroup configuration
struct RequestKind {
  std::string name;
  std::int64_t priority = 5;  ///< 0 is the most urgent, 9 the least.
  Duration deadline{30'000};
};

/// @brief What an event needs of one model or adapter.
/// @ingroup configuration
struct EventNeed {
  std::string name;
  std::int64_t copies = 1;
};

/// @brief A moment with a known start at which many callers ask at once.
/// @ingroup configuration
struct ServingEvent {
  std::string name;
  std::int64_t start = 0;  ///< Seconds since 1970 UTC.
  Duration length{3'600'000};
  Duration lead{60'000};  ///< How long before the start its models must be resident.
  std::vector<EventNeed> needs;
  std::map<std::string, std::int64_t> priorities;  ///< By kind of request.
};

/// @brief Everything declared, over all sets, with names that are unique.
/// @ingroup configuration
struct Catalog {
  std::map<std::string, Model> models;
  std::map<std::string, Adapter> adapters;
  std::map<std::string, Service> services;
  std::map<std::string, RequestKind> kinds;
  std::map<std::string, ServingEvent> events;

  /// @brief Priority of a kind at a moment: the running events' most urgent, else the usual one.
  std::int64_t PriorityOf(const std::string& kind, std::int64_t unix_seconds) const;
};

/// @brief One set of declarations as kept in version control: a directory of JSON files, merged.
/// The object holds the lists `models`, `adapters`, `services`, `kinds` and `serving_events`.
/// @ingroup configuration
using DeclarationSet = boost::json::object;

/// @brief One file of a declaration set: its name, for error messages, and its text.
/// @ingroup configuration
struct DeclarationFile {
  std::string name;
  std::string text;
};

/// @brief Joins the files of one set; mistakes carry the file's name before the JSON path.
/// @ingroup configuration
std::variant<DeclarationSet, JsonErrors> MergeFiles(const std::vector<DeclarationFile>& files);

/// @brief Reads and cross-checks sets: doubled names, undeclared references, wrong units.
/// @ingroup configuration
std::variant<Catalog, JsonErrors> ReadCatalog(const std::map<std::string, DeclarationSet>& sets);

/// @brief Parses `2026-12-02T09:00:00Z`; empty when it isn't such a time.
/// @ingroup configuration
std::optional<std::int64_t> ParseUtc(const std::string& text);

}  // namespace rudderloom

#endif
