/// @file
/// The models and adapters that each endpoint serves.
#ifndef RUDDERLOOM_PLACEMENT_SERVING_HPP
#define RUDDERLOOM_PLACEMENT_SERVING_HPP

#include <map>     // for map
#include <string>  // for string
#include <vector>  // for vector

#include "rudderloom/fleet/endpoint_record.hpp"  // for ResidentModel

namespace rudderloom {

/// @brief Models that requests may be routed to, by endpoint instance.
/// @ingroup placement
using ServingList = std::map<std::string, std::vector<ResidentModel>>;

/// @brief The serving list with the version of each change. Versions also increase from holder to
/// holder.
/// @ingroup placement
using ServingLog = ChangeLog<std::vector<ResidentModel>>;
using ServingChanges = Changes<std::vector<ResidentModel>>;

}  // namespace rudderloom

#endif
