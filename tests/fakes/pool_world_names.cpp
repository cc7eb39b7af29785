#include "fakes/pool_world.hpp"

namespace rudderloom::fakes {

std::string NameOf(Step step) {
  switch (step) {
    case Step::kDecided:
      return "order decided";
    case Step::kIntended:
      return "order intended";
    case Step::kSent:
      return "order sent";
    case Step::kTakingEffect:
      return "order taking effect";
    case Step::kConfirmed:
      return "order confirmed";
    case Step::kRecorded:
      return "order recorded";
    case Step::kLeaseTaken:
      return "lease taken";
    case Step::kLeaseRenewed:
      return "lease renewed";
    case Step::kLeaseHandedOver:
      return "lease handed over";
    case Step::kLeaseLapsed:
      return "lease lapsed";
  }
  return "";
}

std::string NameOf(Fault fault) {
  switch (fault) {
    case Fault::kNone:
      return "none";
    case Fault::kNodeKilled:
      return "process killed";
    case Fault::kNodeFrozen:
      return "frozen past its lease and thawed";
    case Fault::kCutBefore:
      return "connection cut before the call";
    case Fault::kCutDuring:
      return "connection cut during the call";
    case Fault::kCutAfter:
      return "connection cut after the call";
    case Fault::kOrderLost:
      return "order lost";
    case Fault::kOrderLate:
      return "order late";
    case Fault::kOrderDoubled:
      return "order doubled";
    case Fault::kPlatformDown:
      return "platform down";
    case Fault::kPlatformSlow:
      return "platform slow";
    case Fault::kPlatformErrors:
      return "platform answering 5xx";
    case Fault::kPlatformLosesAnswer:
      return "platform losing its answer";
    case Fault::kPlatformRestored:
      return "platform restored from a copy";
    case Fault::kWatchSilent:
      return "watch silent";
    case Fault::kWatchBehind:
      return "watch behind";
    case Fault::kNodeListStale:
      return "node list stale";
    case Fault::kReportLate:
      return "load report late";
    case Fault::kEndpointKilled:
      return "endpoint killed";
    case Fault::kEndpointRestarted:
      return "endpoint restarted with empty memory";
    case Fault::kEndpointLeaving:
      return "endpoint leaving";
    case Fault::kWeightStoreBusy:
      return "weight store saturated";
    case Fault::kPlannedStop:
      return "planned stop";
  }
  return "";
}

}  // namespace rudderloom::fakes
