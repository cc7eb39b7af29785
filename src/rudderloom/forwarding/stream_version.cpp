#include "forwarding/stream_version.hpp"

#include <algorithm>  // for copy_if
#include <iterator>   // for back_inserter
#include <utility>    // for move

#include "forwarding/await_answer.hpp"  // for AwaitAnswer

namespace rudderloom {

namespace {

// A node that has just started learns the holder with its first answer.
constexpr Duration kHolderWait{1'000};

// The nodes that are told of and asked for starts of streams: the lease holder, and those of which
// one is the next holder.
std::vector<std::string> Keepers(const ForwardingState& state) {
  const FleetView& view = *state.views.Current();
  std::vector<std::string> keepers;
  if (!view.quota_holder.empty()) {
    keepers.push_back(view.quota_holder);
  }
  std::copy_if(state.standbys.begin(), state.standbys.end(), std::back_inserter(keepers),
               [&](const std::string& address) { return address != view.quota_holder; });
  return keepers;
}

void Report(ForwardingState& state, const StreamStarts& starts) {
  for (const std::string& keeper : Keepers(state)) {
    state.peers.report_streams(keeper, starts);
  }
}

}  // namespace

void RecordStreamStart(ForwardingState& state,
                       const std::string& service,
                       const StreamStart& start) {
  state.own_streams.Record(start, Now());
  if (state.versions.SeveralLately(service)) {
    Report(state, {start});
  }
}

void ObserveVersions(ForwardingState& state, const FleetView& view) {
  // A new holder has none for some time. One of those of the last holder is the new one.
  if (!view.standbys.empty()) {
    state.standbys = view.standbys;
  }
  const bool any_new = state.versions.Observe(view.software_versions, Now());
  const StreamStarts starts = any_new ? state.own_streams.All() : StreamStarts();
  if (!starts.empty()) {
    Report(state, starts);
  }
}

Awaitable<std::optional<std::string>> FindStreamVersion(ForwardingState& state,
                                                        std::string service,
                                                        std::string began_as) {
  std::string version = state.own_streams.Find(began_as);
  const char* source = "own";
  if (version.empty() && !state.versions.SeveralLately(service)) {
    version = state.versions.Only(service);
    source = "only_version";
    state.metrics.Count({"rudderloom_streams_taken_up_total", "version", source});
    co_return version;
  }
  if (version.empty() && !began_as.empty()) {
    Timer timer(state.context);
    const TimePoint holder_expected_by = Now() + kHolderWait;
    while (Keepers(state).empty() && Now() < holder_expected_by) {
      co_await state.views.WaitForNext(timer, holder_expected_by);
    }
    for (const std::string& keeper : Keepers(state)) {
      const auto send = [&](auto done) {
        state.peers.ask_stream_version(keeper, began_as, std::move(done));
      };
      const auto answer = co_await AwaitAnswer<std::string>(state.context, send);
      if (answer && !answer->empty()) {
        version = *answer;
        source = "asked";
        break;
      }
    }
  }
  if (version.empty()) {
    state.metrics.Count({"rudderloom_streams_taken_up_total", "version", "unknown"});
    co_return std::nullopt;
  }
  state.metrics.Count({"rudderloom_streams_taken_up_total", "version", source});
  co_return version;
}

}  // namespace rudderloom
