// How long tasks are expected to run.
#pragma once
#include <algorithm>

#include "jobs/job_state.hpp"
#include "portfolio/predictor.hpp"

namespace hitchfront::core {

class RunTimeEstimator {
 public:
  // Seconds that a task of the job runs, at least one.
  double run_time_s(const JobState& job) const {
    // Tasks of this very job that have completed tell more than other jobs do.
    if (job.run_count > 0) return std::max(1.0, job.run_sum_s / job.run_count);
    return std::max(1.0, predictor_.predict(job.owner, job.spec.estimate_s));
  }
  // Past its prediction a task is expected to take as long again as a quarter of what it ran.
  static double left_s(double run_s, double ran_s) {
    return ran_s < run_s ? run_s - ran_s : ran_s / 4;
  }
  // The job is complete: its mean predicts its owner's next jobs.
  void observe(const JobState& job) {
    if (job.run_count > 0) predictor_.observe(job.owner, job.run_sum_s / job.run_count);
  }

 private:
  portfolio::Predictor predictor_;
};

}  // namespace hitchfront::core
