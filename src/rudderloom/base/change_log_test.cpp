#include "rudderloom/base/change_log.hpp"

#include <doctest/doctest.h>  // for TEST_CASE

#include <random>  // for mt19937

namespace rudderloom {
namespace {

using Log = ChangeLog<int>;
using Values = std::map<std::string, int>;

TEST_CASE("Since returns the complete set to an empty log and only the changes to a later one") {
  Log log;
  log.Replace({{"a", 0}, {"b", 0}}, 10);
  const Changes<int> whole = log.Since(0);
  CHECK(whole.whole);
  CHECK(whole.values.size() == 2);
  log.Put("a", 1);
  log.Erase("b");
  log.Reached(14);
  const Changes<int> changes = log.Since(10);
  CHECK_FALSE(changes.whole);
  CHECK(changes.values == std::vector<std::pair<std::string, int>>{{"a", 1}});
  CHECK(changes.gone == std::vector<std::string>{"b"});
  CHECK(changes.version == 14);
  CHECK(log.Since(14).values.empty());
  CHECK(log.Since(20).gone.empty());
}

TEST_CASE("a change without a version is returned at once, and again when it gets its version") {
  Log log;
  log.Replace({{"a", 0}}, 10);
  log.Put("a", 1);
  CHECK(log.Since(9).values.size() == 1);
  log.Reached(12);
  CHECK(log.Since(10).values.size() == 1);
  CHECK(log.Since(12).values.empty());
}

TEST_CASE("Apply ignores the changes of an older log") {
  Log holder;
  holder.Replace({{"a", 0}, {"b", 0}}, 10);
  Log node;
  node.Replace({{"a", 0}}, 12);
  CHECK_FALSE(node.Apply(holder.Since(0)));
  CHECK(node.Since(0).values.size() == 1);
  holder.Erase("b");
  holder.Reached(15);
  CHECK(node.Apply(holder.Since(12)));
  CHECK(node.Version() == 15);
}

TEST_CASE("Since returns the complete set when too many removals were missed") {
  Log log;
  log.Replace({{"stays", 0}}, 1);
  std::uint64_t version = 1;
  for (int i = 0; i < 400; ++i) {
    log.Put("i" + std::to_string(i), i);
    log.Reached(++version);
    log.Erase("i" + std::to_string(i));
    log.Reached(++version);
  }
  CHECK(log.Since(2).whole);
  CHECK_FALSE(log.Since(790).whole);
  CHECK(log.Since(790).gone.size() == 6);
}

// Nodes that follow a holder, the store or both must converge to the store's values.
TEST_CASE("a log that alternates between the store and another log converges to the store") {
  for (unsigned seed = 1; seed <= 200; ++seed) {
    std::mt19937 random(seed);
    Values store;
    std::uint64_t version = 1;
    Log holder;
    Log node;
    for (int step = 0; step < 60; ++step) {
      const std::string key = "i" + std::to_string(random() % 6);
      ++version;
      if (random() % 3 == 0) {
        store.erase(key);
      } else {
        store[key] = static_cast<int>(version);
      }
      switch (random() % 4) {
        case 0:
          holder.Replace(store, version);
          break;
        case 1:
          node.Replace(store, version);
          break;
        case 2:
          node.Apply(holder.Since(node.Version()));
          break;
        default:
          break;
      }
    }
    holder.Replace(store, ++version);
    node.Apply(holder.Since(node.Version()));
    CHECK(node.Version() == version);
    const Changes<int> all = node.Since(0);
    CHECK(Values(all.values.begin(), all.values.end()) == store);
  }
}

// The same with a holder that receives each change individually.
TEST_CASE("a log that misses updates at random converges to its source") {
  for (unsigned seed = 1; seed <= 200; ++seed) {
    std::mt19937 random(seed);
    Log holder;
    holder.Replace({}, 1);
    Log node;
    Values values;
    for (int version = 2; version < 80; ++version) {
      const std::string key = "i" + std::to_string(random() % 6);
      if (random() % 3 == 0) {
        values.erase(key);
        holder.Erase(key);
      } else {
        values[key] = version;
        holder.Put(key, version);
      }
      const bool applied_before_version_known = random() % 4 == 0;
      if (applied_before_version_known) {
        node.Apply(holder.Since(node.Version()));
      }
      holder.Reached(static_cast<std::uint64_t>(version));
      if (random() % 5 == 0) {
        node.Apply(holder.Since(node.Version()));
      }
    }
    holder.Reached(100);
    node.Apply(holder.Since(node.Version()));
    const Changes<int> all = node.Since(0);
    CHECK(Values(all.values.begin(), all.values.end()) == values);
  }
}

}  // namespace
}  // namespace rudderloom
