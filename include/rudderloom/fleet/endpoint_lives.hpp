/// @file
/// Which life of each endpoint the platform lists now.
#ifndef RUDDERLOOM_FLEET_ENDPOINT_LIVES_HPP
#define RUDDERLOOM_FLEET_ENDPOINT_LIVES_HPP

#include <map>     // for map
#include <string>  // for string
#include <vector>  // for vector

#include "rudderloom/fleet/endpoint_record.hpp"  // for EndpointRecord

namespace rudderloom {

/// @brief Turns changes of the platform's entries, which are kept by name, into changes of lives.
/// An endpoint that starts again under its name is a new one; an entry of an earlier life that
/// comes late is dropped. Pure.
/// @ingroup fleet
class EndpointLives {
 public:
  /// @brief Begins anew with the whole list.
  void Listed(const std::vector<EndpointRecord>& records);

  /// @brief An entry was written.
  void Put(EndpointRecord record);

  /// @brief An entry is gone, or names no endpoint any more.
  void Gone(const std::string& id);

  /// @brief What changed since the last call.
  EndpointChanges Take();

 private:
  struct Life {
    std::string instance;
    std::uint64_t born = 0;
  };

  void End(const std::string& instance);

  std::map<std::string, Life> by_id_;
  std::map<std::string, EndpointRecord> put_;  // by instance
  std::vector<std::string> gone_;              // instances
};

}  // namespace rudderloom

#endif
