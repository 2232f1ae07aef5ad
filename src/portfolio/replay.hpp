// The online simulator (paper, section 3.3): plays the queue on the current machines under one
// policy until all of it is done, and gives the utility.
#pragma once
#include <cstdint>
#include <vector>

#include "portfolio/policy.hpp"

namespace hitchfront::portfolio {

// By how much a sum of shares may pass what there is, for rounding.
inline constexpr double kCapacityTolerance = 1e-9;

struct Size {
  double cpus = 0, gpus = 0, memory_gb = 0;
  bool fits(const Size& free_capacity, double n = 1) const {
    return cpus * n <= free_capacity.cpus + kCapacityTolerance &&
           gpus * n <= free_capacity.gpus + kCapacityTolerance &&
           memory_gb * n <= free_capacity.memory_gb + kCapacityTolerance;
  }
  // The largest share of `whole` that one of these takes.
  double share_of(const Size& whole) const;
  // How many of these fit into `capacity`.
  std::uint32_t count_in(const Size& free_capacity) const;
  void add(const Size& s, double n = 1) {
    cpus += s.cpus * n;
    gpus += s.gpus * n;
    memory_gb += s.memory_gb * n;
  }
};

// What can be rented: one type in one zone, spot or ordinary.
struct Offer {
  int type = 0, zone = 0;
  bool spot = false;
  Size size;
  double price = 0;  // per hour, current
  double boot_s = 0;
  double fetch_gb_per_s = 1;
  std::uint32_t free_capacity = 0;  // machines thought available; 0 after "no capacity"
};

struct Running {
  double end_s = 0;  // from now
  Size size;
  int team = 0;
  std::uint32_t tasks = 1;
};

struct SimMachine {
  int type = 0, zone = 0;
  bool spot = false, closed = false;  // closed: draining, takes nothing new
  Size whole, free_capacity;
  double age_s = 0;    // paid so far
  double up_in_s = 0;  // 0: up
  double price = 0, fetch_gb_per_s = 1;
  std::vector<Running> running;
  std::vector<int> images;
};

struct SimJob {
  std::uint32_t tasks = 0;  // waiting ones
  std::uint32_t width = 1;  // all the job's tasks: the paper's n_i
  double wait_s = 0, run_s = 0;
  Size size;
  int team = 0, priority = 0, image = 0;
  double image_gb = 0;
  bool spot = false;
  bool within_guarantee =
      false;                    // within its team's guarantee: rented for whatever the policy says
  bool aged = false;            // it has begun nothing for long: the same for one task
  std::uint64_t types = ~0ULL;  // bit per type
  int zone = -1;                // only allowed zone, or -1
  bool allows(int type, int z, bool is_spot) const {
    return (types >> type & 1) != 0 && (zone < 0 || zone == z) && (spot || !is_spot);
  }
};

struct SimTeam {
  double cpus = 0, cpus_max = 0, gpus_max = 0;  // guarantee and limits; infinite: none
  double used_cpus = 0, used_gpus = 0;
};

struct Snapshot {
  std::vector<SimJob> queue;
  std::vector<SimMachine> machines;
  std::vector<Offer> offers;  // cheapest first for a given size
  std::vector<SimTeam> teams;
};

struct Outcome {
  double utility = 0, job_time = 0, charged = 0, slowdown = 1;
  std::uint64_t steps = 0;  // what the replay cost
};

// A machine of this offer, rented just now.
SimMachine booting(const Offer& offer);

// The best offer for a job: the least price for one task's share. -1: none.
int best_offer(const SimJob& job, const std::vector<Offer>& offers);

Outcome replay(const Snapshot& snapshot, const Policy& policy, const Params& params);

// How many machines of each offer the policy scales out by at this moment.
std::vector<std::uint32_t> scale_out_now(const Snapshot& snapshot, const Policy& policy,
                                         const Params& params);

double utility(double job_time, double charged, double slowdown, const Params& params);

}  // namespace hitchfront::portfolio
