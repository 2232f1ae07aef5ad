// What is left to find out after a takeover: where an earlier leader's launches are. Pure: time
// comes in.
#pragma once
#include <algorithm>
#include <cstddef>

#include "core/effects.hpp"

namespace hitchfront::core {

class Reconciliation {
 public:
  // `lease_ms`: after so long every worker that has not heard from this leader has lost its lease:
  // whatever an earlier leader answered, it answered before this takeover, to a heartbeat sent
  // earlier still.
  void begin(Ms now, Ms lease_ms) {
    began_ = now;
    ends_at_ = now + lease_ms;
  }
  // A worker was answered before this leader knew its tasks, or an earlier leader may go on acting.
  void extend_to(Ms until) { ends_at_ = std::max(ends_at_, until); }
  void extend_by(Ms ms) { ends_at_ += ms; }

  Ms began() const { return began_; }
  Ms ends_at() const { return ends_at_; }
  // Tasks may be anywhere until found.
  bool open() const { return open_; }
  void close() { open_ = false; }
  // Every machine of the allocation log has spoken or is lost, and nothing else is unknown.
  bool finished() const { return finished_; }
  void finish() { finished_ = true; }

  // The allocation log that this leader was handed was complete: what it does not have is nowhere,
  // whatever a late heartbeat says.
  bool inherited_complete_log() const { return inherited_complete_log_; }
  void set_inherited_complete_log(bool complete) { inherited_complete_log_ = complete; }

  // For the log: tasks that were found on no machine, and machines that stayed silent.
  void count_unplaced(std::size_t tasks) { unplaced_ += tasks; }
  void count_silent_machine() { ++silent_; }
  std::size_t unplaced() const { return unplaced_; }
  std::size_t silent() const { return silent_; }

 private:
  Ms began_ = 0, ends_at_ = 0;
  bool open_ = true, finished_ = false, inherited_complete_log_ = false;
  std::size_t unplaced_ = 0, silent_ = 0;
};

}  // namespace hitchfront::core
