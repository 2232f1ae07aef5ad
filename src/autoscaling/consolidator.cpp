#include "autoscaling/consolidator.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

#include "placement/placement_rules.hpp"
#include "settings/constants.hpp"

namespace hitchfront::core {
using namespace settings;
namespace {
constexpr double kPriceEpsilon = 1e-9;  // smaller price differences count as equal
}

// Tasks wait for capacity, or will once the leases of missing machines have expired.
bool Consolidator::needs_capacity(Ms now) const {
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

bool Consolidator::is_drainable(Ms now, const Machine& machine) const {
  if (now - machine.billed_since < static_cast<Ms>(kMinChargedTimeS * 1000) ||
      machine.free_capacity.dominant_share_of(machine.capacity) < kMinConsolidationFreeShare)
    return false;
  return std::all_of(machine.tasks.begin(), machine.tasks.end(), [&](const auto& task) {
    const auto& placement = task.second;
    const auto& job = *placement.job;
    const double elapsed_s = placement.elapsed_s(now);
    if (placement.stage != PlacementStage::running || placement.stopping ||
        job.spec.checkpoint_s <= 0 || elapsed_s <= kMinRunTimeForMoveS)
      return false;
    const double estimated_s = state_.run_times.run_time_s(job);
    // How long a task that has exceeded its estimate will run is not known.
    return estimated_s - elapsed_s > kMinRemainingForMoveS || elapsed_s > estimated_s;
  });
}

bool Consolidator::place_tasks_elsewhere(const Machine& machine,
                                         std::vector<MoveTarget>& targets) const {
  return std::all_of(machine.tasks.begin(), machine.tasks.end(), [&](const auto& task) {
    const auto& job = *task.second.job;
    const auto size = size_of(job.spec);
    const auto target = std::find_if(targets.begin(), targets.end(), [&](const MoveTarget& each) {
      return size.fits(each.free_capacity) && is_allowed_on(job, *each.machine);
    });
    if (target == targets.end()) return false;
    target->free_capacity.add(size, -1);
    return true;
  });
}

void Consolidator::tick(Ms now) {
  if (needs_capacity(now)) return;
  std::vector<MoveTarget> kept;
  std::vector<Machine*> candidates;
  std::size_t draining = 0;
  for (auto* machine : state_.machines.all()) {
    if (machine->draining) ++draining;
    if (!state_.machines.usable(now, *machine) || machine->tasks.empty()) continue;
    kept.push_back({machine, machine->free_capacity});
    if (is_drainable(now, *machine)) candidates.push_back(machine);
  }
  std::stable_sort(candidates.begin(), candidates.end(), [&](const Machine* a, const Machine* b) {
    const double price_a = state_.catalog.price_of(*a), price_b = state_.catalog.price_of(*b);
    if (std::abs(price_a - price_b) > kPriceEpsilon) return price_a > price_b;
    return a->tasks.size() < b->tasks.size();
  });
  const auto max_draining = std::max<std::size_t>(
      1, static_cast<std::size_t>(static_cast<double>(state_.machines.size()) * kMaxDrainingShare));
  for (auto* machine : candidates) {
    if (draining >= max_draining) return;
    auto targets = kept;
    std::erase_if(targets, [&](const MoveTarget& target) { return target.machine == machine; });
    if (!place_tasks_elsewhere(*machine, targets)) continue;
    kept = std::move(targets);
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
