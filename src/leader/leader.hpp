// What the leading controller does in its term: takes workers' heartbeats, decides by the chosen
// policy which task goes where, rents and returns machines, and stores progress.
//
// A task is counted as possibly on a machine from the moment its launch goes into an answer until
// it is proved gone; docs/safety.md has the argument.
#pragma once
#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <tuple>
#include <unordered_set>

#include "allocation/allocation_log.hpp"
#include "dependencies/graph.hpp"
#include "election/leader_election.hpp"
#include "feature_level/feature_level_gate.hpp"
#include "heartbeat/response.hpp"
#include "jobs/job_state.hpp"
#include "kv/store_client.hpp"
#include "machines/command_reachability.hpp"
#include "machines/failure_attribution.hpp"
#include "portfolio/predictor.hpp"
#include "portfolio/selector.hpp"
#include "settings/expression.hpp"
#include "settings/platform.hpp"
#include "telemetry/large_job_classifier.hpp"
#include "telemetry/served_share.hpp"
#include "wire/allocation.hpp"
#include "wire/cloud.hpp"
#include "wire/worker.hpp"

namespace hitchfront::core {

class Leader {
 public:
  Leader(Outbox& out, StoreClient& store, LeaderElection& election,
         FeatureLevelGate& feature_levels, const settings::Platform& platform,
         const settings::Operator& op, std::uint64_t seed, std::int64_t wall_minus_steady);

  // `rebuilding`: the stored state is being rebuilt; heartbeats are answered, nothing is decided
  // before load().
  void begin(Ms now, bool recovering = false);
  void load(Ms now) { load_unfinished(now, "", now); }
  void tick(Ms now);
  void resign();  // refuses the heartbeats that are still held
  // How a heartbeat came: straight from the worker, or passed on by another controller.
  using HeartbeatRoute = telemetry::HeartbeatRoute;
  void heartbeat(Ms now, std::uint64_t request, wire::Heartbeat heartbeat, HeartbeatRoute way);
  Ms last_direct() const { return last_direct_; }
  // The last heartbeat of a worker in this node's own zone that had to come by way of another.
  Ms last_detour() const { return last_detour_; }
  void set_types(const std::vector<wire::MachineType>& types);
  // Replays within `steps`; called between inputs.
  std::uint64_t replay(Ms now, std::uint64_t steps);
  bool wants_replay() const { return selector_.running(); }
  void set_step_rate(double steps_per_ms) { steps_per_ms_ = steps_per_ms; }
  struct Counts {
    std::uint32_t done = 0, running = 0;
  };
  std::optional<Counts> counts(const std::string& job) const;
  // Machines and tasks looked at so far: what placement costs, whatever the processor.
  std::uint64_t work() const { return work_; }
  std::uint64_t heartbeats() const { return heartbeats_; }
  // A job is known to be cancelled, by whatever way: its tasks are stopped, and nothing of it is
  // launched.
  void cancelled(Ms now, const std::string& job);
  // The same, asked of a job that is read only now, or of a task that a machine lists while nothing
  // has been read yet.
  std::function<bool(const std::string& job)> is_cancelled;
  // A final state that this node knows to be stored.
  std::function<std::optional<wire::JobOutcome>(const std::string& job)> outcome_of;
  // Everything stored before `asked` has been read.
  std::function<void(Ms asked)> on_read_all;
  // A job's launch watermark was stored; before any launch beyond it.
  std::function<void(const wire::UnfinishedJob& record)> on_watermark_stored;
  void update_gauges(Ms now) const;  // sets the gauges of the figures
  std::function<std::size_t()>
      other_forms;  // values that others keep and that are not of the active level's form yet

