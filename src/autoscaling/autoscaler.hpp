// Scales the fleet out and in: rents the machines that the selected policy requires, and returns
// those that are idle or unusable.
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

  // Requests the machines that the policy requires now, and repeats requests that were not
  // answered.
  void scale_out(Ms now);
  // Returns machines that are idle at the end of their charge unit, and those that are lost,
  // drained, reclaimed, failed, faulty, unreachable or stuck in booting.
  void scale_in(Ms now);

 private:
  void send_request(Ms now, ScaleOutRequest& request);
  void on_scale_out_response(Ms now, const std::string& name, int status, std::string_view body);
  void add_granted_machines(Ms now, const ScaleOutRequest& request,
                            const std::vector<std::string>& names);
  std::string describe(const ScaleOutRequest& request) const;

  // None: the machine is kept.
  std::optional<telemetry::ReleaseReason> release_reason(Ms now, const Machine& machine) const;
  bool is_stuck(Ms now, const Machine& machine) const;
  bool is_reclaimed(Ms now, const Machine& machine) const;
  bool is_idle_at_unit_end(Ms now, const Machine& machine) const;
  Ms idle_retention_ms(const Machine& machine) const;
  std::vector<std::string> select_releases(Ms now);
  void on_release_response(Ms now, const std::vector<std::string>& names, int status);

  LeaderContext& context_;
  LeaderState& state_;
  MachineRegistry& registry_;
  TaskLifecycle& tasks_;
  const PolicySelection& policies_;
  ScaleOutQueue& requests_;
  CloudCalls& cloud_;
  std::uint64_t next_request_number_ = 1;
  bool release_in_flight_ = false;
};

}  // namespace hitchfront::core
