// A controller: everything that a node of the cluster does, as a state machine. Its driver passes
// in inputs with their time (requests, responses, peer messages, ticks) and carries out the effects
// that take() returns.
#pragma once
#include <memory>

#include "api/job_api.hpp"
#include "cancellation/cancellation_log.hpp"
#include "core/task_count_requests.hpp"
#include "election/leader_election.hpp"
#include "leader/leader.hpp"
#include "membership/request_ids.hpp"
#include "recovery/state_recovery.hpp"
#include "relay/relay.hpp"

namespace hitchfront::core {

// Where workers post their heartbeats (PROTOCOL).
inline constexpr std::string_view kHeartbeatPath = "/agent/beat";

class Controller : private ElectionEnvironment,
                   private FeatureLevelObserver,
                   private LeaderEnvironment,
                   private JobApiHost {
 public:
  // `seed`: of all random delays and choices. `support`: the feature levels of the stored state
  // that this program reads and writes.
  Controller(settings::Platform platform, std::uint64_t seed,
             settings::OperatorSettings operator_settings = {},
             feature_level::Support support = {});

  // `wall_ms`, here and below: time of day in milliseconds since the epoch.
  void start(Ms now, std::int64_t wall_ms);
  // An HTTP request of a user or a worker; the HttpReply with the same id may follow later.
  void request(Ms now, std::int64_t wall_ms, std::uint64_t request, Method method,
               std::string_view path, std::string_view body);
  // The response to the HttpCall with the id `call`; status 0: there was none.
  void response(Ms now, std::uint64_t call, int status, std::string_view body);
  void peer_message(Ms now, const std::string& node, std::string_view bytes);
  void tick(Ms now, std::int64_t wall_ms);  // each kTickIntervalMs
  // Set while the number of open connections is close to its limit and workers' connections are
  // closed after each response. A deferred response keeps its connection open, so none is deferred
  // meanwhile.
  void set_near_connection_limit(bool on);
  bool near_connection_limit() const { return near_connection_limit_; }

  // Whether policies are waiting to be replayed, which replay() does in slices between inputs.
  bool wants_replay() const { return leader_ && leader_->wants_replay(); }
  // Replays until `steps` steps are done or the selection is complete; returns the steps done.
  std::uint64_t replay(Ms now, std::uint64_t steps) {
    return leader_ ? leader_->replay(now, steps) : 0;
  }
  // Replay steps per millisecond of CPU time, as measured by the driver.
  void set_step_rate(double steps_per_ms);
  // Of the current leader: machines and tasks that placement has examined, and heartbeats
  // processed. Zero while not leading.
  std::pair<std::uint64_t, std::uint64_t> work_counters() const;

  // Returns the effects of the inputs since the last call.
  Effects take();
  // The page at `path` of the peer listener (/metrics). Empty: there is no such page.
  std::string page(Ms now, std::string_view path);
  // Counts lines written to the log.
  void count_log_lines(std::size_t lines) {
    outbox_.metrics().add(telemetry::Count::log_lines, static_cast<double>(lines));
  }
  bool leading() const { return election_.leading(); }
  const wire::FeatureLevel& level() const { return feature_levels_.level(); }
  bool serving() const { return feature_levels_.serving(); }

 private:
  // `deadline`: when the heartbeat is refused unless a leader has responded to it.
  void process_heartbeat(Ms now, std::uint64_t request, std::string_view body, Ms deadline);
  void retry_pending_heartbeats(Ms now);
  void send_replica(const std::string& node, std::uint64_t round);
  void send_task_counts(const std::string& node, const wire::PeerMessage& request);
  // Starts the election and fetches the machine types. Has an effect on the first call only.
  void start_serving(Ms now);
  void fetch_types(Ms now);
  void apply_types(Ms now, std::vector<wire::MachineType> types);
  void read_stored_types(Ms now);
  // By the leader, unless they are stored already under the key of the active feature level.
  void store_types(Ms now);
  // JobApiHost
  void request_task_counts(Ms now, const std::string& job, OnTaskCounts on_counts) override;
  bool may_report_unknown(Ms now) const override;
  bool may_accept(Ms now) const override;
  bool may_acknowledge_cancellation(Ms now, const std::string& job) const override;
  bool supports_dependencies() const override;
  void on_record_read(const std::string& key, std::uint64_t stamp) override;
  void publish(const recovery::StateReplica& published) override;
  void report_data_loss_evidence(Ms now) override;

  settings::Platform platform_;
  settings::OperatorSettings operator_settings_;
  const std::uint64_t process_;  // random identifier of this process
  membership::RequestIds request_ids_;
  Outbox outbox_;
  StoreClient store_;
  FeatureLevelGate feature_levels_;
  ReplicaSync replica_sync_;
  cancellation::CancellationLog cancellation_log_;  // cancellations known here, from any source
  cancellation::ReplicationTracker replication_tracker_;
  // All unfinished jobs stored by this instant have been read; empty: none read since the start.
  std::optional<Ms> jobs_read_as_of_;
  LeaderElection election_;
  JobApi job_api_;
  Relay relay_;
  Ms next_peer_heartbeat_ = 0, next_job_refresh_ = 0;
  bool started_serving_ = false;
  // A worker's heartbeat that arrived while there was no leader.
  struct PendingHeartbeat {
    std::uint64_t request = 0;
    std::string body;
    Ms deadline = 0;
  };
  std::vector<PendingHeartbeat> pending_heartbeats_;
  bool near_connection_limit_ = false;
  std::unique_ptr<Leader> leader_;
  std::unique_ptr<StateRecovery> recovery_, former_recovery_;
  // Destroyed, like the former recovery, at the next tick: it may still be on the call stack.
  std::unique_ptr<Leader> former_leader_;
  std::mt19937_64 random_;
  Ms now_ = 0;  // of the latest input
  std::int64_t wall_minus_steady_ = 0;
  double replay_steps_per_ms_ = 2000;
  std::vector<wire::MachineType> types_;
  std::string stored_types_text_;         // as stored in this term
  std::uint32_t stored_types_level_ = 0;  // under which feature level; 0: not stored in this term
  Ms next_types_fetch_ = 0, next_types_store_ = 0;
  bool fetching_types_ = false, storing_types_ = false;

  // ElectionEnvironment.
  void on_leadership_gained(Ms now) override;
  void on_leadership_lost(Ms now) override;
  void on_stale_term_stored(Ms now) override;
  Ms cancellations_known_until() const override;
  bool ignores_data_loss(const std::string& node) const override;
  bool heard_from_all_peers(Ms now) const override;
  // FeatureLevelObserver.
  void on_ready_to_serve(Ms now) override;
  void on_unsupported_level(Ms now) override;
  void on_data_loss(Ms now) override;
  void on_data_recovered(Ms now) override;
  void on_peer_process_started(const std::string& node) override;
  // LeaderEnvironment.
  bool is_cancelled(const std::string& job) const override {
    return cancellation_log_.contains(job);
  }
  std::optional<wire::JobOutcome> outcome_of(const std::string& job) const override;
  void on_jobs_read(Ms requested_at) override;
  void on_launch_watermark_stored(const wire::UnfinishedJob& record) override;
  std::size_t values_in_other_formats() const override;
  void log_fencing(Ms now);
  Ms fenced_since_ = 0;  // 0: not fenced
  void on_abstention_request(Ms now, const std::string& node, const wire::PeerMessage& request);
  void on_abstention(Ms now, const std::string& node, const wire::PeerMessage& response);
  wire::PeerMessage peer_heartbeat() const;
  void update_write_demand(Ms now);
  // Whether neither the store nor any other controller is reachable, so that workers and users
  // should use another node.
  bool is_isolated(Ms now) const;
  // Store writes per second that another controller needs, as of its last peer heartbeat.
  struct WriteDemand {
    Ms at = 0;
    double writes_per_s = 0;
  };
  std::unordered_map<std::string, WriteDemand> peer_write_demands_;  // by node
  TaskCountRequests task_count_requests_;
  std::string exposition_;
  Ms exposition_built_at_ = 0;
};

}  // namespace hitchfront::core
