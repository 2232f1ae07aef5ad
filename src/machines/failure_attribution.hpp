// Attributes task failures to jobs or machines. A job that has failed on several machines and
// completed on none is at fault itself, and its failures do not count against the machines. A
// machine on which tasks of jobs fail that complete elsewhere is faulty.
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

  // Records that a task of the job has completed on the machine.
  void record_completion(JobIndex job, const std::string& machine);
  // Records that the job completed tasks under an earlier leader.
  void record_earlier_completion(JobIndex job) { jobs_[job].has_completed_task = true; }
  // Records that a task of the job has failed on the machine. Returns the job's failures since its
  // last completion.
  std::uint32_t record_failure(JobIndex job, const std::string& machine);

  // True if the job has failed on several machines and completed on none.
  bool is_quarantined(JobIndex job) const;
  // True if a task of the job has completed, on any machine. Its failures then count against the
  // machines.
  bool has_completed_task(JobIndex job) const;
  bool faulty(const std::string& machine) const;
  // Machines on which the job has failed, or null if there are none.
  const std::set<std::string>* failed_on(JobIndex job) const;
  // Machines on which the job should not be tried again, or null if there are none. A quarantined
  // job may be tried anywhere.
  const std::set<std::string>* machines_to_avoid(JobIndex job) const {
    return is_quarantined(job) ? nullptr : failed_on(job);
  }

  void forget_job(JobIndex job);
  void forget_machine(const std::string& machine);

 private:
  struct Job {
    bool has_completed_task = false;
    std::uint32_t failures = 0;      // since its last completion
    std::set<std::string> machines;  // on which it has failed
  };
  struct Machine {
    std::map<JobIndex, std::uint32_t> failures_by_job;
    // Failures of jobs that had completed a task and have ended since.
    std::uint32_t failures_of_ended_jobs = 0;
    std::uint32_t completions = 0;  // since its first failure
  };
  std::unordered_map<JobIndex, Job> jobs_;
  std::unordered_map<std::string, Machine> machines_;
};

}  // namespace hitchfront::core
