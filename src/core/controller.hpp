// One controller: everything a node does, as a state machine. Time, randomness and replay budget
// come in; effects go out.
#pragma once
#include <memory>

#include "api/job_api.hpp"
#include "cancellation/cancellation_log.hpp"
#include "election/leader_election.hpp"
#include "leader/leader.hpp"
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
  // `support`: the levels of the stored state that this program reads and writes.
  Controller(settings::Platform platform, std::uint64_t seed, settings::Operator op = {},
             feature_level::Support support = {});

  void start(Ms now, std::int64_t wall_ms);
  void request(Ms now, std::int64_t wall_ms, std::uint64_t request, Method method,
               std::string_view path, std::string_view body);
  void response(Ms now, std::uint64_t call, int status, std::string_view body);
  void peer(Ms now, const std::string& node, std::string_view bytes);
  void tick(Ms now, std::int64_t wall_ms);
  // Whether workers' connections are closed after each response because there are too many. A
  // heartbeat that is held back keeps one open, so that none is held meanwhile.
  void set_connections_short(bool on);
  bool connections_short() const { return connections_short_; }

  bool wants_replay() const { return leader_ && leader_->wants_replay(); }
  std::uint64_t replay(Ms now, std::uint64_t steps) {
    return leader_ ? leader_->replay(now, steps) : 0;
  }
  // Measured by whoever drives the core: replay steps in a millisecond of processor time.
  void set_step_rate(double steps_per_ms);
  // While leading: machines and tasks that placement has looked at, and reports taken.
  std::pair<std::uint64_t, std::uint64_t> cost() const;

  Effects take();
  // GET on the peers' side: /metrics. Empty: no such page.
  std::string page(Ms now, std::string_view path);
  void logged(std::size_t lines) {
    out_.metrics().add(telemetry::Count::log_lines, static_cast<double>(lines));
  }
  bool leading() const { return election_.leading(); }
  const wire::FeatureLevel& level() const { return feature_levels_.level(); }
  bool serving() const { return feature_levels_.serving(); }

 private:
  // `until`: when the heartbeat is refused if there is no leader to answer it.
  void heartbeat(Ms now, std::uint64_t request, std::string_view body, Ms until);
  void retry_parked(Ms now);
  void send_replica(const std::string& node, std::uint64_t round);
  void begin(Ms now);  // once this process may serve
  void fetch_types(Ms now);
  void use_types(Ms now, std::vector<wire::MachineType> types);
  void read_types(Ms now);   // from the store
  void store_types(Ms now);  // by the leader, where they don't stand there as they should
  // JobApiHost
  void request_task_counts(Ms now, const std::string& id, OnTaskCounts done) override;
  bool may_report_unknown(Ms now) const override;
  bool may_accept(Ms now) const override;
  bool may_acknowledge_cancellation(Ms now, const std::string& job) const override;
  bool supports_dependencies() const override;
  void on_record_read(const std::string& key, std::uint64_t stamp) override;
  void publish(const recovery::StateReplica& published) override;
  void report_data_loss_evidence(Ms now) override;

  settings::Platform platform_;
  settings::Operator operator_;
  Outbox out_;
  StoreClient store_;
  FeatureLevelGate feature_levels_;
  ReplicaSync replica_sync_;
  cancellation::CancellationLog cancellation_log_;  // known here, by whatever way
  cancellation::ReplicationTracker replication_tracker_;
  std::optional<Ms> read_all_;  // everything that the store held then is known here
  LeaderElection election_;
  JobApi job_api_;
  Relay relay_;
  Ms next_peer_heartbeat_ = 0, next_refresh_ = 0;
  bool begun_ = false;
  // workers' heartbeats that came while nobody led.
  struct Parked {
    std::uint64_t request = 0;
    std::string body;
    Ms until = 0;
  };
  std::vector<Parked> parked_;
  bool connections_short_ = false;
  std::unique_ptr<Leader> leader_;
  std::unique_ptr<StateRecovery> recovery_, past_recovery_;
  std::unique_ptr<Leader> retired_;  // dropped at the next tick: it may be on the call stack
  std::mt19937_64 random_;
  Ms now_ = 0;  // of the newest input
  std::int64_t wall_minus_steady_ = 0;
  double step_rate_ = 2000;
  std::vector<wire::MachineType> types_;
  std::string types_text_;        // as stored in this term
  std::uint32_t types_form_ = 0;  // and under which level; 0: not stored in this term
  Ms next_types_ = 0, store_types_at_ = 0;
  bool fetching_types_ = false, storing_types_ = false;

  struct Asked {
    Ms until = 0;
    std::vector<std::string> ids;
    std::vector<OnTaskCounts> done;
  };
  void send_asked();
  // ElectionEnvironment.
  void on_leadership_gained(Ms now) override;
  void on_leadership_lost(Ms now) override;
  void on_stale_term_stored(Ms now) override;
  Ms cancellations_known_until() const override;
  bool ignores_data_loss(const std::string& node) const override;
  bool heard_all_peers(Ms now) const override;
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
  void on_jobs_read(Ms asked) override;
  void on_launch_watermark_stored(const wire::UnfinishedJob& record) override;
  std::size_t values_in_other_forms() const override;
  void log_fencing(Ms now);
  Ms fenced_since_ = 0;  // 0: it is not
  void on_abstention_request(Ms now, const std::string& node, const wire::PeerMessage& m);
  void on_abstention(Ms now, const std::string& node, const wire::PeerMessage& m);
  wire::PeerMessage peer_heartbeat() const;
  void share_writes(Ms now);
  // Neither the state service nor another controller has been heard for a while: whoever asks is
  // better served elsewhere.
  bool alone(Ms now) const;
  struct Need {
    Ms at = 0;
    double writes_per_s = 0;
  };
  std::unordered_map<std::string, Need> needs_;  // of the other controllers, as they last said
  Asked asking_;                                 // by this input
  std::unordered_map<std::uint64_t, Asked> asked_;
  std::uint64_t next_ask_ = 1;
  std::string exposition_;
  Ms exposed_at_ = 0;
};

}  // namespace hitchfront::core
