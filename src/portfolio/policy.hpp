// The scheduling policies (paper, section 3.1): every combination of a scale-out policy, a job
// order and a machine selection policy. The leader and the replay use the same formulas.
#pragma once
#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace hitchfront::portfolio {

enum class ScaleOut : std::uint8_t {
  all,
  balance,
  exec_time,
  maximum,
  xfactor
};  // ODA, ODB, ODE, ODM, ODX
enum class Order : std::uint8_t { fcfs, lxf, wfp3, unicef };
enum class MachineSelection : std::uint8_t { first_fit, best_fit, worst_fit };

struct Policy {
  ScaleOut scale_out = ScaleOut::all;
  Order order = Order::fcfs;
  MachineSelection machine_selection = MachineSelection::first_fit;
  bool operator==(const Policy&) const = default;
};
inline constexpr std::size_t kPolicyCount = 60;
std::array<Policy, kPolicyCount> all_policies();
// Such as "ODA-FCFS-FF".
std::string name(const Policy& policy);

// Parameters of the policies, the utility function and the replay.
struct PolicyParams {
  double kappa = 100, alpha = 1, beta = 1;
  double slowdown_bound_s = 10;
  double charge_unit_s = 60;
  double ode_unit_s = 3600;
  double odx_threshold = 2;
  double horizon_s = 3600;
  // Simulated time of one replay pass, per thousand machines and queued tasks. Tasks that end
  // within the same pass are processed together. 0: every task end is a pass of its own.
  double pass_s = 0;
};

// The priority p_i of the job order policies; the highest goes first. `n` is the job's parallelism:
// its number of tasks.
double order_key(Order order, double wait_s, double run_s, double n);

// A queued job, as input of the scale-out policies.
struct Demand {
  double machines = 0;  // n_i in machines: tasks times the dominant share of one task
  double wait_s = 0, run_s = 0;
};
// Machines to scale out by; may be negative. All amounts are in machines: `free` is idle or booting
// capacity, `rented` all machines including busy ones, `busy` the capacity in use.
double additional_machines(ScaleOut scale_out, const std::vector<Demand>& queue, double free,
                           double rented, double busy, const PolicyParams& params);

// Time from the end of a job to the end of the machine's charge unit, if the job starts at `age_s`
// of the machine's age and takes `run_s`. Best fit minimizes it, worst fit maximizes it.
double remaining_charge_unit_s(double age_s, double run_s, double unit_s);

}  // namespace hitchfront::portfolio
