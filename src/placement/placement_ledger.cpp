#include "placement/placement_ledger.hpp"

#include <algorithm>
#include <iterator>

namespace hitchfront::core {

Placement& PlacementLedger::add_placement(Machine& machine, JobState& job, std::uint32_t task,
                                          Placement placement) {
  placement.job = &job;
  placement.task = task;
  auto& placed = machine.tasks[{job.index, task}] = placement;
  ++job.placement_counts[task];
  ++job.possible_placements;
  if (placement.stage == PlacementStage::assigned) ++machine.assigned;
  if (placement.stopping) machine.stopping = true;
  machine.free_capacity.add(size_of(job.spec), -1);
  quotas_.add_usage(job, 1);
  if (machine.zone >= 0) ++job.placements_per_zone[static_cast<std::size_t>(machine.zone)];
  if (job.phase[task] == TaskPhase::unknown) quotas_.add_usage(job, -1);
  if (job.phase[task] == TaskPhase::done) return placed;
  if (task >= job.first_fresh_task) {
    // Tasks between the old `first_fresh_task` and this one are still waiting and must not be
    // skipped.
    for (std::uint32_t skipped = job.first_fresh_task; skipped < task; ++skipped)
      if (job.phase[skipped] == TaskPhase::waiting) job.requeued.push_back(skipped);
    job.first_fresh_task = task + 1;
  }
  job.set_phase(task, TaskPhase::placed);
  return placed;
}

void PlacementLedger::remove_placement(Machine& machine, Placements::iterator position) {
  auto& placement = position->second;
  auto& job = *placement.job;
  const auto task = placement.task;
  if (!placement.capacity_reassigned) machine.free_capacity.add(size_of(job.spec), 1);
  quotas_.add_usage(job, -1);
  if (machine.zone >= 0) --job.placements_per_zone[static_cast<std::size_t>(machine.zone)];
  if (placement.stage == PlacementStage::assigned) --machine.assigned;
  if (is_running(placement.stage)) --job.running;
  set_in_flight(placement, false);
  --job.possible_placements;
  machine.tasks.erase(position);
  placement_needed_ = true;
  // The task may still be on another machine.
  if (--job.placement_counts[task] != 0 || job.phase[task] != TaskPhase::placed) return;
  // During reconciliation the task may still run on a machine that has sent no heartbeat in this
  // term: an earlier leader may have launched it there. Its absence here does not allow a start
  // elsewhere. Found after a late duplicate of a heartbeat that the next one refuted.
  if (reconciling_ && job.unreconciled.contains(task)) {
    job.set_phase(task, TaskPhase::unknown);
    quotas_.add_usage(job, 1);
  } else {
    job.set_phase(task, TaskPhase::waiting);
  }
}

void PlacementLedger::remove_assigned_placements(Machine& machine) {
  for (auto it = machine.tasks.begin(); it != machine.tasks.end();) {
    const auto next = std::next(it);
    if (it->second.stage == PlacementStage::assigned) remove_placement(machine, it);
    it = next;
  }
}

void PlacementLedger::remove_job_placements(Machine& machine, const JobState& job) {
  for (auto it = machine.tasks.lower_bound({job.index, 0});
       it != machine.tasks.end() && it->first.job == job.index;) {
    const auto next = std::next(it);
    remove_placement(machine, it);
    it = next;
  }
}

void PlacementLedger::set_stage(Placement& placement, PlacementStage stage) {
  if (is_running(stage) != is_running(placement.stage))
    placement.job->running += is_running(stage) ? 1 : -1;
  placement.stage = stage;
}

void PlacementLedger::set_in_flight(Placement& placement, bool in_flight) {
  if (placement.in_flight == in_flight) return;
  placement.in_flight = in_flight;
  placement.job->in_flight += in_flight ? 1U : -1U;
}

void PlacementLedger::mark_unknown(JobState& job, std::uint32_t task) {
  if (job.phase[task] == TaskPhase::done) return;
  job.unreconciled.insert(task);
  if (job.phase[task] != TaskPhase::waiting) return;
  job.set_phase(task, TaskPhase::unknown);
  quotas_.add_usage(job, 1);
}

void PlacementLedger::requeue_unknown(JobState& job) {
  for (std::uint32_t task = 0; task < job.spec.tasks; ++task) {
    if (job.phase[task] != TaskPhase::unknown) continue;
    job.first_fresh_task = std::max(job.first_fresh_task, task + 1);
    job.set_phase(task, TaskPhase::waiting);
    quotas_.add_usage(job, -1);
  }
}

void PlacementLedger::mark_done(JobState& job, std::uint32_t task) {
  if (job.phase[task] == TaskPhase::unknown) quotas_.add_usage(job, -1);
  job.set_phase(task, TaskPhase::done);
}

}  // namespace hitchfront::core
