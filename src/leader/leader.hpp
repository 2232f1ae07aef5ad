// What the leading controller does in its term: takes workers' heartbeats, decides by the chosen
// policy which task goes where, rents and returns machines, and stores progress.
//
// A task is counted as possibly on a machine from the moment its launch goes into a response until
// it is proved gone; docs/safety.md has the argument.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "autoscaling/autoscaler.hpp"
#include "autoscaling/consolidator.hpp"
#include "autoscaling/machine_lister.hpp"
#include "leader/allocation_recorder.hpp"
#include "leader/fleet_reporter.hpp"
#include "leader/heartbeat_processor.hpp"
#include "leader/job_lifecycle.hpp"
#include "leader/job_watch.hpp"
#include "leader/job_writer.hpp"
#include "leader/leader_context.hpp"
#include "leader/leader_state.hpp"
#include "leader/lease_monitor.hpp"
#include "leader/machine_messenger.hpp"
#include "leader/machine_registry.hpp"
#include "leader/policy_selection.hpp"
#include "leader/reconciliation.hpp"
#include "leader/takeover.hpp"
#include "leader/task_lifecycle.hpp"
#include "placement/placement_scheduler.hpp"
#include "placement/preemptor.hpp"

namespace hitchfront::core {

// Puts the parts of a leader together and gives each input, and each tick, to those that it
// concerns. The parts own the state; this class decides nothing.
class Leader : private AllocationListener,
               private JobWriteListener,
               private JobWatchListener,
               private HeartbeatListener,
               private PolicyListener,
               private TakeoverListener {
 public:
  struct Dependencies {
    Outbox& out;
    StoreClient& store;
    LeaderElection& election;
    FeatureLevelGate& feature_levels;
    const settings::Platform& platform;
    const settings::Operator& operator_settings;
    LeaderEnvironment& environment;
  };
  Leader(const Dependencies& dependencies, std::uint64_t seed, std::int64_t wall_minus_steady);
  Leader(const Leader&) = delete;
  Leader& operator=(const Leader&) = delete;

  // `recovering`: the stored state is being recovered; heartbeats are answered, nothing is decided
  // before load().
  void begin(Ms now, bool recovering = false);
  // Reads what is stored; from then on decisions are made.
  void load(Ms now) { takeover_.load(now); }
  void tick(Ms now);
  // Refuses the heartbeats whose responses are deferred.
  void resign();

  void heartbeat(Ms now, std::uint64_t request, wire::Heartbeat heartbeat, HeartbeatRoute route) {
    heartbeats_.process(now, request, std::move(heartbeat), route);
  }
  // Whether responses to heartbeats may wait for work that comes meanwhile.
  void set_defer_responses(bool on) { heartbeats_.set_defer_responses(on); }
  Ms last_direct() const { return heartbeats_.last_direct(); }
  // The last heartbeat of a worker in this node's own zone that had to come by way of another.
  Ms last_relayed() const { return heartbeats_.last_relayed(); }
  // A job is known to be cancelled, by whatever way: its tasks are stopped, and nothing of it is
  // launched.
  void cancelled(Ms now, const std::string& job) { jobs_.note_cancelled(now, job); }
  void set_types(const std::vector<wire::MachineType>& types);

  // Replays within `steps`; called between inputs.
  std::uint64_t replay(Ms now, std::uint64_t steps) { return policies_.replay(now, steps); }
  bool wants_replay() const { return policies_.is_running(); }
  void set_step_rate(double steps_per_ms) { policies_.set_steps_per_ms(steps_per_ms); }

  struct Counts {
    std::uint32_t done = 0, running = 0;
  };
  // Of a job's tasks; nothing: the job is not known here.
  std::optional<Counts> counts(const std::string& id) const;
  // Machines and tasks looked at so far: what placement costs, whatever the processor.
  std::uint64_t work() const { return state_.placement_work; }
  std::uint64_t heartbeats() const { return heartbeats_.processed(); }
  // Brings the gauges of the metrics up to date.
  void update_gauges(Ms now) const { reporter_.update_gauges(now); }

 private:
  void on_launches_recorded(Ms now, Machine& machine) override;
  void on_write_rate(double writes_per_s) override { writer_.set_write_rate(writes_per_s); }
  void on_launches_allowed(Ms now) override;
  void on_job_finished(Ms now, const std::string& id, bool cancelled) override;
  void on_job_over(Ms now, const std::string& id) override { jobs_.remove(now, id); }
  void on_cancellation_read(Ms now, JobState& job) override { jobs_.cancel(now, job); }
  bool is_awaited(const std::string& id) const override {
    return jobs_.dependencies().is_awaited(id);
  }
  void on_jobs_changed(Ms now) override { scheduler_.schedule(now); }
  void on_heartbeat_processed(Ms now) override { scheduler_.schedule(now); }
  void on_policy_chosen(Ms now) override { scheduler_.schedule(now); }
  void on_takeover_loaded(Ms now, std::uint64_t revision) override { watch_.start(now, revision); }

  void respond_to_all_held(Ms now);
  void respond_where_due(Ms now);
  void scale(Ms now);

  LeaderContext context_;
  LeaderState state_;
  Reconciliation reconciliation_;
  ScaleOutQueue scale_out_requests_;
  AllocationRecorder recorder_;
  JobWriter writer_;
  TaskLifecycle tasks_;
  MachineRegistry registry_;
  MachineMessenger messenger_;
  JobLifecycle jobs_;
  JobWatch watch_;
  Takeover takeover_;
  LeaseMonitor leases_;
  HeartbeatProcessor heartbeats_;
  PolicySelection policies_;
  PlacementScheduler scheduler_;
  Preemptor preemptor_;
  CloudCalls cloud_;
  MachineLister lister_;
  Autoscaler autoscaler_;
  Consolidator consolidator_;
  FleetReporter reporter_;
  Ms wake_up_at_ = 0, next_cloud_round_ = 0;
};

}  // namespace hitchfront::core
