#include <map>  // for map

#include "configuration_check/places.hpp"                          // for PlaceOf
#include "rudderloom/configuration_check/configuration_check.hpp"  // for CompareConfigurations

namespace rudderloom {

namespace {

using rudderloom::TextOf;  // of times

std::string TextOf(const std::string& text) {
  return "\"" + text + "\"";
}

std::string TextOf(bool flag) {
  return flag ? "true" : "false";
}

std::string TextOf(std::uint64_t number) {
  return std::to_string(number);
}

std::string TextOf(std::uint32_t number) {
  return std::to_string(number);
}

std::string TextOf(double number) {
  return std::to_string(number);
}

std::string TextOf(const std::optional<std::uint32_t>& number) {
  return number ? std::to_string(*number) : "none";
}

std::string TextOf(RouteKind kind) {
  switch (kind) {
    case RouteKind::kRepeatable:
      return "repeatable";
    case RouteKind::kOnce:
      return "once";
    case RouteKind::kStream:
      return "stream";
  }
  return "unknown";
}

std::string TextOf(QuotaUnit unit) {
  return unit == QuotaUnit::kTokens ? "tokens" : "requests";
}

std::string TextOf(const std::vector<ServiceShare>& shares) {
  std::string text;
  for (const ServiceShare& share : shares) {
    text += (text.empty() ? "" : ", ") + TextOf(share.service) + " x " + TextOf(share.weight);
  }
  return text;
}

// Collects the changed members of one entry.
class MemberChanges {
 public:
  template <typename Value>
  MemberChanges& Member(const char* name, const Value& before, const Value& after) {
    if (before != after) {
      Add(std::string(name) + " " + TextOf(before) + " -> " + TextOf(after));
    }
    return *this;
  }

  void Add(const std::string& change) { text_ += (text_.empty() ? "" : "; ") + change; }

  const std::string& Text() const { return text_; }

