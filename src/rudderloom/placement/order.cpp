#include "rudderloom/placement/order.hpp"

#include <string_view>  // for string_view

namespace rudderloom {

std::string_view NameOf(PlacementOutcome outcome) {
  switch (outcome) {
    case PlacementOutcome::kAccepted:
      return "accepted";
    case PlacementOutcome::kHoldsAlready:
      return "holds_already";
    case PlacementOutcome::kConflict:
      return "conflict";
    case PlacementOutcome::kFenced:
      return "fenced";
    case PlacementOutcome::kRefused:
      return "refused";
    case PlacementOutcome::kNotSent:
      return "not_sent";
    case PlacementOutcome::kLapsed:
      return "lapsed";
    case PlacementOutcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

}  // namespace rudderloom
