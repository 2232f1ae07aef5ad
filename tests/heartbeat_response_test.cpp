// What answers a heartbeat, against the invariant of docs/safety.md, "A leader that knows": a plain
// worker takes an answer whole or not at all, and a task of a cancelled job never outlives a lease
// that was renewed past its time.
#include <gtest/gtest.h>

#include <map>
#include <random>
#include <set>

#include "heartbeat/response.hpp"

namespace hitchfront::heartbeat {
namespace {
using wire::Command;

Attempt attempt(std::uint32_t task, std::uint64_t number = 7) {
  return {"run-000001", task, number};
}

TEST(HeartbeatResponse, WhatHasToEndComesFirstHoweverMuchElseThereIs) {
  Response a(10);
  for (std::uint32_t t = 0; t < 8; ++t) a.forget(attempt(t));
  a.launch(attempt(20));
  for (std::uint32_t t = 30; t < 36; ++t) a.terminate(attempt(t), 100);
  const auto commands = a.commands();
  ASSERT_EQ(commands.size(), 10U);
  for (std::size_t i = 0; i < 6; ++i) EXPECT_EQ(commands[i].op, Command::Op::stop);
  EXPECT_TRUE(a.renews_lease(1'000));
  EXPECT_TRUE(a.direct_commands(true).empty());
}

TEST(HeartbeatResponse, WhatDoesNotFitRenewsOnlyInItsTimeAndGoesToTheMachineItself) {
  Response a(4);
  for (std::uint32_t t = 0; t < 9; ++t) a.terminate(attempt(t), t < 6 ? 500 : 100);
  EXPECT_TRUE(a.renews_lease(99));
  EXPECT_FALSE(a.renews_lease(100));
  std::set<std::uint32_t> direct_commands;
  for (const auto& some : a.direct_commands(true)) {
    EXPECT_LE(some.size(), 4U);
    for (const auto& c : some) direct_commands.insert(c.task);
  }
  EXPECT_EQ(direct_commands, (std::set<std::uint32_t>{4, 5, 6, 7, 8}));
  std::size_t all = 0;
  for (const auto& some : a.direct_commands(false)) all += some.size();
  EXPECT_EQ(all, 9U);
}

TEST(HeartbeatResponse, ALaunchThatMayStillComeIsMadeKnownInTimeAndNeverAfterIt) {
  Response in_time(10);
  in_time.terminate_unlisted(99, attempt(1), 100);
  ASSERT_EQ(in_time.commands().size(), 2U);
  EXPECT_EQ(in_time.commands()[0].op, Command::Op::start);
  EXPECT_EQ(in_time.commands()[1].op, Command::Op::stop);
  EXPECT_TRUE(in_time.renews_lease(99));
  Response late(10);
  late.terminate_unlisted(100, attempt(1), 100);
  EXPECT_TRUE(late.commands().empty());
  EXPECT_FALSE(late.renews_lease(100));
  EXPECT_FALSE(late.empty());
  // Nothing can be named, and the token alone ends what an earlier leader's command may still
  // start.
  ASSERT_EQ(late.direct_commands(false).size(), 1U);
  EXPECT_TRUE(late.direct_commands(false).front().empty());
  Response unknown(10);
  unknown.terminate_unlisted(99, attempt(1, 0), 100);
  EXPECT_TRUE(unknown.commands().empty());
  EXPECT_TRUE(unknown.renews_lease(99));
}

// A worker with some tasks, some of them cancelled at some instant, a launch of one that comes
// late, answers that are lost or held back, and nobody who reaches it by commands. `broken`: 1
// renews whatever is left out, 2 makes a late launch known by launching it after its time, 3 says
// what has to end last.
std::size_t late_tasks(std::uint64_t seed, int broken) {
  std::mt19937_64 random(seed);
  const auto number = [&](Ms low, Ms high) {
    return std::uniform_int_distribution<Ms>(low, high)(random);
  };
  constexpr Ms kLease = 20, kBound = 15, kCancel = kLease + kBound;
  const std::size_t most = 4;
  std::map<std::uint32_t, bool> on;  // task -> is cancelled
  std::map<std::uint32_t, bool> ended;
  for (std::uint32_t t = 0; t < 12; ++t) on[t] = number(0, 1) == 0;
  const Ms acknowledged_at = number(0, 60);
  const Ms comes = number(0, 120);  // the launch of task 50, of a cancelled job
  bool known = false;               // task 50, to the worker
  Ms lease_expires_at = kLease;
  std::size_t late = 0;
  for (Ms now = 0; now < 200 && now <= lease_expires_at; ++now) {
    if (now == comes && !known) known = on[50] = true;
    for (const auto& [task, is_cancelled] : on)
      if (is_cancelled && now > acknowledged_at + kCancel) ++late;
    if (now % 4 != 0) continue;
    Response a(most);
    for (const auto& [task, is_ended] : ended) a.forget(attempt(task));
    for (const auto& [task, is_cancelled] : on)
      if (is_cancelled && now >= acknowledged_at)
        a.terminate(attempt(task), acknowledged_at + kBound);
    if (!known && now >= acknowledged_at)
      a.terminate_unlisted(broken == 2 ? 0 : now, attempt(50),
                           broken == 2 ? INT64_MAX : acknowledged_at + kBound);
    if (!a.renews_lease(now) && broken != 1) continue;
    const bool arrives = number(0, 3) != 0;
    if (!arrives) continue;
    lease_expires_at = now + kLease;
    auto commands = a.commands();
    if (broken == 3) std::reverse(commands.begin(), commands.end());
    if (broken == 3) commands.resize(std::min<std::size_t>(commands.size(), 1));
    for (const auto& c : commands) {
      if (c.op == Command::Op::start && !known) {
        known = on[50] = true;
        if (now > acknowledged_at + kCancel) ++late;
      } else if (c.op == Command::Op::stop && on.erase(c.task) > 0) {
        ended[c.task] = true;
      } else if (c.op == Command::Op::forget) {
        ended.erase(c.task);
      }
    }
  }
  return late;
}

TEST(HeartbeatResponse, NothingCancelledOutlivesItsTimeWhateverIsLost) {
  for (std::uint64_t seed = 1; seed <= 4000; ++seed) EXPECT_EQ(late_tasks(seed, 0), 0U) << seed;
}

TEST(HeartbeatResponse, TheModelSeesEachGuardThatIsMissing) {
  for (const int broken : {1, 2, 3}) {
    std::size_t late = 0;
    for (std::uint64_t seed = 1; seed <= 4000; ++seed) late += late_tasks(seed, broken);
    EXPECT_GT(late, 0U) << broken;
  }
}

}  // namespace
}  // namespace hitchfront::heartbeat
