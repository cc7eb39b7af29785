#include "rudderloom/quarantine/crash_news_log.hpp"

#include <algorithm>  // for set_difference
#include <iterator>   // for inserter

namespace rudderloom {

namespace {

// A takeover of the lease takes some 2 s, and learning the new holder as long again.
constexpr Duration kReportTime{4'000};

template <class Value>
std::set<Value> Without(const std::set<Value>& values, const std::set<Value>& known) {
  std::set<Value> remaining;
  std::set_difference(values.begin(), values.end(), known.begin(), known.end(),
                      std::inserter(remaining, remaining.end()));
  return remaining;
}

}  // namespace

bool CrashNewsLog::Add(const CrashNews& news, TimePoint now) {
  const CrashNews known = Current(now);
  const CrashNews added{Without(news.crashes, known.crashes), Without(news.cleared, known.cleared)};
  if (added.Empty()) {
    return false;
  }
  entries_.push_back({added, now});
  return true;
}

CrashNews CrashNewsLog::Current(TimePoint now) {
  while (!entries_.empty() && now - entries_.front().since >= kReportTime) {
    entries_.pop_front();
  }
  CrashNews current;
  // Latest first, since the size of a report is bounded.
  for (auto entry = entries_.rbegin(); entry != entries_.rend(); ++entry) {
    MergeNews(entry->news, current);
  }
  return current;
}

}  // namespace rudderloom
