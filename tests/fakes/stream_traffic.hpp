// Streams that begin at nodes of a simulated fleet and that their clients take up at others.
#ifndef RUDDERLOOM_TESTS_FAKES_STREAM_TRAFFIC_HPP
#define RUDDERLOOM_TESTS_FAKES_STREAM_TRAFFIC_HPP

#include <map>       // for map
#include <memory>    // for unique_ptr
#include <optional>  // for optional
#include <random>    // for mt19937
#include <set>       // for set
#include <string>    // for string
#include <vector>    // for vector

#include "fakes/fleet_world.hpp"                            // for FleetWorld
#include "rudderloom/stream_versions/start_batch.hpp"       // for StartBatch
#include "rudderloom/stream_versions/version_decision.hpp"  // for StreamInquiry

namespace rudderloom::fakes {

/// @brief A stream, and what became of it when its client took it up.
struct TakenStream {
  std::string began_as;
  std::string version;  ///< At which it began.
  int began_at = 0;
  int began_node = 0;
  int next_try_at = 0;
  int tries = 0;
  bool trying = false;
  bool ended = false;
  bool decided_right = false;
  bool counts = false;  ///< Its version served and the asked node was not cut off.
};

/// @brief Does for each node what request handling and the daemon do with starts of streams.
class StreamTraffic {
 public:
  StreamTraffic(FleetWorld& world, unsigned seed);

  /// @brief Advances the world and the traffic; new streams begin unless `begins` is false.
  void Play(int milliseconds, bool begins = true);

  /// @brief Starts an endpoint of a version.
  void StartEndpoint(const std::string& instance, const std::string& version);
  /// @brief Announces that an endpoint leaves; its requests go on.
  void LeaveEndpoint(const std::string& instance);
  void EndEndpoint(const std::string& instance);

  /// @brief Restores the store as it was `age` milliseconds ago.
  void RestoreStore(int age, int replay_delay_ms);

  const std::vector<TakenStream>& Streams() const { return streams_; }
  /// @brief Returns a description of each stream that was decided at another version.
  const std::vector<std::string>& Wrong() const { return wrong_; }

 private:
  // What a process of a node keeps.
  struct Process {
    int generation = 0;
    VersionBook own_streams;
    KeptStarts kept;
    std::vector<std::string> standbys;
    VersionsByService versions;
    bool knows_history = false;
    FleetViewPtr view;
    int saver_runs_at = 0;
    std::optional<std::uint64_t> loaded_epoch;
    int read_at = -60'000;
    int unconfirmed_at = -60'000;
    StartBatch pending;
    std::uint64_t last_number = 0;
  };

  // A stream whose first event waits for the lease holder's confirmation of its start.
  struct Start {
    TakenStream stream;
    int generation = 0;  // of the node's process
    int pause = 0;       // until its client takes it up
    std::uint32_t attempt = 0;
  };

  // A client's try to take a stream up at a node.
  struct Try {
    std::size_t stream = 0;
    int node = 0;
    int generation = 0;
    int until = 0;
    int next_at = 0;
    bool between_passes = true;
    bool last = false;  // This pass is the last one.
    std::vector<std::string> keepers;
    StreamInquiry inquiry;
    bool node_was_cut = false;
    bool ended = false;
  };

  struct SavedBatch {
    int saved_at = 0;
    StartBatch batch;
  };

  Process& ProcessOf(int node);
  bool Usable(int node);
  std::optional<int> RandomNode();
  std::vector<std::string> Keepers(int node);
  void Report(int node, const StreamStarts& starts);
  void Follow(int node);
  void ObserveView(int node);
  void RunSaver(int node);
  void Load(Process& process);
  void Save(int node, Process& process);
  void RecordStart(int node, const StreamStart& start);
  void Begin();
  std::optional<EndpointRecord> ChooseEndpoint(int node);
  std::set<std::string> ServingSettledVersions(int node);
  bool NeedsConfirmation(int node, const std::string& version);
  bool Confirms(const Start& start);
  bool GivesUp(const Start& start);
  void AdvanceStarts();
  void AddStream(const Start& start);
  void StartTries();
  void StartTry(std::size_t stream);
  void Advance(Try& attempt);
  void BeginPass(Try& attempt);
  void AddSavedStart(Try& attempt);
  void EndPass(Try& attempt);
  std::optional<StreamAnswer> Ask(const Try& attempt, const std::string& keeper);
  void Decide(Try& attempt, const VersionDecision& decision);
  void EndTry(Try& attempt, bool decided, bool right);
  bool IsWrong(const Try& attempt, const VersionDecision& decision);
  std::string Describe(const Try& attempt, const VersionDecision& decision) const;
  bool IsCut(int node) const;
  bool Serves(int node, const std::string& version);

  FleetWorld& world_;
  std::mt19937 random_;
  std::vector<std::unique_ptr<Process>> processes_;
  std::map<std::string, std::string> running_;  // versions of the endpoints that run
  std::vector<SavedBatch> saved_;
  std::vector<TakenStream> streams_;
  std::vector<Try> tries_;
  std::vector<Start> starts_;
  int begun_ = 0;
  std::vector<std::string> wrong_;
};

}  // namespace rudderloom::fakes

#endif
