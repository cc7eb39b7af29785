/// @file
/// What requests may be sent to each endpoint for.
#ifndef RUDDERLOOM_PLACEMENT_SERVING_HPP
#define RUDDERLOOM_PLACEMENT_SERVING_HPP

#include <map>     // for map
#include <string>  // for string
#include <vector>  // for vector

#include "rudderloom/fleet/endpoint_record.hpp"  // for ResidentModel

namespace rudderloom {

/// @brief What requests may be sent for, by endpoint instance.
/// @ingroup placement
using ServingList = std::map<std::string, std::vector<ResidentModel>>;

/// @brief The same with the version of each change; versions rise also from holder to holder.
/// @ingroup placement
using ServingLog = ChangeLog<std::vector<ResidentModel>>;
using ServingChanges = Changes<std::vector<ResidentModel>>;

}  // namespace rudderloom

#endif
