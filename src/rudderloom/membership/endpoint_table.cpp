#include "rudderloom/membership/endpoint_table.hpp"

#include "rudderloom/base/json_fields.hpp"  // for TextAt
#include "rudderloom/base/json_reader.hpp"  // for ParseJsonObject

namespace rudderloom {

namespace json = boost::json;

namespace {

// Consecutive unanswered polls after which an endpoint counts as silent.
constexpr std::uint32_t kMaxUnansweredPolls = 3;
// Reports that contradict an announced end. The first one may have been sent before it; the second
// one comes from another process.
constexpr std::uint32_t kContradictionsAfterRestart = 2;

}  // namespace

std::string InstanceOf(const EndpointState& state) {
  const std::string& incarnation = state.report.incarnation;
  return state.spec.name + "#" + (incarnation.empty() ? "@" + state.spec.address : incarnation);
}

std::optional<EndpointSpec> EndpointFromJson(const std::string& name, const json::object& spec) {
  EndpointSpec endpoint;
  endpoint.name = name;
  endpoint.address = TextAt(spec, "address");
  endpoint.pool = TextAt(spec, "pool");
  endpoint.availability_zone = TextAt(spec, "availabilityZone");
  endpoint.service = TextAt(spec, "service");
  endpoint.memory = NumberAt(spec, "memory");
  endpoint.slots = static_cast<std::uint32_t>(std::max<std::uint64_t>(1, NumberAt(spec, "slots")));
  endpoint.checks_fences = FlagAt(spec, "checksFences");
  endpoint.leaving = TextAt(spec, "state") == "leaving";
  if (endpoint.name.empty() || endpoint.address.empty() || endpoint.pool.empty()) {
    return std::nullopt;
  }
  return endpoint;
}

std::optional<LoadReport> ReportFromJson(const std::string& text) {
  const auto parsed = ParseJsonObject(text, "report");
  const auto* object = std::get_if<json::object>(&parsed);
  if (object == nullptr) {
    return std::nullopt;
  }
  LoadReport report;
  report.incarnation = TextAt(*object, "incarnation");
  report.leaving = TextAt(*object, "state") == "leaving";
  report.slots = static_cast<std::uint32_t>(NumberAt(*object, "slots"));
  report.running = static_cast<std::uint32_t>(NumberAt(*object, "running"));
  report.waiting = static_cast<std::uint32_t>(NumberAt(*object, "waiting"));
  report.used = NumberAt(*object, "used");
  const json::value* resident = object->if_contains("resident");
  if (resident != nullptr && resident->is_array()) {
    for (const json::value& unit : resident->as_array()) {
      if (unit.is_string()) {
        report.resident.emplace(unit.as_string());
      }
    }
  }
  return report;
}

void EndpointTable::ApplyList(const std::vector<EndpointSpec>& specs) {
  std::set<std::string> names;
  for (const EndpointSpec& spec : specs) {
    names.insert(spec.name);
    Put(spec);
  }
  std::erase_if(endpoints_, [&](const auto& entry) { return !names.contains(entry.first); });
}

void EndpointTable::Put(const EndpointSpec& spec) {
  const auto [found, is_new] = endpoints_.try_emplace(spec.name);
  EndpointState& state = found->second;
  if (is_new) {
    state.id = next_id_++;
  }
  if (state.spec.address != spec.address) {
    // Another process under the same name: nothing known about the former one applies.
    state.report = {};
    state.reported_at.reset();
    state.failed_polls = 0;
    state.leaving_announced = false;
  }
  state.spec = spec;
}

void EndpointTable::Remove(const std::string& name) {
  endpoints_.erase(name);
}

void EndpointTable::ApplyReport(const std::string& name, const LoadReport& report, TimePoint now) {
  const auto found = endpoints_.find(name);
  if (found == endpoints_.end()) {
    return;
  }
  EndpointState& state = found->second;
  state.report = report;
  state.reported_at = now;
  state.failed_polls = 0;
  if (report.leaving) {
    leaving_.insert(ProcessOf(state));
    state.contradicting_reports = 0;
  } else if (report.incarnation.empty() && leaving_.contains(ProcessOf(state))) {
    CountContradiction(state);
  }
  state.leaving_announced = leaving_.contains(ProcessOf(state));
}

void EndpointTable::CountContradiction(EndpointState& state) {
  if (++state.contradicting_reports == kContradictionsAfterRestart) {
    ++restarts_[InstanceOf(state)];
    state.contradicting_reports = 0;
  }
}

std::string EndpointTable::ProcessOf(const EndpointState& state) const {
  const std::string instance = InstanceOf(state);
  const auto restarts = restarts_.find(instance);
  return restarts == restarts_.end() ? instance : instance + "~" + std::to_string(restarts->second);
}

void EndpointTable::PollFailed(const std::string& name) {
  const auto found = endpoints_.find(name);
  if (found != endpoints_.end()) {
    ++found->second.failed_polls;
  }
}

bool EndpointTable::MarkLeaving(const std::string& instance) {
  for (const auto& [name, state] : endpoints_) {
    if (InstanceOf(state) == instance) {
      return MarkProcessLeaving(ProcessOf(state));
    }
  }
  return MarkProcessLeaving(instance);
}

bool EndpointTable::MarkProcessLeaving(const std::string& process) {
  if (!leaving_.insert(process).second) {
    return false;
  }
  for (auto& [name, state] : endpoints_) {
    if (ProcessOf(state) == process) {
      state.leaving_announced = true;
      state.contradicting_reports = 0;
    }
  }
  return true;
}

std::vector<std::string> EndpointTable::Leaving() const {
  std::vector<std::string> known;
  for (const auto& [name, state] : endpoints_) {
    if (state.leaving_announced) {
      known.push_back(ProcessOf(state));
    }
  }
  return known;
}

bool EndpointTable::Usable(const EndpointState& state) {
  return !state.spec.leaving && !state.leaving_announced && state.reported_at &&
         state.failed_polls < kMaxUnansweredPolls;
}

}  // namespace rudderloom
