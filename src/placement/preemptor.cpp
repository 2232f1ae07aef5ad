#include "placement/preemptor.hpp"

#include <algorithm>
#include <utility>

#include "placement/placement_rules.hpp"
#include "settings/constants.hpp"

namespace hitchfront::core {
using namespace settings;
using portfolio::Size;
namespace {
constexpr double kEpsilon = 1e-9;  // of processors
}

void Preemptor::tick(Ms now) {
  if (now < next_at_ || !state_.loaded) return;
  next_at_ = now + kPreemptionIntervalMs;
  state_.quotas.update_within_guarantee(state_.jobs, state_.failures);
  const auto wanting = jobs_in_want(now);
  if (wanting.empty()) return;
  const auto open = open_machines(now);
  std::vector<Machine*> affected;  // in the order of their assignments: runs can be repeated
  for (auto* job : wanting)
    if (state_.quotas.fits_limit(*job)) {
      make_capacity(now, *job, open, affected);
      if (job->required_watermark > job->launch_watermark) writer_.persist(now, *job);
    }
  recorder_.write(now);
  for (auto* machine : affected) messenger_.deliver_stops(now, *machine);
}

std::vector<JobState*> Preemptor::jobs_in_want(Ms now) {
  std::vector<JobState*> wanting;
  for (auto& [id, job] : state_.jobs)
    if (job->active() && job->waiting > 0 && job->team >= 0 &&
        !state_.quotas.is_limit_reserved(*job) && now >= job->backoff_until &&
        !state_.failures.is_quarantined(job->index) &&
        (job->within_guarantee || state_.quotas.fits_guarantee(*job) ||
         job->priority > wire::Priority::low))
      wanting.push_back(job.get());
  std::sort(wanting.begin(), wanting.end(), [](const JobState* a, const JobState* b) {
    if (a->within_guarantee != b->within_guarantee) return a->within_guarantee;
    if (a->priority != b->priority) return a->priority > b->priority;
    return a->ready_at < b->ready_at;
  });
  return wanting;
}

// Only machines with a task that might be stopped, or with capacity left, come into question.
std::vector<Machine*> Preemptor::open_machines(Ms now) {
  const auto may_be_stopped = [](const auto& task) {
    return task.second.job->spec.checkpoint_s > 0 && !task.second.stopping;
  };
  std::vector<Machine*> open;
  for (auto* machine : state_.machines.all())
    if (state_.machines.usable(now, *machine) &&
        (machine->free_capacity.cpus > kEpsilon ||
         std::any_of(machine->tasks.begin(), machine->tasks.end(), may_be_stopped)))
      open.push_back(machine);
  state_.placement_work += state_.machines.size();
  return open;
}

bool Preemptor::is_dearer(const Offer& a, const Offer& b) {
  return a.loss != b.loss ? a.loss > b.loss : a.at > b.at;
}

// Only the machine used changes by an assignment, so each machine's offer is worked out once for a
// job and again only after it was taken.
void Preemptor::make_capacity(Ms now, JobState& job, const std::vector<Machine*>& open,
                              std::vector<Machine*>& affected) {
  std::vector<Offer> offers;
  for (std::uint32_t at = 0; at < open.size(); ++at)
    if (auto offer = offer_of(now, job, *open[at], at)) offers.push_back(std::move(*offer));
  std::make_heap(offers.begin(), offers.end(), is_dearer);
  const auto push = [&offers](Offer offer) {
    offers.push_back(std::move(offer));
    std::push_heap(offers.begin(), offers.end(), is_dearer);
  };
  while (job.waiting > 0 && state_.quotas.fits_limit(job) && !offers.empty()) {
    std::pop_heap(offers.begin(), offers.end(), is_dearer);
    const auto at = offers.back().at;
    const double expected_loss = offers.back().loss;
    offers.pop_back();
    // The job's own last task may have closed a zone or used up what a team had borrowed.
    auto& machine = *open[at];
    auto best = offer_of(now, job, machine, at);
    if (!best) continue;
    if (best->loss > expected_loss) {
      push(std::move(*best));
      continue;
    }
    stop_victims(job, machine, *best);
    scheduler_.assign(now, job, machine, static_cast<std::uint32_t>(job.next_waiting()));
    if (std::find(affected.begin(), affected.end(), &machine) == affected.end())
      affected.push_back(&machine);
    if (auto next = offer_of(now, job, machine, at)) push(std::move(*next));
  }
}

// Capacity that is set aside for a job is not another's, or what looked for victims took it at no
// loss at all.
bool Preemptor::is_ruled_out(JobState& job, const Machine& machine) const {
  if (machine.reserved_for != 0 && machine.reserved_for != job.index) return true;
  const auto next_task = static_cast<std::uint32_t>(std::max<std::int64_t>(0, job.next_waiting()));
  return machine.in_flight.contains_task({job.index, next_task}) ||
         !size_of(job.spec).fits(machine.capacity) || !is_allowed_on(job, machine) ||
         machine.tasks.size() >= machine_tasks_most(context_.platform);
}

std::optional<Preemptor::Offer> Preemptor::offer_of(Ms now, JobState& job, Machine& machine,
                                                    std::uint32_t at) {
  ++state_.placement_work;
  if (is_ruled_out(job, machine)) return std::nullopt;
  const Size size = size_of(job.spec);
  Offer offer;
  offer.at = at;
  Size free_capacity = machine.free_capacity;
  if (size.fits(free_capacity)) return offer;
  struct Victim {
    double loss;
    Placement* placement;
  };
  std::vector<Victim> victims;
  for (auto& [key, placement] : machine.tasks)
    if (const auto loss = loss_of(now, placement, job)) victims.push_back({*loss, &placement});
  state_.placement_work += machine.tasks.size();
  std::sort(victims.begin(), victims.end(),
            [](const Victim& a, const Victim& b) { return a.loss < b.loss; });
  for (const auto& victim : victims) {
    if (size.fits(free_capacity)) break;
    free_capacity.add(size_of(victim.placement->job->spec));
    offer.loss += victim.loss;
    offer.victims.push_back(victim.placement);
  }
  if (!size.fits(free_capacity)) return std::nullopt;
  return offer;
}

void Preemptor::stop_victims(const JobState& job, Machine& machine, const Offer& offer) {
  for (auto* victim : offer.victims) {
    const auto& spec = victim->job->spec;
    victim->stopping = machine.stopping = true;
    // A best-effort team's task goes at once for work within a guarantee, back to its last
    // checkpoint: the time it would take to save is most of what a guarantee allows for a start.
    const bool at_once = job.within_guarantee && state_.quotas.is_best_effort(*victim->job);
    victim->grace_s = at_once ? 0 : spec.save_s + kStopGraceMarginS;
    // What is being stopped frees its capacity now; the launch waits for the facts.
    machine.free_capacity.add(size_of(spec));
    victim->capacity_reassigned = true;
  }
  if (offer.victims.empty()) return;
  context_.log(Event::capacity_freed, machine.name, job.spec.id, offer.victims.size());
  context_.metrics().add(telemetry::Count::stops, telemetry::StopReason::preempted,
                         static_cast<double>(offer.victims.size()));
}

// ---- who may be stopped -------------------------------------------------------------------------

// What is lost when this task is stopped for `job`: seconds of saving times processors. Nothing: it
// may not or should not be stopped.
std::optional<double> Preemptor::loss_of(Ms now, const Placement& placement,
                                         const JobState& job) const {
  const auto& victim = *placement.job;
  // A task that cannot save loses all it has done. Stopping such tasks was measured: the waste cost
  // more than the guarantees gained, on both deployments.
  if (victim.spec.checkpoint_s <= 0) return std::nullopt;
  if (placement.stopping || placement.stage == PlacementStage::assigned ||
      placement.stage == PlacementStage::saving || &victim == &job)
    return std::nullopt;
  if (!may_preempt(victim, job)) return std::nullopt;
  // Not what is nearly done, as far as the prediction can be trusted.
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
  // A best-effort team's priority does not reach into what another team is guaranteed: that team
  // would stop the best-effort team's task for it at once, and the two took the capacity from each
  // other every few seconds until the day was over.
  const bool guaranteed = quotas.is_best_effort(job) && !victim_best_effort && !team_borrows;
  const bool lower = victim.priority < job.priority &&
                     (job.within_guarantee || (!victim.within_guarantee && !guaranteed));
  // For a whole job within its team's guarantee whoever borrows gives way; for the part of a larger
  // job only best-effort teams do: among teams with guarantees it was measured to cost more, in
  // saving and moving, than it gave.
  const bool may_take_back =
      job.within_guarantee || (quotas.fits_guarantee(job) && victim_best_effort);
  const bool borrowed =
      may_take_back && !victim.within_guarantee && victim.team != job.team && team_borrows;
  return lower || borrowed;
}

}  // namespace hitchfront::core
