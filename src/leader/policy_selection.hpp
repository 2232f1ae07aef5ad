// Which policy of the portfolio is in force: every few seconds the queue is replayed under as many
// as the processor's share allows, and the best is applied.
#pragma once
#include <cstdint>

#include "autoscaling/scale_out_queue.hpp"
#include "leader/leader_context.hpp"
#include "leader/leader_state.hpp"
#include "portfolio/selector.hpp"

namespace hitchfront::core {

// Who applies another policy.
class PolicyListener {
 public:
  virtual ~PolicyListener() = default;
  virtual void on_policy_chosen(Ms now) = 0;
};

class PolicySelection {
 public:
  PolicySelection(LeaderContext& context, LeaderState& state, const ScaleOutQueue& requested,
                  std::uint64_t seed, PolicyListener& listener);

  void begin(Ms now);
  // Begins a selection when its time has come.
  void tick(Ms now);
  bool is_running() const { return selector_.running(); }
  // Replays within so many steps; returns how many it took.
  std::uint64_t replay(Ms now, std::uint64_t steps);

  const portfolio::Policy& policy() const { return policy_; }
  const portfolio::Params& params() const { return params_; }
  // Measured by whoever drives the core: replay steps in a millisecond of processor time.
  void set_steps_per_ms(double steps) { steps_per_ms_ = steps; }
  double steps_per_ms() const { return steps_per_ms_; }

 private:
  settings::Inputs operator_inputs() const;
  void read_operator_settings(const settings::Inputs& inputs);
  void note_finished();
  void apply_choice(Ms now);

  LeaderContext& context_;
  LeaderState& state_;
  const ScaleOutQueue& requested_;
  PolicyListener& listener_;
  portfolio::Params params_;
  portfolio::Selector selector_;
  portfolio::Policy policy_;
  double steps_per_ms_ = 2000;
  Ms next_at_ = 0;
  // What is being replayed, for the log.
  std::size_t jobs_ = 0, machines_ = 0;
  std::uint64_t steps_ = 0;
};

}  // namespace hitchfront::core
