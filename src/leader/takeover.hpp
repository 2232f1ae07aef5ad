// Failover: a new leader reads the stored state, restores the placements of tasks that earlier
// leaders may have launched, and reconciles them with the workers' heartbeats.
#pragma once
#include <cstddef>
#include <cstdint>
#include <functional>
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

// Notified when the stored state has been read.
class TakeoverListener {
 public:
  virtual ~TakeoverListener() = default;
  // Changes of jobs must be watched from store revision `revision` on.
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
        direct_launches_enabled_(recorder.enabled() &&
                                 context.operator_settings.get("direct", {}) != 0) {}

  // Reads unfinished jobs, their progress and the allocation log, in this order. Each read is
  // repeated until it succeeds.
  void load(Ms now) { load_jobs(now, "", now); }
  // Restores the machines of the allocation log whose types the catalog did not have when the log
  // was read. Call whenever the catalog changes, before any heartbeat is processed: the response to
  // a machine of a known type renews the lease of tasks that are still unknown.
  void restore_learned_types(Ms now);
  // Closes reconciliation once every lease granted by an earlier leader has expired: unknown tasks
  // that no machine has listed are not running, and return to the queue.
  void close_reconciliation_if_due(Ms now);
  // Finishes reconciliation, and logs it, once every machine of the allocation log has sent a
  // heartbeat, is lost, or has no tasks. If the log was incomplete or had machines of unknown type,
  // not before reconciliation was closed; an incomplete log is then rewritten as complete.
  void finish_if_reconciled(Ms now);

 private:
  void load_jobs(Ms now, const std::string& after, Ms requested_at);
  void load_progress(Ms now, const std::string& after);
  void apply_progress(const wire::Item& item);
  void on_loaded(Ms now, const std::vector<AllocationRecorder::StoredChunk>& chunks);
  void restore_allocations(Ms now, const std::vector<AllocationRecorder::StoredChunk>& chunks);
  void restore_machine(Ms now, const wire::MachineAllocation& stored);
  void restore_task(Ms now, Machine& machine, JobState& job, std::uint32_t task);
  void restore_unknown_type(const wire::MachineAllocation& stored);
  // Calls `visit` for each task of the entry whose job is unfinished.
  void for_each_task(const wire::MachineAllocation& stored,
                     const std::function<void(JobState& job, std::uint32_t task)>& visit);
  void mark_unknown_tasks(JobState& job);
  struct TaskTotals {
    std::size_t placed = 0, unknown = 0;
  };
  TaskTotals task_totals() const;
  void log_loaded() const;

  LeaderContext& context_;
  LeaderState& state_;
  JobLifecycle& jobs_;
  MachineRegistry& registry_;
  AllocationRecorder& recorder_;
  JobWriter& writer_;
  Reconciliation& reconciliation_;
  TakeoverListener& listener_;
  // Also assumed of earlier leaders, whose direct launches may still be in transit.
  const bool direct_launches_enabled_;
  std::uint64_t revision_ = 0;  // store revision of the first page of jobs
};

}  // namespace hitchfront::core
