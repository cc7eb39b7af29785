// Output of the commands: plain text or one JSON object.
#ifndef RUDDERLOOM_APP_OUTPUT_HPP
#define RUDDERLOOM_APP_OUTPUT_HPP

#include <optional>  // for optional
#include <string>    // for string
#include <vector>    // for vector

#include "app/operator_client.hpp"  // for StatusSummary

namespace rudderloom {

void PrintErrors(const JsonErrors& errors, bool json);
void PrintFailure(const std::string& reason, const std::string& detail, bool json);
void PrintResult(const std::string& result,
                 std::optional<std::uint64_t> generation,
                 const std::string& detail,
                 bool json);
void PrintInForce(std::uint64_t generation,
                  const std::vector<std::string>& behind,
                  std::size_t nodes,
                  bool json);
// Returns true when the two sets differ.
bool PrintDiff(const DeclarationSet& in_force, const DeclarationSet& files, bool json);
void PrintEvents(const Catalog& catalog, bool json);
void PrintStatusSummary(const StatusSummary& summary, bool json);

}  // namespace rudderloom

#endif
