#include <set>  // for set

#include "configuration_check/places.hpp"                          // for PlaceOf
#include "rudderloom/configuration_check/configuration_check.hpp"  // for CheckServices

namespace rudderloom {

namespace {

// Services that ChooseService can return for a route that requests match.
std::set<std::string> ReachableServices(const RouteTable& table) {
  std::set<std::string> reachable;
  for (const Route& route : table.Routes()) {
    if (route.shares.empty() || table.Find(route.host, route.prefix) != &route) {
      continue;
    }
    bool any_weight = false;
    for (const ServiceShare& share : route.shares) {
      if (share.weight > 0) {
        any_weight = true;
        reachable.insert(share.service);
      }
    }
    if (!any_weight) {
      reachable.insert(route.shares.front().service);
    }
  }
  return reachable;
}

void CheckModel(const ServiceSpec& service, const ModelSpec& model, Findings& findings) {
  const EngineSpec& engine = *service.engine;
  const auto fail = [&](std::string message) {
    findings.push_back({FindingSeverity::kError, PlaceOf(service, model), std::move(message)});
  };
  if (model.name.empty()) {
    fail("has no name, so that no request can ask for it");
  } else if (engine.Find(model.name) != &model) {
    fail("listed twice; the first entry is used");
  }
  if (model.memory_mb > engine.memory_mb) {
    fail("needs " + std::to_string(model.memory_mb) + " MB, but an engine has " +
         std::to_string(engine.memory_mb) + " MB");
  } else if (model.adapter_memory_mb > engine.memory_mb - model.memory_mb) {
    fail("an adapter of " + std::to_string(model.adapter_memory_mb) +
         " MB does not fit beside the model: an engine has " + std::to_string(engine.memory_mb) +
         " MB, the model takes " + std::to_string(model.memory_mb) + " MB");
  }
}

}  // namespace

Findings CheckServices(const RouteTable& table) {
  Findings findings;
  const std::set<std::string> reachable = ReachableServices(table);
  for (const auto& [name, service] : table.Services()) {
    if (!reachable.contains(name)) {
      std::string message = "no route reaches it";
      if (service.engine && !service.engine->models.empty()) {
        message += ", nor its " + std::to_string(service.engine->models.size()) + " models";
      }
      findings.push_back({FindingSeverity::kWarning, PlaceOf(service), std::move(message)});
    }
    if (!service.engine) {
      continue;
    }
    if (service.engine->models.empty()) {
      findings.push_back(
          {FindingSeverity::kWarning, PlaceOf(service), "has an engine without models"});
    }
    for (const ModelSpec& model : service.engine->models) {
      CheckModel(service, model, findings);
    }
  }
  return findings;
}

}  // namespace rudderloom
