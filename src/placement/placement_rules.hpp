// Placement constraints: where a job's tasks may run, and how many tasks a machine may have.
#pragma once
#include <algorithm>
#include <cstddef>

#include "jobs/job_state.hpp"
#include "machines/machine.hpp"
#include "settings/constants.hpp"
#include "settings/platform.hpp"

namespace hitchfront::core {

// Whether one more task of the job may be placed in the zone: its own zone constraint, and those on
// all its tasks together (one zone, or spread over zones).
bool zone_allows(const JobState& job, int zone);
// Machine type, spot or on-demand, and zone. Does not consider capacity.
bool is_allowed_on(const JobState& job, const Machine& machine);

// No further task is placed on a machine that has this many: a machine's entry in the allocation
// log must fit one chunk.
inline std::size_t max_tasks_per_machine(const settings::Platform& platform) {
  const auto max_chunk_bytes = static_cast<std::size_t>(
      static_cast<double>(platform.store.value_bytes()) * settings::kMaxAllocationChunkShare);
  return std::min(settings::kMaxTasksPerMachine,
                  max_chunk_bytes / settings::kMaxAllocationTaskBytes);
}

}  // namespace hitchfront::core
