#include "peers/crash_codec.hpp"

#include <algorithm>  // for copy

namespace rudderloom {

capnp::Data::Reader ToData(const RequestDigest& digest) {
  return {digest.bytes.data(), digest.bytes.size()};
}

std::optional<RequestDigest> ReadRequestDigest(capnp::Data::Reader in) {
  RequestDigest digest;
  if (in.size() != digest.bytes.size()) {
    return std::nullopt;
  }
  std::copy(in.begin(), in.end(), digest.bytes.begin());
  return digest;
}

void WriteNews(const CrashNews& news, rpc::CrashNews::Builder out) {
  auto crashes = out.initCrashes(news.crashes.size());
  unsigned index = 0;
  for (const RequestCrash& crash : news.crashes) {
    auto entry = crashes[index++];
    entry.setRequest(ToData(crash.request));
    entry.setEndpoint(crash.endpoint);
  }
  auto cleared = out.initCleared(news.cleared.size());
  index = 0;
  for (const RequestDigest& request : news.cleared) {
    cleared.set(index++, ToData(request));
  }
}

CrashNews ReadNews(rpc::CrashNews::Reader in) {
  CrashNews news;
  for (const auto entry : in.getCrashes()) {
    if (const auto request = ReadRequestDigest(entry.getRequest())) {
      news.crashes.insert({*request, entry.getEndpoint()});
    }
  }
  for (const auto cleared : in.getCleared()) {
    if (const auto request = ReadRequestDigest(cleared)) {
      news.cleared.insert(*request);
    }
  }
  return news;
}

}  // namespace rudderloom
