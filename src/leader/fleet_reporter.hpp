// Reports the leader's state to operators: gauges, and log lines on the state of the fleet and on
// job classes and teams that are starving.
#pragma once
#include "leader/dependency_resolver.hpp"
#include "leader/leader_context.hpp"
#include "leader/leader_state.hpp"

namespace hitchfront::core {

class FleetReporter {
 public:
  FleetReporter(LeaderContext& context, LeaderState& state, const DependencyResolver& dependencies)
      : context_(context), state_(state), dependencies_(dependencies) {}

  void tick(Ms now);
  void update_gauges(Ms now) const;

 private:
  void update_task_gauges() const;
  void update_machine_gauges(Ms now) const;
  void update_served_gauges() const;
  void log_fleet_state(Ms now) const;
  void log_served_shares(Ms now);

  LeaderContext& context_;
  LeaderState& state_;
  const DependencyResolver& dependencies_;
  Ms next_state_log_at_ = 0, next_served_share_log_at_ = 0;
};

}  // namespace hitchfront::core
