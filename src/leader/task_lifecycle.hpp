// Handles the end of a task: it completed, failed, or is proved not to be on its machine any more.
#pragma once
#include <cstdint>

#include "leader/allocation_recorder.hpp"
#include "leader/job_writer.hpp"
#include "leader/leader_context.hpp"
#include "leader/leader_state.hpp"

namespace hitchfront::core {

class TaskLifecycle {
 public:
  TaskLifecycle(LeaderContext& context, LeaderState& state, AllocationRecorder& recorder,
                JobWriter& writer)
      : context_(context), state_(state), recorder_(recorder), writer_(writer) {}

  // Removes the placement of a task that is proved not to be on the machine any more; no effect if
  // there is none.
  void confirm_terminated(Ms now, Machine& machine, TaskKey key);
  // The same for all tasks placed on the machine.
  void confirm_all_terminated(Ms now, Machine& machine);
  // The machine reports the task as completed. May remove the job from the job table: look `job` up
  // again before using it afterwards.
  void complete(Ms now, Machine& machine, JobState& job, std::uint32_t task);
  // The task has failed: applies backoff, quarantine and cordoning. Does not remove its placement.
  void fail(Ms now, Machine& machine, JobState& job);

 private:
  void cordon_if_faulty(Machine& machine);

  LeaderContext& context_;
  LeaderState& state_;
  AllocationRecorder& recorder_;
  JobWriter& writer_;
};

}  // namespace hitchfront::core
