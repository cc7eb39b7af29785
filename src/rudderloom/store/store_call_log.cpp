#include "rudderloom/store/store_call_log.hpp"

#include "rudderloom/base/log_line.hpp"  // for LogLine

namespace rudderloom {

namespace {

// Short enough to distinguish the calls of a start from those of a takeover, long enough to keep
// the log small when there are few calls.
constexpr Duration kLogInterval{2'000};

}  // namespace

void StoreCallLog::Count(std::string_view verb, std::string_view kind, TimePoint now) {
  std::string call(verb);
  call.append("_").append(kind);
  ++calls_[call];
  if (now - logged_at_ >= kLogInterval) {
    Log();
    logged_at_ = now;
  }
}

void StoreCallLog::Log() {
  LogLine line("store_calls");
  for (const auto& [call, count] : calls_) {
    line.With(call, count);
  }
  calls_.clear();
}

}  // namespace rudderloom
