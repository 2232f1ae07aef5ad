// The leader's work during its term: processes workers' heartbeats, places tasks according to the
// selected policy, scales the fleet out and in, and stores progress.
//
// A task counts as possibly on a machine from the moment its launch is put into a response until it
// is proved gone; the safety argument is in docs/safety.md.
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

// Owns the components of a leader and dispatches inputs and ticks to them. It makes no scheduling
// decisions of its own. There is one instance per term.
class Leader : private AllocationListener,
               private JobWriteListener,
               private JobWatchListener,
               private HeartbeatListener,
               private PolicyListener,
               private TakeoverListener {
 public:
  struct Dependencies {
    Outbox& outbox;
    StoreClient& store;
    LeaderElection& election;
    FeatureLevelGate& feature_levels;
    const settings::Platform& platform;
    const settings::OperatorSettings& operator_settings;
    LeaderEnvironment& environment;
  };
  Leader(const Dependencies& dependencies, std::uint64_t seed, std::int64_t wall_minus_steady_ms);
  Leader(const Leader&) = delete;
  Leader& operator=(const Leader&) = delete;

  // Call once, before anything else. `recovering`: the stored state is being recovered after a data
  // loss; heartbeats are then answered, but nothing is placed or scaled until load() is called.
  // Otherwise calls load() itself.
  void begin(Ms now, bool recovering = false);
  // Reads the stored state. Scheduling starts once it has been read.
  void load(Ms now) { takeover_.load(now); }
  void tick(Ms now);
  // Refuses the heartbeats whose responses are deferred. Called when leadership is lost.
  void resign();

  // `request` is answered at once or after a deferral.
  void process_heartbeat(Ms now, std::uint64_t request, wire::Heartbeat heartbeat,
                         HeartbeatRoute route) {
    heartbeats_.process(now, request, std::move(heartbeat), route);
  }
  // See HeartbeatProcessor for these three.
  void set_defer_responses(bool on) { heartbeats_.set_defer_responses(on); }
  Ms last_direct() const { return heartbeats_.last_direct(); }
  Ms last_relayed() const { return heartbeats_.last_relayed(); }
  // Another part of this controller has learned that the job is cancelled: stops its tasks and
  // launches no more of them.
  void on_job_cancelled(Ms now, const std::string& job) { jobs_.cancel_if_known(now, job); }
  // The cloud's machine types; called again whenever they change. Machines can't be registered
  // before the first call.
  void set_types(Ms now, const std::vector<wire::MachineType>& types);

  // Advances the policy replay by at most `steps`, between inputs. Returns the steps taken.
  std::uint64_t replay(Ms now, std::uint64_t steps) { return policies_.replay(now, steps); }
  bool wants_replay() const { return policies_.is_running(); }
  // Replay steps per millisecond of CPU time that the policy selection plans with.
  void set_step_rate(double steps_per_ms) { policies_.set_steps_per_ms(steps_per_ms); }

  struct TaskCounts {
    std::uint32_t done = 0, running = 0;
  };
  // Tasks of the job whose completion is stored, and running tasks. Nothing if the job is not among
  // the unfinished jobs, or the stored state has not been read yet.
  std::optional<TaskCounts> task_counts(const std::string& id) const;
  // Machines and tasks examined by placement so far: its cost, independent of the CPU's speed.
  std::uint64_t placement_work() const { return state_.placement_work; }
  std::uint64_t processed_heartbeats() const { return heartbeats_.processed(); }
  void update_gauges(Ms now) const { reporter_.update_gauges(now); }

 private:
  void on_launches_recorded(Ms now, Machine& machine) override;
  void on_write_rate(double writes_per_s) override { writer_.set_write_rate(writes_per_s); }
  void on_launches_allowed(Ms now) override;
  void on_job_finished(Ms now, const std::string& id, bool cancelled) override;
  void on_outcome_found(Ms now, const std::string& id) override { jobs_.remove(now, id); }
  void on_cancellation_read(Ms now, JobState& job) override { jobs_.cancel(now, job); }
  bool is_awaited(const std::string& id) const override {
    return jobs_.dependencies().is_awaited(id);
  }
  void on_jobs_changed(Ms now) override { scheduler_.schedule(now); }
  void on_heartbeat_processed(Ms now) override { scheduler_.schedule(now); }
  void on_policy_chosen(Ms now) override { scheduler_.schedule(now); }
  void on_takeover_loaded(Ms now, std::uint64_t revision) override { watch_.start(now, revision); }

  void respond_to_all_deferred(Ms now);
  // Also sends direct stop commands to machines without a deferred heartbeat.
  void send_due_responses(Ms now);
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
  Ms next_placement_at_ = 0, next_cloud_round_at_ = 0;
};

}  // namespace hitchfront::core
