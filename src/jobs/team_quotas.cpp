#include "jobs/team_quotas.hpp"

#include <algorithm>

namespace hitchfront::core {
namespace {
constexpr double kEpsilon = 1e-9;  // of processors: sums of decimal amounts are not exact

// Whether one more task of the job leaves its team's use within these amounts.
bool fits(const TeamQuota& team, const JobState& job, double cpus, double gpus) {
  return team.used_cpus + job.spec.cpus <= cpus + kEpsilon &&
         (job.spec.gpus <= 0 || team.used_gpus + job.spec.gpus <= gpus + kEpsilon);
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

void TeamQuotas::count(const JobState& job, double tasks) {
  if (job.team < 0) return;
  auto& team = teams_[static_cast<std::size_t>(job.team)];
  team.used_cpus += job.spec.cpus * tasks;
  team.used_gpus += job.spec.gpus * tasks;
}

bool TeamQuotas::in_limit(const JobState& job) const {
  const auto& team = of(job);
  return fits(team, job, team.cpus_max, team.gpus_max);
}

// A job that as a whole is beyond the guarantee still has a right to this part of it: found on the
// bench, where a best-effort team's long tasks held the fleet while teams with hundreds of waiting
// processors used a tenth of what they are guaranteed.
bool TeamQuotas::fits_guarantee(const JobState& job) const {
  const auto& team = of(job);
  return fits(team, job, team.cpus, team.gpus);
}

// Where nobody is guaranteed anything there are no best-effort teams: a deployment of one team
// without guarantee had all its launch watermarks wait behind everything else, for half a minute.
bool TeamQuotas::is_best_effort(const JobState& job) const {
  const auto& team = of(job);
  return has_guarantees_ && team.cpus <= 0 && team.gpus <= 0;
}

// A job whose turn has come needs more of its team's limit than is free at any moment: what comes
// free is kept for it, or smaller jobs of the team would take it piece by piece for as long as they
// arrive.
bool TeamQuotas::is_held_back(const JobState& job) const {
  const auto held_for = of(job).held_for;
  return held_for != 0 && held_for != job.index && !job.within_guarantee;
}

void TeamQuotas::update_within_guarantee(JobTable& jobs, const FailureAttribution& failures) const {
  std::vector<JobState*> order;
  for (const auto& [id, job] : jobs) {
    job->within_guarantee = false;
    // What a quarantined job still wants is one try at a time: no capacity need be made or kept for
    // it.
    if (job->active() && job->team >= 0 && !failures.is_quarantined(job->index))
      order.push_back(job.get());
  }
  std::sort(order.begin(), order.end(), [](const JobState* a, const JobState* b) {
    return a->accepted_ms != b->accepted_ms ? a->accepted_ms < b->accepted_ms
                                            : a->spec.id < b->spec.id;
  });
  std::vector<double> cpus(teams_.size()), gpus(teams_.size());
  for (auto* job : order) {
    const auto team = static_cast<std::size_t>(job->team);
    cpus[team] += job->spec.cpus * job->unfinished();
    gpus[team] += job->spec.gpus * job->unfinished();
    job->within_guarantee =
        cpus[team] <= teams_[team].cpus + kEpsilon && gpus[team] <= teams_[team].gpus + kEpsilon;
  }
}

}  // namespace hitchfront::core
