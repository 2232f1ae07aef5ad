// What each team is guaranteed, may use at most, and uses.
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
  // A job whose turn it is, and for which the limit has no capacity; set anew by each placement.
  std::uint64_t held_for = 0;
};

// All questions are about one more task of the job, whose team must be known.
class TeamQuotas {
 public:
  explicit TeamQuotas(const std::vector<settings::Team>& teams);

  int index_of(const std::string& name) const;  // -1: not known
  const std::vector<TeamQuota>& all() const { return teams_; }
  const TeamQuota& of(const JobState& job) const {
    return teams_[static_cast<std::size_t>(job.team)];
  }
  // Counts so many tasks of the job as used; negative: no longer.
  void count(const JobState& job, double tasks);

  bool in_limit(const JobState& job) const;
  // Within what its team is guaranteed, counting what the team uses now.
  bool fits_guarantee(const JobState& job) const;
  // Its team is guaranteed nothing, in a deployment in which some team is.
  bool is_best_effort(const JobState& job) const;
  // What is left of its team's limit is kept for another job.
  bool is_held_back(const JobState& job) const;
  void hold_for(const JobState& job) {
    teams_[static_cast<std::size_t>(job.team)].held_for = job.index;
  }
  void clear_holds() {
    for (auto& team : teams_) team.held_for = 0;
  }
  // Sets JobState::within_guarantee: jobs that fit into their team's guarantee together with the
  // team's earlier unfinished jobs.
  void update_within_guarantee(JobTable& jobs, const FailureAttribution& failures) const;

 private:
  std::vector<TeamQuota> teams_;
  bool has_guarantees_ = false;
};

}  // namespace hitchfront::core
