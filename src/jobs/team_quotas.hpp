// Quotas of the teams: their guarantees, their limits, and what they use.
#pragma once
#include <string>
#include <vector>

#include "jobs/job_table.hpp"
#include "machines/failure_attribution.hpp"
#include "settings/platform.hpp"

namespace hitchfront::core {

struct TeamQuota {
  std::string name;
  double cpus = 0, cpus_max = 0, gpus = 0, gpus_max = 0;  // guarantee and limit; may be infinite
  double used_cpus = 0, used_gpus = 0;
  // Index of the job for which the rest of the limit is reserved, set by each scheduling pass;
  // 0: none.
  std::uint64_t limit_reserved_for = 0;
};

// The checks are for one more task of the job, whose team must be known.
class TeamQuotas {
 public:
  explicit TeamQuotas(const std::vector<settings::Team>& teams);

  int index_of(const std::string& name) const;  // -1: unknown
  const std::vector<TeamQuota>& all() const { return teams_; }
  const TeamQuota& of(const JobState& job) const {
    return teams_[static_cast<std::size_t>(job.team)];
  }
  // Adds this many tasks of the job to its team's use; a negative number removes them.
  void add_usage(const JobState& job, double tasks);

  // Whether the task fits what is left of its team's limit.
  bool fits_limit(const JobState& job) const;
  // Whether the task fits what is left of its team's guarantee.
  bool fits_guarantee(const JobState& job) const;
  // Whether the job's team has no guarantee, in a deployment where some team has one.
  bool is_best_effort(const JobState& job) const;
  // Whether the rest of the team's limit is reserved for another job. Jobs within the guarantee are
  // exempt.
  bool is_limit_reserved(const JobState& job) const;
  // Reserves the rest of the team's limit for the job.
  void reserve_limit(const JobState& job) {
    teams_[static_cast<std::size_t>(job.team)].limit_reserved_for = job.index;
  }
  void clear_limit_reservations() {
    for (auto& team : teams_) team.limit_reserved_for = 0;
  }
  // Sets JobState::within_guarantee of each job.
  void update_within_guarantee(JobTable& jobs, const FailureAttribution& failures) const;

 private:
  std::vector<TeamQuota> teams_;
  bool has_guarantees_ = false;
};

}  // namespace hitchfront::core
