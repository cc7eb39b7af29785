#include "rudderloom/forwarding/retry_budget.hpp"

#include <algorithm>  // for max

namespace rudderloom {

namespace {

// Margin for nodes that started or failed recently and are not counted yet, and for windows that
// are not aligned between nodes.
constexpr double kUsableShare = 0.7;
constexpr std::uint32_t kUnknownNodes = 1;

}  // namespace

void RetryBudget::CountRequest(const std::string& service, TimePoint now) {
  ServiceHistory& history = histories_[service];
  DropExpired(history, now);
  history.requests.push_back(now);
}

bool RetryBudget::Spend(const std::string& service, std::uint32_t nodes, TimePoint now) {
  ServiceHistory& history = histories_[service];
  DropExpired(history, now);
  const double sharing_nodes = std::max<std::uint32_t>(1, nodes) + kUnknownNodes;
  const double earned = bounds_.ratio * static_cast<double>(history.requests.size());
  const double allowed = kUsableShare * (earned + bounds_.extra / sharing_nodes);
  if (static_cast<double>(history.retries.size()) + 1.0 > allowed) {
    return false;
  }
  history.retries.push_back(now);
  return true;
}

void RetryBudget::DropExpired(ServiceHistory& history, TimePoint now) const {
  const TimePoint oldest = now - bounds_.window;
  while (!history.requests.empty() && history.requests.front() < oldest) {
    history.requests.pop_front();
  }
  while (!history.retries.empty() && history.retries.front() < oldest) {
    history.retries.pop_front();
  }
}

}  // namespace rudderloom
