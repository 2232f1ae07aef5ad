// Estimates the run times of tasks, from completed tasks of the same job or of earlier jobs.
#pragma once
#include <algorithm>

#include "jobs/job_state.hpp"
#include "portfolio/predictor.hpp"

namespace hitchfront::core {

class RunTimeEstimator {
 public:
  // Expected run time of one task of the job, at least 1 s.
  double run_time_s(const JobState& job) const {
    // Completed tasks of the job itself are the better predictor.
    if (job.run_time_count > 0) return std::max(1.0, job.run_time_sum_s / job.run_time_count);
    return std::max(1.0, predictor_.predict(job.prediction_key, job.spec.estimate_s));
  }
  // Expected remaining run time. A task that exceeds its prediction is expected to run for another
  // quarter of the time that it has run.
  static double remaining_s(double predicted_s, double elapsed_s) {
    return elapsed_s < predicted_s ? predicted_s - elapsed_s : elapsed_s / 4;
  }
  // Called when a job is complete, to predict later jobs with the same key.
  void observe(const JobState& job) {
    if (job.run_time_count > 0)
      predictor_.observe(job.prediction_key, job.run_time_sum_s / job.run_time_count);
  }

 private:
  portfolio::RunTimePredictor predictor_;
};

}  // namespace hitchfront::core
