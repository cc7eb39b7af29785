// What the commands print: plain lines for people, or one JSON object.
#ifndef RUDDERLOOM_APP_OUTPUT_HPP
#define RUDDERLOOM_APP_OUTPUT_HPP

#include <optional>  // for optional
#include <string>    // for string
#include <vector>    // for vector

#include "app/operator_client.hpp"  // for StatusLines

namespace rudderloom {

void PrintMistakes(const JsonErrors& mistakes, bool json);
void PrintProblem(const std::string& reason, const std::string& detail, bool json);
void PrintResult(const std::string& result,
                 std::optional<std::uint64_t> generation,
                 const std::string& detail,
                 bool json);
void PrintInForce(std::uint64_t generation,
                  const std::vector<std::string>& behind,
                  std::size_t nodes,
                  bool json);
// Gives whether there was a difference.
bool PrintDiff(const DeclarationSet& in_force, const DeclarationSet& files, bool json);
void PrintEvents(const Catalog& catalog, bool json);
void PrintStatusLines(const StatusLines& lines, bool json);
void PauseCommand(Duration pause);

}  // namespace rudderloom

#endif
