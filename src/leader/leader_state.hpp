// The leader's state: jobs, machines, quotas, and which task may be on which machine. Shared by the
// leader's components; each member keeps its own invariants.
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
        served_share({settings::kMaxServedShareNames, settings::kServedShareDueWaitMs,
                      settings::kServedShareHalfLifeMs, settings::kMinServedShare,
                      settings::kLowServedShareLogIntervalMs}),
        large_jobs(settings::kMaxServedShareNames) {}
  LeaderState(const LeaderState&) = delete;
  LeaderState& operator=(const LeaderState&) = delete;

  bool loaded = false;  // the stored state has been read; before, nothing is placed or scaled
  bool placement_needed = true;      // a change may have made a task placeable
  std::uint64_t placement_work = 0;  // machines and tasks examined by placement so far

  MachineCatalog catalog;
  MachineTable machines;
  JobTable jobs;
  TeamQuotas quotas;
  FailureAttribution failures;
  RunTimeEstimator run_times;
  PlacementLedger placements;
  telemetry::ServedShare served_share;
  telemetry::LargeJobClassifier large_jobs;

  static telemetry::ServedShare::JobLabels served_share_labels(const JobState& job) {
    return {job.spec.job_class, job.spec.team, job.large};
  }
  // One of the job's tasks has run. Counts the job as started the first time.
  void record_started(JobState& job) {
    if (!std::exchange(job.has_run, true)) served_share.started(served_share_labels(job));
  }
  // One of the job's tasks has run or may be on a machine, or the job is quarantined, so that its
  // tasks are tried one at a time.
  bool has_begun(const JobState& job) const {
    return job.has_run || job.placed > 0 || failures.is_quarantined(job.index);
  }
};

}  // namespace hitchfront::core
