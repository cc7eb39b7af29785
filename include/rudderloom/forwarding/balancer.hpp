/// @file
/// Chooses the endpoint for a request by resident models, cached prompt prefixes and load.
#ifndef RUDDERLOOM_FORWARDING_BALANCER_HPP
#define RUDDERLOOM_FORWARDING_BALANCER_HPP

#include <cstdint>   // for uint64_t
#include <map>       // for map
#include <optional>  // for optional
#include <random>    // for mt19937_64
#include <set>       // for set
#include <string>    // for string
#include <vector>    // for vector

#include "rudderloom/endpoint_limits/endpoint_pauses.hpp"  // for EndpointPauses
#include "rudderloom/endpoint_limits/limit_watch.hpp"      // for LimitWatch
#include "rudderloom/fleet/fleet_view.hpp"                 // for FleetView
#include "rudderloom/forwarding/admission.hpp"             // for StartForecast
#include "rudderloom/forwarding/header_codec.hpp"          // for RequestMetadata
#include "rudderloom/forwarding/work_model.hpp"            // for WorkModel

namespace rudderloom {

/// @brief Constraints of one request on the choice of an endpoint.
/// @ingroup forwarding
struct BalancerQuery {
  const std::string& service;
  const RequestMetadata& terms;
  const std::set<std::string>& excluded;  ///< Instances that failed this request.
  const LimitWatch* limits = nullptr;     ///< Null when no endpoint has a limit.
  bool skip_limited = false;              ///< Excludes endpoints that need a permit.
  /// @brief Instances that are leaving; null for none.
  const std::map<std::string, TimePoint>* leaving = nullptr;
  const EndpointPauses* pauses = nullptr;  ///< Null when no endpoint is paused.
  std::string software_version = {};       ///< That the endpoint must have; empty: any.
};

/// @brief Why no endpoint can take a request.
/// @ingroup forwarding
enum class NoEndpointReason {
  kNoEndpoints,  ///< The service has no endpoint that accepts requests.
  kNotResident,  ///< None of its endpoints holds the model or adapter.
  kRateLimited,  ///< The candidates have reached their rate limit.
  kFull,         ///< No slot of the candidates, which tolerate few rejections, is granted now.
  kPaused,       ///< The candidates must get no requests for a while.
};

/// @brief The chosen endpoint and the load that the request adds to it.
/// @ingroup forwarding
struct EndpointChoice {
  std::uint32_t index = 0;  ///< Index into the view's endpoints.
  EndpointLoad added_load;
  EndpointLoad load;  ///< Load of the endpoint from all nodes before this request, as far as known.
  std::uint32_t candidate_count = 0;       ///< Number of endpoints that could take the request.
  bool has_unlimited_alternative = false;  ///< At least one other candidate has no rate limit.
  /// @brief Rejections per second that the endpoint tolerates; empty if any number. Otherwise the
  /// request needs a permit.
  std::optional<double> tolerated_rejections;
  EndpointWork work;       ///< At the endpoint, with this request's prompt.
  StartForecast forecast;  ///< Set for requests for a model.
  Duration hold_time{0};   ///< How long the request is expected to occupy its slot.
};

/// @brief What the end of an attempt says about its endpoint, for later choices.
/// @ingroup forwarding
enum class EndpointFeedback {
  kServed,
  kShed,     ///< The endpoint reported that it is full or does not serve the target.
  kFailed,   ///< The endpoint broke the connection, sent an invalid answer or went silent.
  kNeutral,  ///< Not attributable to the endpoint, for example when the client disconnected.
};

/// @brief Tracks this node's requests per endpoint instance and chooses an endpoint for each
/// request.
///
/// Requests of other nodes are known from the lease holder about 300 ms late. If every node trusted
/// these counts, all would send to the least loaded endpoint at once. The choice therefore
/// estimates the requests that ended and arrived since, and spreads this node's requests over
/// endpoints in proportion to the estimated arrivals.
///
/// Deterministic for a given seed; the time is passed in.
/// @ingroup forwarding
class Balancer {
 public:
  Balancer(std::string availability_zone, std::uint64_t seed)
      : availability_zone_(std::move(availability_zone)), random_(seed) {}

