// Moves tasks off machines with low utilization, so that the machines can be returned.
#pragma once
#include <vector>

#include "leader/leader_context.hpp"
#include "leader/leader_state.hpp"
#include "leader/machine_messenger.hpp"

namespace hitchfront::core {

// While no task waits for capacity, drains machines whose tasks can save a checkpoint and fit on
// the machines that are kept, the most expensive machines first. The tasks resume there from their
// checkpoints. Drains one machine at a time, or a small share of a large fleet, so that a large
// fleet does not take proportionally longer.
class Consolidator {
 public:
  Consolidator(LeaderContext& context, LeaderState& state, MachineMessenger& messenger)
      : context_(context), state_(state), messenger_(messenger) {}

  void tick(Ms now);

 private:
  // A machine that is kept, and its free capacity after the moves planned so far.
  struct MoveTarget {
    Machine* machine = nullptr;
    portfolio::Resources free_capacity;
  };
  bool needs_capacity(Ms now) const;
  bool is_drainable(Ms now, const Machine& machine) const;
  // Whether all tasks of the machine fit on the targets, whose free capacity they are taken from.
  // If they do not, `targets` is left partly changed.
  bool place_tasks_elsewhere(const Machine& machine, std::vector<MoveTarget>& targets) const;
  void drain(Ms now, Machine& machine);

  LeaderContext& context_;
  LeaderState& state_;
  MachineMessenger& messenger_;
};

}  // namespace hitchfront::core
