// The lists of cancellations by which controllers vouch, against a plain model that knows who was
// told what.
#include "cancellation/cancellation_log.hpp"

#include <gtest/gtest.h>

#include <random>
#include <set>

namespace hitchfront::cancellation {
namespace {

TEST(CancellationLog, IsReplicatedInPartsThatLeaveNothingOut) {
  CancellationLog c;
  for (int i = 0; i < 2000; ++i) EXPECT_TRUE(c.add("run-" + std::to_string(i)));
  EXPECT_FALSE(c.add("run-7"));
  for (int i = 0; i < 2000; i += 3) c.remove("run-" + std::to_string(i));
  std::set<std::string> got;
  std::uint64_t from = 0;
  std::size_t parts = 0;
  for (CancellationBatch v = c.batch_after(0, 1000);; v = c.batch_after(from, 1000)) {
    EXPECT_EQ(v.from, from);
    EXPECT_EQ(v.newest, 2000U);
    got.insert(v.jobs.begin(), v.jobs.end());
    from = v.to;
    ++parts;
    if (v.to == v.newest) break;
    ASSERT_LT(parts, 100U);
  }
  EXPECT_GT(parts, 10U);
  EXPECT_EQ(got.size(), c.size());
  EXPECT_TRUE(got.contains("run-1999") && !got.contains("run-0"));
  EXPECT_EQ(c.batch_after(0, 1).jobs.size(), 1U) << "one at the least, however long its name";
}

TEST(CancellationLog, WhatOneLeaderHasTakenInAnotherHasNot) {
  CancellationLog c;
  c.add("run-1");
  c.add("run-2");
  c.acknowledge(5, 1);
  EXPECT_TRUE(c.is_acknowledged("run-1"));
  EXPECT_FALSE(c.is_acknowledged("run-2"));
  c.acknowledge(4, 2);
  EXPECT_FALSE(c.is_acknowledged("run-2")) << "an earlier leader";
  c.acknowledge(6, 0);
  EXPECT_FALSE(c.is_acknowledged("run-1")) << "a later one";
}

// Three controllers beside a leader that can't read the store. Each learns of cancellations while
// the store serves it, tells users unless it is bound, ends, comes back having read all or nothing,
// and abstentions; messages are lost, late, repeated and out of order. What the real classes claim
// (known_as_of) is held against who was told what and when.
enum class Broken { none, no_withholding, forgetful, skips_parts };
std::string play(std::uint64_t seed, Broken broken, std::size_t& claims) {
  constexpr Ms kBound = 3250, kStands = 2797;
  struct Node {
    std::uint64_t life = 0;
    Ms started = 0, bound = 0;
    bool read_all = false, up = true;
    CancellationLog list;
  };
  std::mt19937_64 random(seed);
  const auto chance = [&](int in) { return random() % static_cast<std::uint64_t>(in) == 0; };
  const std::vector<std::string> names = {"a", "b", "c"};
  std::map<std::string, Node> nodes;
  std::uint64_t lives = 0;
  for (const auto& n : names) {
    nodes[n].life = ++lives;
    nodes[n].read_all = true;
  }
  ReplicationTracker replication_tracker(names);
  std::set<std::string> stored, known;  // cancelled, and known to the leader
  std::map<std::string, Ms> acknowledged;
  struct Message {
    Ms when;
    std::string node;
    Ms asked;
    CancellationBatch batch;
  };
  std::vector<Message> messages;
  int jobs = 0;
  for (Ms now = 10'000; now < 40'000; now += 50) {
    const bool served =
        random() % 100 < (now / 4000 % 2 == 0 ? 60U : 2U);  // the store, for short and long
    for (const auto& name : names) {
      auto& n = nodes[name];
      if (!n.up) {
        if (!chance(8)) continue;
        n.up = true;
        n.life = ++lives;
        n.started = now;
        n.bound = 0;
        n.read_all = false;
        n.list = {};
      }
      if (chance(200)) {
        n.up = false;
        continue;
      }
      if (served && chance(4)) {
        if (chance(3)) stored.insert("run-" + std::to_string(jobs++));
        for (const auto& job : stored)
          if (n.read_all || chance(3)) n.list.add(job);  // some asked for alone
        if (chance(3)) {
          for (const auto& job : stored) n.list.add(job);
          n.read_all = true;
        }
      }
      // Users ask about any of them.
      for (const auto& job : stored)
        if (n.list.contains(job) && chance(6) &&
            (broken == Broken::no_withholding || now >= std::max(n.bound, n.started + kBound) ||
             n.list.is_acknowledged(job)))
          acknowledged.emplace(job, now);
      if (!served && chance(8)) {  // asked for an abstention a moment ago
        const auto position = replication_tracker.position(name);
        const auto from = position.process == n.life ? position.sequence_number : 0;
        n.list.acknowledge(1, from);
        auto v = n.list.batch_after(from, chance(2) ? 30 : 10'000);
        v.process = n.life;
        v.read_all = n.read_all || broken == Broken::forgetful;
        if (broken == Broken::skips_parts) v.to = v.newest;
        n.bound = now + kBound;
        const Ms asked = now - static_cast<Ms>(random() % 100);
        if (!chance(5))
          messages.push_back(
              {now + static_cast<Ms>(random() % (chance(4) ? 4000 : 200)), name, asked, v});
        if (chance(5)) messages.push_back({now + static_cast<Ms>(random() % 4000), name, asked, v});
      }
    }
    for (std::size_t i = 0; i < messages.size();) {
      if (messages[i].when > now) {
        ++i;
        continue;
      }
      const auto m = messages[i];
      messages.erase(messages.begin() + static_cast<std::ptrdiff_t>(i));
      known.insert(m.batch.jobs.begin(), m.batch.jobs.end());
      replication_tracker.record_batch(now, m.asked, m.asked + kStands, m.node, m.batch);
    }
    const Ms since = replication_tracker.known_as_of();
    claims += since != INT64_MIN && now - since < 3000 ? 1 : 0;
    for (const auto& [job, when] : acknowledged)
      if (when < since && !known.contains(job))
        return job + " was told at " + std::to_string(when) + " and is not known at " +
               std::to_string(now);
  }
  return {};
}

TEST(ReplicationTracker, KnowWhatWasAcknowledgedBeforeTheTimeTheyName) {
  std::size_t claims = 0;
  for (std::uint64_t seed = 1; seed <= 1000; ++seed) {
    const auto wrong = play(seed, Broken::none, claims);
    ASSERT_TRUE(wrong.empty()) << "seed " << seed << ": " << wrong;
  }
  EXPECT_GT(claims, 30'000U) << "not by claiming nothing";
}

TEST(ReplicationTracker, TheModelCatchesEachGuardThatIsMissing) {
  for (const auto broken : {Broken::no_withholding, Broken::forgetful, Broken::skips_parts}) {
    std::size_t claims = 0, caught = 0;
    for (std::uint64_t seed = 1; seed <= 3000 && caught == 0; ++seed)
      caught += play(seed, broken, claims).empty() ? 0 : 1;
    EXPECT_EQ(caught, 1U) << static_cast<int>(broken);
  }
}

}  // namespace
}  // namespace hitchfront::cancellation
