// The sixty policies: five for renting, four for ordering, three for choosing machines
// (paper, section 3.1). The leader and the replay use the same formulas.
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
};  // ODA ODB ODE ODM ODX
enum class Order : std::uint8_t { fcfs, lxf, wfp3, unicef };
enum class Choose : std::uint8_t { first_fit, best_fit, worst_fit };

struct Policy {
  ScaleOut scale_out = ScaleOut::all;
  Order order = Order::fcfs;
  Choose choose = Choose::first_fit;
  bool operator==(const Policy&) const = default;
};
inline constexpr std::size_t kPolicies = 60;
std::array<Policy, kPolicies> all_policies();
std::string name(const Policy& policy);

// Tunables; the defaults are the design's.
struct Params {
  double kappa = 100, alpha = 1, beta = 1;
  double slowdown_bound_s = 10;
  double charge_unit_s = 60;
  double ode_unit_s = 3600;
  double odx_threshold = 2;
  double horizon_s = 3600;
  // Length of a replay's pass for each thousand machines and queued tasks: what ends within one
  // pass is taken together. 0: each end by itself.
  double pass_s = 0;
};

// p_i of the ordering policies; larger goes first. n is the job's parallelism (its tasks).
double order_key(Order order, double wait_s, double run_s, double n);

// A queued job as the renting policies see it.
struct Demand {
  double machines = 0;  // n_i, counted in machines: tasks times each task's largest resource share
  double wait_s = 0, run_s = 0;
};
// How many machines the policy wants beyond those that are there. `free`: machines' worth of
// capacity idle or booting; `rented`: all machines rented, busy ones included; `busy`: machines'
// worth in use.
double machines_wanted(ScaleOut scale_out, const std::vector<Demand>& queue, double free,
                       double rented, double busy, const Params& params);

// For choosing: a machine's paid time left after a job of `run_s` that would end at `end_s` of the
// machine's age (best fit wants the least, worst fit the most).
double left_after(double age_s, double run_s, double unit_s);

}  // namespace hitchfront::portfolio
