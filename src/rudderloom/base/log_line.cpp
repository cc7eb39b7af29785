#include "rudderloom/base/log_line.hpp"

#include <glog/logging.h>  // for LOG

namespace rudderloom {

namespace {

bool NeedsQuotes(std::string_view value) {
  return value.empty() || value.find_first_of(" \"=\n\r\t\\") != std::string_view::npos;
}

void AppendValue(std::string& text, std::string_view value) {
  if (!NeedsQuotes(value)) {
    text += value;
    return;
  }
  text += '"';
  for (const char c : value) {
    if (c == '\n' || c == '\r' || c == '\t') {
      text += ' ';
      continue;
    }
    if (c == '"' || c == '\\') {
      text += '\\';
    }
    text += c;
  }
  text += '"';
}

}  // namespace

LogLine::LogLine(std::string_view event, Severity severity) : severity_(severity) {
  With("event", event);
}

LogLine::~LogLine() {
  switch (severity_) {
    case Severity::kInfo:
      LOG(INFO) << text_;
      break;
    case Severity::kWarning:
      LOG(WARNING) << text_;
      break;
    case Severity::kError:
      LOG(ERROR) << text_;
      break;
  }
}

LogLine& LogLine::With(std::string_view key, std::string_view value) {
  if (!text_.empty()) {
    text_ += ' ';
  }
  text_ += key;
  text_ += '=';
  AppendValue(text_, value);
  return *this;
}

void StartLogging(const char* program) {
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(program);
  // Logs a stack trace on a crash.
  google::InstallFailureSignalHandler();
}

}  // namespace rudderloom
