// Who is at fault when a task fails: its job, its machine, or nobody yet. Evidence counts on both
// sides: a job that has failed on several machines and completed nowhere says nothing about them,
// and a machine on which tasks of jobs fail that complete elsewhere is faulty.
#pragma once
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>

namespace hitchfront::core {

class FailureAttribution {
 public:
  using JobIndex = std::uint64_t;

  void completed(JobIndex job, const std::string& machine);
  void mark_sound(JobIndex job) {
    jobs_[job].sound = true;
  }  // it has completed tasks under an earlier leader
  // Returns how often the job has failed since it last completed a task.
  std::uint32_t failed(JobIndex job, const std::string& machine);

  // Has failed on several machines and completed nowhere.
  bool is_quarantined(JobIndex job) const;
  // Completed somewhere: what of it fails tells about the machine.
  bool is_sound(JobIndex job) const;
  bool faulty(const std::string& machine) const;
  // Machines on which the job has failed, or null.
  const std::set<std::string>* failed_on(JobIndex job) const;
  // The same, as far as it should not be tried there again: what fails everywhere may be tried
  // anywhere.
  const std::set<std::string>* avoided(JobIndex job) const {
    return is_quarantined(job) ? nullptr : failed_on(job);
  }

  void forget_job(JobIndex job);
  void forget_machine(const std::string& machine);

 private:
  struct Job {
    bool sound = false;
    std::uint32_t failures = 0;  // since its last completion
    std::set<std::string> machines;
  };
  struct Machine {
    std::map<JobIndex, std::uint32_t> fails;
    std::uint32_t failures_of_ended_sound_jobs = 0;
    std::uint32_t completions = 0;  // since its first failure
  };
  std::unordered_map<JobIndex, Job> jobs_;
  std::unordered_map<std::string, Machine> machines_;
};

}  // namespace hitchfront::core
