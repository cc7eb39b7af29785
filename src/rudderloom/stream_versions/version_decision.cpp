#include "rudderloom/stream_versions/version_decision.hpp"

#include <algorithm>  // for any_of, all_of, count_if
#include <utility>    // for move

namespace rudderloom {

namespace {

using Answer = std::optional<StreamAnswer>;

std::set<std::string> AllVersions(const StreamInquiry& inquiry) {
  std::set<std::string> versions = inquiry.own.versions;
  for (const Answer& answer : inquiry.answers) {
    if (answer) {
      versions.insert(answer->versions.begin(), answer->versions.end());
    }
  }
  return versions;
}

// At which the stream began, by the nodes that know it.
std::set<std::string> VersionsAtStart(const StreamInquiry& inquiry) {
  std::set<std::string> versions;
  for (const Answer& answer : inquiry.answers) {
    if (answer && !answer->software_version.empty()) {
      versions.insert(answer->software_version);
    }
  }
  return versions;
}

// The version that a lease holder names for streams that no node knows; empty if none does.
std::string UnrecordedVersion(const StreamInquiry& inquiry, const std::set<std::string>& versions) {
  for (const Answer& answer : inquiry.answers) {
    if (answer && !answer->unrecorded_version.empty() && answer->versions == versions) {
      return answer->unrecorded_version;
    }
  }
  return {};
}

bool IsInformedHolder(const Answer& answer) {
  return answer && answer->is_holder && answer->knows_history;
}

// Half of the other nodes, and at least one.
bool EnoughOthersAnswered(const StreamInquiry& inquiry) {
  const auto is_other = [](const Answer& answer) { return !answer || !answer->from_self; };
  const auto others = std::count_if(inquiry.answers.begin(), inquiry.answers.end(), is_other);
  const auto answered =
      std::count_if(inquiry.answers.begin(), inquiry.answers.end(),
                    [](const Answer& answer) { return answer && !answer->from_self; });
  return answered > 0 && 2 * answered >= others;
}

}  // namespace

VersionDecision DecideVersion(const StreamInquiry& inquiry) {
  const auto& answers = inquiry.answers;
  const std::set<std::string> at_start = VersionsAtStart(inquiry);
  if (at_start.size() == 1) {
    return {VersionVerdict::kBegan, *at_start.begin()};
  }
  if (at_start.size() > 1) {
    // A node has missed that a retry began the stream at another version.
    return {inquiry.last_try ? VersionVerdict::kUnknown : VersionVerdict::kAskAgain, ""};
  }
  const std::set<std::string> versions = AllVersions(inquiry);
  const bool holder_vouches = std::any_of(answers.begin(), answers.end(), IsInformedHolder);
  const bool others_agree =
      inquiry.last_try && inquiry.own.knows_history && EnoughOthersAnswered(inquiry);
  if (versions.size() == 1 && (holder_vouches || others_agree)) {
    return {VersionVerdict::kOnly, *versions.begin()};
  }
  if (std::string first = UnrecordedVersion(inquiry, versions); !first.empty()) {
    return {VersionVerdict::kFirst, std::move(first)};
  }
  const bool all_answered =
      std::all_of(answers.begin(), answers.end(), [](const Answer& answer) { return answer; });
  const bool holder_has_loaded = std::any_of(
      answers.begin(), answers.end(),
      [](const auto& answer) { return IsInformedHolder(answer) && answer->has_loaded; });
  const bool is_final = inquiry.all_asked && all_answered && holder_has_loaded;
  return {is_final || inquiry.last_try ? VersionVerdict::kUnknown : VersionVerdict::kAskAgain, ""};
}

}  // namespace rudderloom
