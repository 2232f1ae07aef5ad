// What operators see of the leader's state: gauges, the fleet's state in the log, and classes or
// teams that are hardly served.
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
  // Brings the gauges of the metrics up to date.
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
  Ms next_state_at_ = 0, next_served_at_ = 0;
};

}  // namespace hitchfront::core
