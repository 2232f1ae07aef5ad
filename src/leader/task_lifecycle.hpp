// What follows when a task ends: completed, failed, or proved gone from its machine.
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

  // The task is proved not to be on the machine any more.
  void confirm_terminated(Ms now, Machine& machine, TaskKey key);
  // The same of all that is on it.
  void confirm_all_terminated(Ms now, Machine& machine);
  // The machine says that the task is done. Its job may be gone from the table afterwards.
  void complete(Ms now, Machine& machine, JobState& job, std::uint32_t task);
  void fail(Ms now, Machine& machine, JobState& job);

 private:
  void cordon_if_faulty(Machine& machine);

  LeaderContext& context_;
  LeaderState& state_;
  AllocationRecorder& recorder_;
  JobWriter& writer_;
};

}  // namespace hitchfront::core
