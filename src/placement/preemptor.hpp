// Stops tasks to free capacity for work within a guarantee or of higher priority (PROTOCOL,
// "Preemption").
#pragma once
#include <cstdint>
#include <optional>
#include <vector>

#include "leader/allocation_recorder.hpp"
#include "leader/job_writer.hpp"
#include "leader/leader_context.hpp"
#include "leader/leader_state.hpp"
#include "leader/machine_messenger.hpp"
#include "placement/placement_scheduler.hpp"

namespace hitchfront::core {

// Finds, for each task without capacity, the machine where preemption costs least. The task is
// assigned there at once and launched when the victims have ended. The assignment reserves the
// freed capacity: otherwise smaller tasks would take it, and the same job would preempt
// tasks repeatedly.
class Preemptor {
 public:
  Preemptor(LeaderContext& context, LeaderState& state, PlacementScheduler& scheduler,
            MachineMessenger& messenger, AllocationRecorder& recorder, JobWriter& writer)
      : context_(context),
        state_(state),
        scheduler_(scheduler),
        messenger_(messenger),
        recorder_(recorder),
        writer_(writer) {}

  void tick(Ms now);

 private:
  // Which tasks to stop in order to place one task of a job on a machine. No victims: the task fits
  // as it is.
  struct PreemptionPlan {
    double cost = 0;                  // CPU-seconds spent on checkpoints
    std::uint32_t machine_index = 0;  // among the candidate machines
    std::vector<Placement*> victims;
  };
  static bool is_costlier(const PreemptionPlan& a, const PreemptionPlan& b);

  // Jobs with waiting tasks that may preempt others, in order of precedence.
  std::vector<JobState*> eligible_jobs(Ms now);
  std::vector<Machine*> find_candidate_machines(Ms now);
  // Places as many of the job's waiting tasks as preemption can make room for. Adds the machines
  // used to `affected`.
  void preempt_for(Ms now, JobState& job, const std::vector<Machine*>& candidate_machines,
                   std::vector<Machine*>& affected);
  // The cheapest plan for the machine, or none.
  std::optional<PreemptionPlan> plan_preemption(Ms now, JobState& job, Machine& machine,
                                                std::uint32_t machine_index);
  bool is_excluded(JobState& job, const Machine& machine) const;
  void stop_victims(const JobState& job, Machine& machine, const PreemptionPlan& plan);
  // CPU-seconds that the victim spends on its checkpoint. None if it may not, or should not, be
  // stopped for the job.
  std::optional<double> preemption_cost(Ms now, const Placement& placement,
                                        const JobState& job) const;
  bool may_preempt(const JobState& victim, const JobState& job) const;

  LeaderContext& context_;
  LeaderState& state_;
  PlacementScheduler& scheduler_;
  MachineMessenger& messenger_;
  AllocationRecorder& recorder_;
  JobWriter& writer_;
  Ms next_run_at_ = 0;
};

}  // namespace hitchfront::core
