// Endpoints that a request has been sent to, and whether it may be sent there again.
#ifndef RUDDERLOOM_FORWARDING_TRIED_ENDPOINTS_HPP
#define RUDDERLOOM_FORWARDING_TRIED_ENDPOINTS_HPP

#include <map>     // for map
#include <set>     // for set
#include <string>  // for string

#include "forwarding/attempt.hpp"  // for AttemptResult

namespace rudderloom {

// Untried endpoints are preferred. Often a single endpoint holds a model, though, and sending a
// repeatable request there again is better than refusing it.
class TriedEndpoints {
 public:
  enum class Outcome {
    kRefused,      // guaranteed not to have run it: not tried again
    kSilent,       // sent nothing for too long: tried again only to go on with a started stream
    kFull,         // had no room, so it did not run it: holds the model
    kFailed,       // broke the connection or returned an error: the next attempt may succeed
    kUnreachable,  // could not be connected: may be tried again later
  };

  void Add(const std::string& instance, Outcome outcome);

  // Endpoints that the next choice excludes.
  const std::set<std::string>& Excluded() const { return excluded_; }

  // True if an excluded endpoint could not be reached.
  bool AnyUnreachable() const { return AnyExcluded(Outcome::kUnreachable); }

  // True if an excluded endpoint had no room.
  bool AnyFull() const { return AnyExcluded(Outcome::kFull); }

  // Make failed or unreachable endpoints available again; true if there were any.
  bool ReadmitFailed() { return Readmit(Outcome::kFailed); }
  bool ReadmitUnreachable() { return Readmit(Outcome::kUnreachable); }
  bool ReadmitSilent() { return Readmit(Outcome::kSilent); }
  bool ReadmitFull() { return Readmit(Outcome::kFull); }

 private:
  bool AnyExcluded(Outcome outcome) const;
  bool Readmit(Outcome outcome);

  std::set<std::string> excluded_;
  std::map<std::string, Outcome> outcomes_;
};

// Classifies an attempt that gave the client no answer.
TriedEndpoints::Outcome OutcomeOf(const AttemptResult& result);

}  // namespace rudderloom

#endif
