/// @file
/// Declarations of operators: models, adapters, services, request kinds and serving events.
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

/// @brief A language model in one version.
/// @ingroup configuration
struct Model {
  std::string name;
  std::string version;
  std::string pool;          ///< Pool of endpoints that may load it.
  std::uint64_t memory = 0;  ///< Accelerator memory per copy, in bytes.
  std::int64_t copies = 1;   ///< Minimum number of loaded copies, at least 1.
};

/// @brief An adapter of a model. Callers request it by name, like a model.
/// @ingroup configuration
struct Adapter {
  std::string name;
  std::string version;
  std::string model;         ///< Name of the base model.
  std::uint64_t memory = 0;  ///< Accelerator memory in addition to the model, in bytes.
};

/// @brief A plain HTTP service, not an inference engine.
/// @ingroup configuration
struct Service {
  std::string name;
  std::string pool;
  std::set<std::string> repeatable;  ///< Methods that may be retried; GET and HEAD by default.
  Duration deadline{5'000};
};

/// @brief A kind of request with its default priority and deadline.
/// @ingroup configuration
struct RequestKind {
  std::string name;
  std::int64_t priority = 5;  ///< From 0 (most urgent) to 9 (least urgent).
  Duration deadline{30'000};
};

/// @brief Number of copies of a model or adapter that an event requires.
/// @ingroup configuration
struct EventNeed {
  std::string name;
  std::int64_t copies = 1;
};

/// @brief A scheduled period of high load.
/// @ingroup configuration
struct ServingEvent {
  std::string name;
  std::int64_t start = 0;  ///< Unix time in seconds.
  Duration length{3'600'000};
  Duration lead{60'000};  ///< Time before the start at which its models must be loaded.
  std::vector<EventNeed> needs;
  std::map<std::string, std::int64_t> priorities;  ///< By request kind.
};

/// @brief All declarations of all sets, with unique names.
/// @ingroup configuration
struct Catalog {
  std::map<std::string, Model> models;
  std::map<std::string, Adapter> adapters;
  std::map<std::string, Service> services;
  std::map<std::string, RequestKind> kinds;
  std::map<std::string, ServingEvent> events;

  /// @brief Returns the priority of a request kind at the given time: the most urgent of its
  /// default and the priorities set by active events.
  std::int64_t PriorityOf(const std::string& kind, std::int64_t unix_seconds) const;
};

/// @brief A set of declarations, merged from a directory of JSON files under version control.
/// The object contains the lists `models`, `adapters`, `services`, `kinds` and `serving_events`.
/// @ingroup configuration
using DeclarationSet = boost::json::object;

/// @brief A file of a declaration set. The name is used in error messages.
/// @ingroup configuration
struct DeclarationFile {
  std::string name;
  std::string text;
};

/// @brief Merges the files of a set. Errors contain the file name and the JSON path.
/// @ingroup configuration
std::variant<DeclarationSet, JsonErrors> MergeFiles(const std::vector<DeclarationFile>& files);

/// @brief Parses and validates sets: duplicate names, undeclared references and invalid units.
/// @ingroup configuration
std::variant<Catalog, JsonErrors> ReadCatalog(const std::map<std::string, DeclarationSet>& sets);

/// @brief Parses a time such as `2026-12-02T09:00:00Z` to Unix seconds; empty if it is invalid.
/// @ingroup configuration
std::optional<std::int64_t> ParseUtc(const std::string& text);

}  // namespace rudderloom

#endif
