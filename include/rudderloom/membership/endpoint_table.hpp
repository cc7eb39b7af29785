/// @file
/// Which endpoints there are and which may get new work, from every source at once.
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
  std::string address;  ///< IP number and port.
  std::string pool;
  std::string availability_zone;
  std::string service;  ///< Name of the plain service; empty for a model engine.
  std::uint64_t memory = 0;
  std::uint32_t slots = 1;
  bool checks_fences = false;  ///< Absent in the platform means that it does not check.
  bool leaving = false;
  bool operator==(const EndpointSpec&) const = default;
};

/// @brief What an endpoint says of itself; lags behind what is so.
/// @ingroup membership
struct LoadReport {
  std::string incarnation;
  bool leaving = false;
  std::uint32_t slots = 0;
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint64_t used = 0;
  std::set<std::string> resident;  ///< Units, as `name@version`.
  bool operator==(const LoadReport&) const = default;
};

/// @brief Everything known of one endpoint.
/// @ingroup membership
struct EndpointState {
  EndpointSpec spec;
  LoadReport report;
  std::optional<TimePoint> reported_at;
  std::uint32_t failed_polls = 0;  ///< In a row.
  bool leaving_said = false;       ///< By itself, in a report or an answer, or by a peer.
  std::uint32_t id = 0;            ///< Small number, stable while the endpoint is known.
};

/// @brief Reads an endpoint object of the platform; empty when it makes no sense.
/// @ingroup membership
std::optional<EndpointSpec> EndpointFromJson(const std::string& name,
                                             const boost::json::object& spec);

/// @brief Reads a load report; empty when it makes no sense.
/// @ingroup membership
std::optional<LoadReport> ReportFromJson(const std::string& text);

/// @brief Joins the platform's list, load reports, answers and peers' words. Pure.
/// @ingroup membership
class EndpointTable {
 public:
  /// @brief Takes the platform's list as a whole.
  void Listed(const std::vector<EndpointSpec>& specs);
  void Put(const EndpointSpec& spec);
  void Gone(const std::string& name);

  /// @brief Takes a load report, which proves the endpoint alive.
  void Reported(const std::string& name, const LoadReport& report, TimePoint now);

  /// @brief Counts a poll without an answer.
  void PollFailed(const std::string& name);

  /// @brief Takes `name#incarnation`, as an answer or a peer gave it; true when it is news.
  bool SaidLeaving(const std::string& name_and_incarnation);

  /// @brief All `name#incarnation` that said so, for peers.
  std::vector<std::string> Leaving() const;

  /// @brief True when the endpoint may get new work: known, not leaving, and not silent.
  /// Drains are the configuration's matter, not this table's.
  static bool Usable(const EndpointState& state);

  const std::map<std::string, EndpointState>& Endpoints() const { return endpoints_; }

 private:
  std::map<std::string, EndpointState> endpoints_;
  std::set<std::string> leaving_;
  std::uint32_t next_id_ = 0;
};

}  // namespace rudderloom

#endif
