// Scales the fleet: rents machines as the policy wants them, moves work off nearly empty ones, and
// returns what is not needed or not usable.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "autoscaling/cloud_calls.hpp"
#include "autoscaling/scale_out_queue.hpp"
#include "leader/leader_context.hpp"
#include "leader/leader_state.hpp"
#include "leader/machine_registry.hpp"
#include "leader/policy_selection.hpp"
#include "leader/task_lifecycle.hpp"
#include "telemetry/metrics.hpp"

namespace hitchfront::core {

class Autoscaler {
 public:
  Autoscaler(LeaderContext& context, LeaderState& state, MachineRegistry& registry,
             TaskLifecycle& tasks, const PolicySelection& policies, ScaleOutQueue& requests,
             CloudCalls& cloud)
      : context_(context),
        state_(state),
        registry_(registry),
        tasks_(tasks),
        policies_(policies),
        requests_(requests),
        cloud_(cloud) {}

  // Rents what the policy wants now, and asks again for what was not answered.
  void scale_out(Ms now);
  // Returns machines: idle at their charge unit's end, lost, drained, faulty, taken, never up.
  void scale_in(Ms now);

 private:
  void send(Ms now, ScaleOutRequest& request);
  void on_answer(Ms now, const std::string& name, int status, std::string_view body);
  void add_rented(Ms now, const ScaleOutRequest& request, const std::vector<std::string>& names);
  std::string describe(const ScaleOutRequest& request) const;

  std::optional<telemetry::ReleaseReason> release_reason(Ms now, const Machine& machine) const;
  bool is_stuck(Ms now, const Machine& machine) const;
  bool is_taken(Ms now, const Machine& machine) const;
  bool is_idle_at_unit_end(Ms now, const Machine& machine) const;
  Ms keep_ms(const Machine& machine) const;
  std::vector<std::string> choose_releases(Ms now);
  void on_released(Ms now, const std::vector<std::string>& names, int status);

  LeaderContext& context_;
  LeaderState& state_;
  MachineRegistry& registry_;
  TaskLifecycle& tasks_;
  const PolicySelection& policies_;
  ScaleOutQueue& requests_;
  CloudCalls& cloud_;
  std::uint64_t next_request_ = 1;
  bool release_in_flight_ = false;
};

}  // namespace hitchfront::core
