// The interface through which JobApi uses the controller that it is part of.
#pragma once
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "core/effects.hpp"
#include "recovery/state_replica.hpp"

namespace hitchfront::core {

// Task counts of one job. For display only.
struct TaskCounts {
  std::uint32_t done = 0, running = 0;
};

class JobApiHost {
 public:
  using OnTaskCounts = std::function<void(Ms now, std::optional<TaskCounts> counts)>;
  virtual ~JobApiHost() = default;

  // Requests the counts from the leader. Calls back with nullopt if there is no leader, or it does
  // not respond or does not know the job.
  virtual void request_task_counts(Ms now, const std::string& job, OnTaskCounts on_task_counts) = 0;
  // Whether a job without a record in the store may be reported to users as unknown.
  virtual bool may_report_unknown(Ms now) const = 0;
  // Whether a job without a record in the store may be accepted as new.
  virtual bool may_accept(Ms now) const = 0;
  // Whether a response to a user may now report this unfinished job as cancelled:
  // docs/safety.md, "Every cancellation that was told".
  virtual bool may_acknowledge_cancellation(Ms now, const std::string& job) const = 0;
  // Whether the active feature level supports jobs with dependencies.
  virtual bool supports_dependencies() const = 0;

  // An unfinished job's record was read from the store. `version`: the version of its key.
  virtual void on_record_read(const std::string& key, std::uint64_t version) = 0;
  // Sends to the other controllers what a response to a user is about to be based on. The messages
  // leave in the same batch of effects as the response.
  virtual void publish(const recovery::StateReplica& update) = 0;
  // The store lacks a job record that is known to have been stored, which proves that it has lost
  // data.
  virtual void report_data_loss_evidence(Ms now) = 0;
};

}  // namespace hitchfront::core
