// At which software version a stream may go on.
#ifndef RUDDERLOOM_FORWARDING_STREAM_VERSION_HPP
#define RUDDERLOOM_FORWARDING_STREAM_VERSION_HPP

#include <cstdint>      // for uint64_t
#include <memory>       // for enable_shared_from_this
#include <optional>     // for optional
#include <string>       // for string
#include <string_view>  // for string_view

#include "forwarding/forwarded_request.hpp"     // for ForwardedRequest
#include "rudderloom/forwarding/forwarder.hpp"  // for ForwardingState
#include "rudderloom/http/call_guard.hpp"       // for CallGuard

namespace rudderloom {

// Returns the number by which the service of a split route is chosen. A stream that its client
// takes up has the same one as when it began.
std::uint64_t SplitKey(ForwardingState& state, const ForwardedRequest& request);

// Returns a service of the route with endpoints of the version at which the stream began; if there
// is none, the service chosen before.
std::string ServiceOfVersion(const ForwardingState& state, const ForwardedRequest& request);

// Records that an endpoint of this version is about to begin the stream. While the service has
// several versions, the nodes that keep starts are told before the first event arrives, so that any
// node can find it out.
void RecordStreamStart(ForwardingState& state,
                       const std::string& service,
                       const StreamStart& start);

// Asks the lease holder to confirm that it knows the start of a stream. Shared with the callbacks
// of the questions, which may outlive the request.
class StartConfirmation : public std::enable_shared_from_this<StartConfirmation> {
 public:
  StartConfirmation(ForwardingState& state, std::string service, StreamStart start);

  // Asks the present lease holder.
  void Ask();

  // Asks until the start is confirmed or the guard interrupts. Returns true without a confirmation
  // if the version is settled, or once none is settled any more, so that the lease holder takes
  // none for that of the streams that it doesn't know. Returns false if an endpoint of a settled
  // version serves, at which the stream can begin instead.
  Awaitable<bool> Await(CallGuard& guard);

 private:
  // Empty while the holder may still confirm the start.
  std::optional<bool> GiveUp() const;
  ForwardingState& state_;
  const std::string service_;
  const StreamStart start_;
  const TimePoint created_at_;
  TimePoint asked_at_;
  bool confirmed_ = false;
};

// True if a stream may begin at this version of the service only once the lease holder has
// confirmed its start: while several versions serve, at one that isn't settled.
bool NeedsConfirmation(const ForwardingState& state,
                       const std::string& service,
                       const std::string& software_version);

// Returns the version at which a new stream need not wait for the lease holder, if this node can't
// count on one to confirm other starts soon; empty if any version will do.
std::string PreferredVersion(const ForwardingState& state, const std::string& service);

// Tells the nodes that keep starts of this node's streams, which is about to end.
void ReportOwnStreams(ForwardingState& state);

// At which version a stream began that its client takes up, and how this node knows.
struct FoundVersion {
  std::string software_version;  // empty: any endpoint of the service may go on with it
  std::string_view known_by;     // for logs and metrics
};

// No value if the version can't be known. The arguments must outlive the call.
Awaitable<std::optional<FoundVersion>> FindStreamVersion(ForwardingState& state,
                                                         const ForwardedRequest& request);

// Logs that a stream is refused, with what this node knows of the service's versions.
void LogNotResumed(const ForwardingState& state, const ForwardedRequest& request);

}  // namespace rudderloom

#endif
