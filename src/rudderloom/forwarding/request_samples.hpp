// What a single request tells of its service's demand and times.
#ifndef RUDDERLOOM_FORWARDING_REQUEST_SAMPLES_HPP
#define RUDDERLOOM_FORWARDING_REQUEST_SAMPLES_HPP

#include <map>     // for map
#include <string>  // for string
#include <vector>  // for vector

#include "forwarding/attempt.hpp"                   // for StreamPace
#include "rudderloom/forwarding/balancer.hpp"       // for Choice
#include "rudderloom/forwarding/dialect.hpp"        // for RequestTerms
#include "rudderloom/forwarding/service_times.hpp"  // for ServiceTimes
#include "rudderloom/placement/demand.hpp"          // for UnitCount

namespace rudderloom {

// How long a request would be at an endpoint, as far as earlier ones tell.
Duration OfferedTime(const ServiceTimes& times,
                     const std::string& service,
                     const RequestTerms& terms);

// How long a request waits at an idle endpoint behind `ahead` similar requests that arrive just
// before it: until their prompts are read or a place is free, whichever is later.
Duration BacklogTime(const ServiceTimes& times,
                     const std::string& service,
                     const RequestTerms& terms,
                     std::uint32_t ahead,
                     std::uint32_t slots);

// Counts a request, for each thing that it asks for, as one that waits or runs while this lives.
class CountedRequest {
 public:
  CountedRequest(std::map<UnitName, UnitCount>& counts,
                 std::vector<UnitName> units,
                 std::uint32_t UnitCount::*as);
  CountedRequest(const CountedRequest&) = delete;
  CountedRequest& operator=(const CountedRequest&) = delete;
  ~CountedRequest();

 private:
  std::map<UnitName, UnitCount>& counts_;
  std::vector<UnitName> units_;
  std::uint32_t UnitCount::*as_;
};

// A stream that ran whole at the first endpoint that it was sent to.
struct WholeStream {
  const std::string& service;
  const RequestTerms& terms;
  const Choice& choice;  // of the endpoint
  const StreamPace& pace;
  std::uint32_t slots = 0;  // of the endpoint
  TimePoint sent_at;
};

void LearnTimes(const WholeStream& stream, ServiceTimes& times);

}  // namespace rudderloom

#endif
