// Decides which waiting task goes to which machine, by the chosen policy, once for a batch of
// changes.
#pragma once
#include <cstdint>
#include <vector>

#include "aging/aging.hpp"
#include "leader/allocation_recorder.hpp"
#include "leader/job_writer.hpp"
#include "leader/leader_context.hpp"
#include "leader/leader_state.hpp"
#include "leader/machine_messenger.hpp"
#include "leader/policy_selection.hpp"
#include "placement/reservations.hpp"

namespace hitchfront::core {

class PlacementScheduler {
 public:
  PlacementScheduler(LeaderContext& context, LeaderState& state, MachineMessenger& messenger,
                     AllocationRecorder& recorder, JobWriter& writer,
                     const PolicySelection& policies)
      : context_(context),
        state_(state),
        messenger_(messenger),
        recorder_(recorder),
        writer_(writer),
        policies_(policies) {}

  // Places if something has changed and the last placement's cost allows. Heartbeats of machines
  // with free capacity are deferred meanwhile, and are answered with what is placed then.
  void schedule(Ms now);
  // Assigns a waiting task to a machine; its launch waits to be recorded.
  void assign(Ms now, JobState& job, Machine& machine, std::uint32_t task);

 private:
  // A job's turn in one placement, and what decides its place in the order.
  struct Turn {
    bool best_effort = false, late = false;
    double policy_key = 0;
    JobState* job = nullptr;
    aging::Turn aged = aging::Turn::usual;
    std::uint32_t most = 0;  // tasks that may be placed in it
    bool aside = false;      // a machine is kept for it where it finds none
  };
  struct Merit;

  void place(Ms now);
  void collect_machines(Ms now, std::vector<Machine*>& open, Reservations& reservations);
  std::vector<Turn> order(Ms now);
  static bool goes_before(const Turn& a, const Turn& b);
  void take_turn(Ms now, const Turn& turn, std::vector<Machine*>& open, Reservations& reservations);
  bool is_late(const JobState& job, double since_submission_s) const;
  std::uint32_t tries(const JobState& job, std::uint32_t most) const;
  void fill(Ms now, JobState& job, const std::vector<Machine*>& open, std::uint32_t most);
  std::vector<Merit> rank(Ms now, const JobState& job, const std::vector<Machine*>& open) const;
  Merit merit_of(Ms now, const JobState& job, double run_s, const Machine& machine) const;
  static bool is_worse(const Merit& a, const Merit& b);

  LeaderContext& context_;
  LeaderState& state_;
  MachineMessenger& messenger_;
  AllocationRecorder& recorder_;
  JobWriter& writer_;
  const PolicySelection& policies_;
  Ms next_at_ = 0;
};

}  // namespace hitchfront::core
