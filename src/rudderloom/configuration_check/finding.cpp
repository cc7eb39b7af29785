#include "rudderloom/configuration_check/finding.hpp"

#include <algorithm>  // for count_if
#include <iterator>   // for make_move_iterator

namespace rudderloom {

namespace json = boost::json;

namespace {

constexpr unsigned char kFirstPrintable = 0x20;
constexpr unsigned char kDelete = 0x7f;

// Names are arbitrary text: without this, one could forge a line or control the terminal.
std::string Printable(std::string text) {
  for (char& c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (byte < kFirstPrintable || byte == kDelete) {
      c = '?';
    }
  }
  return text;
}

std::int64_t Count(const Findings& findings, FindingSeverity severity) {
  return std::count_if(findings.begin(), findings.end(),
                       [&](const Finding& finding) { return finding.severity == severity; });
}

}  // namespace

std::string_view NameOf(FindingSeverity severity) {
  switch (severity) {
    case FindingSeverity::kError:
      return "error";
    case FindingSeverity::kWarning:
      return "warning";
    case FindingSeverity::kChange:
      return "change";
  }
  return "error";
}

void Append(Findings& findings, Findings more) {
  findings.insert(findings.end(), std::make_move_iterator(more.begin()),
                  std::make_move_iterator(more.end()));
}

std::string ToText(const Findings& findings) {
  std::string text;
  for (const Finding& finding : findings) {
    text += std::string(NameOf(finding.severity)) + " " + Printable(finding.place) + ": " +
            Printable(finding.message) + "\n";
  }
  return text;
}

json::object ToJson(const Findings& findings) {
  json::array list;
  for (const Finding& finding : findings) {
    list.push_back(json::object{{"severity", std::string(NameOf(finding.severity))},
                                {"place", finding.place},
                                {"message", finding.message}});
  }
  return {{"findings", list},
          {"errors", Count(findings, FindingSeverity::kError)},
          {"warnings", Count(findings, FindingSeverity::kWarning)},
          {"changes", Count(findings, FindingSeverity::kChange)}};
}

}  // namespace rudderloom
