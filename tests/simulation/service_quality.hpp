// Whether the jobs of each class and team were served, by what the invariant checker observed.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

#include "simulation/invariant_checker.hpp"

namespace hitchfront::testing {

// Classes and teams of which fewer than half of the jobs that were accepted and not cancelled are
// done, as "team blue: 3 of 8"; the largest of each class count as one more, "class alpha's
// largest".
std::vector<std::string> unserved(const InvariantChecker& checker);
// The largest jobs of each class: a tenth of its jobs, and one at the least, by the processors that
// a job asks for.
std::vector<std::string> large_jobs(const InvariantChecker& checker);
// Of those, what began later than so many ms after its acceptance, and how late.
std::vector<std::string> late_to_begin(const InvariantChecker& checker, std::int64_t now,
                                       std::int64_t most_ms);

}  // namespace hitchfront::testing
