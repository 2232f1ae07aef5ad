// What a leader asks of, and reports to, the controller that it runs in.
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
  // Whether the job is known to be cancelled, by whatever way: asked of a job that is read only
  // now, and of a task that a machine lists while nothing has been read yet.
  virtual bool is_cancelled(const std::string& job) const = 0;
  // A final state that this controller knows to be stored.
  virtual std::optional<wire::JobOutcome> outcome_of(const std::string& job) const = 0;
  // Every unfinished job that was stored before `asked` has been read.
  virtual void on_jobs_read(Ms asked) = 0;
  // A job's launch watermark was stored; called before any launch beyond it.
  virtual void on_launch_watermark_stored(const wire::UnfinishedJob& record) = 0;
  // Stored values that the controller keeps and that are not of the active feature level's form.
  virtual std::size_t values_in_other_forms() const = 0;
};

}  // namespace hitchfront::core
