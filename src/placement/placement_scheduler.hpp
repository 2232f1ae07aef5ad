// Places waiting tasks on machines in scheduling passes, by the selected policy. Changes are
// collected, and one pass handles all of them.
#pragma once
#include <cstdint>
#include <vector>

#include "aging/aging.hpp"
#include "leader/allocation_recorder.hpp"
#include "leader/job_writer.hpp"
#include "leader/leader_context.hpp"
#include "leader/leader_state.hpp"
#include "leader/machine_messenger.hpp"
#include "leader/policy_selection.hpp"
#include "placement/reservations.hpp"

namespace hitchfront::core {

class PlacementScheduler {
 public:
  PlacementScheduler(LeaderContext& context, LeaderState& state, MachineMessenger& messenger,
                     AllocationRecorder& recorder, JobWriter& writer,
                     const PolicySelection& policies)
      : context_(context),
        state_(state),
        messenger_(messenger),
        recorder_(recorder),
        writer_(writer),
        policies_(policies) {}

  // Runs a scheduling pass if anything has changed and the pause after the last pass is over.
  // Responses to heartbeats that are deferred meanwhile are sent if the pass has placed tasks on
  // their machines.
  void schedule(Ms now);
  // Assigns a waiting task to a machine, which must be able to fence it (Machine::can_fence_task).
  // It is launched once the assignment is recorded.
  void assign(Ms now, JobState& job, Machine& machine, std::uint32_t task);

 private:
  // A job's position in the queue of one scheduling pass, with its sort keys. An aged job has two
  // entries: one for its first task, and the regular one.
  struct QueueEntry {
    bool best_effort = false, misses_deadline = false;
    double policy_key = 0;
    JobState* job = nullptr;
    aging::AgingLevel aging_level = aging::AgingLevel::normal;
    std::uint32_t max_tasks = 0;  // tasks that may be placed for this entry
    bool may_reserve = false;     // capacity is reserved if none is free
  };
  struct PlacementScore;

  void run_pass(Ms now);
  // Fills `available_machines` with the machines that have free capacity, and `reservations` with
  // all usable ones.
  void collect_machines(Ms now, std::vector<Machine*>& available_machines,
                        Reservations& reservations);
  // Returns the sorted queue.
  std::vector<QueueEntry> build_queue(Ms now);
  static bool precedes(const QueueEntry& a, const QueueEntry& b);
  void process_entry(Ms now, const QueueEntry& entry, std::vector<Machine*>& available_machines,
                     Reservations& reservations);
  bool will_miss_deadline(const JobState& job, double since_submission_s) const;
  // How many of the job's waiting tasks may be placed, `max_tasks` at most.
  std::uint32_t placeable_tasks(const JobState& job, std::uint32_t max_tasks) const;
  void place_tasks(Ms now, JobState& job, const std::vector<Machine*>& available_machines,
                   std::uint32_t max_tasks);
  // Scores the machines that can run a task of the job. Returns a heap with the best at the top.
  std::vector<PlacementScore> score_machines(Ms now, const JobState& job,
                                             const std::vector<Machine*>& available_machines) const;
  PlacementScore score_machine(Ms now, const JobState& job, double run_s,
                               const Machine& machine) const;
  static bool is_worse(const PlacementScore& a, const PlacementScore& b);

  LeaderContext& context_;
  LeaderState& state_;
  MachineMessenger& messenger_;
  AllocationRecorder& recorder_;
  JobWriter& writer_;
  const PolicySelection& policies_;
  Ms next_pass_at_ = 0;
};

}  // namespace hitchfront::core
