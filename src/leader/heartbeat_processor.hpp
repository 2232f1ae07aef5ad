// Processes workers' heartbeats: updates the state of the machine and its tasks, and sends or
// defers the response. docs/safety.md says what each kind of heartbeat proves.
#pragma once
#include <cstdint>
#include <vector>

#include "leader/leader_context.hpp"
#include "leader/leader_state.hpp"
#include "leader/machine_messenger.hpp"
#include "leader/machine_registry.hpp"
#include "leader/reconciliation.hpp"
#include "leader/task_lifecycle.hpp"
#include "telemetry/metrics.hpp"
#include "wire/worker.hpp"

namespace hitchfront::core {

// How a heartbeat arrived: directly from the worker, through another controller, or through the
// store.
using HeartbeatRoute = telemetry::HeartbeatRoute;

// Notified of each processed heartbeat before the response is sent, so that launches on capacity
// that it freed can be part of the response.
class HeartbeatListener {
 public:
  virtual ~HeartbeatListener() = default;
  virtual void on_heartbeat_processed(Ms now) = 0;
};

class HeartbeatProcessor {
 public:
  HeartbeatProcessor(LeaderContext& context, LeaderState& state, MachineRegistry& registry,
                     MachineMessenger& messenger, TaskLifecycle& tasks,
                     Reconciliation& reconciliation, HeartbeatListener& listener)
      : context_(context),
        state_(state),
        registry_(registry),
        messenger_(messenger),
        tasks_(tasks),
        reconciliation_(reconciliation),
        listener_(listener) {}

  // Replies to `request` now, or later if the response is deferred.
  void process(Ms now, std::uint64_t request, wire::Heartbeat heartbeat, HeartbeatRoute route);

  // Number of heartbeats whose task list was processed.
  std::uint64_t processed() const { return processed_; }
  // When the last heartbeat arrived directly from a worker.
  Ms last_direct() const { return last_direct_; }
  // When the last heartbeat of a worker in this node's own zone arrived by another route.
  Ms last_relayed() const { return last_relayed_; }
  // The term begins: last_direct() starts at this time.
  void begin(Ms now) { last_direct_ = now; }
  // Whether responses may be deferred until there are launches; each deferred response occupies a
  // connection.
  void set_defer_responses(bool on) { defer_responses_ = on; }

 private:
  void record_route(Ms now, const wire::Heartbeat& heartbeat, HeartbeatRoute route);
  void respond_before_loading(Ms now, std::uint64_t request, const wire::Heartbeat& heartbeat);
  Machine* find_or_register(Ms now, const wire::Heartbeat& heartbeat);
  static bool is_retransmission(const Machine& machine, const wire::Heartbeat& heartbeat,
                                HeartbeatRoute route);
  void respond_to_retransmission(Ms now, std::uint64_t request, Machine& machine);
  // Why a heartbeat must be ignored and must not renew the lease; null if it is valid.
  static const char* refusal_reason(const Machine& machine, const wire::Heartbeat& heartbeat);
  void begin_incarnation(Ms now, Machine& machine, std::uint64_t incarnation);
  void update_machine(Ms now, Machine& machine, const wire::Heartbeat& heartbeat);
  // Whether the worker had received a fencing token of this term when it sent the heartbeat.
  bool is_from_current_term(const wire::Heartbeat& heartbeat) const;
  void update_confirmation(Ms now, Machine& machine, const wire::Heartbeat& heartbeat);
  void process_termination_notice(Ms now, Machine& machine, double notice_s);
  void stop_for_termination(Ms now, Machine& machine, Placement& placement, double notice_s);
  void defer_or_respond(Ms now, Machine& machine, HeartbeatRoute route);

  // What a heartbeat's task list shows about earlier launch commands: whether one took effect, and
  // whether one did not.
  struct CommandEvidence {
    bool arrived = false, missed = false;
  };
  void process_tasks(Ms now, Machine& machine, const wire::Heartbeat& heartbeat);
  void process_ended(Ms now, Machine& machine, JobState& job, const wire::TaskStatus& status,
                     bool in_current_term, CommandEvidence& evidence);
  void process_completed(Ms now, Machine& machine, JobState& job, std::uint32_t task,
                         bool in_current_term);
  void observe_run_time(Ms now, Machine& machine, JobState& job, const Placement& placement);
  void process_failed(Ms now, Machine& machine, JobState& job, const wire::TaskStatus& status);
  void process_present(Ms now, Machine& machine, JobState& job, const wire::TaskStatus& status,
                       const wire::Heartbeat& heartbeat, CommandEvidence& evidence);
  Placement* find_or_add_placement(Ms now, Machine& machine, JobState& job,
                                   const wire::TaskStatus& status,
                                   const wire::Heartbeat& heartbeat);
  // The machine lists an attempt of this term that was confirmed terminated there.
  void log_unexpected(Ms now, const Machine& machine, const wire::TaskStatus& status,
                      const wire::Heartbeat& heartbeat, bool stopped);
  void record_running(Ms now, Placement& placement);
  void process_absent(Ms now, Machine& machine, std::uint64_t seq, CommandEvidence& evidence);

  LeaderContext& context_;
  LeaderState& state_;
  MachineRegistry& registry_;
  MachineMessenger& messenger_;
  TaskLifecycle& tasks_;
  Reconciliation& reconciliation_;
  HeartbeatListener& listener_;
  bool defer_responses_ = true;
  std::uint64_t processed_ = 0;
  Ms last_direct_ = 0, last_relayed_ = 0;
};

}  // namespace hitchfront::core
