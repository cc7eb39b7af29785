#include "app/output.hpp"

#include <ctime>     // for gmtime_r
#include <iomanip>   // for setw
#include <iostream>  // for cout

namespace rudderloom {

namespace json = boost::json;

namespace {

constexpr std::uint64_t kMebibyte = 1024ULL * 1024;

void PrintJson(const json::object& object) {
  std::cout << json::serialize(object) << "\n";
}

std::string FormatUtc(std::int64_t unix_seconds) {
  const std::time_t time = unix_seconds;
  std::tm parts{};
  gmtime_r(&time, &parts);
  char text[32];
  std::strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%SZ", &parts);
  return text;
}

// Returns the items of all lists of a set, keyed by `list/name`.
std::map<std::string, json::value> IndexItems(const DeclarationSet& set) {
  std::map<std::string, json::value> items;
  for (const auto& list : set) {
    if (!list.value().is_array()) {
      continue;
    }
    for (const json::value& item : list.value().as_array()) {
      const json::value* name = item.is_object() ? item.as_object().if_contains("name") : nullptr;
      if (name != nullptr && name->is_string()) {
        items[std::string(list.key()) + "/" + std::string(name->as_string())] = item;
      }
    }
  }
  return items;
}

json::object NodeJson(const NodeSummary& node) {
  return {{"name", node.name},
          {"address", node.address},
          {"availability_zone", node.availability_zone},
          {"generation", node.generation},
          {"live", node.live},
          {"stopping", node.stopping}};
}

json::object EndpointJson(const EndpointSummary& endpoint) {
  json::array units;
  for (const auto& [unit, state] : endpoint.units) {
    units.push_back(json::object{{"unit", unit}, {"state", state}});
  }
  return {{"name", endpoint.name},   {"pool", endpoint.pool},     {"address", endpoint.address},
          {"state", endpoint.state}, {"memory", endpoint.memory}, {"reserved", endpoint.reserved},
          {"units", units}};
}

void PrintNode(const NodeSummary& node) {
  std::cout << std::left << std::setw(20) << node.name << std::setw(16) << node.availability_zone
            << std::setw(24) << node.address << "generation " << node.generation
            << (node.live ? "" : "  silent") << (node.stopping ? "  stopping" : "") << "\n";
}

}  // namespace

void PrintErrors(const JsonErrors& errors, bool json) {
  if (!json) {
    for (const JsonError& validation_error : errors) {
      std::cout << validation_error.Text() << "\n";
    }
    return;
  }
  json::array list;
  for (const JsonError& validation_error : errors) {
    list.push_back(
        json::object{{"path", validation_error.path}, {"message", validation_error.message}});
  }
  PrintJson({{"result", "invalid"}, {"mistakes", list}});
}

void PrintFailure(const std::string& reason, const std::string& detail, bool json) {
  if (json) {
    PrintJson({{"result", reason}, {"detail", detail}});
  } else {
    std::cerr << reason << ": " << detail << "\n";
  }
}

void PrintResult(const std::string& result,
                 std::optional<std::uint64_t> generation,
                 const std::string& detail,
                 bool json) {
  if (json) {
    json::object object{{"result", result}};
    if (generation) {
      object["generation"] = *generation;
    }
    if (!detail.empty()) {
      object["detail"] = detail;
    }
    PrintJson(object);
    return;
  }
  std::cout << result;
  if (generation) {
    std::cout << ", generation " << *generation;
  }
  std::cout << (detail.empty() ? "" : ": " + detail) << "\n";
}

void PrintInForce(std::uint64_t generation,
                  const std::vector<std::string>& behind,
                  std::size_t nodes,
                  bool json) {
  if (json) {
    json::array list;
    for (const std::string& name : behind) {
      list.emplace_back(name);
    }
    PrintJson({{"in_force", behind.empty()}, {"generation", generation}, {"behind", list}});
    return;
  }
  if (behind.empty()) {
    std::cout << "in force on all live entry nodes of " << nodes << "\n";
  }
  for (const std::string& name : behind) {
    std::cout << "behind: " << name << "\n";
  }
}

bool PrintDiff(const DeclarationSet& in_force, const DeclarationSet& files, bool json) {
  const auto before = IndexItems(in_force);
  const auto after = IndexItems(files);
  json::array changes;
  const auto add = [&](const char* symbol, const std::string& name) {
    changes.push_back(json::object{{"change", symbol}, {"item", name}});
    if (!json) {
      std::cout << symbol << " " << name << "\n";
    }
  };
  for (const auto& [name, item] : after) {
    const auto found = before.find(name);
    if (found == before.end()) {
      add("+", name);
    } else if (found->second != item) {
      add("~", name);
    }
  }
  for (const auto& [name, item] : before) {
    if (!after.contains(name)) {
      add("-", name);
    }
  }
  if (json) {
    PrintJson({{"changes", changes}});
  }
  return !changes.empty();
}

void PrintEvents(const Catalog& catalog, bool json) {
  json::array list;
  for (const auto& [name, event] : catalog.events) {
    const std::string start = FormatUtc(event.start);
    const std::string end = FormatUtc(event.start + event.length.count() / 1000);
    json::array needs;
    std::string text;
    for (const EventNeed& need : event.needs) {
      needs.push_back(json::object{{"name", need.name}, {"copies", need.copies}});
      text += " " + need.name + "x" + std::to_string(need.copies);
    }
    list.push_back(json::object{{"name", name}, {"start", start}, {"end", end}, {"needs", needs}});
    if (!json) {
      std::cout << name << "  " << start << " .. " << end << " " << text << "\n";
    }
  }
  if (json) {
    PrintJson({{"events", list}});
  }
}

void PrintStatusSummary(const StatusSummary& summary, bool json) {
  if (json) {
    json::array nodes{NodeJson(summary.node)};
    for (const NodeSummary& node : summary.others) {
      nodes.push_back(NodeJson(node));
    }
    json::array endpoints;
    for (const EndpointSummary& endpoint : summary.endpoints) {
      endpoints.push_back(EndpointJson(endpoint));
    }
    json::array held;
    for (const std::string& pool : summary.held_pools) {
      held.emplace_back(pool);
    }
    PrintJson({{"nodes", nodes}, {"endpoints", endpoints}, {"held_pools", held}});
    return;
  }
  std::cout << "entry nodes (the first one answers)\n";
  PrintNode(summary.node);
  for (const NodeSummary& node : summary.others) {
    PrintNode(node);
  }
  std::cout << "endpoints\n";
  for (const EndpointSummary& endpoint : summary.endpoints) {
    std::cout << std::left << std::setw(20) << endpoint.name << std::setw(16) << endpoint.pool
              << std::setw(10) << endpoint.state << endpoint.reserved / kMebibyte << "/"
              << endpoint.memory / kMebibyte << " MiB reserved ";
    for (const auto& [unit, state] : endpoint.units) {
      std::cout << " " << unit << (state == "resident" ? "" : "(" + state + ")");
    }
    std::cout << "\n";
  }
}

}  // namespace rudderloom
