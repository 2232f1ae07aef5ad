// Where a job's tasks may run, and how many may be on one machine.
#pragma once
#include <algorithm>
#include <cstddef>

#include "jobs/job_state.hpp"
#include "machines/machine.hpp"
#include "settings/constants.hpp"
#include "settings/platform.hpp"

namespace hitchfront::core {

// By the job's zone, and where its other tasks are.
bool zone_allows(const JobState& job, int zone);
// Type, kind and zone; not whether there is capacity.
bool is_allowed_on(const JobState& job, const Machine& machine);

// Tasks on one machine past which nothing more is placed there: the machine alone has to fit into a
// chunk of the allocation log.
inline std::size_t machine_tasks_most(const settings::Platform& platform) {
  const auto chunk = static_cast<std::size_t>(static_cast<double>(platform.store.value_bytes()) *
                                              settings::kMaxAllocationChunkShare);
  return std::min(settings::kMaxTasksPerMachine, chunk / settings::kMaxAllocationTaskBytes);
}

}  // namespace hitchfront::core
