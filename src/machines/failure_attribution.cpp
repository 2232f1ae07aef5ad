#include "machines/failure_attribution.hpp"

#include "settings/constants.hpp"

namespace hitchfront::core {
using namespace settings;

void FailureAttribution::completed(JobIndex job, const std::string& machine) {
  auto& j = jobs_[job];
  j.sound = true;
  j.failures = 0;
  if (auto it = machines_.find(machine); it != machines_.end()) ++it->second.completions;
}

std::uint32_t FailureAttribution::failed(JobIndex job, const std::string& machine) {
  auto& j = jobs_[job];
  if (j.machines.size() < kMaxFailedMachinesPerJob) j.machines.insert(machine);
  ++machines_[machine].fails[job];
  return ++j.failures;
}

bool FailureAttribution::is_quarantined(JobIndex job) const {
  const auto it = jobs_.find(job);
  return it != jobs_.end() && !it->second.sound &&
         it->second.machines.size() >= kMinFailedMachinesForQuarantine;
}

bool FailureAttribution::is_sound(JobIndex job) const {
  const auto it = jobs_.find(job);
  return it != jobs_.end() && it->second.sound;
}

bool FailureAttribution::faulty(const std::string& machine) const {
  const auto it = machines_.find(machine);
  if (it == machines_.end()) return false;
  std::uint32_t fails = it->second.failures_of_ended_sound_jobs;
  for (const auto& [job, n] : it->second.fails)
    if (is_sound(job)) fails += n;
  // A machine that completes a task now and then may be faulty all the same.
  return fails >= kMinFaultyMachineFailures &&
         fails * kMinCompletionsPerFailure > it->second.completions;
}

const std::set<std::string>* FailureAttribution::failed_on(JobIndex job) const {
  const auto it = jobs_.find(job);
  return it == jobs_.end() || it->second.machines.empty() ? nullptr : &it->second.machines;
}

void FailureAttribution::forget_job(JobIndex job) {
  const auto it = jobs_.find(job);
  if (it == jobs_.end()) return;
  for (const auto& m : it->second.machines) {
    const auto at = machines_.find(m);
    if (at == machines_.end()) continue;
    const auto n = at->second.fails.find(job);
    if (n == at->second.fails.end()) continue;
    // A quarantined job's failures go with it; a proved one's stay: they tell about the machine.
    if (it->second.sound) at->second.failures_of_ended_sound_jobs += n->second;
    at->second.fails.erase(n);
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
