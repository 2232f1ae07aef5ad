// What the leader knows: jobs, machines, quotas, and which task may be on which machine. Each part
// owns its data; this only holds them together for those who act on several.
#pragma once
#include <cstdint>
#include <utility>

#include "jobs/job_table.hpp"
#include "jobs/run_time_estimator.hpp"
#include "jobs/team_quotas.hpp"
#include "machines/failure_attribution.hpp"
#include "machines/machine_catalog.hpp"
#include "machines/machine_table.hpp"
#include "placement/placement_ledger.hpp"
#include "settings/constants.hpp"
#include "settings/platform.hpp"
#include "telemetry/large_job_classifier.hpp"
#include "telemetry/served_share.hpp"

namespace hitchfront::core {

struct LeaderState {
  explicit LeaderState(const settings::Platform& platform)
      : catalog(platform.zones),
        machines(platform),
        quotas(platform.teams),
        placements(quotas, placement_needed),
        served({settings::kMaxServedShareNames, settings::kServedShareDueWaitMs,
                settings::kServedShareHalfLifeMs, settings::kMinServedShare,
                settings::kLowServedShareLogIntervalMs}),
        large_jobs(settings::kMaxServedShareNames) {}
  LeaderState(const LeaderState&) = delete;
  LeaderState& operator=(const LeaderState&) = delete;

  bool loaded = false;           // the takeover has read what is stored; before, nothing is decided
  bool placement_needed = true;  // something has changed that may let a task be placed
  std::uint64_t placement_work = 0;  // machines and tasks that placement has looked at

  MachineCatalog catalog;
  MachineTable machines;
  JobTable jobs;
  TeamQuotas quotas;
  FailureAttribution failures;
  RunTimeEstimator run_times;
  PlacementLedger placements;
  telemetry::ServedShare served;
  telemetry::LargeJobClassifier large_jobs;

  static telemetry::ServedShare::Who who(const JobState& job) {
    return {job.spec.job_class, job.spec.team, job.large};
  }
  void note_started(JobState& job) {
    if (!std::exchange(job.has_run, true)) served.started(who(job));
  }
  // A task of it was seen running, may be on a machine, or it has failed often enough to be tried
  // one task at a time.
  bool has_begun(const JobState& job) const {
    return job.has_run || job.placed > 0 || failures.is_quarantined(job.index);
  }
};

}  // namespace hitchfront::core
