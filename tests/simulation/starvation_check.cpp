#include "simulation/starvation_check.hpp"

#include <algorithm>

namespace hitchfront::testing {
namespace {

constexpr double kRounding = 1e-6;  // of sums of processors and memory

bool has_waiting_task(const InvariantChecker& checker, const std::string& id) {
  const auto& job = checker.jobs.at(id);
  for (std::uint32_t task = 0; task < job.spec.tasks; ++task)
    if (!job.done.contains(task) && !checker.is_on(id, task)) return true;
  return false;
}

bool may_run_on(const wire::Job& job, const simulators::Worker::Place& place) {
  if (job.zone && *job.zone != place.zone) return false;
  if (!job.spot && place.spot) return false;
  return !job.types ||
         std::find(job.types->begin(), job.types->end(), place.type) != job.types->end();
}

bool has_capacity(const InvariantChecker& checker, const simulators::Worker& worker,
                  const wire::Job& job) {
  double cpus = job.cpus, memory = job.memory_gb;
  for (const auto& [key, task] : worker.tasks()) {
    if (task.state == wire::TaskState::ended) continue;
    const auto& other = checker.jobs.at(key.first).spec;
    cpus += other.cpus;
    memory += other.memory_gb;
  }
  return cpus <= worker.place().cpus + kRounding && memory <= worker.place().memory_gb + kRounding;
}

std::set<std::string> machines_for(const InvariantChecker& checker,
                                   const SimulatedPlatform& platform, const wire::Job& job) {
  std::set<std::string> machines;
  for (const auto& [name, worker] : platform.workers()) {
    if (worker->hung || worker->taken_at || platform.faulty().contains(name)) continue;
    if (may_run_on(job, worker->place()) && has_capacity(checker, *worker, job))
      machines.insert(name);
  }
  return machines;
}

}  // namespace

void check_starvation(SimulationContext& context, const SimulatedUsers& users,
                      const SimulatedPlatform& platform) {
  auto& checker = context.observed.checker;
  std::vector<std::string> waiting;
  double most_cpus = 0;
  for (const auto& user : users.all()) {
    const auto& job = checker.jobs.at(user.id);
    if (!user.accepted || checker.is_called_off(user.id) || job.always_fails ||
        job.done.size() == job.spec.tasks || checker.waits_for_others(user.id))
      continue;
    if (!has_waiting_task(checker, user.id)) {
      checker.note_starving(context.now(), user.id, {});
      continue;
    }
    waiting.push_back(user.id);
    most_cpus = std::max(most_cpus, job.spec.cpus);
  }
  for (const auto& id : waiting) {
    const auto& job = checker.jobs.at(id).spec;
    const bool below_limit =
        checker.used(job.team) + job.cpus <= checker.team_limit[job.team] + kRounding;
    const bool free_to_run = !job.one_zone && !job.spread && job.cpus >= most_cpus && below_limit;
    checker.note_starving(
        context.now(), id,
        free_to_run ? machines_for(checker, platform, job) : std::set<std::string>{});
  }
}

}  // namespace hitchfront::testing
