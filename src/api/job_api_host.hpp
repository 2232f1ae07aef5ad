// What the users' request handler asks of the controller that it is part of, and what it reports
// to it.
#pragma once
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "core/effects.hpp"
#include "recovery/state_replica.hpp"

namespace hitchfront::core {

// Of one job, for display only.
struct TaskCounts {
  std::uint32_t done = 0, running = 0;
};

class JobApiHost {
 public:
  using OnCounts = std::function<void(Ms now, std::optional<TaskCounts> counts)>;
  virtual ~JobApiHost() = default;

  // Asks whoever leads; nothing where nobody says.
  virtual void ask_counts(Ms now, const std::string& job, OnCounts on_counts) = 0;
  // Whether a job that the store does not know may be called unknown.
  virtual bool may_call_unknown(Ms now) const = 0;
  // Whether a job that the store does not know may be accepted as new.
  virtual bool may_accept(Ms now) const = 0;
  // Whether a user may be answered now that this job, which is not over, is cancelled
  // (docs/safety.md, "Every cancellation that was told").
  virtual bool may_acknowledge_cancellation(Ms now, const std::string& job) const = 0;
  // Whether every controller knows jobs that depend on others.
  virtual bool supports_dependencies() const = 0;

  // An unfinished job's record was read.
  virtual void record_read(const std::string& key, std::uint64_t stamp) = 0;
  // A user is about to be answered from this: the other controllers get it with the same input's
  // messages, before.
  virtual void publish(const recovery::StateReplica& published) = 0;
  // What the store says of a job is less than what is known to have been stored: proof that it has
  // lost something.
  virtual void data_loss_proven(Ms now) = 0;
};

}  // namespace hitchfront::core
