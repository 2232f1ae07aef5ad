#include "placement/preemptor.hpp"

#include <algorithm>
#include <utility>

#include "placement/placement_rules.hpp"
#include "settings/constants.hpp"

namespace hitchfront::core {
using namespace settings;
using portfolio::Resources;
namespace {
constexpr double kEpsilon = 1e-9;  // tolerance for CPUs
}

void Preemptor::tick(Ms now) {
  if (now < next_run_at_ || !state_.loaded) return;
  next_run_at_ = now + kPreemptionIntervalMs;
  state_.quotas.update_within_guarantee(state_.jobs, state_.failures);
  const auto jobs = eligible_jobs(now);
  if (jobs.empty()) return;
  const auto candidate_machines = find_candidate_machines(now);
  std::vector<Machine*> affected;  // in the order of assignment, which keeps runs reproducible
  for (auto* job : jobs)
    if (state_.quotas.fits_limit(*job)) {
      preempt_for(now, *job, candidate_machines, affected);
      if (job->required_watermark > job->launch_watermark) writer_.persist(now, *job);
    }
  recorder_.write(now);
  for (auto* machine : affected) messenger_.deliver_stops(now, *machine);
}

std::vector<JobState*> Preemptor::eligible_jobs(Ms now) {
  std::vector<JobState*> eligible;
  for (auto& [id, job] : state_.jobs)
    if (job->active() && job->waiting > 0 && job->team >= 0 &&
        !state_.quotas.is_limit_reserved(*job) && now >= job->backoff_until &&
        !state_.failures.is_quarantined(job->index) &&
        (job->within_guarantee || state_.quotas.fits_guarantee(*job) ||
         job->priority > wire::Priority::low))
      eligible.push_back(job.get());
  std::sort(eligible.begin(), eligible.end(), [](const JobState* a, const JobState* b) {
    if (a->within_guarantee != b->within_guarantee) return a->within_guarantee;
    if (a->priority != b->priority) return a->priority > b->priority;
    return a->ready_at < b->ready_at;
  });
  return eligible;
}

// Usable machines with free capacity, or with a task that might be stopped.
std::vector<Machine*> Preemptor::find_candidate_machines(Ms now) {
  const auto is_stoppable = [](const auto& task) {
    return task.second.job->spec.checkpoint_s > 0 && !task.second.stopping;
  };
  std::vector<Machine*> candidate_machines;
  for (auto* machine : state_.machines.all())
    if (state_.machines.usable(now, *machine) &&
        (machine->free_capacity.cpus > kEpsilon ||
         std::any_of(machine->tasks.begin(), machine->tasks.end(), is_stoppable)))
      candidate_machines.push_back(machine);
  state_.placement_work += state_.machines.size();
  return candidate_machines;
}

bool Preemptor::is_costlier(const PreemptionPlan& a, const PreemptionPlan& b) {
  return a.cost != b.cost ? a.cost > b.cost : a.machine_index > b.machine_index;
}

// An assignment changes only its own machine, so each machine is planned once for the job, and
// again only when its plan comes to the top of the heap or has been carried out.
void Preemptor::preempt_for(Ms now, JobState& job, const std::vector<Machine*>& candidate_machines,
                            std::vector<Machine*>& affected) {
  std::vector<PreemptionPlan> plans;
  for (std::uint32_t index = 0; index < candidate_machines.size(); ++index)
    if (auto plan = plan_preemption(now, job, *candidate_machines[index], index))
      plans.push_back(std::move(*plan));
  std::make_heap(plans.begin(), plans.end(), is_costlier);
  const auto push = [&plans](PreemptionPlan plan) {
    plans.push_back(std::move(plan));
    std::push_heap(plans.begin(), plans.end(), is_costlier);
  };
  while (job.waiting > 0 && state_.quotas.fits_limit(job) && !plans.empty()) {
    std::pop_heap(plans.begin(), plans.end(), is_costlier);
    const auto machine_index = plans.back().machine_index;
    const double expected_cost = plans.back().cost;
    plans.pop_back();
    // The plan may be outdated: placing the job's previous task may have excluded a zone, or ended
    // a team's use beyond its guarantee.
    auto& machine = *candidate_machines[machine_index];
    auto current_plan = plan_preemption(now, job, machine, machine_index);
    if (!current_plan) continue;
    if (current_plan->cost > expected_cost) {
      push(std::move(*current_plan));
      continue;
    }
    stop_victims(job, machine, *current_plan);
    scheduler_.assign(now, job, machine, static_cast<std::uint32_t>(job.next_waiting()));
    if (std::find(affected.begin(), affected.end(), &machine) == affected.end())
      affected.push_back(&machine);
    if (auto next_plan = plan_preemption(now, job, machine, machine_index))
      push(std::move(*next_plan));
  }
}

// Includes machines that are reserved for another job: their free capacity would otherwise be taken
// here at no cost.
bool Preemptor::is_excluded(JobState& job, const Machine& machine) const {
  if (machine.reserved_for != 0 && machine.reserved_for != job.index) return true;
  const auto next_task = static_cast<std::uint32_t>(std::max<std::int64_t>(0, job.next_waiting()));
  return !machine.can_fence_task({job.index, next_task}) ||
         !size_of(job.spec).fits(machine.capacity) || !is_allowed_on(job, machine) ||
         machine.tasks.size() >= max_tasks_per_machine(context_.platform);
}

std::optional<Preemptor::PreemptionPlan> Preemptor::plan_preemption(Ms now, JobState& job,
                                                                    Machine& machine,
                                                                    std::uint32_t machine_index) {
  ++state_.placement_work;
  if (is_excluded(job, machine)) return std::nullopt;
  const Resources size = size_of(job.spec);
  PreemptionPlan plan;
  plan.machine_index = machine_index;
  Resources free_capacity = machine.free_capacity;
  if (size.fits(free_capacity)) return plan;
  struct Victim {
    double cost;
    Placement* placement;
  };
  std::vector<Victim> victims;
  for (auto& [key, placement] : machine.tasks)
    if (const auto cost = preemption_cost(now, placement, job))
      victims.push_back({*cost, &placement});
  state_.placement_work += machine.tasks.size();
  std::sort(victims.begin(), victims.end(),
            [](const Victim& a, const Victim& b) { return a.cost < b.cost; });
  for (const auto& victim : victims) {
    if (size.fits(free_capacity)) break;
    free_capacity.add(size_of(victim.placement->job->spec));
    plan.cost += victim.cost;
    plan.victims.push_back(victim.placement);
  }
  if (!size.fits(free_capacity)) return std::nullopt;
  return plan;
}

void Preemptor::stop_victims(const JobState& job, Machine& machine, const PreemptionPlan& plan) {
  for (auto* victim : plan.victims) {
    const auto& spec = victim->job->spec;
    victim->stopping = machine.stopping = true;
    // For work within a guarantee, a best-effort team's task gets no grace period and falls back to
    // its last checkpoint: saving another would take up most of the time in which guaranteed work
    // has to start.
    const bool immediately = job.within_guarantee && state_.quotas.is_best_effort(*victim->job);
    victim->grace_s = immediately ? 0 : spec.save_s + kStopGraceMarginS;
    // The capacity can be assigned now; the launch waits until the victim has ended.
    machine.free_capacity.add(size_of(spec));
    victim->capacity_reassigned = true;
  }
  if (plan.victims.empty()) return;
  context_.log(Event::capacity_freed, machine.name, job.spec.id, plan.victims.size());
  context_.metrics().add(telemetry::Count::stops, telemetry::StopReason::preempted,
                         static_cast<double>(plan.victims.size()));
}

// --- victims ---

std::optional<double> Preemptor::preemption_cost(Ms now, const Placement& placement,
                                                 const JobState& job) const {
  const auto& victim = *placement.job;
  // A task that cannot save checkpoints would lose all its progress, which costs more than the
  // guaranteed work gains.
  if (victim.spec.checkpoint_s <= 0) return std::nullopt;
  if (placement.stopping || placement.stage == PlacementStage::assigned ||
      placement.stage == PlacementStage::saving || &victim == &job)
    return std::nullopt;
  if (!may_preempt(victim, job)) return std::nullopt;
  // A task that is about to complete is left alone, unless it has run for more than twice its
  // prediction.
  const double run_s = state_.run_times.run_time_s(victim);
  const double elapsed_s = placement.elapsed_s(now);
  if (elapsed_s > 0 && run_s - elapsed_s < kMinRemainingForPreemptionS && elapsed_s < 2 * run_s)
    return std::nullopt;
  return victim.spec.save_s * victim.spec.cpus;
}

bool Preemptor::may_preempt(const JobState& victim, const JobState& job) const {
  const auto& quotas = state_.quotas;
  const auto& team = quotas.of(victim);
  const bool victim_best_effort = quotas.is_best_effort(victim);
  const bool team_borrows = team.used_cpus > team.cpus + kEpsilon;
  // Priority does not let a best-effort team preempt what another team uses within its guarantee:
  // that team would preempt in turn, and the two would alternate without end.
  const bool guaranteed = quotas.is_best_effort(job) && !victim_best_effort && !team_borrows;
  const bool lower_priority = victim.priority < job.priority &&
                              (job.within_guarantee || (!victim.within_guarantee && !guaranteed));
  // A job that lies within its team's guarantee as a whole reclaims from any team that borrows. A
  // job of which only a part does reclaims from best-effort teams only, since preemption between
  // guaranteed teams costs more in checkpoints and restarts than it gains.
  const bool may_reclaim =
      job.within_guarantee || (quotas.fits_guarantee(job) && victim_best_effort);
  const bool reclaimable =
      may_reclaim && !victim.within_guarantee && victim.team != job.team && team_borrows;
  return lower_priority || reclaimable;
}

}  // namespace hitchfront::core
