#include "autoscaling/consolidator.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

#include "placement/placement_rules.hpp"
#include "settings/constants.hpp"

namespace hitchfront::core {
using namespace settings;
namespace {
constexpr double kEpsilon = 1e-9;  // of prices
}

// Work that waits, or that will wait when the leases of what is missing are over: capacity is worth
// more than tidiness.
bool Consolidator::has_other_needs(Ms now) const {
  for (const auto& [id, job] : state_.jobs)
    if (job->active() && job->waiting > 0 && !state_.failures.is_quarantined(job->index))
      return true;
  const auto& machines = state_.machines.all();
  const auto missing = std::count_if(machines.begin(), machines.end(), [&](const Machine* machine) {
    return state_.machines.is_missing(now, *machine);
  });
  return static_cast<double>(missing) >
         static_cast<double>(machines.size()) * kMaxMissingMachineShare;
}

bool Consolidator::may_be_emptied(Ms now, const Machine& machine) const {
  if (now - machine.billed_since < static_cast<Ms>(kMinChargedTimeS * 1000) ||
      machine.free_capacity.share_of(machine.capacity) < kMinConsolidationFreeShare)
    return false;
  return std::all_of(machine.tasks.begin(), machine.tasks.end(), [&](const auto& task) {
    const auto& placement = task.second;
    const auto& job = *placement.job;
    const double elapsed_s = placement.elapsed_s(now);
    if (placement.stage != PlacementStage::running || placement.stopping ||
        job.spec.checkpoint_s <= 0 || elapsed_s <= kMinRunTimeForMoveS)
      return false;
    const double run_s = state_.run_times.run_time_s(job);
    return run_s - elapsed_s > kMinRemainingForMoveS || elapsed_s > run_s;
  });
}

bool Consolidator::fits_elsewhere(const Machine& machine, std::vector<Remaining>& others) const {
  return std::all_of(machine.tasks.begin(), machine.tasks.end(), [&](const auto& task) {
    const auto& job = *task.second.job;
    const auto size = size_of(job.spec);
    const auto place = std::find_if(others.begin(), others.end(), [&](const Remaining& other) {
      return size.fits(other.free_capacity) && is_allowed_on(job, *other.machine);
    });
    if (place == others.end()) return false;
    place->free_capacity.add(size, -1);
    return true;
  });
}

void Consolidator::tick(Ms now) {
  if (has_other_needs(now)) return;
  std::vector<Remaining> staying;
  std::vector<Machine*> leaving;
  std::size_t draining = 0;
  for (auto* machine : state_.machines.all()) {
    if (machine->draining) ++draining;
    if (!state_.machines.usable(now, *machine) || machine->tasks.empty()) continue;
    staying.push_back({machine, machine->free_capacity});
    if (may_be_emptied(now, *machine)) leaving.push_back(machine);
  }
  std::stable_sort(leaving.begin(), leaving.end(), [&](const Machine* a, const Machine* b) {
    const double price_a = state_.catalog.price_of(*a), price_b = state_.catalog.price_of(*b);
    if (std::abs(price_a - price_b) > kEpsilon) return price_a > price_b;
    return a->tasks.size() < b->tasks.size();
  });
  const auto most = std::max<std::size_t>(
      1, static_cast<std::size_t>(static_cast<double>(state_.machines.size()) * kMaxDrainingShare));
  for (auto* machine : leaving) {
    if (draining >= most) return;
    auto others = staying;
    std::erase_if(others, [&](const Remaining& other) { return other.machine == machine; });
    if (!fits_elsewhere(*machine, others)) continue;
    staying = std::move(others);
    ++draining;
    drain(now, *machine);
  }
}

void Consolidator::drain(Ms now, Machine& machine) {
  machine.draining = machine.stopping = true;
  for (auto& [key, placement] : machine.tasks) {
    placement.stopping = true;
    placement.grace_s = placement.job->spec.save_s + kStopGraceMarginS;
  }
  context_.log(Event::machine_drained, machine.name, machine.tasks.size());
  context_.metrics().add(telemetry::Count::stops, telemetry::StopReason::drained,
                         static_cast<double>(machine.tasks.size()));
  messenger_.deliver_stops(now, machine);
}

}  // namespace hitchfront::core
