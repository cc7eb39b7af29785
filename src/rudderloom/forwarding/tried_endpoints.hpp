// Endpoints that one request has been sent to, and whether it may go there again.
#ifndef RUDDERLOOM_FORWARDING_TRIED_ENDPOINTS_HPP
#define RUDDERLOOM_FORWARDING_TRIED_ENDPOINTS_HPP

#include <map>     // for map
#include <set>     // for set
#include <string>  // for string

#include "forwarding/attempt.hpp"  // for AttemptResult

namespace rudderloom {

// Every other endpoint comes first. Often a single endpoint holds a model, though, and a request
// that may be repeated is better sent there again than refused.
class TriedEndpoints {
 public:
  enum class End {
    kRefused,      // promised not to have run it, or stayed silent: of no use again
    kFailed,       // broke the connection or answered with an error: the next try may do better
    kUnreachable,  // no connection came up: worth another try after a while
  };

  void Add(const std::string& instance, End end);

  // Endpoints that the next choice leaves out.
  const std::set<std::string>& Excluded() const { return excluded_; }

  // An endpoint of those left out could not be reached.
  bool AnyUnreachable() const;

  // Makes those that failed, or were unreachable, available again; true when there were any.
  bool TakeFailed() { return Take(End::kFailed); }
  bool TakeUnreachable() { return Take(End::kUnreachable); }

 private:
  bool Take(End end);

  std::set<std::string> excluded_;
  std::map<std::string, End> ends_;
};

// What an attempt that gave the client no answer says of its endpoint.
TriedEndpoints::End EndOf(const AttemptResult& result);

}  // namespace rudderloom

#endif
