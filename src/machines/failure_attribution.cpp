#include "machines/failure_attribution.hpp"

#include "settings/constants.hpp"

namespace hitchfront::core {
using namespace settings;

void FailureAttribution::record_completion(JobIndex job, const std::string& machine) {
  auto& history = jobs_[job];
  history.has_completed_task = true;
  history.failures = 0;
  if (auto it = machines_.find(machine); it != machines_.end()) ++it->second.completions;
}

std::uint32_t FailureAttribution::record_failure(JobIndex job, const std::string& machine) {
  auto& history = jobs_[job];
  if (history.machines.size() < kMaxFailedMachinesPerJob) history.machines.insert(machine);
  ++machines_[machine].failures_by_job[job];
  return ++history.failures;
}

bool FailureAttribution::is_quarantined(JobIndex job) const {
  const auto it = jobs_.find(job);
  return it != jobs_.end() && !it->second.has_completed_task &&
         it->second.machines.size() >= kMinFailedMachinesForQuarantine;
}

bool FailureAttribution::has_completed_task(JobIndex job) const {
  const auto it = jobs_.find(job);
  return it != jobs_.end() && it->second.has_completed_task;
}

bool FailureAttribution::faulty(const std::string& machine) const {
  const auto it = machines_.find(machine);
  if (it == machines_.end()) return false;
  std::uint32_t failures = it->second.failures_of_ended_jobs;
  for (const auto& [job, count] : it->second.failures_by_job)
    if (has_completed_task(job)) failures += count;
  // A machine that completes a few tasks may be faulty all the same.
  return failures >= kMinFaultyMachineFailures &&
         failures * kMinCompletionsPerFailure > it->second.completions;
}

const std::set<std::string>* FailureAttribution::failed_on(JobIndex job) const {
  const auto it = jobs_.find(job);
  return it == jobs_.end() || it->second.machines.empty() ? nullptr : &it->second.machines;
}

void FailureAttribution::forget_job(JobIndex job) {
  const auto it = jobs_.find(job);
  if (it == jobs_.end()) return;
  for (const auto& name : it->second.machines) {
    const auto machine = machines_.find(name);
    if (machine == machines_.end()) continue;
    const auto failures = machine->second.failures_by_job.find(job);
    if (failures == machine->second.failures_by_job.end()) continue;
    // Failures of a job that has completed tasks keep counting against the machine; those of any
    // other job are dropped with it.
    if (it->second.has_completed_task) machine->second.failures_of_ended_jobs += failures->second;
    machine->second.failures_by_job.erase(failures);
  }
  jobs_.erase(it);
}

void FailureAttribution::forget_machine(const std::string& machine) {
  const auto it = machines_.find(machine);
  if (it == machines_.end()) return;
  machines_.erase(it);
  for (auto& [index, job] : jobs_) job.machines.erase(machine);
}

}  // namespace hitchfront::core
