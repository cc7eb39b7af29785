/// @file
/// Names of models and adapters.
#ifndef RUDDERLOOM_PLACEMENT_UNIT_NAME_HPP
#define RUDDERLOOM_PLACEMENT_UNIT_NAME_HPP

#include <string>  // for string
#include <tuple>   // for tie

namespace rudderloom {

/// @brief A model of a service, or an adapter of it.
/// @ingroup placement
struct UnitName {
  std::string service;
  std::string model;
  std::string adapter;  ///< Empty for the model itself.
  bool operator==(const UnitName&) const = default;
  bool operator<(const UnitName& other) const {
    return std::tie(service, model, adapter) < std::tie(other.service, other.model, other.adapter);
  }
};

}  // namespace rudderloom

#endif
