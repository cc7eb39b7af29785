#include "rudderloom/callers/request_info.hpp"

#include <algorithm>                      // for all_of, min
#include <boost/container_hash/hash.hpp>  // for hash
#include <cstdio>                         // for snprintf
#include <random>                         // for random_device, mt19937_64

namespace rudderloom {

namespace {

constexpr std::size_t kMaxIdLength = 128;

std::string HeaderValue(const HttpRequest& request, std::string_view name) {
  const auto found = request.find(beast::string_view(name.data(), name.size()));
  return found == request.end() ? std::string() : std::string(found->value());
}

bool IsUsableId(const std::string& id) {
  return !id.empty() && id.size() <= kMaxIdLength &&
         std::all_of(id.begin(), id.end(), [](char c) { return c > ' ' && c < '\x7f'; });
}

// Fair sharing needs an identity per caller: the one that the load balancer sets in X-Caller,
// otherwise a hash of the credential.
std::string IdentifyCaller(const HttpRequest& request) {
  std::string caller = HeaderValue(request, header::kCaller);
  if (!caller.empty()) {
    return caller;
  }
  const std::string credential = HeaderValue(request, "Authorization");
  if (credential.empty()) {
    return "anonymous";
  }
  return "credential-" + std::to_string(boost::hash<std::string>{}(credential));
}

Refusal InvalidHeader(std::string_view name,
                      const std::string& value,
                      const std::string& expectation) {
  Refusal refusal;
  refusal.reason = RefusalReason::kInvalidHeader;
  refusal.detail = std::string(name) + ": \"" + value + "\" is not " + expectation;
  return refusal;
}

}  // namespace

std::string GetRequestId(const HttpRequest& request) {
  std::string id = HeaderValue(request, header::kRequestId);
  if (IsUsableId(id)) {
    return id;
  }
  thread_local std::mt19937_64 random(std::random_device{}());
  char text[17];
  std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(random()));
  return text;
}

std::variant<RequestInfo, Refusal> ReadRequestInfo(const HttpRequest& request,
                                                   std::string request_id,
                                                   const Configuration& configuration,
                                                   const DeadlineSettings& settings,
                                                   TimePoint now,
                                                   std::int64_t unix_seconds) {
  RequestInfo info;
  info.request_id = std::move(request_id);
  info.caller = IdentifyCaller(request);
  info.idempotency_key = HeaderValue(request, header::kIdempotencyKey);
  if (info.idempotency_key.size() > kMaxIdLength) {
    return InvalidHeader(header::kIdempotencyKey, info.idempotency_key, "at most 128 characters");
  }
  info.retried_before = HeaderValue(request, header::kRetry) == "1";
  info.arrived = now;
  Duration timeout = settings.usual;
  const std::string kind = HeaderValue(request, header::kKind);
  if (!kind.empty()) {
    const auto declared = configuration.catalog.kinds.find(kind);
    if (declared == configuration.catalog.kinds.end()) {
      return InvalidHeader(header::kKind, kind, "a declared kind of request");
    }
    timeout = declared->second.deadline;
    info.priority = configuration.catalog.PriorityOf(kind, unix_seconds);
  }
  const std::string timeout_value = HeaderValue(request, header::kTimeout);
  if (!timeout_value.empty()) {
    const auto parsed = ParseDuration(timeout_value);
    if (!parsed || parsed->count() == 0) {
      return InvalidHeader(header::kTimeout, timeout_value, "a time such as 1500ms or 30s");
    }
    timeout = *parsed;
  }
  info.deadline = now + std::min(timeout, settings.longest);
  return info;
}

}  // namespace rudderloom
