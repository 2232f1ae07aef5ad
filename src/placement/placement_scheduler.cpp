#include "placement/placement_scheduler.hpp"

#include <algorithm>
#include <cmath>

#include "placement/placement_rules.hpp"
#include "settings/constants.hpp"

namespace hitchfront::core {
using namespace settings;
using portfolio::Resources;
namespace {

constexpr std::uint32_t kAllTasks = UINT32_MAX;
constexpr double kEpsilon = 1e-9;  // tolerance for CPUs, GPUs and costs

double to_seconds(Ms ms) {
  return static_cast<double>(ms) / 1000;
}

}  // namespace

// The pause after a pass is proportional to the work of the pass, which limits placement's share of
// the CPU.
void PlacementScheduler::schedule(Ms now) {
  if (!state_.loaded || !state_.placement_needed || now < next_pass_at_) return;
  const auto work_before = state_.placement_work;
  run_pass(now);
  const auto work = static_cast<double>(state_.placement_work - work_before);
  context_.metrics().add(telemetry::Count::placement_work, work);
  const double work_ms = work / std::max(policies_.steps_per_ms(), 1.0);
  next_pass_at_ =
      now + std::min(kMaxPlacementPauseMs,
                     static_cast<Ms>(work_ms / (context_.platform.cores * kPlacementCpuShare)));
}

void PlacementScheduler::run_pass(Ms now) {
  std::vector<Machine*> available_machines;
  Reservations reservations(now, state_);
  collect_machines(now, available_machines, reservations);
  state_.placement_needed = false;
  for (const auto& entry : build_queue(now))
    process_entry(now, entry, available_machines, reservations);
  recorder_.write(now);
  for (auto* machine : state_.machines.all())
    if (machine->deferred_request && machine->assigned > 0)
      messenger_.respond_if_needed(now, *machine, false);
}

void PlacementScheduler::collect_machines(Ms now, std::vector<Machine*>& available_machines,
                                          Reservations& reservations) {
  for (auto* machine : state_.machines.all()) {
    machine->reserved_for = 0;
    if (state_.machines.usable(now, *machine)) {
      reservations.add(*machine);
      if (machine->free_capacity.cpus > 0 || machine->free_capacity.gpus > 0)
        available_machines.push_back(machine);
    } else if (machine->assigned > 0) {
      // Tasks assigned to a machine that has become silent or is being removed return to the queue.
      state_.placements.remove_assigned_placements(*machine);
    }
  }
  reservations.start_reserving();
  state_.placement_work += state_.machines.size();
}

std::vector<PlacementScheduler::QueueEntry> PlacementScheduler::build_queue(Ms now) {
  std::vector<QueueEntry> queue;
  std::vector<aging::WaitingJob> waiting;
  state_.quotas.clear_limit_reservations();
  state_.quotas.update_within_guarantee(state_.jobs, state_.failures);
  for (auto& [id, job] : state_.jobs) {
    if (!job->active() || job->waiting == 0 || job->team < 0 || now < job->backoff_until) continue;
    const double wait_s = to_seconds(now - job->ready_at);
    const double policy_key = portfolio::order_key(
        policies_.policy().order, wait_s, state_.run_times.run_time_s(*job), job->spec.tasks);
    queue.push_back({state_.quotas.is_best_effort(*job),
                     will_miss_deadline(*job, to_seconds(now - job->submitted_at)), policy_key,
                     job.get(), aging::AgingLevel::normal, kAllTasks, false});
    waiting.push_back({queue.size() - 1, wait_s, state_.has_begun(*job), job->within_guarantee});
  }
  for (const auto& aged : aging::aged_jobs(waiting, state_.machines.size(),
                                           {kAgedWaitS, kDueWaitS, kAgedReservationShare})) {
    auto entry = queue[aged.job];
    entry.aging_level = aged.level;
    entry.max_tasks = 1;
    entry.may_reserve = aged.may_reserve;
    queue.push_back(entry);
  }
  state_.placement_work += state_.jobs.size();
  std::sort(queue.begin(), queue.end(), precedes);
  return queue;
}

bool PlacementScheduler::precedes(const QueueEntry& a, const QueueEntry& b) {
  if (a.job->within_guarantee != b.job->within_guarantee) return a.job->within_guarantee;
  const bool a_due = a.aging_level == aging::AgingLevel::due,
             b_due = b.aging_level == aging::AgingLevel::due;
  if (a_due != b_due) return a_due;
  if (a.job->priority != b.job->priority) return a.job->priority > b.job->priority;
  if (a.aging_level != b.aging_level) return a.aging_level > b.aging_level;
  if (a.aging_level != aging::AgingLevel::normal && a.job->ready_at != b.job->ready_at)
    return a.job->ready_at < b.job->ready_at;
  if (a.best_effort != b.best_effort) return b.best_effort;
  if (a.misses_deadline != b.misses_deadline) return b.misses_deadline;
  if (a.policy_key != b.policy_key) return a.policy_key > b.policy_key;
  return a.job->index < b.job->index;
}

void PlacementScheduler::process_entry(Ms now, const QueueEntry& entry,
                                       std::vector<Machine*>& available_machines,
                                       Reservations& reservations) {
  auto& job = *entry.job;
  auto& quotas = state_.quotas;
  if (quotas.is_limit_reserved(job)) return;
  const auto waiting_before = job.waiting;
  place_tasks(now, job, available_machines, entry.max_tasks);
  if (entry.aging_level != aging::AgingLevel::normal && job.waiting == waiting_before) {
    if (!quotas.fits_limit(job))
      quotas.reserve_limit(job);
    else if (entry.may_reserve)
      reservations.reserve(job, 1);
  }
  if (job.within_guarantee && job.waiting > 0 && quotas.fits_limit(job))
    reservations.reserve(job, kAllTasks);
  if (job.waiting != waiting_before)
    std::erase_if(available_machines, [](const Machine* machine) {
      return machine->free_capacity.cpus < kEpsilon && machine->free_capacity.gpus < kEpsilon;
    });
  if (job.required_watermark > job.launch_watermark) writer_.persist(now, job);
}

// Optimistic: assumes that the job runs as many tasks in parallel as its team's CPU limit allows.
bool PlacementScheduler::will_miss_deadline(const JobState& job, double since_submission_s) const {
  if (!job.spec.deadline_s) return false;
  const double limit_cpus = std::max(state_.quotas.of(job).cpus_max, job.spec.cpus);
  const double rounds = std::max(1.0, std::ceil(job.waiting * job.spec.cpus / limit_cpus));
  return since_submission_s + rounds * state_.run_times.run_time_s(job) > *job.spec.deadline_s;
}

// --- placement of one job ---

// How well a machine suits a job; in each field, less is better. is_worse() defines the order.
struct PlacementScheduler::PlacementScore {
  bool slow = false;
  bool without_image = false;
  double cost = 0;                  // price per hour of one task's share, plus the image fetch
  double policy_cost = 0;           // by the policy's machine selection
  std::uint32_t machine_index = 0;  // among the available machines
};

// Slow machines are a last resort. Of the others cheaper ones go first, so that expensive machines
// become idle and can be returned; then those that have cached the image; then the policy decides.
bool PlacementScheduler::is_worse(const PlacementScore& a, const PlacementScore& b) {
  if (a.slow != b.slow) return a.slow;
  if (std::abs(a.cost - b.cost) > kEpsilon) return a.cost > b.cost;
  if (a.without_image != b.without_image) return a.without_image;
  if (a.policy_cost != b.policy_cost) return a.policy_cost > b.policy_cost;
  return a.machine_index > b.machine_index;
}

PlacementScheduler::PlacementScore PlacementScheduler::score_machine(Ms now, const JobState& job,
                                                                     double run_s,
                                                                     const Machine& machine) const {
  PlacementScore score;
  score.slow = machine.pace > kSlowMachinePace;
  score.cost =
      state_.catalog.price_of(machine) * size_of(job.spec).dominant_share_of(machine.capacity);
  score.without_image =
      std::find(machine.images.begin(), machine.images.end(), job.image) == machine.images.end();
  // The fetch time is charged like run time, and delays urgent jobs.
  if (score.without_image) {
    const double gb_per_s = std::max(state_.catalog.type(machine.type).fetch_gb_per_s, 1e-3);
    const double fetch_s = job.spec.image_gb / gb_per_s;
    const bool urgent = job.priority > wire::Priority::normal;
    score.cost *= 1 + fetch_s / run_s * (urgent ? kUrgentFetchCostFactor : 1);
  }
  // First fit has no preference among machines: the fullest one is used.
  const auto machine_selection = policies_.policy().machine_selection;
  if (machine_selection == portfolio::MachineSelection::first_fit) {
    score.policy_cost = machine.free_capacity.dominant_share_of(machine.capacity);
    return score;
  }
  score.policy_cost = portfolio::remaining_charge_unit_s(to_seconds(now - machine.billed_since),
                                                         run_s, policies_.params().charge_unit_s);
  if (machine_selection == portfolio::MachineSelection::worst_fit)
    score.policy_cost = -score.policy_cost;
  return score;
}

std::vector<PlacementScheduler::PlacementScore> PlacementScheduler::score_machines(
    Ms now, const JobState& job, const std::vector<Machine*>& available_machines) const {
  const Resources size = size_of(job.spec);
  const double run_s = state_.run_times.run_time_s(job);
  const auto* machines_to_avoid = state_.failures.machines_to_avoid(job.index);
  std::vector<PlacementScore> scores;
  for (std::uint32_t index = 0; index < available_machines.size(); ++index) {
    const auto& machine = *available_machines[index];
    const bool reserved = machine.reserved_for != 0 && machine.reserved_for != job.index;
    if (!size.fits(machine.free_capacity) || reserved || !is_allowed_on(job, machine)) continue;
    if (machines_to_avoid != nullptr && machines_to_avoid->contains(machine.name)) continue;
    scores.push_back(score_machine(now, job, run_s, machine));
    scores.back().machine_index = index;
  }
  std::make_heap(scores.begin(), scores.end(), is_worse);
  return scores;
}

// A quarantined job (failed on several machines, completed on none) is tried one task at a time.
std::uint32_t PlacementScheduler::placeable_tasks(const JobState& job,
                                                  std::uint32_t max_tasks) const {
  if (!state_.failures.is_quarantined(job.index)) return std::min(max_tasks, job.waiting);
  return job.placed + job.unknown > 0 ? 0 : 1;
}

// A machine's score for a job does not get worse while the job's tasks are placed on it. So each
// machine is scored once and filled before the next, with the same result as scoring all machines
// for each task.
void PlacementScheduler::place_tasks(Ms now, JobState& job,
                                     const std::vector<Machine*>& available_machines,
                                     std::uint32_t max_tasks) {
  if (!state_.quotas.fits_limit(job)) return;
  auto remaining_tasks = placeable_tasks(job, max_tasks);
  if (remaining_tasks == 0) return;
  const Resources size = size_of(job.spec);
  auto scores = score_machines(now, job, available_machines);
  state_.placement_work += available_machines.size() + scores.size();
  const auto max_machine_tasks = max_tasks_per_machine(context_.platform);
  while (!scores.empty() && remaining_tasks > 0) {
    std::pop_heap(scores.begin(), scores.end(), is_worse);
    auto& machine = *available_machines[scores.back().machine_index];
    scores.pop_back();
    // Placing a task may exclude zones for the job's next one, so the rules are checked each time.
    while (remaining_tasks > 0 && size.fits(machine.free_capacity) &&
           state_.quotas.fits_limit(job) && is_allowed_on(job, machine) &&
           machine.tasks.size() < max_machine_tasks) {
      const auto next = job.next_waiting();
      if (next < 0) return;
      const auto task = static_cast<std::uint32_t>(next);
      // An earlier attempt of the task, launched directly, may still start there.
      if (!machine.can_fence_task({job.index, task})) break;
      assign(now, job, machine, task);
      --remaining_tasks;
      ++state_.placement_work;
    }
    if (!state_.quotas.fits_limit(job)) return;
  }
}

void PlacementScheduler::assign(Ms now, JobState& job, Machine& machine, std::uint32_t task) {
  machine.fence_task({job.index, task});
  Placement placement;
  placement.placed_at = now;
  placement.recorded = !recorder_.enabled();
  state_.placements.add_placement(machine, job, task, placement);
  recorder_.mark_urgent(now, machine.name);
  machine.record_image(job.image);
  if (task < job.required_watermark) return;
  // The watermark is stored before any launch beyond it. Raising it by a factor of 4 keeps writes
  // few for a large job, and limits how many tasks that were never launched a new leader has to
  // reconcile.
  job.required_watermark = std::min(
      job.spec.tasks, std::max({task + 1, 4 * job.required_watermark, kInitialLaunchWatermark}));
}

}  // namespace hitchfront::core
