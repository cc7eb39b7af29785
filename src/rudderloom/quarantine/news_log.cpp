#include "rudderloom/quarantine/news_log.hpp"

#include <algorithm>  // for set_difference
#include <iterator>   // for inserter

namespace rudderloom {

namespace {

// A takeover of the lease takes some 2 s, and another one to hear of the new holder.
constexpr Duration kToldFor{4'000};

template <class Value>
std::set<Value> Without(const std::set<Value>& values, const std::set<Value>& known) {
  std::set<Value> left;
  std::set_difference(values.begin(), values.end(), known.begin(), known.end(),
                      std::inserter(left, left.end()));
  return left;
}

}  // namespace

bool NewsLog::Add(const CrashNews& news, TimePoint now) {
  const CrashNews known = Current(now);
  const CrashNews added{Without(news.crashes, known.crashes), Without(news.cleared, known.cleared)};
  if (added.Empty()) {
    return false;
  }
  told_.push_back({added, now});
  return true;
}

CrashNews NewsLog::Current(TimePoint now) {
  while (!told_.empty() && now - told_.front().since >= kToldFor) {
    told_.pop_front();
  }
  CrashNews current;
  // The latest first, as a report is bounded.
  for (auto told = told_.rbegin(); told != told_.rend(); ++told) {
    AddNews(told->news, current);
  }
  return current;
}

}  // namespace rudderloom
