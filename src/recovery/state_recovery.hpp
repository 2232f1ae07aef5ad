// Recovers the stored state after a data loss, on the leader. docs/rebuild.md compares the
// alternatives.
//
// The leader requests the other controllers' replicas of the state and reads what is still stored.
// Whatever is missing or outdated in the store becomes a RecoveryPlan (recovery/recovery_plan.hpp).
// It then writes the feature level that permits the planned values, the plan, and last the next
// generation of the state, upon which all controllers resume service. Every step can be repeated; a
// leader that takes over in between starts from the beginning.
//
// Runs on the core's thread. Store callbacks are skipped once this object has been destroyed.
#pragma once
#include "feature_level/feature_level_gate.hpp"
#include "recovery/recovery_plan.hpp"
#include "recovery/replica_gathering.hpp"
#include "recovery/replica_sync.hpp"
#include "wire/peer.hpp"

namespace hitchfront::core {

class StateRecovery {
 public:
  using OnDone = std::function<void(Ms now)>;
  // `term` and `leader_version` (of the key `leader`) identify this node's leadership: every write
  // is conditional on that version. `on_done` is called once the state is recovered; it must not
  // destroy this object. The references must outlive this object, except for `own_replica`.
  StateRecovery(Outbox& outbox, StoreClient& store, FeatureLevelGate& feature_levels,
                const recovery::StateReplica& own_replica, const settings::Platform& platform,
                std::uint64_t term, std::uint64_t leader_version, OnDone on_done);

  void start(Ms now);
  // Called every kTickIntervalMs until the recovery is done.
  void tick(Ms now);
  // Handles a message of kind replica_part from `node`. Parts of another recovery are ignored.
  void on_replica_part(Ms now, const std::string& node, const wire::PeerMessage& part);
  // Sets a callback for unfinished jobs that another controller's replica or the store has as
  // cancelled. It may be called repeatedly for a job.
  void on_cancelled(std::function<void(const std::string& job)> callback) {
    merged_.on_cancelled = std::move(callback);
  }
  // Called when this controller cannot complete the recovery. It should then resign, so that
  // another leader starts over.
  std::function<void(Ms now)> on_abandoned;

 private:
  enum class Phase : std::uint8_t {
    gathering,  // collecting replicas and reading what is still stored
    preparing,  // writing the feature level under which the plan is written
    writing,    // writing the plan and then the next generation
  };

  // --- gathering ---
  void gather(Ms now);
  void request_replicas();
  bool waits_for_replica(Ms now, const std::string& node) const;
  bool waits_for_any_replica(Ms now) const;
  bool detects_data_loss(const std::string& node) const;
  void load_stored(Ms now, std::size_t prefix_index, const std::string& after);
  void merge_stored(const wire::Item& item);
  bool watermarks_may_be_stale() const;
  void make_plan(Ms now);

  // --- writing ---
  void write(Ms now);
  void prepare_level(Ms now);
  void write_batch(Ms now);
  void on_batch_written(Ms now, const std::vector<recovery::PlannedWrite>& batch,
                        std::uint64_t revision);
  void on_batch_refused(Ms now, int status, std::string_view body);
  void finish(Ms now);
  void put_level(Ms now, const wire::FeatureLevel& level, OnDone on_done);
  bool abandon_if_unresolvable(Ms now, int status, std::string_view body);

  // Wraps a callback so that it is skipped once this object has been destroyed.
  template <class F>
  ResponseCallback while_exists(F callback) {
    return while_alive(alive_, std::move(callback));
  }

  Outbox& outbox_;
  StoreClient& store_;
  FeatureLevelGate& feature_levels_;
  const settings::Platform& platform_;
  const std::uint64_t term_, leader_version_;
  OnDone on_done_;
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);

  Phase phase_ = Phase::gathering;
  recovery::StateReplica merged_;         // own replica, received replicas and stored values
  recovery::ReplicaGathering gathering_;  // of the other controllers
  recovery::StoredValues stored_;         // by this object's reads and writes
  bool stored_loaded_ = false;            // all of kLoadedPrefixes has been read
  recovery::RecoveryPlan plan_;
  Ms started_at_ = 0;
  Ms retry_at_ = 0;              // next replica requests, or next write
  bool commit_pending_ = false;  // a transaction is in progress
  std::size_t written_count_ = 0;
  std::size_t consecutive_conflicts_ = 0;
};

}  // namespace hitchfront::core
