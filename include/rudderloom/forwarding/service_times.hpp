/// @file
/// Estimates service times at endpoints from the answers forwarded by this node.
#ifndef RUDDERLOOM_FORWARDING_SERVICE_TIMES_HPP
#define RUDDERLOOM_FORWARDING_SERVICE_TIMES_HPP

#include <cstdint>  // for uint64_t
#include <map>      // for map
#include <string>   // for string
#include <utility>  // for pair

#include "rudderloom/base/clock.hpp"  // for Duration

namespace rudderloom {

/// @brief Estimates, for each model of each service, how long an answer occupies a slot and how
/// long its prompt takes to process. A model without samples uses the estimate of its service. A
/// service without samples gets zero times, so that no request is refused on a guess.
/// @ingroup forwarding
class ServiceTimes {
 public:
  /// @brief Records a complete answer.
  /// @param tokens_out Answer tokens as estimated or bounded by the client.
  /// @param hold_time Time from the first event to the end of the answer.
  void RecordAnswer(const std::string& service,
                    const std::string& model,
                    std::uint64_t tokens_out,
                    Duration hold_time);

  /// @brief Records the first event from an endpoint that had free slots and no other prompt to
  /// process.
  /// @param unread_tokens Prompt tokens that the endpoint had to process.
  /// @param first_event_time Time from sending the request to its first event.
  void RecordFirstEvent(const std::string& service,
                        const std::string& model,
                        std::uint64_t unread_tokens,
                        Duration first_event_time);

  /// @brief Expected time from the first event of an answer to its end.
  Duration HoldTime(const std::string& service,
                    const std::string& model,
                    std::uint64_t tokens_out) const;

  /// @brief Like HoldTime(), for a typical request for the model.
  Duration TypicalHoldTime(const std::string& service, const std::string& model) const;

  /// @brief Expected time from getting a slot to the first event, with `unread_tokens` to process.
  Duration FirstEventTime(const std::string& service,
                          const std::string& model,
                          std::uint64_t unread_tokens) const;

  /// @brief Like FirstEventTime(), for a typical request for the model.
  Duration TypicalFirstEventTime(const std::string& service, const std::string& model) const;

  /// @brief Prompt tokens processed per millisecond.
  double TokensPerMillisecond(const std::string& service, const std::string& model) const;

 private:
  // Exponentially decaying sums for a linear regression.
  struct Sums {
    double samples = 0.0;
    double x = 0.0;
    double y = 0.0;
    double xx = 0.0;
    double xy = 0.0;

    void Add(double new_x, double new_y);
  };
  struct LinearFit {
    double intercept = 0.0;  // milliseconds
    double slope = 0.0;      // milliseconds per token
  };
  struct ModelSamples {
    Sums answers;  // answer tokens, milliseconds from first event to end
    Sums prompts;  // processed prompt tokens, milliseconds to the first event
  };
  using Key = std::pair<std::string, std::string>;  // service, model; "" for all models

  const Sums* Find(Sums ModelSamples::*series,
                   const std::string& service,
                   const std::string& model) const;
  static LinearFit Fit(const Sums& sums);

  std::map<Key, ModelSamples> samples_by_model_;
};

}  // namespace rudderloom

#endif
