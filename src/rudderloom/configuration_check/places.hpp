// Places of findings and text of values.
#ifndef RUDDERLOOM_CONFIGURATION_CHECK_PLACES_HPP
#define RUDDERLOOM_CONFIGURATION_CHECK_PLACES_HPP

#include <string>  // for string

#include "rudderloom/routes/route_table.hpp"  // for Route

namespace rudderloom {

inline std::string PlaceOf(const Route& route) {
  return "route \"" + route.name + "\" (" + route.host + route.prefix + ")";
}

inline std::string PlaceOf(const ServiceSpec& service) {
  return "service \"" + service.name + "\"";
}

inline std::string PlaceOf(const ServiceSpec& service, const ModelSpec& model) {
  return PlaceOf(service) + " model \"" + model.name + "\"";
}

inline std::string PlaceOf(const Customer& customer) {
  return "customer \"" + customer.name + "\"";
}

inline std::string TextOf(Duration time) {
  return std::to_string(time.count()) + " ms";
}

}  // namespace rudderloom

#endif
