// Whether commands reach a machine, by itself.
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

}  // namespace
}  // namespace hitchfront::core
