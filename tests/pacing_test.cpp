// What replay gets of the processor, and the parts of the store's client: pure, time comes in.
#include <gtest/gtest.h>

#include "kv/data_loss_detector.hpp"
#include "kv/rate_budget.hpp"
#include "kv/retired_leases.hpp"
#include "net/processor_share.hpp"
#include "net/replay_pacing.hpp"
#include "settings/constants.hpp"

namespace hitchfront {
namespace {

TEST(ProcessorShare, IsTheNodesOwnUntilMoreWasSeen) {
  net::ProcessorShare share(0.1);
  double cpu_ms = 0;
  const auto update = [&](std::int64_t now) { return share.update(now, [&] { return cpu_ms; }); };
  EXPECT_DOUBLE_EQ(share.available(), 0.1);
  EXPECT_TRUE(update(10'000));
  EXPECT_DOUBLE_EQ(share.available(), 0.1);
  EXPECT_FALSE(update(10'000 + settings::kCpuMeasurementPeriodMs - 1));
  cpu_ms += 0.5 * settings::kCpuMeasurementPeriodMs;
  EXPECT_TRUE(update(10'000 + settings::kCpuMeasurementPeriodMs));
  EXPECT_DOUBLE_EQ(share.available(), 0.5);
  EXPECT_DOUBLE_EQ(share.available_to_quota_ratio(), 5);
  EXPECT_TRUE(update(10'000 + 2 * settings::kCpuMeasurementPeriodMs));  // used nothing meanwhile
  EXPECT_DOUBLE_EQ(share.available(), 0.5);
  EXPECT_DOUBLE_EQ(net::ProcessorShare(4).available(), 1);
}

TEST(ReplayPacing, FollowsTheMeasuredRateSlowlyAndPausesByItsShare) {
  net::ReplayPacing pacing(0.1);
  const auto rate = pacing.steps_per_ms();
  EXPECT_EQ(pacing.slice_steps(), static_cast<std::uint64_t>(rate * settings::kMaxReplaySliceMs));
  EXPECT_FALSE(pacing.record(10, 1));
  EXPECT_DOUBLE_EQ(pacing.steps_per_ms(), rate);
  EXPECT_TRUE(pacing.record(static_cast<std::uint64_t>(rate * 1000), 1));
  EXPECT_DOUBLE_EQ(pacing.steps_per_ms(), 1.3 * rate);  // one slice counts as at most four times it
  EXPECT_DOUBLE_EQ(pacing.pause_ms(2, 0.5), 40);
}

TEST(RateBudget, TheLeaderHasWhatTheOthersDoNotNeed) {
  core::RateBudget budget(1000, 100, 5);
  const double all = 100 * settings::kRateLimitShare;
  EXPECT_DOUBLE_EQ(budget.writes_per_s(), all * (1 - settings::kLeaderRateShare) / 4);
  budget.set_follower_write_demand(0);  // of no use to a follower
  EXPECT_DOUBLE_EQ(budget.writes_per_s(), all * (1 - settings::kLeaderRateShare) / 4);
  budget.set_leading(true);
  EXPECT_DOUBLE_EQ(budget.writes_per_s(), all * settings::kLeaderRateShare);
  budget.set_follower_write_demand(5);
  EXPECT_DOUBLE_EQ(budget.writes_per_s(), all - 5);
  budget.set_follower_write_demand(1000);
  EXPECT_DOUBLE_EQ(budget.writes_per_s(), all * settings::kLeaderRateShare);
  budget.set_follower_write_demand(std::nullopt);
  EXPECT_DOUBLE_EQ(budget.writes_per_s(), all * settings::kLeaderRateShare);
}

TEST(DataLossDetector, ARevisionOlderThanWhatWasKnownWhenAskedIsALoss) {
  core::DataLossDetector detector;
  const char* const at_7 = R"({"LedgerRev": 7,"Items":[]})";
  const char* const at_5 = R"({"LedgerRev":5,"Items":[]})";
  EXPECT_FALSE(detector.detect_loss(detector.baseline(), at_7));
  EXPECT_EQ(detector.revision(), 0U);  // not enabled
  detector.enable();
  const auto before = detector.baseline();
  EXPECT_FALSE(detector.detect_loss(before, at_7));
  EXPECT_EQ(detector.revision(), 7U);
  EXPECT_FALSE(detector.detect_loss(before, at_5));  // asked before 7 was known
  EXPECT_FALSE(detector.detect_loss(detector.baseline(), R"({"error":"busy"})"));
  const auto after = detector.baseline();
  EXPECT_TRUE(detector.detect_loss(after, at_5));

  detector.record_loss();
  EXPECT_TRUE(detector.blocks(core::StoreRank::user));
  EXPECT_FALSE(detector.blocks(core::StoreRank::lease));
  EXPECT_TRUE(detector.must_discard(after, core::StoreRank::lease));
  EXPECT_FALSE(detector.must_discard(detector.baseline(), core::StoreRank::lease));
  EXPECT_FALSE(detector.detect_loss(after, at_5));  // of before the loss
  detector.record_revision(9);
  EXPECT_EQ(detector.revision(), 0U);
  const auto while_lost = detector.baseline();
  detector.record_recovery();
  EXPECT_TRUE(detector.must_discard(while_lost, core::StoreRank::lease));
  EXPECT_FALSE(detector.blocks(core::StoreRank::user));
  detector.record_revision(9);
  EXPECT_EQ(detector.revision(), 9U);
}

TEST(RetiredLeases, TheLastFewAreRemembered) {
  core::RetiredLeases leases;
  for (std::uint64_t n = 1; n <= settings::kMaxRetiredLeases + 1; ++n) leases.add(n);
  EXPECT_FALSE(leases.contains(1));
  for (std::uint64_t n = 2; n <= settings::kMaxRetiredLeases + 1; ++n)
    EXPECT_TRUE(leases.contains(n)) << n;
}

}  // namespace
}  // namespace hitchfront
