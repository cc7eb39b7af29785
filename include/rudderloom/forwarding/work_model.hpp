/// @file
/// Estimates from this node's answers what work costs at endpoints.
#ifndef RUDDERLOOM_FORWARDING_WORK_MODEL_HPP
#define RUDDERLOOM_FORWARDING_WORK_MODEL_HPP

#include <cstdint>   // for uint32_t, uint64_t
#include <map>       // for map
#include <optional>  // for optional
#include <string>    // for string
#include <tuple>     // for tie
#include <utility>   // for pair
#include <vector>    // for vector

#include "rudderloom/base/clock.hpp"           // for Duration
#include "rudderloom/forwarding/load_fit.hpp"  // for LoadFit
#include "rudderloom/routes/route_table.hpp"   // for RouteTablePtr

namespace rudderloom {

/// @brief Work at an endpoint when a request is sent to it.
/// @ingroup forwarding
struct EndpointWork {
  std::uint64_t unread_tokens = 0;  ///< Prompt tokens to process, including the request's own.
  std::uint32_t requests = 0;       ///< Other requests, running or waiting.
};

/// @brief What a stream is expected to look like to its client. Nine of ten streams are no later
/// than the upper bounds.
/// @ingroup forwarding
struct StreamForecast {
  Duration first_event{0};  ///< Expected time to the first event, without a wait for a slot.
  Duration first_event_bound{0};
  Duration longest_pause{0};  ///< Expected longest gap between two events.
  Duration longest_pause_bound{0};
};

/// @brief A complete answer.
/// @ingroup forwarding
struct StreamSample {
  EndpointWork work;             ///< At its endpoint when it was sent.
  std::uint64_t tokens_out = 0;  ///< As estimated or bounded by the client.
  Duration first_event{0};       ///< From sending the request to its first event.
  Duration longest_pause{0};
  Duration hold_time{0};         ///< From the first event to the end.
  bool waited_for_slot = false;  ///< The endpoint had no free slot when the request was sent.
};

/// @brief The single estimate of an endpoint's work: choice of endpoints, admission, urgency, times
/// to retry and the demand reported to placement all use it.
///
/// An engine makes one token for each running request per step, and processes prompts in between.
/// Both the first event of a new stream and the gaps in the running ones grow with the prompt
/// tokens to process and with the number of running requests; `LoadFit` learns how fast. Larger
/// models are slower, up to four times within a service, so a model with few samples uses the
/// estimate of the models that need as much memory, and then that of its service. A service without
/// samples gets zero times, so that no request is refused on a guess.
/// @ingroup forwarding
class WorkModel {
 public:
  /// @brief Learns from the configuration which models need equal amounts of memory.
  void ApplyConfiguration(const RouteTablePtr& routes);

  /// @brief Records a complete answer.
  void RecordStream(const std::string& service,
                    const std::string& model,
                    const StreamSample& sample);

  /// @brief Records only how long an answer occupied its slot.
  /// @param model Empty for a service without models.
  void RecordAnswer(const std::string& service,
                    const std::string& model,
                    std::uint64_t tokens_out,
                    Duration hold_time);

  StreamForecast Forecast(const std::string& service,
                          const std::string& model,
                          const EndpointWork& work) const;

  /// @brief Expected time from the first event of an answer to its end; zero without samples.
  Duration HoldTime(const std::string& service,
                    const std::string& model,
                    std::uint64_t tokens_out) const;

  /// @brief Like HoldTime(), for a typical request for the model.
  Duration TypicalHoldTime(const std::string& service, const std::string& model) const;

  /// @brief Prompt tokens processed per millisecond.
  double TokensPerMillisecond(const std::string& service, const std::string& model) const;

  /// @brief Time that an endpoint typically needs for the tokens of a prompt, without waits behind
  /// other prompts.
  Duration PromptTime(const std::string& service,
                      const std::string& model,
                      std::uint64_t unread_tokens) const;

  /// @brief Time after a prompt before the next one is sent to the same endpoint, so that streams
  /// there don't pause for longer than `longest_pause`.
  ///
  /// Between two events of a stream the endpoint makes its steps and processes the prompts that
  /// arrive meanwhile. Within one pause, as many prompts may therefore arrive as fit beside the
  /// steps. Prompts may take half of the endpoint's time at least. Empty if the route allows no
  /// pause.
  std::optional<Duration> PromptSpacing(const std::string& service,
                                        const std::string& model,
                                        std::uint64_t unread_tokens,
                                        Duration longest_pause) const;

 private:
  // Exponentially decaying sums of answer tokens and the time to send them.
  struct Answers {
    double samples = 0.0;
    double tokens = 0.0;
    double milliseconds = 0.0;
  };
  struct Estimates {
    LoadFit first_event = LoadFit::ForFirstEvents();
    LoadFit longest_pause = LoadFit::ForPauses();
    Answers answers;
  };
  // Median of the first events' times relative to the expected ones.
  class TypicalShare {
   public:
    void Add(double share);
    double Value() const { return value_; }

   private:
    double value_ = 1.0;
  };
  // Models whose answers share an estimate.
  struct Group {
    std::string service;
    std::string model;            // empty: all models, or all of one size
    std::uint64_t memory_mb = 0;  // 0: of all sizes
    bool operator<(const Group& other) const {
      return std::tie(service, model, memory_mb) <
             std::tie(other.service, other.model, other.memory_mb);
    }
  };

  // The groups that a model belongs to, the smallest first.
  std::vector<Group> GroupsOf(const std::string& service, const std::string& model) const;
  const Estimates* Find(const std::string& service, const std::string& model) const;
  const Answers* FindAnswers(const std::string& service, const std::string& model) const;

  std::map<Group, Estimates> estimates_;
  std::map<std::string, TypicalShare> typical_shares_;  // by service
  RouteTablePtr routes_;  // from which `sizes_` was made; null before the first configuration
  std::map<std::pair<std::string, std::string>, std::uint64_t> sizes_;  // by service and model
};

}  // namespace rudderloom

#endif
