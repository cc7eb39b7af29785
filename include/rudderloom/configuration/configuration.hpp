/// @file
/// The configuration in force: all declared sets and drained endpoints, under one generation.
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

/// @brief One accepted state of everything that operators decide.
/// @ingroup configuration
struct Configuration {
  std::uint64_t generation = 0;  ///< Grows by one with each accepted change; 0 is the empty start.
  std::string author;            ///< Who made the last change, for the loser of a race.
  std::map<std::string, DeclarationSet> sets;
  std::set<std::string> drained;  ///< Endpoints that operators took out of service.
  Catalog catalog;                ///< What the sets declare.
};

/// @brief A configuration that nobody changes any more.
/// @ingroup configuration
using ConfigurationPtr = std::shared_ptr<const Configuration>;

/// @brief As stored in the platform and sent between entry nodes.
/// @ingroup configuration
boost::json::object ToJson(const Configuration& configuration);

/// @brief Reads what ToJson wrote; mistakes come with their JSON paths.
/// @ingroup configuration
std::variant<Configuration, JsonErrors> ConfigurationFromJson(const boost::json::object& object);

/// @brief Keeps the newest configuration seen and never goes back to an older one.
/// @ingroup configuration
class ConfigurationKeeper {
 public:
  /// @brief Takes the configuration if it is newer; true when it came into force.
  bool Offer(ConfigurationPtr offered);

  /// @brief The one in force; never null.
  const ConfigurationPtr& InForce() const { return in_force_; }

  /// @brief Offers that were older than what was in force.
  std::uint64_t Stale() const { return stale_; }

 private:
  ConfigurationPtr in_force_ = std::make_shared<const Configuration>();
  std::uint64_t stale_ = 0;
};

}  // namespace rudderloom

#endif
