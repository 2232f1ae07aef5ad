#include "portfolio/policy.hpp"

#include <algorithm>
#include <cmath>

namespace hitchfront::portfolio {

std::array<Policy, kPolicyCount> all_policies() {
  std::array<Policy, kPolicyCount> out;
  std::size_t i = 0;
  for (auto r : {ScaleOut::all, ScaleOut::balance, ScaleOut::exec_time, ScaleOut::maximum,
                 ScaleOut::xfactor})
    for (auto o : {Order::fcfs, Order::lxf, Order::wfp3, Order::unicef})
      for (auto c :
           {MachineSelection::first_fit, MachineSelection::best_fit, MachineSelection::worst_fit})
        out[i++] = {r, o, c};
  return out;
}

std::string name(const Policy& p) {
  static constexpr const char* kScaleOuts[] = {"ODA", "ODB", "ODE", "ODM", "ODX"};
  static constexpr const char* kOrders[] = {"FCFS", "LXF", "WFP3", "UNICEF"};
  static constexpr const char* kMachineSelections[] = {"FF", "BF", "WF"};
  return std::string(kScaleOuts[static_cast<int>(p.scale_out)]) + "-" +
         kOrders[static_cast<int>(p.order)] + "-" +
         kMachineSelections[static_cast<int>(p.machine_selection)];
}

double order_key(Order order, double wait_s, double run_s, double n) {
  run_s = std::max(run_s, 1e-3);
  switch (order) {
    case Order::fcfs:
      return wait_s;
    case Order::lxf:
      return (wait_s + run_s) / run_s;
    case Order::wfp3: {
      const double x = wait_s / run_s;
      return x * x * x * n;
    }
    case Order::unicef:
      // log2(1) is 0. The lower bound keeps the key of a single task finite, and above those of
      // wider jobs that have waited as long.
      return wait_s / (std::max(std::log2(n), 1e-3) * run_s);
  }
  return 0;
}

double additional_machines(ScaleOut scale_out, const std::vector<Demand>& queue, double free,
                           double rented, double busy, const PolicyParams& p) {
  double machines = 0;
  switch (scale_out) {
    case ScaleOut::all:
      for (const auto& d : queue) machines += d.machines;
      return machines - free;
    case ScaleOut::balance:
      for (const auto& d : queue) machines += d.machines;
      return machines + busy - rented;
    case ScaleOut::exec_time:
      for (const auto& d : queue) machines += d.machines * d.run_s / p.ode_unit_s;
      return machines - free;
    case ScaleOut::maximum:
      for (const auto& d : queue) machines = std::max(machines, d.machines);
      return machines - free;
    case ScaleOut::xfactor:
      for (const auto& d : queue) {
        const double r = std::max(d.run_s, p.slowdown_bound_s);
        if ((d.wait_s + r) / r > p.odx_threshold) machines += d.machines;
      }
      return machines - free;
  }
  return 0;
}

double remaining_charge_unit_s(double age_s, double run_s, double unit_s) {
  const double end = age_s + run_s;
  return std::ceil(end / unit_s) * unit_s - end;
}

}  // namespace hitchfront::portfolio
