// Looks for jobs that wait although a machine could take them.
#pragma once
#include "simulation/simulated_platform.hpp"
#include "simulation/simulated_users.hpp"
#include "simulation/simulation_context.hpp"

namespace hitchfront::testing {

// Notes for each accepted job that waits the machines with capacity for one of its tasks, see
// InvariantChecker::note_starving. Left out is what may have to wait by design, for a job of larger
// tasks that waits too: capacity, and its team's limit, may be reserved for that one
// (docs/design.md). Jobs whose tasks depend on each other's places are left out as well.
void check_starvation(SimulationContext& context, const SimulatedUsers& users,
                      const SimulatedPlatform& platform);

}  // namespace hitchfront::testing
