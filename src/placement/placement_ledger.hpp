// Which task may be on which machine, and what follows from it for the job's phases, the machine's
// free capacity and the team's use: changed together, here only.
#pragma once
#include <cstdint>

#include "jobs/job_state.hpp"
#include "jobs/team_quotas.hpp"
#include "machines/machine.hpp"

namespace hitchfront::core {

class PlacementLedger {
 public:
  // `placement_needed` is set where capacity comes free.
  PlacementLedger(TeamQuotas& quotas, bool& placement_needed)
      : quotas_(quotas), placement_needed_(placement_needed) {}

  // Until it is said to be over, tasks that an earlier leader may have launched anywhere go back to
  // `unknown`, not to `waiting`, where they are found not to be on a machine.
  void set_reconciling(bool reconciling) { reconciling_ = reconciling; }

  Placement& occupy(Machine& machine, JobState& job, std::uint32_t task, Placement placement);
  // The task is not on the machine, or was never launched there.
  void vacate(Machine& machine, Placements::iterator it);
  // Every assignment that was not launched goes back to the queue.
  void vacate_assigned(Machine& machine);
  // Every placement of the job on the machine.
  void vacate_job(Machine& machine, const JobState& job);

  static void set_stage(Placement& placement, PlacementStage stage);
  static void set_in_flight(Placement& placement, bool in_flight);

  // A waiting task that an earlier leader may have launched: it counts against its team's limit.
  void mark_unknown(JobState& job, std::uint32_t task);
  // Nobody has it: the job's unknown tasks wait again.
  void release_unknown(JobState& job);
  void mark_done(JobState& job, std::uint32_t task);

 private:
  TeamQuotas& quotas_;
  bool& placement_needed_;
  bool reconciling_ = true;
};

}  // namespace hitchfront::core