 private:
  enum class Stage : std::uint8_t { assigned, sent, fetching, running, saving };
  struct Placement {
    JobState* job = nullptr;
    std::uint32_t task = 0;
    std::uint64_t attempt = 0;
    Stage stage = Stage::assigned;
    Ms since = 0;                // assigned or launched
    Ms run_since = 0;            // first seen running
    std::uint64_t sent_seq = 0;  // the heartbeat whose answer carried the launch
    // The machine's incarnation that it is of: as launched, or as listed by a heartbeat sent in
    // this term. 0: not known.
    std::uint64_t incarnation = 0;
    bool stopping = false;
    bool capacity_reassigned = false;  // its capacity is promised to another task already
    double grace_s = 0;
    Ms stop_sent = 0;
    std::uint64_t listed = 0;  // the last heartbeat that listed it, by this leader's count
    std::uint64_t recorded_in_batch = 0;  // the allocation log's batch that names it
    bool recorded = false;                // and that is stored: it may be launched
    bool in_flight = false;  // launched by a direct command that may still be carried out: absence
                             // proves nothing
  };
  using TaskKey = InFlightLaunches::TaskKey;
  struct Machine {
    std::string name, addr;
    int type = -1, zone = -1;
    bool spot = false;
    portfolio::Size whole, free_capacity;
    std::uint64_t incarnation = 0, seq = 0, expired_incarnation = 0;
    bool up = false;         // has reported
    bool confirmed = false;  // its last heartbeat was sent after hearing from this leader
    bool lost = false;       // its lease is over
    bool recovered = false;  // by the stored allocation log it was up, or may have tasks; it has
                             // not spoken in this term
    bool draining = false;   // its tasks move elsewhere, then it is returned
    bool cordoned = false, releasing = false, failed = false;
    bool vanished = false;  // the cloud's list, which had it or must have had it, lacks it
    Ms born = 0, last_heartbeat_at = 0, lease_expires_at = 0, lost_at = 0, termination_at = 0,
       idle_since = 0;
    std::uint64_t reserved_for =
        0;                       // job that waits for capacity here; set anew by each schedule()
    std::uint32_t assigned = 0;  // placements not yet launched
    bool stopping = false;       // some placement is, or was, to be stopped
    double pace = 1;             // its tasks' run times against their jobs' means
    Ms known = 0;                // to this leader, since
    std::optional<std::uint64_t> held;  // report waiting for its answer
    Ms held_since = 0, held_most = 0;
    std::map<TaskKey, Placement> tasks;
    std::vector<wire::TaskStatus> task_statuses;  // the newest heartbeat's
    std::uint64_t listed = 0;                     // that heartbeat, by this leader's count
    InFlightLaunches in_flight;                   // of this incarnation
    bool direct_out = false;                      // a direct launch waits for its answer
    CommandReachability reachability;
    Ms answered_at = 0;
    std::vector<int> images;  // most recent last
  };
  struct ScaleOutRequest {
    std::string name;
    std::size_t offer = 0;
    std::uint32_t count = 0;
    bool in_flight = false;
    Ms retry_at = 0;
  };
  struct Team {
    std::string name;
    double cpus = 0, cpus_max = 0, gpus = 0, gpus_max = 0;  // a limit may be infinite
    double used_cpus = 0, used_gpus = 0;
    std::uint64_t held_for = 0;  // a job whose turn it is, and that the limit has no capacity for;
                                 // set anew by each placement
  };

  // loading
  void load_unfinished(Ms now, std::string after, Ms asked);
  void load_progress(Ms now, std::string after);
  void watch_unfinished(Ms now);
  void loaded(Ms now);
  JobState* add_job(Ms now, const std::string& id, const nlohmann::json& value,
                    std::uint64_t version);
  void resolve(JobState& job);  // names to indices, once machine types are known
  void remove_job(Ms now, const std::string& id);
  void job_cancelled(Ms now, JobState& job);
  Ms renew_until(const JobState& job) const;

  // jobs that await others
  void await_others(JobState& job);
  void inherit_priority(const JobState& job);
  void resolve_awaited(Ms now);
  void ask_final(Ms now, const std::string& name);
  void resolve_dependency(Ms now, const std::string& name, dependencies::Outcome outcome,
                          bool just_now);
  void look_for_outcome(const std::string& name);

  // reports
  void take_tasks(Ms now, Machine& m, const wire::Heartbeat& r);
  void confirm_terminated(Ms now, Machine& m, TaskKey key);
  void completed(Ms now, Machine& m, JobState& job, std::uint32_t task);
  void cordon_if_faulty(Machine& m);
  void failed(Ms now, Machine& m, JobState& job);
  bool respond_if_needed(Ms now, Machine& m, bool force);
  // What the newest heartbeat is answered with, launches aside.
  heartbeat::Response build_response(Ms now, Machine& m);
  bool respond(Ms now, std::uint64_t request, const std::string& machine, const std::string& addr,
               std::uint64_t incarnation, const heartbeat::Response& a);
  HttpCall to_machine(const std::string& addr, std::uint64_t incarnation,
                      const std::vector<wire::Command>& commands) const;
  void stop_direct(Ms now, Machine& m);
  void launch_direct(Ms now, Machine& m);
  void direct_answered(Ms now, const std::string& machine, std::uint64_t incarnation,
                       const std::vector<std::pair<TaskKey, std::uint64_t>>& launched, int status,
                       std::string_view body);
  // The launches that may go out now; booked as sent.
  std::vector<wire::Command> launches(Ms now, Machine& m, std::size_t most);
  void command_missed(Ms now, Machine& m, std::uint32_t times = 1);
  void command_arrived(Machine& m);
  void probe(Ms now, Machine& m);
  bool nothing_left(const Machine& m) const;  // of what it listed
  void lease_check(Ms now);
  bool usable(Ms now, const Machine& m) const;
  bool is_missing(
      Ms now,
      const Machine& m) const;  // silent for so long that it is most likely gone, or unreachable

