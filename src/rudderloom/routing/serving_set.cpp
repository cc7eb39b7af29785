#include "rudderloom/routing/serving_set.hpp"

#include <boost/container_hash/hash.hpp>  // for hash, hash_combine

namespace rudderloom {

namespace {
constexpr std::uint32_t kBuckets = 128;
}

std::vector<std::uint32_t> BuildAffinity(const std::vector<std::string>& names) {
  std::vector<std::uint32_t> table;
  if (names.empty()) {
    return table;
  }
  std::vector<std::size_t> hashes;
  hashes.reserve(names.size());
  for (const std::string& name : names) {
    hashes.push_back(boost::hash<std::string>{}(name));
  }
  table.reserve(kBuckets);
  for (std::uint32_t bucket = 0; bucket < kBuckets; ++bucket) {
    std::uint32_t best = 0;
    std::size_t best_weight = 0;
    for (std::uint32_t i = 0; i < hashes.size(); ++i) {
      std::size_t weight = hashes[i];
      boost::hash_combine(weight, bucket);
      if (weight >= best_weight) {
        best = i;
        best_weight = weight;
      }
    }
    table.push_back(best);
  }
  return table;
}

}  // namespace rudderloom
