/// @file
/// Saves the starts of streams in the platform's store, so that streams go on after all nodes have
/// restarted.
#ifndef RUDDERLOOM_STREAM_VERSIONS_START_SAVER_HPP
#define RUDDERLOOM_STREAM_VERSIONS_START_SAVER_HPP

#include <cstdint>     // for uint64_t
#include <functional>  // for function
#include <optional>    // for optional
#include <set>         // for set
#include <string>      // for string

#include "rudderloom/http/asio.hpp"                    // for Awaitable
#include "rudderloom/store/object_store.hpp"           // for ObjectStore
#include "rudderloom/stream_versions/kept_starts.hpp"  // for KeptStarts
#include "rudderloom/stream_versions/start_batch.hpp"  // for StartBatch
#include "rudderloom/telemetry/metrics.hpp"            // for Metrics

namespace rudderloom {

/// @brief While this node holds the lease, saves new starts several times a second, in a fixed
/// number of objects that are overwritten in turn. Reads them when it has taken the lease.
/// @ingroup stream_versions
class StartSaver {
 public:
  /// @param kind Kind of the objects in the store.
  StartSaver(asio::io_context& context,
             ObjectStore& store,
             std::string kind,
             KeptStarts& starts,
             Metrics& metrics);

  /// @brief Runs until the context is destroyed.
  void Start();

  /// @brief Reads what is saved, if that was not done lately, and calls `done` with what this node
  /// knows then. For a node that finds no lease holder to ask. Called on the context's thread.
  void Find(const StreamQuery& query, std::function<void(StreamAnswer)> done);

 private:
  Awaitable<void> Run();
  Awaitable<bool> Load();
  Awaitable<void> ReadIfDue();
  Awaitable<bool> Save();
  Awaitable<bool> Write(StoredObject object);
  void OnError(const StoreError& error);

  asio::io_context& context_;
  ObjectStore& store_;
  std::string kind_;
  KeptStarts& starts_;
  Metrics& metrics_;
  std::optional<std::uint64_t> loaded_epoch_;  // of the lease under which all was read last
  TimePoint read_at_;
  bool reading_ = false;
  StartBatch pending_;  // of which the write has not succeeded yet
  std::uint64_t last_number_ = 0;
  std::set<std::string> objects_;  // that exist in the store
};

}  // namespace rudderloom

#endif