  // accounting
  void occupy(Machine& m, JobState& job, std::uint32_t task, Placement p);
  static void set_in_flight(Placement& p, bool in_flight);
  void vacate(Machine& m, std::map<TaskKey, Placement>::iterator it);
  void count_team(const JobState& job, double n);

  // scheduling
  double run_time(const JobState& job) const;
  static double ran_s(Ms now, const Placement& p);
  static double left_s(double run_s, double ran_s);
  double price_of(const Machine& m) const;
  bool allowed_on(const JobState& job, const Machine& m) const;
  void schedule(Ms now);
  void place(Ms now);
  bool late(const JobState& job, double since_submission_s) const;
  bool in_limit(const JobState& job) const;  // one more task of it
  bool fits_guarantee(const JobState& job) const;
  bool is_best_effort(const JobState& job) const;
  bool zone_allows(const JobState& job, int zone) const;
  // When machines will have capacity, as far as one placement asked: the ends of a machine's tasks
  // are worked out once, and machines are put in order once for all jobs that ask for the same.
  struct Ends {
    struct Of {
      bool known = false;
      std::vector<std::pair<double, portfolio::Size>> tasks;
    };
    struct Offer {
      double when = 0;
      std::uint32_t at = 0;  // in `fleet`
    };
    // Size, types, spot or not, zone, and the job itself where its other tasks decide what is
    // allowed.
    using Wanted = std::tuple<double, double, double, std::uint64_t, bool, int, std::uint64_t>;
    std::vector<Machine*> fleet;
    std::size_t unreserved = 0;  // of these, kept for no job yet
    std::vector<Of> of;
    std::map<Wanted, std::vector<Offer>> offers;  // heaps, the soonest at the top
  };
  double free_at(Ms now, Ends& ends, std::uint32_t at, const portfolio::Size& size);
  void reserve(Ms now, const JobState& job, Ends& ends, std::uint32_t most);
  bool held_back(const JobState& job) const;  // its team's limit is kept for another job
  void assign(Ms now, JobState& job, Machine& m, std::uint32_t task);
  void has_image(Machine& m, int image);
  void update_within_guarantee();
  void fill(Ms now, JobState& job, std::vector<Machine*>& open, std::uint32_t most);
  bool has_begun(const JobState& job) const {
    return job.ran || job.placed > 0 || failure_attribution_.is_quarantined(job.index);
  }
  void set_stage(Placement& p, Stage stage);
  static bool counted(Stage s) { return s == Stage::running || s == Stage::saving; }
  void select(Ms now);
  settings::Inputs operator_inputs() const;
  portfolio::Snapshot snapshot(Ms now);
  void preempt(Ms now);
  double loss_of(Ms now, const Placement& p, const JobState& job) const;

  // machines
  void cloud_round(Ms now);
  void scale_out(Ms now);
  std::uint32_t scale_out_calls() const;
  void send_scale_out(Ms now, ScaleOutRequest& r);
  void consolidate(Ms now);
  void scale_in(Ms now);
  Ms keep_ms(const Machine& m) const;
  void list(Ms now, std::string after);
  void listed_all(Ms now);
  Machine* add_machine(Ms now, const std::string& name, const std::string& type,
                       const std::string& zone, bool spot);
  void forget_machine(Ms now, const std::string& name);
  bool can_call_cloud(Ms now);
  void cloud_answered(Ms now, int status, bool no_capacity = false);
  std::string offer_text(int type, int zone, bool spot) const;

  // allocation log
  void load_allocations(Ms now, std::string after);
  void restore_allocations(Ms now);
  void restore_machine(Ms now, const wire::MachineAllocation& stored);
  void write_allocations(Ms now);
  void reread_allocations(Ms now);
  void allocations_stored(Ms now, const allocation::AllocationLog::Batch& batch);
  std::string encode_chunk(const allocation::Names& machines, std::uint64_t batch);
  void reconcile(Ms now);
  void log_fleet_state(Ms now);
  void log_served_shares(Ms now);
  void began_to_run(JobState& job);

  // store
  void persist(Ms now, JobState& job);
  void finish(Ms now, JobState& job);
  void resync(Ms now, JobState& job);
  void migrate(Ms now);

