// Turns of jobs that have begun nothing, against a plain reading of the rule.
#include "aging/aging.hpp"

#include <gtest/gtest.h>

#include <random>

namespace hitchfront::aging {
namespace {

TEST(Aging, GivesTurnsAsThePlainRuleDoes) {
  std::mt19937 random(4);
  std::size_t due = 0, may_reserve = 0;
  for (int round = 0; round < 500; ++round) {
    const Limits limits{50, 100, 0.1};
    const std::size_t machines = random() % 60;
    std::vector<WaitingJob> waiting;
    for (std::uint64_t job = 0; job < random() % 30; ++job)
      waiting.push_back(
          {job, static_cast<double>(random() % 150), random() % 3 == 0, random() % 4 == 0});
    const auto given = aged_jobs(waiting, machines, limits);
    std::size_t expected = 0;
    for (const auto& w : waiting) {
      const auto it = std::find_if(given.begin(), given.end(),
                                   [&](const AgedJob& g) { return g.job == w.job; });
      const bool has = !w.started && !w.within_guarantee && w.wait_s >= 50;
      ASSERT_EQ(it != given.end(), has) << "job " << w.job << " waited " << w.wait_s;
      if (!has) continue;
      ++expected;
      EXPECT_EQ(it->level, w.wait_s >= 100 ? AgingLevel::due : AgingLevel::aged);
      // How many have waited longer, or as long and came first.
      std::size_t before = 0;
      for (const auto& o : waiting)
        if (!o.started && !o.within_guarantee && o.wait_s >= 50 &&
            (o.wait_s > w.wait_s || (o.wait_s == w.wait_s && o.job < w.job)))
          ++before;
      EXPECT_EQ(static_cast<std::size_t>(it - given.begin()), before);
      EXPECT_EQ(it->may_reserve, before < std::max<std::size_t>(1, machines / 10));
      due += it->level == AgingLevel::due ? 1 : 0;
      may_reserve += it->may_reserve ? 1 : 0;
    }
    EXPECT_EQ(given.size(), expected);
  }
  EXPECT_GT(due, 100U);
  EXPECT_GT(may_reserve, 100U);
}

}  // namespace
}  // namespace hitchfront::aging
