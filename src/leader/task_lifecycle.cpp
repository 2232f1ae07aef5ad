#include "leader/task_lifecycle.hpp"

#include <algorithm>

#include "settings/constants.hpp"

namespace hitchfront::core {
using namespace settings;

void TaskLifecycle::confirm_terminated(Ms now, Machine& machine, TaskKey key) {
  const auto it = machine.tasks.find(key);
  if (it == machine.tasks.end()) return;
  auto& job = *it->second.job;
  state_.placements.remove_placement(machine, it);
  if (machine.tasks.empty()) machine.idle_since = now;
  recorder_.mark_changed(now, machine.name);
  if (job.cancelled || job.complete()) writer_.persist(now, job);
}

void TaskLifecycle::confirm_all_terminated(Ms now, Machine& machine) {
  for (const auto& key : machine.task_keys()) confirm_terminated(now, machine, key);
}

void TaskLifecycle::complete(Ms now, Machine& machine, JobState& job, std::uint32_t task) {
  if (job.phase[task] == TaskPhase::done) return;
  state_.placements.mark_done(job, task);
  if (job.progress_due_at == 0) job.progress_due_at = now;
  state_.record_started(job);
  context_.metrics().add(telemetry::Count::completions);
  job.backoff_until = 0;
  auto& failures = state_.failures;
  const auto* failed_on =
      failures.has_completed_task(job.index) ? nullptr : failures.failed_on(job.index);
  failures.record_completion(job.index, machine.name);
  // The job has shown that it can complete: its earlier failures count against those machines.
  if (failed_on != nullptr)
    for (const auto& name : *failed_on)
      if (auto* other = state_.machines.find(name)) cordon_if_faulty(*other);
  if (job.complete()) state_.run_times.observe(job);
  writer_.persist(now, job);
}

void TaskLifecycle::cordon_if_faulty(Machine& machine) {
  if (machine.cordoned || !state_.failures.faulty(machine.name)) return;
  machine.cordoned = true;
  context_.log(Event::machine_faulty, machine.name);
}

void TaskLifecycle::fail(Ms now, Machine& machine, JobState& job) {
  auto& failures = state_.failures;
  const bool was_quarantined = failures.is_quarantined(job.index);
  const auto consecutive_failures = failures.record_failure(job.index, machine.name);
  cordon_if_faulty(machine);
  if (failures.has_completed_task(job.index)) return;  // retried elsewhere without delay
  // The job itself may be at fault: retried with exponential backoff, without a limit of attempts.
  constexpr std::uint32_t kMaxBackoffDoublings = 10;
  job.backoff_until =
      now + std::min(kMaxFailureBackoffMs, kInitialFailureBackoffMs << std::min(
                                               consecutive_failures - 1, kMaxBackoffDoublings));
  if (!was_quarantined && failures.is_quarantined(job.index))
    context_.log(Event::job_quarantined, job.spec.id);
}

}  // namespace hitchfront::core