 private:
  std::string text_;
};

std::string Changes(const Route& before, const Route& after) {
  MemberChanges changes;
  changes.Member("host", before.host, after.host)
      .Member("prefix", before.prefix, after.prefix)
      .Member("kind", before.kind, after.kind)
      .Member("timeout", before.timeout, after.timeout)
      .Member("goal", before.goal, after.goal)
      .Member("longest pause", before.longest_pause, after.longest_pause)
      .Member("patience", before.patience, after.patience)
      .Member("priority", before.priority, after.priority)
      .Member("attempts", before.max_attempts, after.max_attempts)
      .Member("resumable", before.resumable, after.resumable)
      .Member("public", before.is_public, after.is_public)
      .Member("services", before.shares, after.shares);
  return changes.Text();
}

std::string Changes(const ModelSpec& before, const ModelSpec& after) {
  MemberChanges changes;
  changes.Member("memory in MB", before.memory_mb, after.memory_mb)
      .Member("load time", before.load_time, after.load_time)
      .Member("load time from disk", before.disk_load_time, after.disk_load_time)
      .Member("load time from memory", before.memory_load_time, after.memory_load_time)
      .Member("adapter memory in MB", before.adapter_memory_mb, after.adapter_memory_mb);
  return changes.Text();
}

// Without the models, which are compared one by one.
std::string Changes(const ServiceSpec& before, const ServiceSpec& after) {
  MemberChanges changes;
  changes.Member("connections", before.max_connections, after.max_connections);
  if (before.engine.has_value() != after.engine.has_value()) {
    changes.Add(after.engine ? "engine added" : "engine removed");
  } else if (before.engine) {
    changes.Member("slots", before.engine->slots, after.engine->slots)
        .Member("token capacity", before.engine->token_capacity, after.engine->token_capacity)
        .Member("memory in MB", before.engine->memory_mb, after.engine->memory_mb)
        .Member("adapter slots", before.engine->adapter_slots, after.engine->adapter_slots)
        .Member("loads per second", before.engine->loads_per_second,
                after.engine->loads_per_second);
  }
  return changes.Text();
}

// Keys are secret, and so are their digests: only a change is stated.
std::string Changes(const Customer& before, const Customer& after) {
  MemberChanges changes;
  if (before.keys != after.keys) {
    changes.Add("keys changed");
  }
  changes.Member("priority", before.priority, after.priority)
      .Member("unit", before.quota.unit, after.quota.unit)
      .Member("rate", before.quota.per_second, after.quota.per_second)
      .Member("burst", before.quota.burst, after.quota.burst)
      .Member("default amount", before.quota.default_tokens, after.quota.default_tokens);
  return changes.Text();
}

std::string Changes(const ClientLimits& before, const ClientLimits& after) {
  MemberChanges changes;
  changes
      .Member("header bytes", std::uint64_t{before.header_bytes}, std::uint64_t{after.header_bytes})
      .Member("body bytes", before.body_bytes, after.body_bytes)
      .Member("header time", before.header_time, after.header_time)
      .Member("idle time", before.idle_time, after.idle_time);
  return changes.Text();
}

// Entries by their place. Of entries with equal places, the first is compared.
template <typename Entry>
using ByPlace = std::map<std::string, const Entry*>;

template <typename Entry>
void Compare(const ByPlace<Entry>& before, const ByPlace<Entry>& after, Findings& findings) {
  for (const auto& [place, entry] : before) {
    const auto found = after.find(place);
    if (found == after.end()) {
      findings.push_back({FindingSeverity::kChange, place, "removed"});
    } else if (std::string changes = Changes(*entry, *found->second); !changes.empty()) {
      findings.push_back({FindingSeverity::kChange, place, std::move(changes)});
    }
  }
  for (const auto& [place, entry] : after) {
    if (!before.contains(place)) {
      findings.push_back({FindingSeverity::kChange, place, "added"});
    }
  }
}

// Routes without a name are told apart by what they match.
ByPlace<Route> RoutesByPlace(const RouteTable& table) {
  ByPlace<Route> routes;
  for (const Route& route : table.Routes()) {
    routes.emplace(route.name.empty() ? PlaceOf(route) : "route \"" + route.name + "\"", &route);
  }
  return routes;
}

ByPlace<ServiceSpec> ServicesByPlace(const RouteTable& table) {
  ByPlace<ServiceSpec> services;
  for (const auto& [name, service] : table.Services()) {
    services.emplace(PlaceOf(service), &service);
  }
  return services;
}

ByPlace<ModelSpec> ModelsByPlace(const RouteTable& table) {
  ByPlace<ModelSpec> models;
  for (const auto& [name, service] : table.Services()) {
    if (!service.engine) {
      continue;
    }
    for (const ModelSpec& model : service.engine->models) {
      models.emplace(PlaceOf(service, model), &model);
    }
  }
  return models;
}

ByPlace<Customer> CustomersByPlace(const RouteTable& table) {
  ByPlace<Customer> customers;
  for (const Customer& customer : table.Customers().All()) {
    customers.emplace(PlaceOf(customer), &customer);
  }
  return customers;
}

void CompareVersions(const RouteTable& in_force, const RouteTable& candidate, Findings& findings) {
  if (candidate.Version() <= in_force.Version()) {
    findings.push_back({FindingSeverity::kError, "version",
                        TextOf(candidate.Version()) + " is not above " +
                            TextOf(in_force.Version()) + ", which is in force: nodes ignore it"});
  }
}

}  // namespace

Findings CompareConfigurations(const RouteTable& in_force, const RouteTable& candidate) {
  Findings findings;
  CompareVersions(in_force, candidate, findings);
  Compare(RoutesByPlace(in_force), RoutesByPlace(candidate), findings);
  Compare(ServicesByPlace(in_force), ServicesByPlace(candidate), findings);
  Compare(ModelsByPlace(in_force), ModelsByPlace(candidate), findings);
  Compare(CustomersByPlace(in_force), CustomersByPlace(candidate), findings);
  if (std::string changes = Changes(in_force.Limits(), candidate.Limits()); !changes.empty()) {
    findings.push_back({FindingSeverity::kChange, "limits", std::move(changes)});
  }
  if (in_force.NeedsKeys() != candidate.NeedsKeys()) {
    findings.push_back(
        {FindingSeverity::kChange, "customers",
         candidate.NeedsKeys() ? "callers now need keys" : "callers no longer need keys"});
  }
  return findings;
}

}  // namespace rudderloom
