/// @file
/// Checks a configuration for entries that cannot match and for limits that contradict each other.
#ifndef RUDDERLOOM_CONFIGURATION_CHECK_CONFIGURATION_CHECK_HPP
#define RUDDERLOOM_CONFIGURATION_CHECK_CONFIGURATION_CHECK_HPP

#include "rudderloom/configuration_check/finding.hpp"  // for Findings
#include "rudderloom/routes/route_table.hpp"           // for RouteTable

namespace rudderloom {

/// @brief Finds routes that no request matches or that reach no service, and limits of routes that
/// contradict each other.
/// @ingroup configuration_check
Findings CheckRoutes(const RouteTable& table);

/// @brief Finds services that no route reaches and models that no engine can load.
/// @ingroup configuration_check
Findings CheckServices(const RouteTable& table);

/// @brief Finds customers that no caller can be and quotas that admit no usual request.
/// @ingroup configuration_check
Findings CheckCustomers(const RouteTable& table);

/// @brief All of the above.
/// @ingroup configuration_check
Findings CheckConfiguration(const RouteTable& table);

/// @brief Lists added, removed and changed entries, and a version that nodes will not take.
/// @ingroup configuration_check
Findings CompareConfigurations(const RouteTable& in_force, const RouteTable& candidate);

}  // namespace rudderloom

#endif
