#include "rudderloom/admission/admission_queue.hpp"

#include <algorithm>  // for min, max, find_if, stable_sort
#include <limits>     // for numeric_limits

namespace rudderloom {

namespace {
constexpr double kSmoothing = 0.1;
constexpr Duration kLeastComeBack{1'000};
}  // namespace

Duration AdmissionQueue::LengthOf(const std::string& target) const {
  const auto found = lengths_ms_.find(target);
  // A target never served yet gives no ground to refuse anybody.
  return Duration(found == lengths_ms_.end() ? 0 : static_cast<Duration::rep>(found->second));
}

Duration AdmissionQueue::ExpectedWait(const std::string& target,
                                      std::int64_t priority,
                                      std::uint32_t room) const {
  std::size_t ahead = 0;
  const auto found = waiting_.find(target);
  if (found != waiting_.end()) {
    for (const auto& [other, count] : found->second) {
      ahead += other <= priority ? count : 0;
    }
  }
  const auto places = static_cast<Duration::rep>(std::max(1U, room));
  return LengthOf(target) * static_cast<Duration::rep>(ahead + 1) / places;
}

std::optional<AdmissionRefusal> AdmissionQueue::Enter(const Applicant& applicant,
                                                      std::uint32_t room,
                                                      TimePoint now) {
  using Reason = AdmissionRefusal::Reason;
  const Duration wait = ExpectedWait(applicant.target, applicant.priority, room);
  const Duration come_back = std::max(kLeastComeBack, wait);
  if (now >= applicant.deadline) {
    return AdmissionRefusal{Reason::kDeadlinePassed, come_back};
  }
  // A target that no endpoint serves at this moment is being loaded: there is no telling the wait.
  if (room > 0 && now + wait > applicant.deadline) {
    return AdmissionRefusal{Reason::kDeadlineUnreachable, come_back};
  }
  if (size_ >= capacity_) {
    return AdmissionRefusal{Reason::kQueueFull, come_back};
  }
  Lines& lines = priorities_[applicant.priority];
  Line& line = lines[applicant.caller];
  if (line.waiting.empty()) {
    // A caller that was away gets no credit for it.
    double least = std::numeric_limits<double>::max();
    for (const auto& [caller, other] : lines) {
      least = other.waiting.empty() ? least : std::min(least, other.served);
    }
    line.served = least == std::numeric_limits<double>::max() ? 0.0 : std::max(line.served, least);
  }
  line.waiting.push_back(applicant);
  ++waiting_[applicant.target][applicant.priority];
  ++size_;
  return std::nullopt;
}

std::optional<Applicant> AdmissionQueue::Next(
    const std::function<bool(const Applicant&)>& can_start) {
  for (auto& [priority, lines] : priorities_) {
    std::vector<Line*> order;
    for (auto& [caller, line] : lines) {
      order.push_back(&line);
    }
    std::stable_sort(order.begin(), order.end(),
                     [](const Line* a, const Line* b) { return a->served < b->served; });
    for (Line* line : order) {
      const auto first = std::find_if(line->waiting.begin(), line->waiting.end(), can_start);
      if (first == line->waiting.end()) {
        continue;
      }
      Applicant next = *first;
      line->served += 1.0;
      Remove(next.ticket);
      return next;
    }
  }
  return std::nullopt;
}

bool AdmissionQueue::Remove(Ticket ticket) {
  for (auto& [priority, lines] : priorities_) {
    for (auto& [caller, line] : lines) {
      const auto found =
          std::find_if(line.waiting.begin(), line.waiting.end(),
                       [&](const Applicant& waiting) { return waiting.ticket == ticket; });
      if (found == line.waiting.end()) {
        continue;
      }
      --waiting_[found->target][found->priority];
      --size_;
      line.waiting.erase(found);
      return true;
    }
  }
  return false;
}

std::vector<Applicant> AdmissionQueue::Expire(TimePoint now) {
  std::vector<Applicant> expired;
  for (const auto& [priority, lines] : priorities_) {
    for (const auto& [caller, line] : lines) {
      for (const Applicant& waiting : line.waiting) {
        if (now >= waiting.deadline) {
          expired.push_back(waiting);
        }
      }
    }
  }
  for (const Applicant& applicant : expired) {
    Remove(applicant.ticket);
  }
  for (auto& [priority, lines] : priorities_) {
    // Callers that have nothing waiting are forgotten, so that their number doesn't grow.
    std::erase_if(lines, [](const auto& entry) { return entry.second.waiting.empty(); });
  }
  return expired;
}

void AdmissionQueue::Served(const std::string& target, Duration length) {
  const auto sample = static_cast<double>(length.count());
  const auto [found, is_new] = lengths_ms_.try_emplace(target, sample);
  if (!is_new) {
    found->second += kSmoothing * (sample - found->second);
  }
}

std::size_t AdmissionQueue::Waiting(const std::string& target) const {
  std::size_t count = 0;
  const auto found = waiting_.find(target);
  if (found != waiting_.end()) {
    for (const auto& [priority, waiting] : found->second) {
      count += waiting;
    }
  }
  return count;
}

}  // namespace rudderloom
