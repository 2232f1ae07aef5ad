// Stops tasks to free capacity for work within a guarantee or of higher priority (PROTOCOL,
// "Preemption").
#pragma once
#include <cstdint>
#include <optional>
#include <vector>

#include "leader/allocation_recorder.hpp"
#include "leader/job_writer.hpp"
#include "leader/leader_context.hpp"
#include "leader/leader_state.hpp"
#include "leader/machine_messenger.hpp"
#include "placement/placement_scheduler.hpp"

namespace hitchfront::core {

// For each task that finds no capacity: the machine where making capacity loses least. The task is
// assigned there at once, which reserves the capacity, and launched when the victims are gone.
// Freeing capacity without reserving it was tried first: small tasks refilled the fragments, and
// the same large job had others stopped again and again.
class Preemptor {
 public:
  Preemptor(LeaderContext& context, LeaderState& state, PlacementScheduler& scheduler,
            MachineMessenger& messenger, AllocationRecorder& recorder, JobWriter& writer)
      : context_(context),
        state_(state),
        scheduler_(scheduler),
        messenger_(messenger),
        recorder_(recorder),
        writer_(writer) {}

  void tick(Ms now);

 private:
  // What it costs to place one task of a job on a machine.
  struct Offer {
    double loss = 0;  // seconds of saving times processors
    std::uint32_t at = 0;
    std::vector<Placement*> victims;
  };
  static bool is_dearer(const Offer& a, const Offer& b);

  std::vector<JobState*> jobs_in_want(Ms now);
  std::vector<Machine*> open_machines(Ms now);
  void make_capacity(Ms now, JobState& job, const std::vector<Machine*>& open,
                     std::vector<Machine*>& affected);
  std::optional<Offer> offer_of(Ms now, JobState& job, Machine& machine, std::uint32_t at);
  bool is_ruled_out(JobState& job, const Machine& machine) const;
  void stop_victims(const JobState& job, Machine& machine, const Offer& offer);
  std::optional<double> loss_of(Ms now, const Placement& placement, const JobState& job) const;
  bool may_preempt(const JobState& victim, const JobState& job) const;

  LeaderContext& context_;
  LeaderState& state_;
  PlacementScheduler& scheduler_;
  MachineMessenger& messenger_;
  AllocationRecorder& recorder_;
  JobWriter& writer_;
  Ms next_at_ = 0;
};

}  // namespace hitchfront::core
