// Demand and service time samples from single requests.
#ifndef RUDDERLOOM_FORWARDING_REQUEST_SAMPLES_HPP
#define RUDDERLOOM_FORWARDING_REQUEST_SAMPLES_HPP

#include <map>     // for map
#include <string>  // for string
#include <vector>  // for vector

#include "forwarding/attempt.hpp"                  // for StreamPace
#include "rudderloom/forwarding/balancer.hpp"      // for EndpointChoice
#include "rudderloom/forwarding/header_codec.hpp"  // for RequestMetadata
#include "rudderloom/forwarding/work_model.hpp"    // for WorkModel
#include "rudderloom/placement/demand.hpp"         // for UnitCount

namespace rudderloom {

// Expected time of a request at an endpoint, from earlier requests.
Duration OfferedTime(const WorkModel& work,
                     const std::string& service,
                     const RequestMetadata& terms);

// How long a request waits at an idle endpoint behind `ahead` similar requests that arrive just
// before it: until their prompts are processed or a slot is free, whichever is later.
Duration BacklogTime(const WorkModel& work,
                     const std::string& service,
                     const RequestMetadata& terms,
                     std::uint32_t ahead,
                     std::uint32_t slots);

// Counts a request for each of its units, as waiting or running, during this object's lifetime.
class ScopedUnitCount {
 public:
  ScopedUnitCount(std::map<UnitName, UnitCount>& counts,
                  std::vector<UnitName> units,
                  std::uint32_t UnitCount::*as);
  ScopedUnitCount(const ScopedUnitCount&) = delete;
  ScopedUnitCount& operator=(const ScopedUnitCount&) = delete;
  ~ScopedUnitCount();

 private:
  std::map<UnitName, UnitCount>& counts_;
  std::vector<UnitName> units_;
  std::uint32_t UnitCount::*counter_;
};

// A stream that completed on the first endpoint it was sent to.
struct CompletedStream {
  const std::string& service;
  const RequestMetadata& terms;
  const EndpointChoice& choice;  // of the endpoint
  const StreamPace& pace;
  std::uint32_t slots = 0;  // of the endpoint
  TimePoint sent_at;
};

void RecordStream(const CompletedStream& stream, WorkModel& work);

}  // namespace rudderloom

#endif
