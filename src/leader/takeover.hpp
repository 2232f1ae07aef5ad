// A new leader's first steps: it reads what is stored, takes over what earlier leaders may have
// launched, and finds out which of it runs.
#pragma once
#include <string>
#include <string_view>
#include <vector>

#include "leader/allocation_recorder.hpp"
#include "leader/job_lifecycle.hpp"
#include "leader/leader_context.hpp"
#include "leader/leader_state.hpp"
#include "leader/machine_registry.hpp"
#include "leader/reconciliation.hpp"

namespace hitchfront::core {

// Who goes on once everything is read.
class TakeoverListener {
 public:
  virtual ~TakeoverListener() = default;
  // `revision`: of the store, from which changes of jobs are to be watched.
  virtual void on_takeover_loaded(Ms now, std::uint64_t revision) = 0;
};

class Takeover {
 public:
  Takeover(LeaderContext& context, LeaderState& state, JobLifecycle& jobs,
           MachineRegistry& registry, AllocationRecorder& recorder, JobWriter& writer,
           Reconciliation& reconciliation, TakeoverListener& listener)
      : context_(context),
        state_(state),
        jobs_(jobs),
        registry_(registry),
        recorder_(recorder),
        writer_(writer),
        reconciliation_(reconciliation),
        listener_(listener),
        launches_directly_(recorder.enabled() && context.operator_settings.get("direct", {}) != 0) {
  }

  // Reads unfinished jobs, their progress and the allocation log, in this order.
  void load(Ms now) { load_jobs(now, "", now); }
  // Time is up: what nobody has said to have is nowhere.
  void close_if_due(Ms now);
  // Says so once every machine of the allocation log has spoken or is lost.
  void finish_if_done(Ms now);

 private:
  void load_jobs(Ms now, const std::string& after, Ms asked);
  void load_progress(Ms now, const std::string& after);
  void take_progress(const wire::Item& item);
  void on_loaded(Ms now, const std::vector<AllocationRecorder::StoredChunk>& chunks);
  void restore_allocations(Ms now, const std::vector<AllocationRecorder::StoredChunk>& chunks);
  void restore_machine(Ms now, const wire::MachineAllocation& stored);
  void restore_task(Ms now, Machine& machine, JobState& job, std::uint32_t task);
  void restore_unknown_type(const wire::MachineAllocation& stored);
  void mark_unknown_tasks(JobState& job);
  void log_loaded() const;

  LeaderContext& context_;
  LeaderState& state_;
  JobLifecycle& jobs_;
  MachineRegistry& registry_;
  AllocationRecorder& recorder_;
  JobWriter& writer_;
  Reconciliation& reconciliation_;
  TakeoverListener& listener_;
  const bool launches_directly_;  // leaders of these settings may launch by direct commands
  std::uint64_t revision_ = 0;    // of the first page of jobs
};

}  // namespace hitchfront::core
