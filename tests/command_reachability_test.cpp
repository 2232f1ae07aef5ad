// The leader's two books of each machine, by themselves.
#include "machines/command_reachability.hpp"

#include <gtest/gtest.h>

namespace hitchfront::core {
namespace {
using namespace settings;

TEST(CommandReachability, IsLostByAnswersInARowAndFoundByOneThatShows) {
  CommandReachability h;
  for (std::uint32_t n = 1; n < kUnreachableMissedResponses; ++n)
    EXPECT_FALSE(h.command_missed(10));
  EXPECT_TRUE(h.has_missed_commands());
  EXPECT_FALSE(h.command_arrived());  // it was not unreachable
  EXPECT_FALSE(h.has_missed_commands());
  EXPECT_TRUE(h.command_missed(20, kUnreachableMissedResponses));
  EXPECT_TRUE(h.unreachable());
  EXPECT_EQ(h.unreachable_since(), 20);
  EXPECT_FALSE(h.command_missed(30));  // told once
  EXPECT_EQ(h.unreachable_since(), 20);
  EXPECT_TRUE(h.command_arrived());
  EXPECT_FALSE(h.unreachable());
}

TEST(CommandReachability, IsAskedOnceAtATimeAndOneMoreMissLosesItAgain) {
  CommandReachability h;
  EXPECT_FALSE(h.may_probe(1'000'000));
  h.command_missed(0, kUnreachableMissedResponses);
  EXPECT_FALSE(h.may_probe(kUnreachableProbeIntervalMs - 1));
  EXPECT_TRUE(h.may_probe(kUnreachableProbeIntervalMs));
  h.probe();
  EXPECT_FALSE(h.may_probe(10 * kUnreachableProbeIntervalMs));
  EXPECT_FALSE(h.probed(kUnreachableProbeIntervalMs, false));
  EXPECT_TRUE(h.unreachable());
  EXPECT_FALSE(h.may_probe(2 * kUnreachableProbeIntervalMs - 1));
  EXPECT_TRUE(h.may_probe(2 * kUnreachableProbeIntervalMs));
  h.probe();
  EXPECT_TRUE(h.probed(2 * kUnreachableProbeIntervalMs, true));
  EXPECT_FALSE(h.unreachable());
  EXPECT_TRUE(h.has_missed_commands());
  EXPECT_TRUE(h.command_missed(3 * kUnreachableProbeIntervalMs));
}

TEST(InFlightLaunchesTest, AreKnownUntilResolvedOrTheIncarnationEnds) {
  InFlightLaunches u;
  u.add(7, {3, 0});
  u.add(8, {3, 1});
  u.add(9, {4, 0});
  u.resolve(9);
  EXPECT_FALSE(u.contains(9));
  EXPECT_FALSE(u.contains_task({4, 0}));
  u.resolve(7);
  EXPECT_FALSE(u.contains_task({3, 0}));
  EXPECT_TRUE(u.contains_task({3, 1}));
  u.end_incarnation();
  EXPECT_TRUE(u.empty());
  EXPECT_FALSE(u.contains_task({3, 1}));
}

}  // namespace
}  // namespace hitchfront::core
