// Levels of the stored state: the pure rule, an exhaustive exploration of it, and controllers of
// several versions in the seeded world.
#include "feature_level/feature_level.hpp"

#include <gtest/gtest.h>

#include <array>
#include <set>
#include <tuple>

#include "cluster_simulation.hpp"
#include "feature_level/data_loss_state.hpp"
#include "membership/members.hpp"
#include "settings/constants.hpp"
#include "wire/feature_level.hpp"
#include "wire/progress.hpp"

namespace hitchfront::testing {
namespace {

constexpr feature_level::Support kBefore{
    1, 1, false};  // a version from before levels: announces nothing, heeds none
constexpr feature_level::Support kOld{1, 1, true}, kNew{1, feature_level::kNewestLevel, true},
    kNext{1, feature_level::kNewestLevel + 1, true};

Scenario roll(std::uint64_t seed, std::vector<Scenario::Version> versions, int nodes = 3) {
  Scenario s;
  s.seed = seed;
  s.nodes = nodes;
  s.versions = std::move(versions);
  s.settle_ms = 250'000;
  return s;
}

// All rules kept, every accepted job ended, and the store at this level with nothing left in
// another form.
void keeps_rules(const Scenario& s, std::uint32_t level) {
  ClusterSimulation w(s);
  w.run();
  EXPECT_TRUE(w.checker.broken.empty()) << "seed " << s.seed << "\n" << report(w);
  EXPECT_TRUE(w.unfinished().empty())
      << "seed " << s.seed << ": " << w.unfinished().size() << " never ended";
  EXPECT_GT(w.checker.started, 20U) << "seed " << s.seed;
  const auto l = w.level();
  EXPECT_EQ(l.active, level) << "seed " << s.seed;
  EXPECT_EQ(l.low, level) << "seed " << s.seed;
  EXPECT_EQ(l.high, level) << "seed " << s.seed;
}

std::size_t lines(const ClusterSimulation& w, const std::string& what) {
  return static_cast<std::size_t>(std::count_if(w.log.begin(), w.log.end(), [&](const auto& l) {
    return l.find(what) != std::string::npos;
  }));
}

// ms of the first line that has it; -1: none.
std::int64_t first(const ClusterSimulation& w, const std::string& what) {
  const auto it = std::find_if(w.log.begin(), w.log.end(),
                               [&](const auto& l) { return l.find(what) != std::string::npos; });
  return it == w.log.end() ? -1 : std::stoll(*it);
}

// ---- wire
// -----------------------------------------------------------------------------------------

TEST(FeatureLevelCodec, WhatIsStoredComesBackAndAnythingElseIsRefused) {
  const wire::FeatureLevel l{2, 1, 2, 1'700'000'000, 9, "x-1", 4};
  EXPECT_EQ(wire::decode_level(nlohmann::json::parse(wire::encode(l))), l);
  for (const char* bad : {"{}", "[]", "3", R"({"active":1,"low":2,"high":2,"since":0,"term":1})",
                          R"({"active":3,"low":1,"high":2,"since":0,"term":1})",
                          R"({"active":-1,"low":-1,"high":2,"since":0,"term":"x"})"})
    EXPECT_FALSE(wire::decode_level(nlohmann::json::parse(bad))) << bad;
  const wire::Announcement a{"node-1", "0.2", 0xffff'ffff'ffff'0001, 1, 2, 1'700'000'000};
  const auto stored = wire::decode_announcement(nlohmann::json::parse(wire::encode(a)));
  const auto member_status = wire::decode_member_status(
      "node-1", wire::encode_member_status({a, 77, 3, true}) + "what a newer version adds");
  ASSERT_TRUE(stored && member_status);
  EXPECT_TRUE(member_status->max_revision == 77 && member_status->generation == 3 &&
              member_status->data_lost);
  for (const auto* b : {&*stored, &member_status->announcement}) {
    EXPECT_EQ(b->node, a.node);
    EXPECT_EQ(b->process, a.process);
    EXPECT_EQ(b->version, a.version);
    EXPECT_TRUE(b->from == 1 && b->to == 2 && b->since_s == a.since_s);
  }
  EXPECT_FALSE(wire::decode_member_status("node-1", ""));
  EXPECT_FALSE(wire::decode_member_status("node-1", "\x80"));
  // Versions from before levels take a number for a term, and nothing else.
  EXPECT_EQ(wire::encode_term(7, wire::FeatureLevel{}), "7");
  EXPECT_TRUE(nlohmann::json::parse(wire::encode_term(7, wire::FeatureLevel{1, 1, 2, 0, 0, "", 0}))
                  .is_object())
      << "while a newer value may stand";
  EXPECT_EQ(wire::decode_term(nlohmann::json::parse(
                wire::encode_term(7, wire::FeatureLevel{2, 2, 2, 0, 0, "", 0}))),
            7U);
  EXPECT_FALSE(wire::decode_term(nlohmann::json::parse("\"7\"")));
}

TEST(ProgressForms, BothHoldTheSameTasksAndRefuseWhatNeitherWrote) {
  std::mt19937 random(3);
  for (int round = 0; round < 2000; ++round) {
    std::vector<bool> done(random() % 300);
    const auto share = random() % 101;
    std::vector<std::uint32_t> plain;
    for (std::uint32_t t = 0; t < done.size(); ++t)
      if ((done[t] = random() % 100 < share)) plain.push_back(t);
    for (const auto form : {wire::ProgressForm::bitmap, wire::ProgressForm::runs}) {
      const auto text = wire::encode_progress(done, form);
      const auto back = wire::decode_progress(text, static_cast<std::uint32_t>(done.size()));
      ASSERT_TRUE(back);
      EXPECT_EQ(back->done, plain);
      EXPECT_EQ(back->form, form);
      auto bad = text + static_cast<char>('!' + random() % 90);
      const auto odd = wire::decode_progress(bad, static_cast<std::uint32_t>(done.size()));
      EXPECT_TRUE(!odd || odd->done.empty() || odd->done.back() < done.size());
    }
  }
  EXPECT_FALSE(wire::decode_progress("xyz", 100));
  EXPECT_FALSE(wire::decode_progress("f", 2)) << "more tasks than the part has";
  EXPECT_FALSE(wire::decode_progress("=!", 100));
}

// ---- the rule
// -------------------------------------------------------------------------------------

TEST(Rollout, OneLevelAtATimeAndOnlyWhenTheLastOneHasSettled) {
  using feature_level::BlockReason;
  const wire::FeatureLevel one, moving{2, 1, 2, 0, 1, "", 0}, two{2, 2, 2, 0, 1, "", 0};
  EXPECT_EQ(feature_level::next_step(one, 1000, kNext).next->active, 2U);
  EXPECT_EQ(feature_level::next_step(one, 1000, kNext).next->low, 1U);
  EXPECT_EQ(feature_level::next_step(moving, 1000, kNext).reason, BlockReason::migrating);
  EXPECT_EQ(feature_level::next_step(two, 1000, kNext).next->high, 3U);
  EXPECT_FALSE(feature_level::next_step({feature_level::kNewestLevel, feature_level::kNewestLevel,
                                         feature_level::kNewestLevel, 0, 1, "", 0},
                                        1000, kNew)
                   .next);
  EXPECT_EQ(feature_level::next_step(one, 1, kNew).reason, BlockReason::operator_limit);
  EXPECT_EQ(feature_level::next_step(two, 1, kNew).next->active, 1U);
  EXPECT_EQ(feature_level::next_step(two, 1, kNew).next->high, 2U)
      << "values of level 2 still stand";
}

TEST(Rollout, AMemberThatIsAwayOldUnannouncedOrRestartedHoldsTheSwitchBack) {
  using feature_level::BlockReason;
  const wire::FeatureLevel next{2, 1, 2, 0, 1, "", 0};
  const auto announced = [](const char* node, std::uint64_t process, std::uint32_t to) {
    return wire::Announcement{node, "v", process, 1, to, 0};
  };
  membership::Members m({"a", "b"}, 1600);
  const auto reason = [&](bool stored, membership::Ms now = 1000) {
    return feature_level::find_blocker(now, next, m,
                                       stored ? feature_level::MemberCheck::heartbeats_and_store
                                              : feature_level::MemberCheck::heartbeats)
        .reason;
  };
  EXPECT_EQ(reason(false), BlockReason::silent) << "never heard";
  m.record_heartbeat(500, "a", announced("a", 1, 2));
  m.record_heartbeat(500, "b", std::nullopt);
  m.record_heartbeat(500, "stranger", std::nullopt);
  EXPECT_EQ(reason(false), BlockReason::unannounced);
  m.record_heartbeat(500, "b", announced("b", 5, 1));
  EXPECT_EQ(reason(false), BlockReason::old);
  m.record_heartbeat(500, "b", announced("b", 6, 2));
  EXPECT_EQ(reason(false), BlockReason::none);
  EXPECT_EQ(reason(false, 2100), BlockReason::silent) << "for several signs";
  EXPECT_EQ(reason(true), BlockReason::absent);
  m.begin_reading();
  m.record_stored(announced("a", 1, 2), 11);
  m.record_stored(announced("b", 5, 2), 12);
  EXPECT_EQ(reason(true), BlockReason::restarted);
  m.record_stored(announced("b", 6, 1), 13);
  EXPECT_EQ(reason(true), BlockReason::old);
  m.record_stored(announced("b", 6, 2), 14);
  EXPECT_EQ(reason(true), BlockReason::none);
  m.begin_reading();
  EXPECT_EQ(reason(true), BlockReason::absent) << "an older reading does not count";
}

// ---- data loss

TEST(DataLossState, IsOverOnlyByALaterGenerationThanTheLostOne) {
  feature_level::DataLossState state;
  EXPECT_FALSE(state.lost());
  state.begin(1000, {3, 3, 3, 0, 1, "x-1", 4});
  EXPECT_TRUE(state.lost());
  EXPECT_EQ(state.lost_generation(), 4U);
  EXPECT_FALSE(state.is_recovered_by({3, 3, 3, 0, 1, "x-1", 4}));
  EXPECT_TRUE(state.is_recovered_by({3, 3, 3, 0, 1, "x-1", 5}));
  state.set_lost_generation(6);
  state.begin(2500, {1, 1, 1, 0, 0, "", 0});
  EXPECT_EQ(state.lost_generation(), 6U) << "lost once more";
  EXPECT_EQ(state.ms_since_loss(3000), 2000) << "since the first time";
  state.end();
  EXPECT_FALSE(state.lost());
}

TEST(DataLossState, TheRecoveredLevelAdmitsWhateverAnybodyKnew) {
  feature_level::DataLossState state;
  state.begin(1000, {2, 2, 2, 0, 1, "", 0});
  state.merge_level_before_loss({4, 3, 4, 0, 1, "x-1", 7});
  state.record_peer_generation(9);
  state.record_peer_generation(8);
  const auto level = state.recovered_level({1, 1, 1, 0, 0, "", 0}, "y-2");
  EXPECT_TRUE(level.low == 1 && level.active == 4 && level.high == 4);
  EXPECT_EQ(level.generation, 10U);
  EXPECT_EQ(level.store_incarnation, "x-1") << "the state's own stays";
  feature_level::DataLossState without;
  without.begin(1000, {2, 2, 2, 0, 1, "", 0});
  EXPECT_EQ(without.recovered_level({}, "y-2").store_incarnation, "y-2");
  EXPECT_EQ(without.recovered_level({}, "y-2").generation, 1U);
}

// ---- controllers of several versions
// -----------------------------------------------------------------

TEST(FeatureLevelGate, AnEmptyStoreComesToTheNewestLevelOnceAllHaveAnnouncedThemselves) {
  auto s = roll(3, {});
  ClusterSimulation w(s);
  w.run();
  EXPECT_TRUE(w.checker.broken.empty()) << report(w);
  EXPECT_EQ(w.level().active, feature_level::kNewestLevel);
  EXPECT_EQ(lines(w, "feature_level.switched"), feature_level::kNewestLevel - 1);
  EXPECT_EQ(lines(w, "feature_level.migrated"), feature_level::kNewestLevel - 1);
}

TEST(FeatureLevelGate, ARollForwardOneByOneSwitchesWhenTheLastIsThere) {
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    const auto s = roll(seed, {{0, 0, kBefore},
                               {0, 1, kBefore},
                               {0, 2, kBefore},
                               {30'000, 0, kNew},
                               {50'000, 1, kNew},
                               {70'000, 2, kNew}});
    keeps_rules(s, feature_level::kNewestLevel);
    ClusterSimulation w(s);
    w.run();
    EXPECT_GT(first(w, "feature_level.switched"), 75'000);
  }
}

// A store that was brought to level 2, and then programs that don't know it: half of them, then
// all, from before levels.
TEST(FeatureLevelGate, VersionsFromBeforeLevelsComingBackNeverLeadAndBreakNothing) {
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    const auto s = roll(
        seed, {{50'000, 1, kBefore}, {70'000, 2, kBefore}, {130'000, 1, kNew}, {140'000, 2, kNew}});
    keeps_rules(s, feature_level::kNewestLevel);
  }
}

TEST(FeatureLevelGate, AnOldVersionThatKnowsLevelsServesNobodyAfterTheSwitch) {
  auto s = roll(5, {{50'000, 1, kOld}, {100'000, 1, kNew}});
  keeps_rules(s, feature_level::kNewestLevel);
  ClusterSimulation w(s);
  w.run();
  EXPECT_EQ(lines(w, "node-1 feature_level.unsupported"), 1U) << "said once";
}

TEST(FeatureLevelGate, TakenBackByTheOperatorsAllOldVersionsMayReturn) {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    auto s = roll(seed, {});
    // Every controller is replaced by one with level_most = 1, then by versions from before levels.
    for (int n = 0; n < 3; ++n) {
      s.versions.push_back({40'000 + n * 8'000, n, kNew, 1});
      s.versions.push_back({110'000 + n * 8'000, n, kBefore});
    }
    keeps_rules(s, 1);
  }
}

TEST(FeatureLevelGate, OneMemberHoldsBackOnPurposeOrByBeingAwayOrOld) {
  struct Case {
    const char* reason;
    Scenario scenario;
  };
  std::vector<Case> cases = {
      {"", roll(2, {{0, 0, kNew, 1}, {0, 1, kNew, 1}, {0, 2, kNew, 1}})},
      {"feature_level.held target=2 why=unannounced member=node-2",
       roll(2, {{0, 2, kBefore}, {30'000, 2, kBefore}})},
      {"feature_level.held target=2 why=old member=node-1", roll(3, {{0, 1, kOld}})},
      {"feature_level.held target=2 why=silent member=node-1", roll(2, {})}};
  cases.back().scenario.cuts = {{0, 1'000'000, "node-1", "*", false}};
  for (auto& c : cases) {
    c.scenario.settle_ms = 100'000;
    ClusterSimulation w(c.scenario);
    w.run();
    EXPECT_TRUE(w.checker.broken.empty()) << c.reason << report(w);
    EXPECT_EQ(w.level().high, 1U) << c.reason;
    EXPECT_EQ(w.stored("level"), "") << c.reason;
    EXPECT_TRUE(*c.reason == '\0' || lines(w, c.reason) > 0) << c.reason;
  }
}

// It can't renew its announcement, nor be told of a switch: nobody overrules it, and nothing waits
// once it is back.
TEST(FeatureLevelGate, AMemberRefusedByTheStoreAloneHoldsTheSwitchBackForThatLong) {
  auto s = roll(7, {{0, 1, kBefore}, {30'000, 1, kNew}});
  s.cuts = {{20'000, 90'000, "node-2", "state", false}};
  ClusterSimulation w(s);
  w.run();
  EXPECT_TRUE(w.checker.broken.empty()) << report(w);
  EXPECT_EQ(w.level().active, feature_level::kNewestLevel);
  EXPECT_GT(first(w, "feature_level.switched"), 90'000);
}

TEST(FeatureLevelGate, TwoLevelsInARowWhileAMemberSkipsTheMiddleOne) {
  for (std::uint64_t seed = 1; seed <= 3; ++seed)
    keeps_rules(roll(seed, {{0, 0, kOld},
                            {0, 1, kOld},
                            {0, 2, kOld},
                            {20'000, 0, kNew},
                            {30'000, 1, kNew},
                            {40'000, 0, kNext},
                            {50'000, 1, kNext},
                            {80'000, 2, kNext}}),
                feature_level::kNewestLevel + 1);
}

// A roll with every trouble on top, forward, half way and back, and the members that crash and
// freeze over the switch.
TEST(FeatureLevelGate, RollsUnderFaultsKeepTheRules) {
  struct Fault {
    std::vector<Scenario::Cut> cuts;
    std::vector<Scenario::At> events;
  };
  const std::vector<Fault> faults = {
      {{}, {{72'000, "crash leader"}, {80'000, "crash leader"}, {88'000, "crash leader"}}},
      {{}, {{76'000, "freeze leader 9000"}, {90'000, "freeze node-1 7000"}}},
      {{}, {{78'000, "outage"}, {95'000, "mend"}}},
      {{}, {{81'000, "crash all"}}},
      {{{60'000, 95'000, "node-1", "*", true}}, {{100'000, "hang"}}},
      {{{70'000, 84'000, "node-0", "state", true},
        {70'000, 84'000, "node-1", "state", true},
        {70'000, 84'000, "node-2", "state", true}},
       {}},
  };
  for (std::size_t i = 0; i < faults.size(); ++i)
    for (std::uint64_t seed = 1; seed <= 2; ++seed) {
      auto s = roll(seed * 31 + i, {{0, 0, kBefore},
                                    {0, 1, kBefore},
                                    {0, 2, kBefore},
                                    {30'000, 0, kNew},
                                    {40'000, 1, kNew},
                                    {62'000, 2, kNew},
                                    {110'000, 1, kBefore},
                                    {135'000, 1, kNew}});
      s.cuts = faults[i].cuts;
      s.events = faults[i].events;
      keeps_rules(s, feature_level::kNewestLevel);
    }
}

// The switch applied late, when a member has been replaced by one that does not know the level.
Scenario late_switch(std::int64_t switched_at, bool with_conditions) {
  auto s = roll(9, {{switched_at + 200, 1, kOld}, {switched_at + 60'000, 1, kNew}});
  auto kept = std::make_shared<std::vector<core::HttpCall>>();
  auto due = std::make_shared<std::int64_t>(0);
  s.mutant = [=](std::int64_t now, int, core::Effects& e) {
    for (auto& c : e.calls) {
      if (*due != 0 || c.path != "/txn" || c.body.find("\"K\":\"node/") == std::string::npos ||
          c.body.find("\"Set\":\"level\"") == std::string::npos)
        continue;
      auto body = nlohmann::json::parse(c.body);
      if (!with_conditions) {
        auto conditions = nlohmann::json::array();
        for (const auto& i : body["If"])
          if (!i["K"].get<std::string>().starts_with("node/")) conditions.push_back(i);
        body["If"] = conditions;
      }
      auto late = c;
      late.body = body.dump();
      kept->push_back(late);
      c.body = R"({"If":[{"K":"leader","Stamp":1}],"Then":[]})";  // lost on its way
      *due = now + 7'000;
    }
    if (*due != 0 && now >= *due)
      for (auto& c : std::exchange(*kept, {})) {
        c.id = 1ULL << 50;  // nobody waits for its answer any more
        e.calls.push_back(c);
      }
  };
  return s;
}

TEST(FeatureLevelGate, ASwitchThatAppliesLateIsRefusedWhereAMemberHasChanged) {
  ClusterSimulation plain(roll(9, {}));
  plain.run();
  const auto when = first(plain, "feature_level.switched");
  ASSERT_GT(when, 0);
  keeps_rules(late_switch(when, true), feature_level::kNewestLevel);
}

// ---- mutants that the invariant checker has to see
// -------------------------------------------------------------

TEST(FeatureLevelChecker, SeesASwitchThatIsNotConditionedOnTheMembers) {
  ClusterSimulation plain(roll(9, {}));
  plain.run();
  ClusterSimulation w(late_switch(first(plain, "feature_level.switched"), false));
  w.run();
  EXPECT_TRUE(w.checker.broken.contains("level"))
      << "a member that does not know the level serves on";
}

TEST(FeatureLevelChecker, SeesATermThatVersionsFromBeforeLevelsTakeForOne) {
  auto s = roll(4, {{50'000, 0, kBefore}, {58'000, 1, kBefore}, {66'000, 2, kBefore}});
  s.mutant = [](std::int64_t, int, core::Effects& e) {
    for (auto& c : e.calls) {
      const auto at = c.body.find("\"V\":{\"term\":");
      if (c.path != "/txn" || at == std::string::npos) continue;
      const auto from = at + 4, number = at + 12, end = c.body.find('}', number);
      c.body =
          c.body.substr(0, from) + c.body.substr(number, end - number) + c.body.substr(end + 1);
    }
  };
  ClusterSimulation w(s);
  w.run();
  EXPECT_TRUE(w.checker.broken.contains("level")) << "a version from before levels leads";
}

// ---- every state of a small rollout
// --------------------------------------------------------------------- Two members beside a leader
// of the new version. A member crashes, comes back in either version, reads the level, announces
// itself, serves and writes; its announcement's lease ends; its signs are heard late; the leader
// reads the members and sends a switch, which applies at any later time or never, like every write.
// The decisions are the real classes'; the store is a few lines.

struct Explorer {
  bool with_members = true, with_level = true;  // conditions: of the switch, and of every write

  struct Process {
    std::uint8_t stage = 0;  // 0 down, 1 started, 2 has read the level, 3 serves
    std::uint8_t to = 2, process = 0, seen = 1;  // the level it has read
    bool operator<(const Process& o) const {
      return std::tie(stage, to, process, seen) < std::tie(o.stage, o.to, o.process, o.seen);
    }
  };
  struct Said {
    std::uint8_t process = 0, to = 0;  // life 0: nothing
    bool operator<(const Said& o) const {
      return std::tie(process, to) < std::tie(o.process, o.to);
    }
  };
  struct State {
    std::array<Process, 2> process;
    std::array<Said, 2> stored, heard,
        read;                             // in the store; by signs; by the leader's last reading
    std::array<std::uint8_t, 2> write{};  // on its way: 0 none, else the level it was formed under
    std::uint8_t level = 1;
    bool switching = false;  // sent, by the leader's last reading
    bool operator<(const State& o) const {
      return std::tie(process, stored, heard, read, write, level, switching) <
             std::tie(o.process, o.stored, o.heard, o.read, o.write, o.level, o.switching);
    }
  };
  std::set<State> seen;
  std::string broken;

  static wire::Announcement as(int i, const Said& s) {
    return {i == 0 ? "a" : "b", "v", s.process, 1, s.to, 0};
  }
  static membership::Members members(const State& s) {
    membership::Members m({"a", "b"}, 10);
    for (int i = 0; i < 2; ++i) {
      if (s.heard[static_cast<std::size_t>(i)].process != 0)
        m.record_heartbeat(0, i == 0 ? "a" : "b", as(i, s.heard[static_cast<std::size_t>(i)]));
      if (s.read[static_cast<std::size_t>(i)].process != 0)
        m.record_stored(as(i, s.read[static_cast<std::size_t>(i)]), 1);
    }
    return m;
  }
  void check(const State& s, const char* what) {
    for (const auto& p : s.process)
      if (p.stage == 3 && p.to < s.level && broken.empty())
        broken = std::string("a process that lacks the level serves, after ") + what;
  }
  void run() {
    std::vector<State> open(1);
    seen.insert(open.front());
    while (!open.empty()) {
      const auto s = open.back();
      open.pop_back();
      const auto go = [&](const State& t, const char* what) {
        check(t, what);
        if (seen.insert(t).second) open.push_back(t);
      };
      for (std::size_t i = 0; i < 2; ++i) {
        const auto& p = s.process[i];
        auto t = s;
        auto& q = t.process[i];
        if (p.stage == 0 && p.process < 2)
          for (const std::uint8_t to : {1, 2}) {
            q = {1, to, static_cast<std::uint8_t>(p.process + 1), 1};
            go(t, "a start");
          }
        t = s;
        if (p.stage != 0) {
          q.stage = 0;
          go(t, "a crash");  // a write on its way stays on its way
        }
        t = s;
        if (p.stage == 1 && p.to >= s.level) {
          q.stage = 2;
          q.seen = s.level;
          go(t, "reading the level");
        }
        t = s;
        if (p.stage == 2) {  // conditioned on the level as read; refused, it reads again
          if (s.level == p.seen) {
            t.stored[i] = {p.process, p.to};
            q.stage = 3;
          } else {
            q.stage = 1;
          }
          go(t, "announcing");
        }
        t = s;
        if (s.stored[i].process != 0) {
          t.stored[i] = {};
          go(t, "the end of an announcement's lease");
        }
        t = s;
        if (p.stage == 3) {
          t.heard[i] = {p.process, p.to};
          go(t, "a sign of life");
        }
        t = s;
        if (p.stage == 3 && s.write[i] == 0) {
          t.write[i] = p.seen;
          go(t, "a write sent");
        }
        t = s;
        if (s.write[i] != 0) {
          t.write[i] = 0;
          const bool applies = !with_level || s.write[i] == s.level;
          if (applies && s.write[i] < s.level && broken.empty())
            broken = "a write in the old form applied after the switch";
          if (!applies && p.stage == 3 && p.to >= s.level) q.seen = s.level;  // it looks again
          go(t, "a write's arrival");
        }
      }
      auto t = s;
      const auto step =
          feature_level::next_step({s.level, s.level, s.level, 0, 1, "", 0}, 1000, kNew);
      if (!s.switching && step.next) {
        t.read = s.stored;
        if (feature_level::find_blocker(0, *step.next, members(t),
                                        feature_level::MemberCheck::heartbeats_and_store)
                .reason == feature_level::BlockReason::none) {
          t.switching = true;
          go(t, "a switch sent");
        }
      }
      t = s;
      if (s.switching) {
        t.switching = false;
        go(t, "a switch lost");
        const auto same = [](const Said& a, const Said& b) {
          return a.process == b.process && a.to == b.to;
        };
        if (!with_members || (same(s.read[0], s.stored[0]) && same(s.read[1], s.stored[1]))) {
          t.level = 2;
          go(t, "the switch");
        }
      }
    }
  }
};

TEST(RolloutExplorer, NoStateBreaksTheRuleAndEachConditionIsNeeded) {
  Explorer all;
  all.run();
  EXPECT_EQ(all.broken, "");
  EXPECT_GT(all.seen.size(), 10'000U);
  std::printf("%zu states\n", all.seen.size());
  EXPECT_TRUE(
      std::any_of(all.seen.begin(), all.seen.end(), [](const auto& s) { return s.level == 2; }));
  Explorer no_members;
  no_members.with_members = false;
  no_members.run();
  EXPECT_TRUE(no_members.broken.starts_with("a process that lacks the level serves"))
      << no_members.broken;
  Explorer no_level;
  no_level.with_level = false;
  no_level.run();
  EXPECT_EQ(no_level.broken, "a write in the old form applied after the switch");
}

}  // namespace
}  // namespace hitchfront::testing
