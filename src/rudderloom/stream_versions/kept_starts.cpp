#include "rudderloom/stream_versions/kept_starts.hpp"

#include <algorithm>  // for all_of
#include <utility>    // for move

namespace rudderloom {

void KeptStarts::Record(const StreamStarts& starts, TimePoint now) {
  const std::lock_guard lock(mutex_);
  for (const StreamStart& start : starts) {
    book_.Record(start, now);
  }
}

bool KeptStarts::Confirm(const StartsToConfirm& told, TimePoint now) {
  const std::lock_guard lock(mutex_);
  for (const StreamStart& start : told.starts) {
    book_.Record(start, now);
  }
  return now < knowledge_.held_until &&
         std::all_of(told.starts.begin(), told.starts.end(), [&](const StreamStart& start) {
           const std::string known = book_.Find(start.began_as);
           return (known.empty() || known == start.software_version) &&
                  HasVersion(knowledge_.recorded, told.service, start.software_version);
         });
}

void KeptStarts::SetKnowledge(VersionKnowledge knowledge) {
  const std::lock_guard lock(mutex_);
  knowledge_ = std::move(knowledge);
}

StreamAnswer KeptStarts::Answer(const StreamQuery& query, TimePoint now) const {
  const std::lock_guard lock(mutex_);
  StreamAnswer answer;
  answer.software_version = book_.Find(query.began_as);
  if (const auto found = knowledge_.lately.find(query.service); found != knowledge_.lately.end()) {
    answer.versions = found->second;
  }
  answer.knows_history = knowledge_.knows_history;
  answer.is_holder = now < knowledge_.held_until;
  answer.has_loaded = has_loaded_;
  const auto unrecorded = knowledge_.unrecorded.find(query.service);
  if (answer.is_holder && has_loaded_ && unrecorded != knowledge_.unrecorded.end() &&
      book_.WouldKnow(query.began_as, now)) {
    answer.unrecorded_version = unrecorded->second;
  }
  return answer;
}

std::optional<std::uint64_t> KeptStarts::HeldEpoch(TimePoint now) const {
  const std::lock_guard lock(mutex_);
  return now < knowledge_.held_until ? std::optional(knowledge_.epoch) : std::nullopt;
}

bool KeptStarts::SavesWhileStopping() const {
  const std::lock_guard lock(mutex_);
  return knowledge_.saves_while_stopping;
}

void KeptStarts::RecordSaved(const StreamStarts& starts, TimePoint now) {
  const std::lock_guard lock(mutex_);
  for (const StreamStart& start : starts) {
    book_.RecordSaved(start, now);
  }
}

void KeptStarts::SetHasLoaded(bool has_loaded) {
  const std::lock_guard lock(mutex_);
  has_loaded_ = has_loaded;
}

StreamStarts KeptStarts::TakeUnsaved(std::size_t count) {
  const std::lock_guard lock(mutex_);
  return book_.TakeUnsaved(count);
}

}  // namespace rudderloom
