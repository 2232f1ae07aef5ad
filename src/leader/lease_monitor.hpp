// Expires workers' leases, once no response can have renewed them.
#pragma once
#include "leader/leader_context.hpp"
#include "leader/leader_state.hpp"
#include "leader/machine_messenger.hpp"
#include "leader/reconciliation.hpp"
#include "leader/task_lifecycle.hpp"

namespace hitchfront::core {

class LeaseMonitor {
 public:
  LeaseMonitor(LeaderContext& context, LeaderState& state, MachineMessenger& messenger,
               TaskLifecycle& tasks, Reconciliation& reconciliation)
      : context_(context),
        state_(state),
        messenger_(messenger),
        tasks_(tasks),
        reconciliation_(reconciliation) {}

  void tick(Ms now);

 private:
  void expire(Ms now, Machine& machine);

  LeaderContext& context_;
  LeaderState& state_;
  MachineMessenger& messenger_;
  TaskLifecycle& tasks_;
  Reconciliation& reconciliation_;
};

}  // namespace hitchfront::core
