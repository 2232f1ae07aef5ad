// What a worker's heartbeat changes in what the leader knows of its machine and tasks, and when it
// is responded to. docs/safety.md says what each kind of heartbeat proves.
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

// How a heartbeat came: straight from the worker, or passed on by another controller.
using HeartbeatRoute = telemetry::HeartbeatRoute;

// Who places what a heartbeat has made capacity for.
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

  // `request`: to be replied to, at once or when there is something to say.
  void process(Ms now, std::uint64_t request, wire::Heartbeat heartbeat, HeartbeatRoute route);

  std::uint64_t processed() const { return processed_; }
  Ms last_direct() const { return last_direct_; }
  // The last heartbeat of a worker in this node's own zone that had to come by way of another.
  Ms last_detour() const { return last_detour_; }
  void begin(Ms now) { last_direct_ = now; }
  // Whether responses may wait for work that comes meanwhile: each holds a connection.
  void set_defer_responses(bool on) { defer_responses_ = on; }

 private:
  void note_route(Ms now, const wire::Heartbeat& heartbeat, HeartbeatRoute route);
  void respond_before_loading(Ms now, std::uint64_t request, const wire::Heartbeat& heartbeat);
  Machine* find_or_register(Ms now, const wire::Heartbeat& heartbeat);
  static bool is_repeat(const Machine& machine, const wire::Heartbeat& heartbeat,
                        HeartbeatRoute route);
  void respond_to_repeat(Ms now, std::uint64_t request, Machine& machine,
                         const wire::Heartbeat& heartbeat);
  // Why a heartbeat proves nothing and must not renew a lease; null: it may be taken.
  static const char* refusal(const Machine& machine, const wire::Heartbeat& heartbeat);
  void begin_incarnation(Ms now, Machine& machine, std::uint64_t incarnation);
  void update_machine(Ms now, Machine& machine, const wire::Heartbeat& heartbeat);
  void update_confirmation(Ms now, Machine& machine, std::uint64_t fencing_token);
  void take_termination_notice(Ms now, Machine& machine, double notice_s);
  void stop_for_termination(Ms now, Machine& machine, Placement& placement, double notice_s);
  void hold_or_respond(Ms now, Machine& machine, HeartbeatRoute route);

  // What the tasks that a heartbeat lists, and those that it doesn't, tell of commands.
  struct CommandEvidence {
    bool seen = false, lost = false;
  };
  void take_tasks(Ms now, Machine& machine, const wire::Heartbeat& heartbeat);
  void take_ended(Ms now, Machine& machine, JobState& job, const wire::TaskStatus& status,
                  bool of_this_term, CommandEvidence& evidence);
  void take_completed(Ms now, Machine& machine, JobState& job, std::uint32_t task,
                      bool of_this_term);
  void observe_run_time(Ms now, Machine& machine, JobState& job, const Placement& placement);
  void take_failed(Ms now, Machine& machine, JobState& job, const wire::TaskStatus& status);
  void take_present(Ms now, Machine& machine, JobState& job, const wire::TaskStatus& status,
                    const wire::Heartbeat& heartbeat, CommandEvidence& evidence);
  Placement* find_or_occupy(Ms now, Machine& machine, JobState& job, const wire::TaskStatus& status,
                            std::uint64_t fencing_token);
  void note_running(Ms now, Placement& placement);
  void take_absent(Ms now, Machine& machine, std::uint64_t seq, CommandEvidence& evidence);

  LeaderContext& context_;
  LeaderState& state_;
  MachineRegistry& registry_;
  MachineMessenger& messenger_;
  TaskLifecycle& tasks_;
  Reconciliation& reconciliation_;
  HeartbeatListener& listener_;
  bool defer_responses_ = true;
  std::uint64_t processed_ = 0;
  Ms last_direct_ = 0, last_detour_ = 0;
};

}  // namespace hitchfront::core
