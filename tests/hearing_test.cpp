// The leader's two books of each machine, by themselves.
#include "core/hearing.hpp"

#include <gtest/gtest.h>

namespace hitchfront::core {
namespace {
using namespace settings;

TEST(Hearing, IsLostByAnswersInARowAndFoundByOneThatShows) {
  Hearing h;
  for (std::uint32_t n = 1; n < kDeafAnswers; ++n) EXPECT_FALSE(h.missed(10));
  EXPECT_TRUE(h.doubted());
  EXPECT_FALSE(h.heard());  // it was not deaf
  EXPECT_FALSE(h.doubted());
  EXPECT_TRUE(h.missed(20, kDeafAnswers));
  EXPECT_TRUE(h.deaf());
  EXPECT_EQ(h.deaf_since(), 20);
  EXPECT_FALSE(h.missed(30));  // told once
  EXPECT_EQ(h.deaf_since(), 20);
  EXPECT_TRUE(h.heard());
  EXPECT_FALSE(h.deaf());
}

TEST(Hearing, IsAskedOnceAtATimeAndOneMoreMissLosesItAgain) {
  Hearing h;
  EXPECT_FALSE(h.may_probe(1'000'000));
  h.missed(0, kDeafAnswers);
  EXPECT_FALSE(h.may_probe(kDeafProbeMs - 1));
  EXPECT_TRUE(h.may_probe(kDeafProbeMs));
  h.probe();
  EXPECT_FALSE(h.may_probe(10 * kDeafProbeMs));
  EXPECT_FALSE(h.probed(kDeafProbeMs, false));
  EXPECT_TRUE(h.deaf());
  EXPECT_FALSE(h.may_probe(2 * kDeafProbeMs - 1));
  EXPECT_TRUE(h.may_probe(2 * kDeafProbeMs));
  h.probe();
  EXPECT_TRUE(h.probed(2 * kDeafProbeMs, true));
  EXPECT_FALSE(h.deaf());
  EXPECT_TRUE(h.doubted());
  EXPECT_TRUE(h.missed(3 * kDeafProbeMs));
}

TEST(UnsettledLaunches, AreKnownUntilSettledOrTheSessionIsOver) {
  Unsettled u;
  u.add(7, {3, 0});
  u.add(8, {3, 1});
  u.add(9, {4, 0});
  u.settle(9);
  EXPECT_FALSE(u.contains(9));
  EXPECT_FALSE(u.of_task({4, 0}));
  u.settle(7);
  EXPECT_FALSE(u.of_task({3, 0}));
  EXPECT_TRUE(u.of_task({3, 1}));
  u.session_over();
  EXPECT_TRUE(u.empty());
  EXPECT_FALSE(u.of_task({3, 1}));
}

}  // namespace
}  // namespace hitchfront::core
