#include "placement/placement_ledger.hpp"

#include <algorithm>
#include <iterator>

namespace hitchfront::core {

Placement& PlacementLedger::occupy(Machine& machine, JobState& job, std::uint32_t task,
                                   Placement placement) {
  placement.job = &job;
  placement.task = task;
  auto& placed = machine.tasks[{job.index, task}] = placement;
  ++job.places[task];
  ++job.possible_placements;
  if (placement.stage == PlacementStage::assigned) ++machine.assigned;
  if (placement.stopping) machine.stopping = true;
  machine.free_capacity.add(size_of(job.spec), -1);
  quotas_.count(job, 1);
  if (machine.zone >= 0) ++job.per_zone[static_cast<std::size_t>(machine.zone)];
  if (job.phase[task] == TaskPhase::unknown) quotas_.count(job, -1);
  if (job.phase[task] == TaskPhase::done) return placed;
  if (task >= job.fresh) {
    // Tasks between the old `fresh` and this one are still waiting and must not be skipped.
    for (std::uint32_t t = job.fresh; t < task; ++t)
      if (job.phase[t] == TaskPhase::waiting) job.again.push_back(t);
    job.fresh = task + 1;
  }
  job.set(task, TaskPhase::placed);
  return placed;
}

void PlacementLedger::vacate(Machine& machine, Placements::iterator it) {
  auto& placement = it->second;
  auto& job = *placement.job;
  const auto task = placement.task;
  if (!placement.capacity_reassigned) machine.free_capacity.add(size_of(job.spec), 1);
  quotas_.count(job, -1);
  if (machine.zone >= 0) --job.per_zone[static_cast<std::size_t>(machine.zone)];
  if (placement.stage == PlacementStage::assigned) --machine.assigned;
  if (is_running(placement.stage)) --job.running;
  set_in_flight(placement, false);
  --job.possible_placements;
  machine.tasks.erase(it);
  placement_needed_ = true;
  // Only when it is nowhere else may the task go back to waiting.
  if (--job.places[task] != 0 || job.phase[task] != TaskPhase::placed) return;
  // That it isn't here says nothing of where an earlier leader may have launched it: a late copy of
  // a heartbeat, refuted by the next, once made a task that ran on a machine not yet heard free to
  // start elsewhere.
  if (reconciling_ && job.unreconciled.contains(task)) {
    job.set(task, TaskPhase::unknown);
    quotas_.count(job, 1);
  } else {
    job.set(task, TaskPhase::waiting);
  }
}

void PlacementLedger::vacate_assigned(Machine& machine) {
  for (auto it = machine.tasks.begin(); it != machine.tasks.end();) {
    const auto next = std::next(it);
    if (it->second.stage == PlacementStage::assigned) vacate(machine, it);
    it = next;
  }
}

void PlacementLedger::vacate_job(Machine& machine, const JobState& job) {
  for (auto it = machine.tasks.lower_bound({job.index, 0});
       it != machine.tasks.end() && it->first.job == job.index;) {
    const auto next = std::next(it);
    vacate(machine, it);
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
  job.set(task, TaskPhase::unknown);
  job.unreconciled.insert(task);
  quotas_.count(job, 1);
}

void PlacementLedger::release_unknown(JobState& job) {
  for (std::uint32_t task = 0; task < job.spec.tasks; ++task) {
    if (job.phase[task] != TaskPhase::unknown) continue;
    job.fresh = std::max(job.fresh, task + 1);
    job.set(task, TaskPhase::waiting);
    quotas_.count(job, -1);
  }
}

void PlacementLedger::mark_done(JobState& job, std::uint32_t task) {
  if (job.phase[task] == TaskPhase::unknown) quotas_.count(job, -1);
  job.set(task, TaskPhase::done);
}

}  // namespace hitchfront::core
