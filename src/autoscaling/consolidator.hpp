// Moves work off nearly empty machines, so that they can be returned.
#pragma once
#include <vector>

#include "leader/leader_context.hpp"
#include "leader/leader_state.hpp"
#include "leader/machine_messenger.hpp"

namespace hitchfront::core {

// Where nothing waits, and a dear machine is kept by a few tasks that can save, they move to
// machines that stay anyway. Tasks keep their progress but for the time to save. One machine at a
// time, or a small part of a large fleet: one a second would empty a fleet of hundreds long after
// its work is done.
class Consolidator {
 public:
  Consolidator(LeaderContext& context, LeaderState& state, MachineMessenger& messenger)
      : context_(context), state_(state), messenger_(messenger) {}

  void tick(Ms now);

 private:
  struct Remaining {  // a machine that stays, and its capacity after the moves so far
    Machine* machine = nullptr;
    portfolio::Size free_capacity;
  };
  bool has_other_needs(Ms now) const;
  bool may_be_emptied(Ms now, const Machine& machine) const;
  bool fits_elsewhere(const Machine& machine, std::vector<Remaining>& others) const;
  void drain(Ms now, Machine& machine);

  LeaderContext& context_;
  LeaderState& state_;
  MachineMessenger& messenger_;
};

}  // namespace hitchfront::core
