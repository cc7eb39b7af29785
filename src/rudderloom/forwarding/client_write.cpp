#include "forwarding/client_write.hpp"

#include "rudderloom/base/log_line.hpp"  // for LogLine

namespace rudderloom {

ClientWrite::ClientWrite(ForwardingState& state, const std::string& request_id, std::size_t bytes)
    : state_(state), write_(state.readers.BeginWrite(request_id, bytes, Now())) {}

ClientWrite::~ClientWrite() {
  const auto slow = state_.readers.EndWrite(write_);
  if (!slow) {
    return;
  }
  state_.metrics.Count({"rudderloom_slow_readers_total", "event", "ended"});
  if (state_.log_quota.Allows(Now())) {
    LogLine("slow_reader_ended")
        .With("request_id", slow->request_id)
        .With("held_bytes", slow->bytes)
        .With("ms", Between(slow->since, Now()).count());
  }
}

void ReviewSlowReaders(ForwardingState& state) {
  ReaderMemory& readers = state.readers;
  const auto started = readers.Review(Now());
  for (const WaitingWrite& slow : started) {
    state.metrics.Count({"rudderloom_slow_readers_total", "event", "started"});
    if (state.log_quota.Allows(Now())) {
      LogLine("slow_reader_started")
          .With("request_id", slow.request_id)
          .With("held_bytes", slow.bytes)
          .With("slow_readers", readers.SlowReaders())
          .With("all_answer_bytes", readers.Answers().Total())
          .With("all_body_bytes", readers.Bodies().Total())
          .With("all_buffer_bytes", readers.ReservedBuffers());
    }
  }
  state.metrics.Set({"rudderloom_slow_readers"}, static_cast<double>(readers.SlowReaders()));
  state.metrics.Set({"rudderloom_held_answer_bytes"},
                    static_cast<double>(readers.Answers().Total()));
  state.metrics.Set({"rudderloom_held_body_bytes"}, static_cast<double>(readers.Bodies().Total()));
  state.metrics.Set({"rudderloom_reserved_buffer_bytes"},
                    static_cast<double>(readers.ReservedBuffers()));
}

}  // namespace rudderloom
