#include "rudderloom/residency/order.hpp"

namespace rudderloom {

std::string_view NameOf(OrderOutcome outcome) {
  switch (outcome) {
    case OrderOutcome::kDone:
      return "done";
    case OrderOutcome::kNotSent:
      return "not_sent";
    case OrderOutcome::kNotYet:
      return "not_yet";
    case OrderOutcome::kNoMemory:
      return "no_memory";
    case OrderOutcome::kFenced:
      return "fenced";
    case OrderOutcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

}  // namespace rudderloom
