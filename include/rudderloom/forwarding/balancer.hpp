/// @file
/// Which endpoint a request goes to: by what it holds, what is kept of the prompt, and its load.
#ifndef RUDDERLOOM_FORWARDING_BALANCER_HPP
#define RUDDERLOOM_FORWARDING_BALANCER_HPP

#include <cstdint>   // for uint64_t
#include <map>       // for map
#include <optional>  // for optional
#include <random>    // for mt19937_64
#include <set>       // for set
#include <string>    // for string
#include <vector>    // for vector

#include "rudderloom/endpoint_limits/limit_watch.hpp"  // for LimitWatch
#include "rudderloom/fleet/fleet_view.hpp"             // for FleetView
#include "rudderloom/forwarding/admission.hpp"         // for StartForecast
#include "rudderloom/forwarding/dialect.hpp"           // for RequestTerms
#include "rudderloom/forwarding/service_times.hpp"     // for ServiceTimes

namespace rudderloom {

/// @brief What a request asks of the choice.
/// @ingroup forwarding
struct BalancerAsk {
  const std::string& service;
  const RequestTerms& terms;
  const std::set<std::string>& excluded;  ///< Instances that failed this request.
  const LimitWatch* limits = nullptr;     ///< Null: no endpoint has one.
  bool skip_limited = false;              ///< Leaves endpoints with limits out.
};

/// @brief Why there is no endpoint for a request.
/// @ingroup forwarding
enum class NoEndpoint {
  kNone,         ///< The service has no endpoint that may get requests.
  kNotResident,  ///< None of its endpoints holds the model or adapter.
  kLimited,      ///< Those that could take it accept no more requests at present.
};

/// @brief An endpoint that was chosen, and what the request adds to its load.
/// @ingroup forwarding
struct Choice {
  std::uint32_t index = 0;  ///< Into the view's endpoints.
  EndpointLoad added;
  EndpointLoad load;              ///< Of the endpoint before, over all nodes, as far as known.
  std::uint32_t holding = 0;      ///< Endpoints that could have taken the request.
  bool others_unlimited = false;  ///< Some of the others have no limit.
  StartForecast forecast;         ///< For requests of a model.
  Duration hold{0};               ///< How long the request is going to hold its place.
};

/// @brief How a request on an endpoint ended, as far as further choices go.
/// @ingroup forwarding
enum class AttemptMark {
  kServed,
  kShed,     ///< The endpoint said that it is full or holds something else.
  kFailed,   ///< It broke the connection, spoilt the answer or stayed silent.
  kNeutral,  ///< Says nothing of the endpoint: the client left, for example.
};

/// @brief Keeps this node's own counts by endpoint instance and chooses among them.
///
/// What other nodes have at an endpoint is known from the holder of the lease, some 300 ms late. In
/// that time all nodes would send to the endpoint that had least to do. The choice therefore
/// reckons with the requests that have ended and come since, as many as the loads tell, and spreads
/// its own over the endpoints that the new ones are expected to have gone to.
///
/// Pure but for its random numbers, which are seeded. Time is passed in.
/// @ingroup forwarding
class Balancer {
 public:
  Balancer(std::string availability_zone, std::uint64_t seed)
      : zone_(std::move(availability_zone)), random_(seed) {}

  /// @brief The endpoint to use, as an index into the view's list.
  std::variant<Choice, NoEndpoint> Choose(const FleetView& view,
                                          const BalancerAsk& ask,
                                          TimePoint now);

  /// @brief Counts a request in.
  void Started(const std::string& instance,
               const RequestTerms& terms,
               const EndpointLoad& added,
               TimePoint now);

  /// @brief The first of its answer came: its prompt is read, and it holds a place.
  void Begun(const std::string& instance, EndpointLoad& added);

  /// @brief Counts a request out.
  void Ended(const std::string& instance,
             const EndpointLoad& added,
             AttemptMark mark,
             TimePoint now);

  /// @brief The endpoint said that it does not hold what the request asks for: lists of what
  /// endpoints hold may be a second old, most of all where no holder of the lease is known.
  void NotResident(const std::string& instance, const RequestTerms& terms, TimePoint now);

  /// @brief This node's requests by endpoint.
  LoadTable Loads() const;

  /// @brief How long requests take, as this node has seen it.
  ServiceTimes& Times() { return times_; }
  const ServiceTimes& Times() const { return times_; }

  /// @brief Forgets endpoints that are no longer there.
  void Trim(const FleetView& view, TimePoint now);

 private:
  struct Endpoint {
    EndpointLoad load;
    std::map<std::uint64_t, TimePoint> read_prompts;  // hash of a prompt's beginning: last used
    std::map<std::string, TimePoint> absent_until;    // model/adapter: not asked for before
    std::uint32_t failures = 0;                       // in a row
    TimePoint avoid_until;
  };

  // What the request would meet at an endpoint. Costs are in prompt tokens to be read before it.
  struct Candidate {
    std::uint32_t index = 0;
    EndpointLoad own;
    EndpointLoad load;  // of all nodes
    std::uint32_t slots = 1;
    std::uint64_t unread_tokens = 0;  // of the request's own prompt
    double fixed = 0.0;               // for its place, its failures and its listing
    double affinity = 0.0;            // saved by what the endpoint has read already
    std::uint32_t others_sent = 0;    // since the loads were told, as reckoned
    bool limited = false;             // it accepts only so many requests a second
  };
  // What a model's requests take, in the same unit.
  struct Weights {
    bool engine = false;
    Duration hold{0};  // of a usual request
    double tokens_per_millisecond = 0.0;
    double prompt_tokens = 0.0;
  };

  struct Candidates {
    std::vector<Candidate> usable;
    bool limit_reached = false;  // by some that were left out
  };

  Candidates FindCandidates(const FleetView& view,
                            const BalancerAsk& ask,
                            const std::vector<std::uint32_t>& listed,
                            TimePoint now);
  double Cost(const Candidate& candidate, const Weights& weights) const;
  void ReckonOthers(std::vector<Candidate>& candidates, const Weights& weights) const;
  const Candidate& Pick(const std::vector<Candidate>& candidates, const Weights& weights);
  StartForecast Forecast(const Candidate& candidate, const BalancerAsk& ask) const;
  std::uint64_t UnreadTokens(const Endpoint& endpoint, const RequestTerms& terms) const;

  std::string zone_;
  std::mt19937_64 random_;
  std::map<std::string, Endpoint> endpoints_;
  ServiceTimes times_;
};

/// @brief Hash of the first `count` parts of a prompt for one model and adapter.
/// @ingroup forwarding
std::uint64_t PromptHash(const RequestTerms& terms, std::size_t count);

}  // namespace rudderloom

#endif
