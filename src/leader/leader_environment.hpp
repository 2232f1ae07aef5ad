// The leader's interface to the controller that hosts it: queries and notifications.
#pragma once
#include <cstddef>
#include <optional>
#include <string>

#include "core/effects.hpp"
#include "wire/job.hpp"

namespace hitchfront::core {

class LeaderEnvironment {
 public:
  virtual ~LeaderEnvironment() = default;
  // Whether this controller knows, from any source, that the job is cancelled. Also valid for jobs
  // that the leader has not read from the store yet.
  virtual bool is_cancelled(const std::string& job) const = 0;
  // The job's outcome, if this controller knows it to be stored.
  virtual std::optional<wire::JobOutcome> outcome_of(const std::string& job) const = 0;
  // Every unfinished job that was stored before `requested_at` has been read.
  virtual void on_jobs_read(Ms requested_at) = 0;
  // A job's launch watermark has been stored. Called before any task that it newly allows is
  // launched.
  virtual void on_launch_watermark_stored(const wire::UnfinishedJob& record) = 0;
  // Number of stored values owned by the controller that are not in the active feature level's
  // format.
  virtual std::size_t values_in_other_formats() const = 0;
};

}  // namespace hitchfront::core
