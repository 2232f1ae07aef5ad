// Fencing tokens and attempt numbers, and the epochs of the commands to a machine.
#include <gtest/gtest.h>

#include "election/fencing_token.hpp"
#include "machines/machine.hpp"

namespace hitchfront::core {
namespace {

// ---- epochs

TEST(DirectLaunchesTest, AreKnownUntilRefusedFencedOrTheIncarnationEnds) {
  DirectLaunches launches;
  launches.add(7, {{3, 0}, 1, 0});
  launches.add(8, {{3, 1}, 2, 0});
  launches.add(9, {{4, 0}, 2, 0});
  launches.refused(9);
  EXPECT_FALSE(launches.contains(9));
  EXPECT_TRUE(launches.task_fenced_by(2, {4, 0}));
  launches.epoch_reported(1);
  EXPECT_TRUE(launches.contains(7));
  launches.epoch_reported(2);
  EXPECT_FALSE(launches.contains(7));
  EXPECT_TRUE(launches.contains(8));
  launches.end_incarnation();
  EXPECT_TRUE(launches.empty());
}

TEST(DirectLaunchesTest, AreFencedByLaterEpochsOnly) {
  DirectLaunches launches;
  launches.add(7, {{3, 0}, 1, 0});
  EXPECT_FALSE(launches.fenced_by(1, 7));
  EXPECT_TRUE(launches.fenced_by(2, 7));
  EXPECT_TRUE(launches.fenced_by(0, 8)) << "never launched directly";
  EXPECT_FALSE(launches.task_fenced_by(1, {3, 0}));
  EXPECT_TRUE(launches.task_fenced_by(2, {3, 0}));
  EXPECT_TRUE(launches.task_fenced_by(0, {3, 1}));
}

TEST(Machine, BeginsAnEpochToFenceALaunchUnlessOneIsPending) {
  Machine machine;
  machine.direct_launches.add(7, {{3, 0}, 0, 0});
  EXPECT_TRUE(machine.fence(8));
  EXPECT_EQ(machine.command_epoch, 0U);
  machine.direct_launch_pending = true;
  EXPECT_FALSE(machine.fence(7));
  EXPECT_FALSE(machine.can_fence_task({3, 0}));
  machine.direct_launch_pending = false;
  EXPECT_TRUE(machine.fence(7));
  EXPECT_TRUE(machine.fence(7));
  EXPECT_EQ(machine.command_epoch, 1U);
}

TEST(Machine, FencesItsLastDirectLaunchesWithItsLastEpoch) {
  Machine machine;
  machine.command_epoch = election::kLastCommandEpoch - 1;
  EXPECT_TRUE(machine.can_raise_epoch());
  machine.direct_launches.add(7, {{3, 0}, machine.command_epoch, 0});
  EXPECT_TRUE(machine.fence(7));
  EXPECT_FALSE(machine.can_raise_epoch());
  EXPECT_TRUE(machine.can_fence_task({3, 0}));
}

// ---- fencing tokens

TEST(FencingToken, IsHigherInEachLaterTerm) {
  const std::uint64_t known[] = {0,
                                 1,
                                 5,
                                 settings::kFencingTokensPerTerm - 1,
                                 settings::kFencingTokensPerTerm,
                                 settings::kFencingTokensPerTerm + 1,
                                 77 * settings::kFencingTokensPerTerm};
  for (const auto term_or_token : known) {
    const auto term = election::next_term(term_or_token);
    EXPECT_GT(election::fencing_token(term, 0), term_or_token);
    EXPECT_EQ(election::fencing_token(term, election::kLastCommandEpoch), term);
    const auto next = election::next_term(term);
    EXPECT_EQ(election::fencing_token(next, 0), term + 1);
    // As after a data loss, when only a token of the former leader is known.
    EXPECT_EQ(election::next_term(election::fencing_token(term, 3)), next);
  }
}

// Versions without epochs take the term after the stored one as their only token.
TEST(FencingToken, OfALeaderWithoutEpochsIsInNoOtherTerm) {
  const auto before = election::next_term(0);
  const auto without_epochs = before + 1;
  const auto after = election::next_term(without_epochs);
  EXPECT_FALSE(election::is_token_of(before, without_epochs));
  EXPECT_FALSE(election::is_token_of(after, without_epochs));
  EXPECT_FALSE(election::is_attempt_of(after, without_epochs << settings::kAttemptSequenceBits));
  EXPECT_FALSE(election::is_attempt_of(before, without_epochs << settings::kAttemptSequenceBits));
}

TEST(FencingToken, NamesTheEpoch) {
  const auto term = election::next_term(12);
  for (const election::CommandEpoch epoch :
       {std::uint64_t{0}, std::uint64_t{1}, election::kLastCommandEpoch}) {
    const auto token = election::fencing_token(term, epoch);
    EXPECT_TRUE(election::is_token_of(term, token));
    EXPECT_EQ(election::epoch_of(term, token), epoch);
  }
}

TEST(AttemptNumber, NamesItsTerm) {
  const auto term = election::next_term(0), next = election::next_term(term);
  const auto attempt = election::attempt_number(term, 7);
  EXPECT_TRUE(election::is_attempt_of(term, attempt));
  EXPECT_FALSE(election::is_attempt_of(next, attempt));
  EXPECT_LT(attempt, election::attempt_number(next, 1));
  EXPECT_LT(attempt, std::uint64_t{1} << 53) << "exact in the numbers of JavaScript";
}

}  // namespace
}  // namespace hitchfront::core
