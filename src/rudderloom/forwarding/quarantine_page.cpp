#include "forwarding/quarantine_page.hpp"

#include <boost/json.hpp>  // for object
#include <string_view>     // for string_view

namespace rudderloom {

namespace json = boost::json;

namespace {

constexpr std::string_view kPagePath = "/quarantine";
constexpr unsigned kAccepted = 202;
constexpr unsigned kBadRequest = 400;
constexpr unsigned kNotFound = 404;

json::array DigestTexts(const std::set<RequestDigest>& requests) {
  json::array texts;
  for (const RequestDigest& request : requests) {
    texts.emplace_back(TextOf(request));
  }
  return texts;
}

// Ids of the parts of prompts that are listed, by digest.
json::object PromptParts(const QuarantineList& list) {
  json::object parts;
  for (const auto* digests : {&list.quarantined, &list.suspects}) {
    for (const RequestDigest& digest : *digests) {
      if (const auto part = PromptPartOf(digest)) {
        parts[TextOf(digest)] = *part;
      }
    }
  }
  return parts;
}

QuarantineAnswer ErrorAnswer(unsigned status, std::string_view error) {
  QuarantineAnswer answer;
  answer.reply.status = status;
  answer.reply.body = json::serialize(json::object{{"error", error}});
  return answer;
}

QuarantineAnswer Clear(std::string_view text, const QuarantineList& list) {
  const auto digest = RequestDigestFromText(text);
  if (!digest) {
    return ErrorAnswer(kBadRequest, "not a request's digest: 32 hexadecimal digits, as listed");
  }
  if (!list.quarantined.contains(*digest) && !list.suspects.contains(*digest)) {
    return ErrorAnswer(kNotFound, "this node knows of no such request");
  }
  QuarantineAnswer answer;
  answer.reply.status = kAccepted;
  answer.reply.body = json::serialize(json::object{{"cleared", text}});
  answer.cleared = digest;
  return answer;
}

}  // namespace

std::optional<QuarantineAnswer> AnswerQuarantinePage(const HttpRequest& request,
                                                     const QuarantineListPtr& list) {
  const auto target = request.target();
  std::string_view path(target.data(), target.size());
  if (!path.starts_with(kPagePath)) {
    return std::nullopt;
  }
  path.remove_prefix(kPagePath.size());
  const QuarantineList known = list ? *list : QuarantineList();
  if (request.method() == http::verb::get && path.empty()) {
    QuarantineAnswer answer;
    answer.reply.body =
        json::serialize(json::object{{"quarantined", DigestTexts(known.quarantined)},
                                     {"suspects", DigestTexts(known.suspects)},
                                     {"prompt_parts", PromptParts(known)}});
    return answer;
  }
  if (request.method() == http::verb::delete_ && path.starts_with('/')) {
    return Clear(path.substr(1), known);
  }
  return ErrorAnswer(kNotFound, "GET /quarantine, or DELETE /quarantine/DIGEST");
}

}  // namespace rudderloom
