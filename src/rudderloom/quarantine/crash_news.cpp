#include "rudderloom/quarantine/crash_news.hpp"

namespace rudderloom {

namespace {

// 20 bytes each: a report stays small beside what else it tells, also after a rack has ended.
constexpr std::size_t kMostInReport = 256;

template <class Value>
void AddUpTo(std::size_t most, const std::set<Value>& from, std::set<Value>& to) {
  for (const Value& value : from) {
    if (to.size() >= most) {
      return;
    }
    to.insert(value);
  }
}

}  // namespace

void AddNews(const CrashNews& earlier, CrashNews& newer) {
  AddUpTo(kMostInReport, earlier.crashes, newer.crashes);
  AddUpTo(kMostInReport, earlier.cleared, newer.cleared);
}

}  // namespace rudderloom
