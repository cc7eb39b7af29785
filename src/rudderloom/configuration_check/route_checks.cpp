#include <algorithm>  // for max, sort
#include <map>        // for map

#include "configuration_check/places.hpp"                          // for PlaceOf
#include "rudderloom/configuration_check/configuration_check.hpp"  // for CheckRoutes

namespace rudderloom {

namespace {

constexpr std::uint32_t kLeastUrgentPriority = 9;  // Endpoints receive an urgency from 0 to 9.
// A request that may run once is attempted again only after rejections that state that it has not
// run. The project's own interface allows 4 attempts by default (`/retries/attempts`).
constexpr std::uint32_t kMaxUsefulAttemptsOnce = 4;

std::uint64_t TotalWeight(const Route& route) {
  std::uint64_t total = 0;
  for (const ServiceShare& share : route.shares) {
    total += share.weight;
  }
  return total;
}

// True if RouteTable::Find can return a route with this prefix.
bool IsMatchablePrefix(const std::string& prefix) {
  return prefix.starts_with('/') && prefix.ends_with('/') &&
         prefix.find_first_of("?#") == std::string::npos;
}

class RouteChecker {
 public:
  explicit RouteChecker(const RouteTable& table) : table_(table) {}

  Findings Run() {
    for (const Route& route : table_.Routes()) {
      CheckMatch(route);
      CheckShares(route);
      CheckLimits(route);
    }
    CheckUrgencyOrder();
    return std::move(findings_);
  }

 private:
  void CheckMatch(const Route& route) {
    if (!IsMatchablePrefix(route.prefix)) {
      Add(FindingSeverity::kError, route,
          "never matches: a prefix begins and ends with a slash and contains no '?' or '#'");
      return;
    }
    if (route.host.empty()) {
      Add(FindingSeverity::kWarning, route, "matches only requests without a host");
    }
    const Route* match = table_.Find(route.host, route.prefix);
    if (match != nullptr && match != &route) {
      Add(FindingSeverity::kError, route,
          "never matches: shadowed by " + PlaceOf(*match) + " of the same host and prefix");
    }
  }

  void CheckShares(const Route& route) {
    if (TotalWeight(route) == 0) {
      Add(FindingSeverity::kError, route,
          "all weights are 0: every request goes to the first service");
    }
    for (const ServiceShare& share : route.shares) {
      if (table_.Service(share.service) == nullptr) {
        Add(FindingSeverity::kError, route, "service \"" + share.service + "\" does not exist");
      } else if (share.weight == 0 && TotalWeight(route) > 0) {
        Add(FindingSeverity::kWarning, route,
            "weight 0: service \"" + share.service + "\" gets no requests");
      }
    }
  }

  void CheckLimits(const Route& route) {
    if (route.goal > route.timeout) {
      Add(FindingSeverity::kError, route,
          "the goal of " + TextOf(route.goal) + " is longer than the timeout of " +
              TextOf(route.timeout));
    }
    if (route.kind == RouteKind::kStream && route.longest_pause > route.timeout) {
      Add(FindingSeverity::kError, route,
          "the longest pause of " + TextOf(route.longest_pause) +
              " is longer than the timeout of " + TextOf(route.timeout));
    }
    if (!route.Repeatable() && route.max_attempts > kMaxUsefulAttemptsOnce) {
      Add(FindingSeverity::kWarning, route,
          std::to_string(route.max_attempts) +
              " attempts, but requests may run once: they are repeated only after rejections");
    }
    if (route.priority > kLeastUrgentPriority) {
      Add(FindingSeverity::kWarning, route,
          "priority " + std::to_string(route.priority) + " is not in 0..9");
    }
  }

  // Compares only routes to the same service, which compete for its capacity.
  void CheckUrgencyOrder() {
    std::map<std::string, std::vector<const Route*>> by_service;
    for (const Route& route : table_.Routes()) {
      for (const ServiceShare& share : route.shares) {
        by_service[share.service].push_back(&route);
      }
    }
    for (auto& [service, routes] : by_service) {
      CheckUrgencyOrder(service, routes);
    }
  }

  void CheckUrgencyOrder(const std::string& service, std::vector<const Route*>& routes) {
    std::stable_sort(routes.begin(), routes.end(), [](const Route* left, const Route* right) {
      return left->priority < right->priority;
    });
    const Route* longest = nullptr;  // the longest goal of all more urgent routes
    for (std::size_t first = 0; first < routes.size();) {
      const Route* longest_here = longest;
      const std::uint32_t priority = routes[first]->priority;
      for (; first < routes.size() && routes[first]->priority == priority; ++first) {
        const Route& route = *routes[first];
        if (longest != nullptr && route.goal < longest->goal) {
          Add(FindingSeverity::kWarning, route,
              "the goal of " + TextOf(route.goal) + " is shorter than the " +
                  TextOf(longest->goal) + " of the more urgent " + PlaceOf(*longest) +
                  " at service \"" + service + "\"");
        }
        if (longest_here == nullptr || route.goal > longest_here->goal) {
          longest_here = &route;
        }
      }
      longest = longest_here;
    }
  }

  void Add(FindingSeverity severity, const Route& route, std::string message) {
    findings_.push_back({severity, PlaceOf(route), std::move(message)});
  }

  const RouteTable& table_;
  Findings findings_;
};

}  // namespace

Findings CheckRoutes(const RouteTable& table) {
  return RouteChecker(table).Run();
}

Findings CheckConfiguration(const RouteTable& table) {
  Findings findings = CheckRoutes(table);
  Append(findings, CheckServices(table));
  Append(findings, CheckCustomers(table));
  return findings;
}

}  // namespace rudderloom
