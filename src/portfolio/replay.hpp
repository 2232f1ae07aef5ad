// The online simulator (paper, section 3.3): simulates the queue on the current machines under one
// policy until all jobs are done or the horizon is reached, and returns the utility.
#pragma once
#include <cstdint>
#include <vector>

#include "portfolio/policy.hpp"

namespace hitchfront::portfolio {

// Rounding tolerance for sums of resources.
inline constexpr double kCapacityTolerance = 1e-9;

struct Resources {
  double cpus = 0, gpus = 0, memory_gb = 0;
  bool fits(const Resources& free_capacity, double n = 1) const {
    return cpus * n <= free_capacity.cpus + kCapacityTolerance &&
           gpus * n <= free_capacity.gpus + kCapacityTolerance &&
           memory_gb * n <= free_capacity.memory_gb + kCapacityTolerance;
  }
  // The largest of the shares of `capacity` that this takes of each resource.
  double dominant_share_of(const Resources& capacity) const;
  // How many requests of this size fit into `free_capacity`.
  std::uint32_t count_fitting_in(const Resources& free_capacity) const;
  void add(const Resources& s, double n = 1) {
    cpus += s.cpus * n;
    gpus += s.gpus * n;
    memory_gb += s.memory_gb * n;
  }
};

// Machines that can be rented: one type in one zone, spot or on-demand.
struct Offer {
  int type = 0, zone = 0;
  bool spot = false;
  Resources size;
  double price = 0;  // per hour, current
  double boot_s = 0;
  double fetch_gb_per_s = 1;
  std::uint32_t free_capacity = 0;  // machines expected to be available; 0 after "no capacity"
};

// Tasks that run on a machine and end together.
struct RunningTasks {
  double end_s = 0;  // from now
  Resources size;
  int team = 0;
  std::uint32_t tasks = 1;
};

struct SimMachine {
  int type = 0, zone = 0;
  bool spot = false, unschedulable = false;  // unschedulable: gets no new tasks
  Resources capacity, free_capacity;
  double age_s = 0;             // since charging began
  double remaining_boot_s = 0;  // 0: up
  double price = 0, fetch_gb_per_s = 1;
  std::vector<RunningTasks> running;
  std::vector<int> images;
};

struct SimJob {
  std::uint32_t tasks = 0;        // waiting tasks
  std::uint32_t total_tasks = 1;  // n_i of the paper
  double wait_s = 0, run_s = 0;
  Resources size;
  int team = 0, priority = 0, image = 0;
  double image_gb = 0;
  bool spot = false;
  // Within its team's guarantee: machines are rented for it under every policy.
  bool within_guarantee = false;
  // Has waited long without starting any task: machines are rented for one task under every policy.
  bool aged = false;
  std::uint64_t types = ~0ULL;  // bit i: type i is allowed
  int zone = -1;                // the only allowed zone; -1: any
  bool allows(int type, int machine_zone, bool is_spot) const {
    return (types >> type & 1) != 0 && (zone < 0 || zone == machine_zone) && (spot || !is_spot);
  }
};

struct SimTeam {
  double cpus = 0, cpus_max = 0, gpus_max = 0;  // guarantee and limits; infinity: no limit
  double used_cpus = 0, used_gpus = 0;
};

struct Snapshot {
  std::vector<SimJob> queue;
  std::vector<SimMachine> machines;
  std::vector<Offer> offers;  // cheapest first for a given size
  std::vector<SimTeam> teams;
};

struct Outcome {
  // `job_time`: machine seconds of work; `charged`: machine seconds charged, weighted by price;
  // `slowdown`: the mean bounded slowdown.
  double utility = 0, job_time = 0, charged = 0, slowdown = 1;
  std::uint64_t steps = 0;  // elementary operations: the cost of the replay
};

// A machine of this offer that has just been rented.
SimMachine make_booting_machine(const Offer& offer);

// Index of the offer with the lowest price per task of the job; -1 if no offer suits the job.
int cheapest_offer(const SimJob& job, const std::vector<Offer>& offers);

Outcome replay(const Snapshot& snapshot, const Policy& policy, const PolicyParams& params);

// How many machines of each offer the policy rents at the start of the replay.
std::vector<std::uint32_t> scale_out_now(const Snapshot& snapshot, const Policy& policy,
                                         const PolicyParams& params);

double utility(double job_time, double charged, double slowdown, const PolicyParams& params);

}  // namespace hitchfront::portfolio
