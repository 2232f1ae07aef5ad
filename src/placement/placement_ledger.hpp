// Keeps the record of which task may be on which machine consistent with what follows from it: the
// phases of the job's tasks, the machine's free capacity and the team's use. They change
// elsewhere in three places only: JobState::merge_chunk() marks stored completions, Preemptor
// reassigns its victims' capacity (Placement::capacity_reassigned), and JobLifecycle::remove()
// releases the use of unknown tasks.
#pragma once
#include <cstdint>

#include "jobs/job_state.hpp"
#include "jobs/team_quotas.hpp"
#include "machines/machine.hpp"

namespace hitchfront::core {

class PlacementLedger {
 public:
  // `placement_needed` is set whenever capacity is freed.
  PlacementLedger(TeamQuotas& quotas, bool& placement_needed)
      : quotas_(quotas), placement_needed_(placement_needed) {}

  // On until reconciliation has ended. Meanwhile a task that an earlier leader may have launched on
  // any machine returns to `unknown` instead of `waiting` when a placement of it is removed.
  void set_reconciling(bool reconciling) { reconciling_ = reconciling; }

  Placement& add_placement(Machine& machine, JobState& job, std::uint32_t task,
                           Placement placement);
  // Call when the task is certainly not on the machine. A task without any other placement becomes
  // waiting or unknown again. Invalidates `position`.
  void remove_placement(Machine& machine, Placements::iterator position);
  // Removes the assignments that have not been launched, which returns their tasks to the queue.
  void remove_assigned_placements(Machine& machine);
  void remove_job_placements(Machine& machine, const JobState& job);

  static void set_stage(Placement& placement, PlacementStage stage);
  static void set_in_flight(Placement& placement, bool in_flight);

  // Marks a task that an earlier leader may have launched on a machine that is not known. Unless it
  // has a placement as well, it becomes unknown and counts against its team's limit; otherwise it
  // becomes unknown when its last placement is removed.
  void mark_unknown(JobState& job, std::uint32_t task);
  // Every machine that the task may be on is known from now on: the caller adds its placements.
  static void mark_reconciled(JobState& job, std::uint32_t task) { job.unreconciled.erase(task); }
  // Call when the job's unknown tasks are certainly on no machine: they become waiting.
  void requeue_unknown(JobState& job);
  void mark_done(JobState& job, std::uint32_t task);

 private:
  TeamQuotas& quotas_;
  bool& placement_needed_;
  bool reconciling_ = true;
};

}  // namespace hitchfront::core
