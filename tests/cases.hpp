// Days of the seeded world that differ from a plain one by a change with a name, and what every one
// of them has to show.
#pragma once
#include <gtest/gtest.h>

#include "cluster_simulation.hpp"

namespace hitchfront::testing {

struct Case {
  const char* name;
  std::function<void(Scenario&)> change;
};
inline void PrintTo(const Case& c, std::ostream* out) {
  *out << c.name;
}
inline std::string name_of(const ::testing::TestParamInfo<Case>& p) {
  return p.param.name;
}

// No rule was broken, and every accepted job ended.
inline void well(const ClusterSimulation& w, const std::string& what) {
  EXPECT_TRUE(w.checker.broken.empty()) << what << "\n" << report(w);
  EXPECT_TRUE(w.unfinished().empty())
      << what << ": " << w.unfinished().size() << " jobs never ended";
}

}  // namespace hitchfront::testing
