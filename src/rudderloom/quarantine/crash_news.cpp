#include "rudderloom/quarantine/crash_news.hpp"

namespace rudderloom {

namespace {

// 20 bytes each: small compared with the rest of a report, even after the failure of a rack.
constexpr std::size_t kMaxPerReport = 256;

template <class Value>
void InsertUpTo(std::size_t max_size, const std::set<Value>& from, std::set<Value>& to) {
  for (const Value& value : from) {
    if (to.size() >= max_size) {
      return;
    }
    to.insert(value);
  }
}

}  // namespace

void MergeNews(const CrashNews& earlier, CrashNews& newer) {
  InsertUpTo(kMaxPerReport, earlier.crashes, newer.crashes);
  InsertUpTo(kMaxPerReport, earlier.cleared, newer.cleared);
}

}  // namespace rudderloom
