#include "placement/placement_rules.hpp"

namespace hitchfront::core {

bool zone_allows(const JobState& job, int zone) {
  if (job.zone >= 0 && job.zone != zone) return false;
  if (zone < 0) return false;
  if (job.spec.one_zone) {
    if (job.unknown > 0) return false;  // an unknown task may be in any zone
    for (std::size_t z = 0; z < job.placements_per_zone.size(); ++z)
      if (static_cast<int>(z) != zone && job.placements_per_zone[z] > 0) return false;
  }
  if (job.spec.spread) {
    const auto max_per_zone = (job.spec.tasks + 1) / 2;
    if (job.placements_per_zone[static_cast<std::size_t>(zone)] + job.unknown + 1 > max_per_zone)
      return false;
  }
  return true;
}

bool is_allowed_on(const JobState& job, const Machine& machine) {
  return machine.type >= 0 && (job.types >> machine.type & 1) != 0 &&
         (job.spec.spot || !machine.spot) && zone_allows(job, machine.zone);
}

}  // namespace hitchfront::core
