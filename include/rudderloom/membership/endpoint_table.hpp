/// @file
/// The known endpoints and whether they may get new work, merged from all sources.
#ifndef RUDDERLOOM_MEMBERSHIP_ENDPOINT_TABLE_HPP
#define RUDDERLOOM_MEMBERSHIP_ENDPOINT_TABLE_HPP

#include <boost/json.hpp>  // for object
#include <cstdint>         // for uint64_t
#include <map>             // for map
#include <optional>        // for optional
#include <set>             // for set
#include <string>          // for string
#include <variant>         // for variant
#include <vector>          // for vector

#include "rudderloom/base/clock.hpp"  // for TimePoint

namespace rudderloom {

/// @brief An endpoint as the platform lists it.
/// @ingroup membership
struct EndpointSpec {
  std::string name;
  std::string address;  ///< IP address and port.
  std::string pool;
  std::string availability_zone;
  std::string service;  ///< Name of the plain service; empty for a model engine.
  std::uint64_t memory = 0;
  std::uint32_t slots = 1;
  bool checks_fences = false;  ///< False when the platform's entry does not set it.
  bool leaving = false;
  bool operator==(const EndpointSpec&) const = default;
};

/// @brief An endpoint's own load report; always slightly outdated.
/// @ingroup membership
struct LoadReport {
  std::string incarnation;
  bool leaving = false;
  std::uint32_t slots = 0;
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint64_t used = 0;
  std::set<std::string> resident;  ///< Loaded units, as `name@version`.
  bool operator==(const LoadReport&) const = default;
};

/// @brief All state known about one endpoint.
/// @ingroup membership
struct EndpointState {
  EndpointSpec spec;
  LoadReport report;
  std::optional<TimePoint> reported_at;
  std::uint32_t failed_polls = 0;  ///< Consecutive failures.
  bool leaving_announced =
      false;  ///< Announced by the endpoint in a report or an answer, or by a peer.
  std::uint32_t contradicting_reports = 0;  ///< Since the announcement, without repeating it.
  std::uint32_t id = 0;                     ///< Small index, stable while the endpoint is known.
};

/// @brief Identifies one process of an endpoint: `name#incarnation`, or `name#@address` for a
/// service that reports no incarnation.
/// @ingroup membership
std::string InstanceOf(const EndpointState& state);

/// @brief Decodes an endpoint object of the platform; returns nullopt when it is invalid.
/// @ingroup membership
std::optional<EndpointSpec> EndpointFromJson(const std::string& name,
                                             const boost::json::object& spec);

/// @brief Decodes a load report; returns nullopt when it is invalid.
/// @ingroup membership
std::optional<LoadReport> ReportFromJson(const std::string& text);

/// @brief Merges the platform's list, load reports, answers and messages of peers. Pure.
/// @ingroup membership
class EndpointTable {
 public:
  /// @brief Applies the platform's complete list.
  void ApplyList(const std::vector<EndpointSpec>& specs);
  void Put(const EndpointSpec& spec);
  void Remove(const std::string& name);

  /// @brief Applies a load report, which proves that the endpoint is alive.
  void ApplyReport(const std::string& name, const LoadReport& report, TimePoint now);

  /// @brief Records an unanswered poll.
  void PollFailed(const std::string& name);

  /// @brief Marks an instance as leaving, given as by InstanceOf, after its answer said so.
  /// @return True when this was not known yet.
  bool MarkLeaving(const std::string& instance);

  /// @brief Marks a process as leaving that a peer has named as by Leaving().
  /// @return True when this was not known yet.
  bool MarkProcessLeaving(const std::string& process);

  /// @brief Returns all processes that are known to be leaving, for peers.
  std::vector<std::string> Leaving() const;

  /// @brief Returns true when the endpoint may get new work: it has reported, is not leaving and
  /// answers polls. Drains set in the configuration are not checked here.
  static bool Usable(const EndpointState& state);

  const std::map<std::string, EndpointState>& Endpoints() const { return endpoints_; }

 private:
  std::string ProcessOf(const EndpointState& state) const;
  void CountContradiction(EndpointState& state);

  std::map<std::string, EndpointState> endpoints_;
  std::set<std::string> leaving_;  // as by ProcessOf
  // Restarts seen of services that report no incarnation, by instance. Peers may have seen another
  // number; they then learn of a service that leaves from its own reports only.
  std::map<std::string, std::uint32_t> restarts_;
  std::uint32_t next_id_ = 0;
};

}  // namespace rudderloom

#endif
