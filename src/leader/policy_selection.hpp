// Periodic policy selection: replays the queue under as many policies of the portfolio as the CPU
// budget allows, and activates the one with the highest utility.
#pragma once
#include <cstdint>

#include "autoscaling/scale_out_queue.hpp"
#include "leader/leader_context.hpp"
#include "leader/leader_state.hpp"
#include "portfolio/selector.hpp"

namespace hitchfront::core {

class PolicyListener {
 public:
  virtual ~PolicyListener() = default;
  // Another policy has become active.
  virtual void on_policy_chosen(Ms now) = 0;
};

class PolicySelection {
 public:
  PolicySelection(LeaderContext& context, LeaderState& state,
                  const ScaleOutQueue& scale_out_requests, std::uint64_t seed,
                  PolicyListener& listener);

  // Schedules the first selection for the next tick.
  void begin(Ms now);
  // Starts a selection if one is due.
  void tick(Ms now);
  bool is_running() const { return selector_.running(); }
  // Continues the selection until it ends or about `max_steps` replay steps have been made: the
  // replay of one policy is not interrupted. Returns the number of steps.
  std::uint64_t replay(Ms now, std::uint64_t max_steps);

  const portfolio::Policy& policy() const { return policy_; }
  const portfolio::PolicyParams& params() const { return params_; }
  // Replay steps per millisecond of CPU time, as measured by the driver of the core.
  void set_steps_per_ms(double steps_per_ms) { steps_per_ms_ = steps_per_ms; }
  double steps_per_ms() const { return steps_per_ms_; }

 private:
  settings::Inputs operator_inputs() const;
  void read_operator_settings(const settings::Inputs& inputs);
  void record_selection();
  void apply_chosen_policy(Ms now);

  LeaderContext& context_;
  LeaderState& state_;
  const ScaleOutQueue& scale_out_requests_;
  PolicyListener& listener_;
  portfolio::PolicyParams params_;
  portfolio::Selector selector_;
  portfolio::Policy policy_;
  double steps_per_ms_ = 2000;  // until set_steps_per_ms() is called
  Ms next_selection_at_ = 0;
  // The current selection, for the log: jobs and machines in the snapshot, and steps so far.
  std::size_t replayed_jobs_ = 0, replayed_machines_ = 0;
  std::uint64_t replay_steps_ = 0;
};

}  // namespace hitchfront::core
