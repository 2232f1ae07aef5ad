#include "jobs/team_quotas.hpp"

#include <algorithm>

namespace hitchfront::core {
namespace {
constexpr double kRoundingTolerance = 1e-9;  // in CPUs or GPUs

// Whether one more task of the job keeps its team's use within these amounts.
bool fits(const TeamQuota& team, const JobState& job, double cpus, double gpus) {
  return team.used_cpus + job.spec.cpus <= cpus + kRoundingTolerance &&
         (job.spec.gpus <= 0 || team.used_gpus + job.spec.gpus <= gpus + kRoundingTolerance);
}
}  // namespace

TeamQuotas::TeamQuotas(const std::vector<settings::Team>& teams) {
  for (const auto& team : teams)
    teams_.push_back({team.name, team.cpus, team.cpus_max, team.gpus, team.gpus_max, 0, 0});
  has_guarantees_ = std::any_of(teams_.begin(), teams_.end(), [](const TeamQuota& team) {
    return team.cpus > 0 || team.gpus > 0;
  });
}

int TeamQuotas::index_of(const std::string& name) const {
  int index = -1;
  for (std::size_t i = 0; i < teams_.size(); ++i)
    if (teams_[i].name == name) index = static_cast<int>(i);
  return index;
}

void TeamQuotas::add_usage(const JobState& job, double tasks) {
  if (job.team < 0) return;
  auto& team = teams_[static_cast<std::size_t>(job.team)];
  team.used_cpus += job.spec.cpus * tasks;
  team.used_gpus += job.spec.gpus * tasks;
}

bool TeamQuotas::fits_limit(const JobState& job) const {
  const auto& team = of(job);
  return fits(team, job, team.cpus_max, team.gpus_max);
}

// Applies also to a job that exceeds the guarantee as a whole: otherwise its team could be left
// without its guarantee while other teams' long tasks occupy the fleet.
bool TeamQuotas::fits_guarantee(const JobState& job) const {
  const auto& team = of(job);
  return fits(team, job, team.cpus, team.gpus);
}

// Best-effort work ranks behind guaranteed work. Where no team has a guarantee no team is best
// effort, or all launch watermarks would be written with the lowest priority.
bool TeamQuotas::is_best_effort(const JobState& job) const {
  const auto& team = of(job);
  return has_guarantees_ && team.cpus <= 0 && team.gpus <= 0;
}

// A job that needs more of its team's limit than is free at any moment would starve without the
// reservation: smaller jobs of the team would take whatever becomes free.
bool TeamQuotas::is_limit_reserved(const JobState& job) const {
  const auto reserved_for = of(job).limit_reserved_for;
  return reserved_for != 0 && reserved_for != job.index && !job.within_guarantee;
}

void TeamQuotas::update_within_guarantee(JobTable& jobs, const FailureAttribution& failures) const {
  std::vector<JobState*> by_acceptance;
  for (const auto& [id, job] : jobs) {
    job->within_guarantee = false;
    // A quarantined job is tried one task at a time: no capacity is freed or reserved for it.
    if (job->active() && job->team >= 0 && !failures.is_quarantined(job->index))
      by_acceptance.push_back(job.get());
  }
  std::sort(by_acceptance.begin(), by_acceptance.end(), [](const JobState* a, const JobState* b) {
    return a->accepted_ms != b->accepted_ms ? a->accepted_ms < b->accepted_ms
                                            : a->spec.id < b->spec.id;
  });
  std::vector<double> cpus(teams_.size()), gpus(teams_.size());
  for (auto* job : by_acceptance) {
    const auto team = static_cast<std::size_t>(job->team);
    cpus[team] += job->spec.cpus * job->unfinished();
    gpus[team] += job->spec.gpus * job->unfinished();
    job->within_guarantee = cpus[team] <= teams_[team].cpus + kRoundingTolerance &&
                            gpus[team] <= teams_[team].gpus + kRoundingTolerance;
  }
}

}  // namespace hitchfront::core
