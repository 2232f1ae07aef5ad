// Scenarios drawn from a seed; the same seed gives the same scenario.
#pragma once
#include <cstdint>

#include "simulation/scenario.hpp"

namespace hitchfront::testing {

// Three to nine faults of all kinds, alone or overlapping, beside changes of load and of versions.
Scenario random_scenario(std::uint64_t seed);

// Two or three faults of any kind that begin within two seconds of each other, at two moments of
// the run, while users cancel.
Scenario overlapping_faults_scenario(std::uint64_t seed);

}  // namespace hitchfront::testing