  bool can_act(Ms now) const { return election_.can_act(now) && election_.term() == term_; }
  JobState* find(const std::string& id);
  int type_index(const std::string& name) const;
  std::vector<std::string> type_names() const;
  int zone_index(const std::string& name) const;
  int image_index(const std::string& name);
  template <class... T>
  void log(Event event, T&&... values) {
    out_.log(event, std::forward<T>(values)...);
  }
  // Continuations run only while this leader exists.
  template <class F>
  Done mine(F f) {
    return while_alive(alive_, std::move(f));
  }

  Outbox& out_;
  StoreClient& store_;
  LeaderElection& election_;
  FeatureLevelGate& feature_levels_;
  const settings::Platform& platform_;
  const settings::Operator& operator_;
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
  const std::uint64_t term_, leader_version_;
  const std::int64_t wall_minus_steady_;
  std::uint64_t next_attempt_ = 1, next_scale_out_ = 1, next_job_ = 1;
  Ms reconciliation_ends_at_ = 0, last_direct_ = 0, last_detour_ = 0;
  bool loaded_ = false, reconciling_ = true, dirty_ = true, reconciled_ = false;
  std::size_t unplaced_ = 0,
              silent_ = 0;  // tasks found on no machine, and machines that stayed silent

  const bool allocation_log_enabled_,
      direct_launch_enabled_;  // direct_launch_enabled_: launches may go to machines by themselves
  bool quota_guarantees_ =
      false;  // some team is guaranteed something, so that those without a guarantee come after it
  // At the takeover: what the allocation log does not have is nowhere, whatever a late heartbeat
  // says.
  bool inherited_complete_log_ = false;
  allocation::AllocationLog allocation_log_;
  struct StoredChunk {
    std::uint32_t chunk = 0;
    std::uint64_t version = 0;
    std::vector<wire::MachineAllocation> machines;
  };
  std::vector<StoredChunk> stored_chunks_;  // until loaded
  std::map<std::uint32_t, Ms> reread_at_;   // chunks whose version in the store is not known
  // Machines of the allocation log that are of no type known here: written again as they are until
  // their leases are over.
  std::map<std::string, wire::MachineAllocation> unknown_type_machines_;
  std::uint64_t complete_after_batch_ =
      0;  // once everything was stored after this batch, the allocation log is whole
  bool marking_complete_ = false;
  std::uint64_t revision_ = 0;
  Ms watch_at_ = 0, next_watch_ = 0, next_cloud_ = 0, next_list_ = 0, next_select_ = 0,
     next_preempt_ = 0, next_migrate_ = 0;
  bool listing_ = false;
  std::unordered_set<std::string> seen_listed_;  // by the listing under way
  Ms listing_since_ = 0;

  std::vector<wire::MachineType> types_;
  std::vector<std::string> zones_;
  std::unordered_map<std::string, int> images_;
  std::vector<Team> teams_;
  std::unordered_map<std::string, std::unique_ptr<JobState>> jobs_;
  dependencies::Graph graph_;
  // Awaited, and their outcomes are to be found out; true: it ended while this leader knew it as
  // unfinished, so that its dependents' waits begin now.
  std::map<std::string, bool> unresolved_;
  std::set<std::string> asked_finals_;  // of those, whose final states the store is being asked for
  Ms resolve_at_ = 0;
  std::map<std::string, std::unique_ptr<Machine>> machines_;
  std::vector<Machine*> fleet_;  // the same, for walking through
  std::unordered_set<std::string> tombstones_;
  std::deque<std::string> tombstone_order_;
  std::vector<portfolio::Offer> offers_;
  std::vector<Ms> offer_blocked_;  // until when
  std::deque<ScaleOutRequest> scale_out_requests_;
  Bucket cloud_;
  Bucket progress_{1, 1};  // writes of progress, in its part of the leader's rate
  bool release_in_flight_ = false;
  Ms cloud_down_since_ = 0;  // 0: it can be used

  FailureAttribution failure_attribution_;
  telemetry::ServedShare served_;
  telemetry::LargeJobClassifier large_jobs_;
  Ms next_served_ = 0;
  portfolio::Params params_;
  portfolio::Selector selector_;
  portfolio::Predictor predictor_;
  portfolio::Policy policy_;
  double steps_per_ms_ = 2000;
  std::size_t selection_jobs_ = 0, selection_machines_ = 0;  // what is being replayed, for the log
  std::uint64_t selection_steps_ = 0;
  std::uint64_t work_ = 0, heartbeats_ = 0;
  Ms next_place_ = 0, wake_up_at_ = 0, began_ = 0, next_state_ = 0;
};

}  // namespace hitchfront::core
