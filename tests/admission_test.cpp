// The door: a plain model of fair lines that the real one is compared with, and what it must hold whatever comes.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <vector>

#include "admission/door.hpp"
#include "settings/constants.hpp"
#include "world.hpp"

namespace hitchfront::testing {
namespace {

using admission::Door;
using admission::Ms;

// Everybody who waits in one list, looked through from end to end for each question.
struct PlainDoor {
  struct One {
    std::uint64_t ticket;
    std::string id, team, job_class;
    Ms since;
    std::size_t came;
  };
  std::vector<One> all;
  std::vector<std::string> teams;                            // whose turn, in order
  std::map<std::string, std::vector<std::string>> classes;  // the same within each
  std::map<std::string, Ms> first;
  std::size_t came = 0;

  std::size_t count(const std::string& team, const std::string* job_class = nullptr) const {
    return static_cast<std::size_t>(std::count_if(all.begin(), all.end(), [&](const One& o) { return o.team == team && (job_class == nullptr || o.job_class == *job_class); }));
  }
  void drop(std::size_t at) {
    const auto o = all[at];
    all.erase(all.begin() + static_cast<std::ptrdiff_t>(at));
    if (count(o.team, &o.job_class) == 0) std::erase(classes[o.team], o.job_class);
    if (count(o.team) == 0) std::erase(teams, o.team);
  }
  std::uint64_t enter(Ms now, std::uint64_t ticket, const std::string& id, const std::string& team, const std::string& job_class, std::size_t room) {
    if (count(team) == 0) teams.push_back(team);
    if (count(team, &job_class) == 0) classes[team].push_back(job_class);
    all.push_back({ticket, id, team, job_class, first.contains(id) ? first[id] : now, ++came});
    if (all.size() <= room) return 0;
    std::string heaviest = team, line = job_class;
    for (const auto& o : all)
      if (count(o.team) > count(heaviest) || (count(o.team) == count(heaviest) && heaviest != team && o.team < heaviest)) heaviest = o.team;
    if (heaviest != team) line = "~";
    for (const auto& o : all) {
      if (o.team != heaviest) continue;
      const auto n = count(heaviest, &o.job_class), best = line == "~" ? 0 : count(heaviest, &line);
      if (n > best || (n == best && line != "~" && !(heaviest == team && line == job_class) && o.job_class < line)) line = o.job_class;
    }
    std::size_t last = all.size();
    for (std::size_t i = 0; i < all.size(); ++i)
      if (all[i].team == heaviest && all[i].job_class == line &&
          (last == all.size() || std::pair(all[i].since, all[i].came) > std::pair(all[last].since, all[last].came)))
        last = i;
    const auto out = all[last];
    first.emplace(out.id, out.since);
    drop(last);
    return out.ticket;
  }
  std::uint64_t next() {
    if (all.empty()) return 0;
    const auto team = teams.front();
    const auto job_class = classes[team].front();
    std::size_t at = all.size();
    for (std::size_t i = 0; i < all.size(); ++i)
      if (all[i].team == team && all[i].job_class == job_class &&
          (at == all.size() || std::pair(all[i].since, all[i].came) < std::pair(all[at].since, all[at].came)))
        at = i;
    const auto ticket = all[at].ticket;
    first.erase(all[at].id);
    std::rotate(teams.begin(), teams.begin() + 1, teams.end());
    std::rotate(classes[team].begin(), classes[team].begin() + 1, classes[team].end());
    drop(at);
    return ticket;
  }
};

constexpr Door::Limits kLimits{4096, 60'000, 1, 4};

TEST(Door, DoesAsThePlainModelOfFairLinesDoes) {
  for (unsigned seed = 1; seed <= 40; ++seed) {
    std::mt19937 random(seed);
    Door door(kLimits);
    PlainDoor plain;
    std::uint64_t ticket = 0;
    std::vector<std::string> refused;
    for (Ms now = 0; now < 30'000; now += 10) {
      for (auto n = random() % (seed % 4 + 1); n > 0; --n) {
        const bool retry = !refused.empty() && random() % 3 == 0;
        const auto id = retry ? refused[random() % refused.size()] : "run-" + std::to_string(ticket);
        const std::string team = random() % 3 != 0 ? "guest" : "team-" + std::to_string(random() % 3), job_class = "c" + std::to_string(random() % 3);
        ++ticket;
        const auto said = door.enter(now, ticket, id, team, job_class, 12);
        const auto expected = plain.enter(now, ticket, id, team, job_class, 12);
        ASSERT_EQ(said ? said->ticket : 0, expected) << "seed " << seed << " at " << now;
        ASSERT_EQ(door.waiting(), plain.all.size());
        ASSERT_LE(door.waiting(), 12U);
        if (!said) continue;
        refused.push_back(id);
        ASSERT_GE(said->retry_after_s, 1);
        ASSERT_LE(said->retry_after_s, 5);
      }
      if (random() % 2 == 0) {
        const auto next = door.next();
        ASSERT_EQ(next ? *next : 0, plain.next()) << "seed " << seed << " at " << now;
      }
    }
  }
}

// Guards against whoever asks most often getting in: a flood of one team, or of one class of a team, costs the others nothing.
TEST(Door, WhoAsksForLessThanItsPartIsNeverRefused) {
  for (const bool same_team : {false, true}) {
    Door door(kLimits);
    std::uint64_t ticket = 0;
    std::set<std::uint64_t> modest;
    std::size_t flood_refused = 0, flood_in = 0;
    for (Ms now = 0; now < 60'000; now += 100) {  // ten a second get in; ninety of the flood want to, two of the other
      for (int i = 0; i < 9; ++i) {
        ++ticket;
        const auto r = door.enter(now, ticket, "run-" + std::to_string(ticket), "red", "flood", 10);
        if (r) {
          ++flood_refused;
          EXPECT_EQ(r->job_class, "flood");
        }
      }
      if (now % 500 == 0) {
        modest.insert(++ticket);
        const auto r = door.enter(now, ticket, "run-" + std::to_string(ticket), same_team ? "red" : "blue", "modest", 10);
        EXPECT_TRUE(!r || !modest.contains(r->ticket));
      }
      const auto next = door.next();
      ASSERT_TRUE(next);
      flood_in += modest.erase(*next) == 0 ? 1 : 0;
    }
    EXPECT_LE(modest.size(), 1U) << "all got in, each within two turns";
    EXPECT_GT(flood_in, 450U) << "what the others leave is the flood's";
    EXPECT_GT(flood_refused, 4000U);
  }
}

// The refused are told different times, later the more they are, and each at once; few are told the least.
TEST(Door, RefusedUsersAreSpreadByHowManyTheyAre) {
  Door door(kLimits);
  std::map<int, std::size_t> told;
  std::uint64_t ticket = 0;
  for (Ms now = 0; now < 10'000; now += 20) {
    ++ticket;
    if (const auto r = door.enter(now, ticket, "run-" + std::to_string(ticket), "red", "c", 5)) ++told[r->retry_after_s];
  }
  EXPECT_EQ(told.size(), 5U);
  for (const auto& [s, n] : told) EXPECT_GT(n, 80U) << s;
  Door calm(kLimits);
  told.clear();
  for (Ms now = 0; now < 10'000; now += 1000) {
    ++ticket;
    if (const auto r = calm.enter(now, ticket, "run-" + std::to_string(ticket), "red", "c", 0)) ++told[r->retry_after_s];
  }
  EXPECT_EQ(told, (std::map<int, std::size_t>{{1, 10}}));
}

// All controllers, a store that takes few writes, guests that flood, and crashes in the middle: every team's and class's jobs
// get in and end, and nothing is refused once the flood is over.
TEST(Admission, AFloodOfGuestsKeepsNobodyOut) {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    Scenario s;
    s.seed = seed;
    s.nodes = 5;
    s.write_rps = 30;
    s.jobs_per_s = 6;
    s.tasks_most = 1;
    s.services = 0;
    s.guests = 0.9;
    s.scale = 4;
    s.run_ms = 60'000;
    s.settle_ms = 400'000;
    s.restart_ms = 200;
    s.events = {{30'000, "crash leader"}, {45'000, "crash all"}};
    World w(s);
    w.run();
    EXPECT_TRUE(w.judge.broken.empty()) << "seed " << seed << "\n" << report(w);
    EXPECT_TRUE(w.unfinished().empty()) << "seed " << seed << ": " << w.unfinished().size();
    std::map<std::string, std::pair<std::size_t, std::size_t>> in;  // by team: accepted, submitted
    for (const auto& [id, job] : w.judge.jobs) {
      in[job.spec.team].first += job.accepted ? 1 : 0;
      ++in[job.spec.team].second;
    }
    for (const auto& [team, n] : in) {
      if (team != "guest") {
        EXPECT_EQ(n.first, n.second) << team << " seed " << seed;
      }
      EXPECT_GT(static_cast<double>(n.first), 0.8 * static_cast<double>(n.second)) << team << " seed " << seed;
    }
  }
}

}  // namespace
}  // namespace hitchfront::testing
