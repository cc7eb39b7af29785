/// @file
/// The configuration: all declaration sets and drained endpoints, with a generation number.
#ifndef RUDDERLOOM_CONFIGURATION_CONFIGURATION_HPP
#define RUDDERLOOM_CONFIGURATION_CONFIGURATION_HPP

#include <boost/json.hpp>  // for object
#include <cstdint>         // for uint64_t
#include <map>             // for map
#include <memory>          // for shared_ptr
#include <set>             // for set
#include <string>          // for string
#include <variant>         // for variant

#include "rudderloom/configuration/declarations.hpp"  // for Catalog

namespace rudderloom {

/// @brief The state set by operators, in one generation.
/// @ingroup configuration
struct Configuration {
  std::uint64_t generation =
      0;  ///< Incremented by each accepted change; 0 is the initial empty configuration.
  std::string author;  ///< Author of the last change, reported on conflicts.
  std::map<std::string, DeclarationSet> sets;
  std::set<std::string> drained;  ///< Endpoints taken out of service by operators.
  Catalog catalog;                ///< Parsed content of the sets.
};

/// @brief Shared pointer to an immutable configuration.
/// @ingroup configuration
using ConfigurationPtr = std::shared_ptr<const Configuration>;

/// @brief Converts to the JSON form that is stored in the platform and sent between entry nodes.
/// @ingroup configuration
boost::json::object ToJson(const Configuration& configuration);

/// @brief Parses the output of ToJson. Errors contain their JSON paths.
/// @ingroup configuration
std::variant<Configuration, JsonErrors> ConfigurationFromJson(const boost::json::object& object);

/// @brief Holds the latest configuration and never reverts to an older one.
/// @ingroup configuration
class ConfigurationKeeper {
 public:
  /// @brief Puts the configuration into force if it is newer. Returns whether it did.
  bool Offer(ConfigurationPtr offered);

  /// @brief Returns the configuration in force; never null.
  const ConfigurationPtr& InForce() const { return in_force_; }

  /// @brief Returns the number of offered configurations that were older than the one in force.
  std::uint64_t Stale() const { return stale_; }

 private:
  ConfigurationPtr in_force_ = std::make_shared<const Configuration>();
  std::uint64_t stale_ = 0;
};

}  // namespace rudderloom

#endif
