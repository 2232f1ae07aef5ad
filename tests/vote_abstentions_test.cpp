// The leader's count of vote abstentions against the voters' own, and the records of the election.
#include "election/vote_abstentions.hpp"

#include <gtest/gtest.h>

#include "settings/constants.hpp"
#include "wire/election_record.hpp"

namespace hitchfront::election {
namespace {

TEST(VoteAbstentions, StandOnlyWhileEveryVoterAbstains) {
  membership::RequestIds ids(1);
  VoteAbstentions leader({"a", "b"}, ids);
  const auto first = leader.begin_round(10'000);
  EXPECT_FALSE(leader.any_recorded());
  EXPECT_FALSE(leader.record("a", first + 1)) << "a round that never began";
  const auto from_a = leader.record("a", first);
  ASSERT_TRUE(from_a);
  EXPECT_EQ(from_a->requested_at, 10'000);
  EXPECT_EQ(leader.all_abstain_until(), 0) << "one of two";
  const auto second = leader.begin_round(10'500);
  const auto from_b = leader.record("b", second);
  ASSERT_TRUE(from_b);
  EXPECT_EQ(from_b->valid_until, from_a->valid_until + 500);
  EXPECT_EQ(leader.all_abstain_until(), from_a->valid_until) << "the first that ends";
  ASSERT_TRUE(leader.record("a", second));
  ASSERT_TRUE(leader.record("a", first)) << "a late answer takes nothing back";
  EXPECT_EQ(leader.all_abstain_until(), from_b->valid_until);
  leader.clear_recorded();
  EXPECT_EQ(leader.all_abstain_until(), 0);
}

TEST(VoteAbstentions, AreNotUsedWhereNotEveryVoterIsKnown) {
  membership::RequestIds ids(1);
  VoteAbstentions leader({}, ids);
  EXPECT_FALSE(leader.enabled());
  EXPECT_TRUE(leader.record("a", leader.begin_round(10'000)));
  EXPECT_EQ(leader.all_abstain_until(), 0);
}

TEST(VoteAbstentions, OldRoundsDoNotCount) {
  membership::RequestIds ids(1);
  VoteAbstentions leader({"a"}, ids);
  const auto first = leader.begin_round(0);
  for (Ms now = 500; now <= 10'000; now += 500) EXPECT_GT(leader.begin_round(now), first);
  EXPECT_FALSE(leader.record("a", first));
}

// The leader counts from its request, the voter from its answer, and their clocks drift apart.
TEST(VoteAbstentions, BindTheVoterForLongerThanTheLeaderCounts) {
  membership::RequestIds ids(1), voters_ids(2);
  VoteAbstentions leader({"a"}, ids), voter({"leader"}, voters_ids);
  EXPECT_EQ(voter.abstaining_until(), 0);
  const auto round = leader.begin_round(10'000);
  voter.abstain(10'000);  // at once: the worst case
  ASSERT_TRUE(leader.record("a", round));
  const auto counted = static_cast<double>(leader.all_abstain_until() - 10'000);
  const auto bound = static_cast<double>(voter.abstaining_until() - 10'000);
  EXPECT_LT(counted * (1 + settings::kMaxClockDriftShare),
            bound * (1 - settings::kMaxClockDriftShare));
}

TEST(VoteAbstentions, AProcessThatHasJustStartedIsBoundByTheOneBefore) {
  membership::RequestIds ids_before(1), ids_after(2);
  VoteAbstentions before({"leader"}, ids_before), after({"leader"}, ids_after);
  before.abstain(20'000);
  after.start(20'001);
  EXPECT_EQ(after.abstaining_until(), 0);
  EXPECT_GE(after.latest_expiry(), before.abstaining_until());
  after.abstain(30'000);
  EXPECT_EQ(after.latest_expiry(), after.abstaining_until());
}

// Versions run side by side: these texts are what earlier ones have written, and read.
TEST(ElectionRecord, KeepsTheTextsOfEarlierVersions) {
  using wire::AllocationLogState;
  EXPECT_EQ(wire::encode(wire::LeaderRecord{"node-1", 7}), R"({"node":"node-1","term":7})");
  EXPECT_EQ(wire::encode(wire::LastLeaderRecord{"node-1", 7, AllocationLogState::absent}),
            R"({"node":"node-1","term":7})");
  EXPECT_EQ(wire::encode(wire::LastLeaderRecord{"node-1", 7, AllocationLogState::partial}),
            R"({"node":"node-1","roster":"partial","term":7})");
  EXPECT_EQ(wire::encode(wire::LastLeaderRecord{"node-1", 7, AllocationLogState::complete}),
            R"({"node":"node-1","roster":"whole","term":7})");
  for (const auto state :
       {AllocationLogState::absent, AllocationLogState::partial, AllocationLogState::complete}) {
    const auto back = wire::decode_last_leader(
        nlohmann::json::parse(wire::encode(wire::LastLeaderRecord{"node-1", 7, state})));
    ASSERT_TRUE(back);
    EXPECT_TRUE(back->node == "node-1" && back->term == 7 && back->allocation_log == state);
  }
  EXPECT_FALSE(wire::decode_last_leader(nlohmann::json::parse("7")));
  const auto leader = wire::decode_leader(nlohmann::json::parse(R"({"node":"node-2","term":3})"));
  EXPECT_TRUE(leader.node == "node-2" && leader.term == 3);
}

}  // namespace
}  // namespace hitchfront::election
