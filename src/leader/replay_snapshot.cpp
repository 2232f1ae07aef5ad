#include "leader/replay_snapshot.hpp"

#include <algorithm>
#include <map>
#include <unordered_map>

#include "settings/constants.hpp"

namespace hitchfront::core {
using namespace settings;
namespace {

double replay_run_time_s(const LeaderState& state, const JobState& job) {
  return job.spec.form == wire::JobForm::service ? kReplayHorizonS
                                                 : state.run_times.run_time_s(job);
}

// Returns the number of tasks on missing machines by job, and deducts them from their teams' use. A
// missing machine is probably lost, and its tasks will be waiting again when its lease expires:
// counting them as queued already lets a replacement boot in the meantime. This affects the replay
// only; no task is placed elsewhere before the lease has expired.
std::unordered_map<std::uint64_t, std::uint32_t> deduct_missing_tasks(
    Ms now, const LeaderState& state, portfolio::Snapshot& snapshot) {
  std::unordered_map<std::uint64_t, std::uint32_t> missing_tasks;
  for (const auto* machine : state.machines.all()) {
    if (!state.machines.is_missing(now, *machine)) continue;
    for (const auto& [key, placement] : machine->tasks) {
      const auto& job = *placement.job;
      if (!job.active() || job.team < 0 || job.placement_counts[placement.task] > 1) continue;
      ++missing_tasks[key.job];
      auto& team = snapshot.teams[static_cast<std::size_t>(job.team)];
      team.used_cpus -= job.spec.cpus;
      team.used_gpus -= job.spec.gpus;
    }
  }
  return missing_tasks;
}

portfolio::SimJob make_sim_job(Ms now, const LeaderState& state, const JobState& job,
                               std::uint32_t tasks) {
  portfolio::SimJob sim;
  sim.tasks = tasks;
  sim.total_tasks = job.spec.tasks;
  sim.wait_s = static_cast<double>(now - job.ready_at) / 1000;
  sim.run_s = replay_run_time_s(state, job);
  sim.size = size_of(job.spec);
  sim.team = job.team;
  sim.priority = static_cast<int>(job.priority);
  sim.image = job.image;
  sim.image_gb = job.spec.image_gb;
  sim.spot = job.spec.spot;
  sim.within_guarantee = job.within_guarantee;
  sim.aged = !job.within_guarantee && !state.has_begun(job) && sim.wait_s >= kAgedWaitS;
  sim.types = job.types;
  sim.zone = job.zone;
  return sim;
}

void add_queued_jobs(Ms now, const LeaderState& state, portfolio::Snapshot& snapshot) {
  const auto missing_tasks = deduct_missing_tasks(now, state, snapshot);
  for (const auto& [id, job] : state.jobs) {
    const auto missing = missing_tasks.find(job->index);
    auto tasks = job->waiting + (missing == missing_tasks.end() ? 0 : missing->second);
    if (!job->active() || tasks == 0 || job->team < 0 || job->types == 0) continue;
    if (state.failures.is_quarantined(job->index)) {
      // Tried one task at a time on existing machines. One is rented for it only if there is none.
      if (!state.machines.empty() || now < job->backoff_until) continue;
      tasks = 1;
    }
    snapshot.queue.push_back(make_sim_job(now, state, *job, tasks));
  }
  // The job table has no fixed order; the replay's result must not depend on it.
  std::sort(snapshot.queue.begin(), snapshot.queue.end(), [](const auto& a, const auto& b) {
    return a.wait_s != b.wait_s ? a.wait_s > b.wait_s : a.image < b.image;
  });
}

// The tasks of one job on a machine are combined, and end when the last of them does.
void add_running_tasks(Ms now, const LeaderState& state, const Machine& machine,
                       portfolio::SimMachine& sim) {
  constexpr double kMinRemainingS = 0.1;
  std::map<std::uint64_t, portfolio::RunningTasks> running_by_job;
  for (const auto& [key, placement] : machine.tasks) {
    const auto& job = *placement.job;
    auto& running = running_by_job[key.job];
    const double remaining_s =
        RunTimeEstimator::remaining_s(replay_run_time_s(state, job), placement.elapsed_s(now));
    running.tasks = running.end_s == 0 ? 1 : running.tasks + 1;
    running.end_s = std::max(running.end_s, std::max(remaining_s, kMinRemainingS));
    running.size = size_of(job.spec);
    running.team = job.team;
  }
  for (const auto& [index, running] : running_by_job) sim.running.push_back(running);
}

portfolio::SimMachine make_sim_machine(Ms now, const LeaderState& state, const Machine& machine) {
  const auto& type = state.catalog.type(machine.type);
  portfolio::SimMachine sim;
  sim.type = machine.type;
  sim.zone = machine.zone;
  sim.spot = machine.spot;
  sim.unschedulable = machine.cordoned || machine.termination_at != 0;
  sim.capacity = machine.capacity;
  sim.free_capacity = machine.free_capacity;
  sim.age_s = static_cast<double>(now - machine.billed_since) / 1000;
  sim.remaining_boot_s = machine.up ? 0 : std::max(1.0, type.boot_s - sim.age_s);
  sim.price = state.catalog.price_of(machine);
  sim.fetch_gb_per_s = type.fetch_gb_per_s;
  sim.images = machine.images;
  add_running_tasks(now, state, machine, sim);
  return sim;
}

}  // namespace

// Leaves calls for releases and lists. More than one call per offer lets a large fleet scale out
// quickly, and use up cheap offers before expensive ones are requested.
std::uint32_t scale_out_calls_per_round(const Platform& platform) {
  const double calls =
      platform.cloud_rps * kRateLimitShare * static_cast<double>(kCloudRoundIntervalMs) / 1000 -
      kReservedCloudCallsPerRound;
  return static_cast<std::uint32_t>(std::max(1.0, calls));
}

portfolio::Snapshot replay_snapshot(Ms now, LeaderState& state,
                                    const ScaleOutQueue& scale_out_requests,
                                    const Platform& platform) {
  state.quotas.update_within_guarantee(state.jobs, state.failures);
  portfolio::Snapshot snapshot;
  for (const auto& team : state.quotas.all())
    snapshot.teams.push_back(
        {team.cpus, team.cpus_max, team.gpus_max, team.used_cpus, team.used_gpus});
  add_queued_jobs(now, state, snapshot);
  for (const auto* machine : state.machines.all())
    if (machine->type >= 0 && !machine->failed && !machine->releasing && !machine->lost &&
        !state.machines.is_missing(now, *machine))
      snapshot.machines.push_back(make_sim_machine(now, state, *machine));
  const auto& offers = state.catalog.offers();
  for (const auto& request : scale_out_requests)
    snapshot.machines.insert(snapshot.machines.end(), request.count,
                             portfolio::make_booting_machine(offers[request.offer]));
  snapshot.offers = offers;
  for (std::size_t i = 0; i < offers.size(); ++i)
    snapshot.offers[i].free_capacity =
        state.catalog.is_blocked(i, now)
            ? 0
            : kMaxMachinesPerScaleOut * scale_out_calls_per_round(platform);
  return snapshot;
}

}  // namespace hitchfront::core
