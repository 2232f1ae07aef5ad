// State of the reconciliation after a failover: where the tasks that earlier leaders launched are
// running. Reads no clock: the caller passes the time.
#pragma once
#include <algorithm>
#include <cstddef>

#include "core/effects.hpp"

namespace hitchfront::core {

class Reconciliation {
 public:
  // `lease_ms`: upper bound on a worker's lease. After this time the lease of every worker that got
  // no response from this leader has expired: earlier leaders responded before this takeover, and
  // the lease counts from when the heartbeat was sent.
  void begin(Ms now, Ms lease_ms) {
    began_at_ = now;
    ends_at_ = now + lease_ms;
  }
  // Extends the reconciliation: a worker's lease was renewed before this leader knew its tasks, or
  // an earlier leader may still be acting.
  void extend_to(Ms until) { ends_at_ = std::max(ends_at_, until); }
  void extend_by(Ms ms) { ends_at_ += ms; }

  Ms began_at() const { return began_at_; }
  Ms ends_at() const { return ends_at_; }
  // While open, a task of unknown location may be running on any machine.
  bool open() const { return open_; }
  void close() { open_ = false; }
  // Every machine of the allocation log that may have tasks has sent a heartbeat or is lost, and no
  // other task's location is unknown.
  bool finished() const { return finished_; }
  void finish() { finished_ = true; }

  // The allocation log was complete at the takeover: an earlier leader's launch that it does not
  // name is not running, even if a delayed heartbeat lists it.
  bool inherited_complete_log() const { return inherited_complete_log_; }
  void set_inherited_complete_log(bool complete) { inherited_complete_log_ = complete; }

  // Counts for the log: tasks that were found on no machine, and machines whose lease expired
  // without a heartbeat in this term.
  void count_unplaced_tasks(std::size_t tasks) { unplaced_tasks_ += tasks; }
  void count_silent_machine() { ++silent_machines_; }
  std::size_t unplaced_tasks() const { return unplaced_tasks_; }
  std::size_t silent_machines() const { return silent_machines_; }

 private:
  Ms began_at_ = 0, ends_at_ = 0;
  bool open_ = true, finished_ = false, inherited_complete_log_ = false;
  std::size_t unplaced_tasks_ = 0, silent_machines_ = 0;
};

}  // namespace hitchfront::core
