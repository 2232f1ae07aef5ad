#include "placement/placement_scheduler.hpp"

#include <algorithm>
#include <cmath>

#include "placement/placement_rules.hpp"
#include "settings/constants.hpp"

namespace hitchfront::core {
using namespace settings;
using portfolio::Size;
namespace {

constexpr std::uint32_t kAllTasks = UINT32_MAX;
constexpr double kEpsilon = 1e-9;  // of processors and prices

double seconds(Ms ms) {
  return static_cast<double>(ms) / 1000;
}

}  // namespace

// What a placement costs decides how soon the next may follow.
void PlacementScheduler::schedule(Ms now) {
  if (!state_.loaded || !state_.placement_needed || now < next_at_) return;
  const auto before = state_.placement_work;
  place(now);
  const auto work = static_cast<double>(state_.placement_work - before);
  context_.metrics().add(telemetry::Count::placement_work, work);
  const double ms = work / std::max(policies_.steps_per_ms(), 1.0);
  next_at_ = now + std::min(kMaxPlacementPauseMs,
                            static_cast<Ms>(ms / (context_.platform.cores * kPlacementCpuShare)));
}

void PlacementScheduler::place(Ms now) {
  std::vector<Machine*> open;
  Reservations reservations(now, state_);
  collect_machines(now, open, reservations);
  state_.placement_needed = false;
  for (const auto& turn : order(now)) take_turn(now, turn, open, reservations);
  recorder_.write(now);
  for (auto* machine : state_.machines.all())
    if (machine->deferred_request && machine->assigned > 0)
      messenger_.respond_if_needed(now, *machine, false);
}

// `open`: those with free capacity.
void PlacementScheduler::collect_machines(Ms now, std::vector<Machine*>& open,
                                          Reservations& reservations) {
  for (auto* machine : state_.machines.all()) {
    machine->reserved_for = 0;
    if (state_.machines.usable(now, *machine)) {
      reservations.add(*machine);
      if (machine->free_capacity.cpus > 0 || machine->free_capacity.gpus > 0)
        open.push_back(machine);
    } else if (machine->assigned > 0) {
      // Assignments to machines that have fallen silent or are leaving go back to the queue.
      state_.placements.vacate_assigned(*machine);
    }
  }
  reservations.begin();
  state_.placement_work += state_.machines.size();
}

std::vector<PlacementScheduler::Turn> PlacementScheduler::order(Ms now) {
  std::vector<Turn> turns;
  std::vector<aging::Waiting> waiting;
  state_.quotas.clear_limit_reservations();
  state_.quotas.update_within_guarantee(state_.jobs, state_.failures);
  for (auto& [id, job] : state_.jobs) {
    if (!job->active() || job->waiting == 0 || job->team < 0 || now < job->backoff_until) continue;
    const double wait_s = seconds(now - job->ready_at);
    const double policy_key = portfolio::order_key(
        policies_.policy().order, wait_s, state_.run_times.run_time_s(*job), job->spec.tasks);
    turns.push_back({state_.quotas.is_best_effort(*job),
                     is_late(*job, seconds(now - job->submitted_at)), policy_key, job.get(),
                     aging::Turn::usual, kAllTasks, false});
    waiting.push_back({turns.size() - 1, wait_s, state_.has_begun(*job), job->within_guarantee});
  }
  for (const auto& aged : aging::turns(waiting, state_.machines.size(),
                                       {kAgedWaitS, kDueWaitS, kAgedReservationShare})) {
    auto turn = turns[aged.job];
    turn.aged = aged.turn;
    turn.most = 1;
    turn.aside = aged.aside;
    turns.push_back(turn);
  }
  state_.placement_work += state_.jobs.size();
  std::sort(turns.begin(), turns.end(), goes_before);
  return turns;
}

bool PlacementScheduler::goes_before(const Turn& a, const Turn& b) {
  if (a.job->within_guarantee != b.job->within_guarantee) return a.job->within_guarantee;
  const bool a_due = a.aged == aging::Turn::due, b_due = b.aged == aging::Turn::due;
  if (a_due != b_due) return a_due;
  if (a.job->priority != b.job->priority) return a.job->priority > b.job->priority;
  if (a.aged != b.aged) return a.aged > b.aged;
  if (a.aged != aging::Turn::usual && a.job->ready_at != b.job->ready_at)
    return a.job->ready_at < b.job->ready_at;
  if (a.best_effort != b.best_effort) return b.best_effort;
  if (a.late != b.late) return b.late;
  if (a.policy_key != b.policy_key) return a.policy_key > b.policy_key;
  return a.job->index < b.job->index;
}

void PlacementScheduler::take_turn(Ms now, const Turn& turn, std::vector<Machine*>& open,
                                   Reservations& reservations) {
  auto& job = *turn.job;
  auto& quotas = state_.quotas;
  if (quotas.is_limit_reserved(job)) return;
  const auto before = job.waiting;
  fill(now, job, open, turn.most);
  if (turn.aged != aging::Turn::usual && job.waiting == before) {
    if (!quotas.fits_limit(job))
      quotas.reserve_limit(job);
    else if (turn.aside)
      reservations.reserve(job, 1);
  }
  if (job.within_guarantee && job.waiting > 0 && quotas.fits_limit(job))
    reservations.reserve(job, kAllTasks);
  if (job.waiting != before)
    std::erase_if(open, [](const Machine* machine) {
      return machine->free_capacity.cpus < kEpsilon && machine->free_capacity.gpus < kEpsilon;
    });
  if (job.required_watermark > job.launch_watermark) writer_.persist(now, job);
}

// Its deadline can't be met any more, however many of its tasks its team's limit lets run at once.
bool PlacementScheduler::is_late(const JobState& job, double since_submission_s) const {
  if (!job.spec.deadline_s) return false;
  const double limit_cpus = std::max(state_.quotas.of(job).cpus_max, job.spec.cpus);
  const double rounds = std::max(1.0, std::ceil(job.waiting * job.spec.cpus / limit_cpus));
  return since_submission_s + rounds * state_.run_times.run_time_s(job) > *job.spec.deadline_s;
}

// ---- one job ------------------------------------------------------------------------------------

// A machine's merit for a job. The paper has one machine type and unstoppable jobs; here machines
// differ in price and take several tasks.
struct PlacementScheduler::Merit {
  bool slow = false;
  bool without_image = false;
  double price = 0, policy = 0;
  std::uint32_t at = 0;  // among the open machines
};

// Slow machines are used last. The cheaper machine goes first, so that dearer ones run empty and
// can be returned; then one that has the image; then the policy.
bool PlacementScheduler::is_worse(const Merit& a, const Merit& b) {
  if (a.slow != b.slow) return a.slow;
  if (std::abs(a.price - b.price) > kEpsilon) return a.price > b.price;
  if (a.without_image != b.without_image) return a.without_image;
  if (a.policy != b.policy) return a.policy > b.policy;
  return a.at > b.at;
}

PlacementScheduler::Merit PlacementScheduler::merit_of(Ms now, const JobState& job, double run_s,
                                                       const Machine& machine) const {
  Merit merit;
  merit.slow = machine.pace > kSlowMachinePace;
  merit.price = state_.catalog.price_of(machine) * size_of(job.spec).share_of(machine.capacity);
  merit.without_image =
      std::find(machine.images.begin(), machine.images.end(), job.image) == machine.images.end();
  // The fetch is paid like the run, and what goes first is late by it.
  if (merit.without_image) {
    const double gb_per_s = std::max(state_.catalog.type(machine.type).fetch_gb_per_s, 1e-3);
    const double fetch_s = job.spec.image_gb / gb_per_s;
    const bool urgent = job.priority > wire::Priority::normal;
    merit.price *= 1 + fetch_s / run_s * (urgent ? kUrgentFetchCostFactor : 1);
  }
  // First fit, which makes no distinction, takes the fullest.
  const auto choose = policies_.policy().choose;
  if (choose == portfolio::Choose::first_fit) {
    merit.policy = machine.free_capacity.share_of(machine.capacity);
    return merit;
  }
  merit.policy = portfolio::left_after(seconds(now - machine.billed_since), run_s,
                                       policies_.params().charge_unit_s);
  if (choose == portfolio::Choose::worst_fit) merit.policy = -merit.policy;
  return merit;
}

// A heap, the best at the top.
std::vector<PlacementScheduler::Merit> PlacementScheduler::rank(
    Ms now, const JobState& job, const std::vector<Machine*>& open) const {
  const Size size = size_of(job.spec);
  const double run_s = state_.run_times.run_time_s(job);
  const auto* machines_to_avoid = state_.failures.machines_to_avoid(job.index);
  std::vector<Merit> merits;
  for (std::uint32_t at = 0; at < open.size(); ++at) {
    const auto& machine = *open[at];
    const bool reserved = machine.reserved_for != 0 && machine.reserved_for != job.index;
    if (!size.fits(machine.free_capacity) || reserved || !is_allowed_on(job, machine)) continue;
    if (machines_to_avoid != nullptr && machines_to_avoid->contains(machine.name)) continue;
    merits.push_back(merit_of(now, job, run_s, machine));
    merits.back().at = at;
  }
  std::make_heap(merits.begin(), merits.end(), is_worse);
  return merits;
}

// A job that has failed on several machines and completed nowhere is tried one task at a time.
std::uint32_t PlacementScheduler::tries(const JobState& job, std::uint32_t most) const {
  if (!state_.failures.is_quarantined(job.index)) return std::min(most, job.waiting);
  return job.placed + job.unknown > 0 ? 0 : 1;
}

// A machine's merit for a job does not fall as the job's tasks fill it, so each is ranked once and
// filled before the next: the same places as looking at every machine for each task.
void PlacementScheduler::fill(Ms now, JobState& job, const std::vector<Machine*>& open,
                              std::uint32_t most) {
  if (!state_.quotas.fits_limit(job)) return;
  auto left = tries(job, most);
  if (left == 0) return;
  const Size size = size_of(job.spec);
  auto merits = rank(now, job, open);
  state_.placement_work += open.size() + merits.size();
  const auto tasks_most = machine_tasks_most(context_.platform);
  Machine* barred = nullptr;
  while (!merits.empty() && left > 0) {
    std::pop_heap(merits.begin(), merits.end(), is_worse);
    auto& machine = *open[merits.back().at];
    merits.pop_back();
    // Zones may have closed to the job with its own last task.
    while (left > 0 && size.fits(machine.free_capacity) && state_.quotas.fits_limit(job) &&
           is_allowed_on(job, machine) && machine.tasks.size() < tasks_most) {
      const auto next = job.next_waiting();
      if (next < 0) return;
      const auto task = static_cast<std::uint32_t>(next);
      // Another attempt of it may still be launched here, for as long as the incarnation lasts.
      if (machine.in_flight.contains_task({job.index, task})) {
        barred = &machine;
        break;
      }
      assign(now, job, machine, task);
      --left;
      ++state_.placement_work;
    }
    if (!state_.quotas.fits_limit(job)) return;
  }
  // Nowhere else: the machine gets nothing more and is returned once it is empty, and another is
  // rented. A task once waited for 100 s beside an empty machine that was barred to its job and
  // passed for capacity.
  if (barred != nullptr && left > 0) barred->draining = true;
}

void PlacementScheduler::assign(Ms now, JobState& job, Machine& machine, std::uint32_t task) {
  Placement placement;
  placement.placed_at = now;
  placement.recorded = !recorder_.enabled();
  state_.placements.occupy(machine, job, task, placement);
  recorder_.needed_now(now, machine.name);
  machine.record_image(job.image);
  if (task < job.required_watermark) return;
  // Stored before the first launch beyond it; four times as far, so that a large job costs few
  // writes while a new leader still need not reconcile tasks that were never launched.
  job.required_watermark = std::min(
      job.spec.tasks, std::max({task + 1, 4 * job.required_watermark, kInitialLaunchWatermark}));
}

}  // namespace hitchfront::core
