// What tests of the cluster simulation share: scenarios that differ by a change with a name, and
// the assertions that nearly all of them make.
#pragma once
#include <gtest/gtest.h>

#include <functional>
#include <ostream>
#include <string>

#include "simulation/cluster_simulation.hpp"

namespace hitchfront::testing {

// A parameter of a test: what sets its scenario apart from the suite's plain one.
struct ScenarioVariant {
  const char* name;
  std::function<void(Scenario&)> change;
};
inline void PrintTo(const ScenarioVariant& variant, std::ostream* out) {
  *out << variant.name;
}
inline std::string name_of(const ::testing::TestParamInfo<ScenarioVariant>& info) {
  return info.param.name;
}

// No rule is broken; otherwise says which run it was and what it broke.
inline ::testing::AssertionResult no_invariant_broken(const ClusterSimulation& simulation) {
  if (simulation.checker.broken.empty()) return ::testing::AssertionSuccess();
  return ::testing::AssertionFailure() << simulation.description() << " broke:\n"
                                       << report(simulation);
}

// Every accepted job is done or cancelled, and its user knows.
inline ::testing::AssertionResult every_job_ended(const ClusterSimulation& simulation) {
  const auto unfinished = simulation.unfinished();
  if (unfinished.empty()) return ::testing::AssertionSuccess();
  return ::testing::AssertionFailure() << simulation.description() << ": " << unfinished.size()
                                       << " jobs never ended, first " << unfinished.front();
}

// What nearly every run has to show.
inline void expect_sound(const ClusterSimulation& simulation) {
  EXPECT_TRUE(no_invariant_broken(simulation));
  EXPECT_TRUE(every_job_ended(simulation));
}

}  // namespace hitchfront::testing