  /// @brief Chooses an endpoint, given as an index into the view's list.
  std::variant<EndpointChoice, NoEndpointReason> Choose(const FleetView& view,
                                                        const BalancerQuery& query,
                                                        TimePoint now);

  /// @brief Records that a request was sent to an endpoint.
  void RequestStarted(const std::string& instance,
                      const RequestMetadata& terms,
                      const EndpointLoad& added_load,
                      TimePoint now);

  /// @brief Records the first event of the answer: the prompt has been read and the request holds a
  /// slot.
  void AnswerStarted(const std::string& instance, EndpointLoad& added_load);

  /// @brief Records that a request ended.
  void RequestEnded(const std::string& instance,
                    const EndpointLoad& added_load,
                    EndpointFeedback feedback,
                    TimePoint now);

  /// @brief Records that the endpoint denied holding the requested model or adapter. Lists of
  /// resident models may be a second old, above all while no lease holder is known.
  void MarkNotResident(const std::string& instance, const RequestMetadata& terms, TimePoint now);

  /// @brief Returns the load of this node's requests by endpoint.
  LoadTable Loads() const;

  /// @brief What work costs at endpoints, as observed by this node.
  WorkModel& Work() { return work_; }
  const WorkModel& Work() const { return work_; }

  /// @brief Drops state of endpoints that left the view, and expired entries.
  void Trim(const FleetView& view, TimePoint now);

 private:
  struct Endpoint {
    EndpointLoad load;
    std::map<std::uint64_t, TimePoint> cached_prefixes;   // hash of a prompt prefix to its last use
    std::map<std::string, TimePoint> not_resident_until;  // model/adapter to expiry
    std::uint32_t consecutive_failures = 0;
    TimePoint avoid_until;
  };

  // An endpoint that can take the request. Costs are in prompt tokens to be read before it.
  struct Candidate {
    std::uint32_t index = 0;
    EndpointLoad own;
    EndpointLoad load;  // from all nodes
    std::uint32_t slots = 1;
    std::uint64_t unread_tokens = 0;  // of the prompt of this request
    double base_cost = 0.0;        // for zone, recent failures, rate limit and last-resort listing
    double affinity_tokens = 0.0;  // prompt tokens that the endpoint has likely cached
    std::uint32_t expected_arrivals = 0;  // of other nodes since the loads were reported
    bool rate_limited = false;            // has a limit on requests per second
    std::optional<double> tolerated_rejections;
  };
  // Cost parameters of the requests for a model, in the same unit.
  struct RequestCosts {
    bool is_model_request = false;
    Duration hold_time{0};  // of a typical request
    double tokens_per_millisecond = 0.0;
    double prompt_tokens = 0.0;
  };

  struct Candidates {
    std::vector<Candidate> usable;
    bool any_rate_limited = false;  // an endpoint was excluded for its rate limit
    bool any_full = false;          // an endpoint was excluded that would reject the request
    bool any_paused = false;        // an endpoint was excluded for its pause
  };

  Candidates FindCandidates(const FleetView& view,
                            const BalancerQuery& query,
                            const std::vector<std::uint32_t>& listed,
                            TimePoint now);
  double Cost(const Candidate& candidate, const RequestCosts& costs) const;
  void EstimateArrivals(std::vector<Candidate>& candidates, const RequestCosts& costs) const;
  const Candidate& Pick(const std::vector<Candidate>& candidates, const RequestCosts& costs);
  EndpointWork WorkAt(const Candidate& candidate, const BalancerQuery& query) const;
  StartForecast Forecast(const Candidate& candidate, const BalancerQuery& query) const;
  std::uint64_t UnreadTokens(const Endpoint& endpoint, const RequestMetadata& terms) const;

  std::string availability_zone_;
  std::mt19937_64 random_;
  std::map<std::string, Endpoint> endpoints_;
  WorkModel work_;
};

/// @brief Hashes the first `count` parts of a prompt, with the model and adapter.
/// @ingroup forwarding
std::uint64_t PromptPrefixHash(const RequestMetadata& terms, std::size_t count);

}  // namespace rudderloom

#endif
