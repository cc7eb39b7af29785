#include "rudderloom/admission/admission_queue.hpp"

#include <algorithm>  // for min, max, find_if, stable_sort
#include <limits>     // for numeric_limits

namespace rudderloom {

namespace {
constexpr double kSmoothing = 0.1;
constexpr Duration kMinRetryDelay{1'000};
}  // namespace

Duration AdmissionQueue::ServiceTimeOf(const std::string& target) const {
  const auto found = service_times_ms_.find(target);
  // Without service times for the target, no request is refused for its expected wait.
  return Duration(found == service_times_ms_.end() ? 0 : static_cast<Duration::rep>(found->second));
}

Duration AdmissionQueue::ExpectedWait(const std::string& target,
                                      std::int64_t priority,
                                      std::uint32_t slots) const {
  std::size_t ahead = 0;
  const auto found = waiting_.find(target);
  if (found != waiting_.end()) {
    for (const auto& [other, count] : found->second) {
      ahead += other <= priority ? count : 0;
    }
  }
  return WaitBehind(target, ahead, slots);
}

Duration AdmissionQueue::WaitBehind(const std::string& target,
                                    std::size_t ahead,
                                    std::uint32_t slots) const {
  const auto places = static_cast<Duration::rep>(std::max(1U, slots));
  return ServiceTimeOf(target) * static_cast<Duration::rep>(ahead + 1) / places;
}

std::optional<AdmissionRefusal> AdmissionQueue::Enqueue(const QueuedRequest& applicant,
                                                        std::uint32_t slots,
                                                        TimePoint now) {
  using Reason = AdmissionRefusal::Reason;
  const Duration wait = ExpectedWait(applicant.target, applicant.priority, slots);
  const Duration come_back = std::max(kMinRetryDelay, wait);
  if (now >= applicant.deadline) {
    return AdmissionRefusal{Reason::kDeadlinePassed, come_back};
  }
  // A target without slots is being loaded, so its wait can't be estimated.
  if (slots > 0 && now + wait > applicant.deadline) {
    return AdmissionRefusal{Reason::kDeadlineUnreachable, come_back};
  }
  if (size_ >= capacity_) {
    return AdmissionRefusal{Reason::kQueueFull, come_back};
  }
  CallerQueues& caller_queues = priorities_[applicant.priority];
  CallerQueue& caller_queue = caller_queues[applicant.caller];
  if (caller_queue.waiting.empty()) {
    // An idle caller accumulates no credit: it resumes at the least virtual time of the active
    // callers.
    double least = std::numeric_limits<double>::max();
    for (const auto& [caller, other] : caller_queues) {
      least = other.waiting.empty() ? least : std::min(least, other.virtual_time);
    }
    caller_queue.virtual_time = least == std::numeric_limits<double>::max()
                                    ? 0.0
                                    : std::max(caller_queue.virtual_time, least);
  }
  caller_queue.waiting.push_back(applicant);
  ++waiting_[applicant.target][applicant.priority];
  ++size_;
  return std::nullopt;
}

std::optional<QueuedRequest> AdmissionQueue::Next(
    const std::function<bool(const QueuedRequest&)>& can_start) {
  for (auto& [priority, caller_queues] : priorities_) {
    std::vector<CallerQueue*> order;
    for (auto& [caller, caller_queue] : caller_queues) {
      order.push_back(&caller_queue);
    }
    std::stable_sort(order.begin(), order.end(), [](const CallerQueue* a, const CallerQueue* b) {
      return a->virtual_time < b->virtual_time;
    });
    for (CallerQueue* caller_queue : order) {
      const auto first =
          std::find_if(caller_queue->waiting.begin(), caller_queue->waiting.end(), can_start);
      if (first == caller_queue->waiting.end()) {
        continue;
      }
      QueuedRequest next = *first;
      caller_queue->virtual_time += 1.0;
      Remove(next.ticket);
      return next;
    }
  }
  return std::nullopt;
}

bool AdmissionQueue::Remove(Ticket ticket) {
  for (auto& [priority, caller_queues] : priorities_) {
    for (auto& [caller, caller_queue] : caller_queues) {
      const auto found =
          std::find_if(caller_queue.waiting.begin(), caller_queue.waiting.end(),
                       [&](const QueuedRequest& waiting) { return waiting.ticket == ticket; });
      if (found == caller_queue.waiting.end()) {
        continue;
      }
      --waiting_[found->target][found->priority];
      --size_;
      caller_queue.waiting.erase(found);
      return true;
    }
  }
  return false;
}

std::vector<QueuedRequest> AdmissionQueue::Expire(TimePoint now) {
  std::vector<QueuedRequest> expired;
  for (const auto& [priority, caller_queues] : priorities_) {
    for (const auto& [caller, caller_queue] : caller_queues) {
      for (const QueuedRequest& waiting : caller_queue.waiting) {
        if (now >= waiting.deadline) {
          expired.push_back(waiting);
        }
      }
    }
  }
  for (const QueuedRequest& applicant : expired) {
    Remove(applicant.ticket);
  }
  for (auto& [priority, caller_queues] : priorities_) {
    // Callers without waiting requests are dropped, so that their number stays bounded.
    std::erase_if(caller_queues, [](const auto& entry) { return entry.second.waiting.empty(); });
  }
  return expired;
}

std::vector<QueuedRequest> AdmissionQueue::LimitDeadlines(
    TimePoint latest,
    const std::function<std::uint32_t(const QueuedRequest&)>& slots_for,
    TimePoint now) {
  std::vector<QueuedRequest> removed;
  std::map<std::string, std::size_t> ahead;  // by target
  for (auto& [priority, caller_queues] : priorities_) {
    std::vector<QueuedRequest*> in_order;  // callers take turns
    for (std::size_t turn = 0, left = 1; left > 0; ++turn) {
      left = 0;
      for (auto& [caller, caller_queue] : caller_queues) {
        if (turn < caller_queue.waiting.size()) {
          in_order.push_back(&caller_queue.waiting[turn]);
          ++left;
        }
      }
    }
    for (QueuedRequest* waiting : in_order) {
      const std::uint32_t slots = slots_for(*waiting);
      const Duration wait = WaitBehind(waiting->target, ahead[waiting->target], slots);
      waiting->deadline = std::min(waiting->deadline, latest);
      if (slots > 0 && now + wait > latest) {
        removed.push_back(*waiting);
      } else {
        ++ahead[waiting->target];
      }
    }
  }
  for (const QueuedRequest& waiting : removed) {
    Remove(waiting.ticket);
  }
  return removed;
}

void AdmissionQueue::RecordServiceTime(const std::string& target, Duration service_time) {
  const auto sample = static_cast<double>(service_time.count());
  const auto [found, is_new] = service_times_ms_.try_emplace(target, sample);
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
