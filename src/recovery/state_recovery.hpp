// Recovers the stored state after a data loss, on the controller that leads. docs/rebuild.md has
// the ways weighed.
//
// First it gathers: asks the other controllers for their replicas of the state, and reads what is
// still stored. What of that is missing in the store, or older there, becomes a RecoveryPlan
// (recovery/recovery_plan.hpp). Then it writes: the feature level that admits the values to come,
// the plan, and last the next generation of the state, by which every controller serves again.
// Every step may be repeated, and whoever takes over in between begins anew.
//
// Everything runs on the core's thread; callbacks of the store come only while this object exists.
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
  // `own`: this node's replica. `term` and `leader_version` are of this node's leadership: every
  // write is conditioned on it. `done`: the state is recovered, and this object may be retired.
  StateRecovery(Outbox& out, StoreClient& store, FeatureLevelGate& feature_levels,
                const recovery::StateReplica& own, const settings::Platform& platform,
                std::uint64_t term, std::uint64_t leader_version, OnDone done);

  void start(Ms now);
  void tick(Ms now);  // each kTickIntervalMs until it is done
  // A part of the replica of `node`: a message of kind replica_part.
  void on_replica_part(Ms now, const std::string& node, const wire::PeerMessage& part);
  // Is called with each job that any replica, or the store, has as cancelled.
  void on_cancelled(std::function<void(const std::string& job)> callback) {
    merged_.on_cancelled = std::move(callback);
  }
  // This controller can't complete the recovery: another is to lead, and begins anew.
  std::function<void(Ms now)> on_abandoned;

 private:
  enum class Phase : std::uint8_t {
    gathering,  // replicas and what is still stored
    opening,    // writing the feature level under which the plan is written
    writing,    // the plan, and then the next generation
  };

  // Gathering.
  void gather(Ms now);
  void request_replicas();
  bool waits_for_replica(Ms now, const std::string& node) const;
  bool waits_for_any_replica(Ms now) const;
  bool detects_data_loss(const std::string& node) const;
  void load_stored(Ms now, std::size_t prefix, const std::string& after);
  void merge_stored(const wire::Item& item);
  bool watermarks_may_be_behind() const;
  void make_plan(Ms now);

  // Writing.
  void write(Ms now);
  void open(Ms now);
  void write_batch(Ms now);
  void on_batch_written(Ms now, const std::vector<recovery::PlannedWrite>& batch,
                        std::uint64_t revision);
  void on_batch_refused(Ms now, int status, std::string_view body);
  void finish(Ms now);
  void put_level(Ms now, const wire::FeatureLevel& level, OnDone done);
  bool abandon_if_hopeless(Ms now, int status, std::string_view body);

  // Continues only while this object exists.
  template <class F>
  ResponseCallback while_exists(F f) {
    return while_alive(alive_, std::move(f));
  }

  Outbox& out_;
  StoreClient& store_;
  FeatureLevelGate& feature_levels_;
  const settings::Platform& platform_;
  const std::uint64_t term_, leader_version_;
  OnDone done_;
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);

  Phase phase_ = Phase::gathering;
  recovery::StateReplica merged_;         // all replicas, and what is stored
  recovery::ReplicaGathering gathering_;  // of the other controllers
  recovery::StoredValues stored_;         // what the store holds, by this object's readings
  bool stored_loaded_ = false;            // and all of it has been read
  recovery::RecoveryPlan plan_;
  Ms started_at_ = 0;
  Ms retry_at_ = 0;                   // when to ask, or to write, again
  bool commit_open_ = false;          // a transaction's answer is awaited
  std::size_t written_ = 0;           // writes that are stored
  std::size_t refused_in_a_row_ = 0;  // transactions
};

}  // namespace hitchfront::core
