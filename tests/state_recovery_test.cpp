// The stored state lost and rebuilt: the join of copies, and controllers in the seeded world whose
// store goes back or loses everything.
#include <gtest/gtest.h>

#include <algorithm>
#include <random>

#include "cluster_simulation.hpp"
#include "recovery/replica_sync.hpp"
#include "recovery/state_replica.hpp"
#include "settings/constants.hpp"
#include "wire/progress.hpp"

namespace hitchfront::testing {
namespace {

std::size_t lines(const ClusterSimulation& w, const std::string& what) {
  return static_cast<std::size_t>(std::count_if(w.log.begin(), w.log.end(), [&](const auto& l) {
    return l.find(what) != std::string::npos;
  }));
}

// ---- the join
// -------------------------------------------------------------------------------------

// Copies of the same jobs at different moments; the plain model keeps sets.
struct Drawn {
  std::vector<recovery::StateReplica> replicas;
  std::map<std::string, std::set<std::uint32_t>> done;
  std::map<std::string, std::uint32_t> launch_watermark;
  std::set<std::string> cancelled, outcome_done, outcome_cancelled, known;
};

Drawn draw(std::uint64_t seed) {
  std::mt19937_64 random(seed);
  Drawn d;
  for (int c = 0; c < 4; ++c) {
    recovery::StateReplica replica(1000);
    for (int j = 0; j < 12; ++j) {
      const auto job = "run-" + std::to_string(j);
      const auto kind = random() % 8;
      if (kind == 0) continue;
      d.known.insert(job);
      if (kind == 1) {
        const bool gone = j % 3 == 0;  // a job ends in one way
        replica.add_outcome(job, {gone, 5});
        (gone ? d.outcome_cancelled : d.outcome_done).insert(job);
        continue;
      }
      const bool cancelled = j % 3 == 0 && random() % 2 == 0;
      replica.add_unfinished(job, "{\"job\":" + std::to_string(j) + "}", cancelled,
                             static_cast<std::uint32_t>(j + c));
      d.launch_watermark[job] =
          std::max(d.launch_watermark[job], static_cast<std::uint32_t>(j + c));
      if (cancelled) d.cancelled.insert(job);
      std::vector<bool> done(20);
      for (std::uint32_t t = 0; t < done.size(); ++t)
        if ((done[t] = random() % 4 == 0)) d.done[job].insert(t);
      replica.set_progress(
          job, 0,
          wire::encode_progress(
              done, random() % 2 == 0 ? wire::ProgressForm::runs : wire::ProgressForm::bitmap));
    }
    d.replicas.push_back(std::move(replica));
  }
  return d;
}

std::string describe(const recovery::StateReplica& replica) {
  std::string out;
  for (const auto& [job, r] : replica.outcomes()) out += job + (r.cancelled ? " gone;" : " done;");
  for (const auto& [job, u] : replica.unfinished()) {
    std::set<std::uint32_t> done;
    for (const auto& [chunk, texts] : u.progress)
      for (const auto& text : texts) {
        const auto p = wire::decode_progress(text, 20);
        if (p) done.insert(p->done.begin(), p->done.end());
      }
    out += job + u.record + (u.cancelled ? " withdrawn" : "");
    for (const auto t : done) out += "," + std::to_string(t);
    out += ";";
  }
  return out;
}

TEST(CopyJoin, TakesTheMostOfEachInWhateverOrderPartsAndNumberTheyCome) {
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    const auto d = draw(seed);
    std::string first;
    std::vector<std::size_t> order = {0, 1, 2, 3};
    do {
      recovery::StateReplica joined(1000);
      for (const auto c : order)
        for (const auto& part : d.replicas[c].encode(seed % 2 == 0 ? 60 : 100'000)) {
          ASSERT_TRUE(joined.merge(part));
          ASSERT_TRUE(joined.merge(part)) << "a part that comes twice";
        }
      joined.merge(d.replicas[order[0]]);
      if (first.empty()) first = describe(joined);
      ASSERT_EQ(describe(joined), first) << "seed " << seed;
      for (const auto& job : d.known) {
        ASSERT_TRUE(joined.contains(job));
        const bool over = d.outcome_done.contains(job) || d.outcome_cancelled.contains(job);
        ASSERT_EQ(joined.outcome_of(job).has_value(), over) << "what is over stays over";
        if (over) {
          EXPECT_EQ(joined.outcome_of(job)->cancelled, !d.outcome_done.contains(job));
        } else {
          EXPECT_EQ(joined.is_cancelled(job), d.cancelled.contains(job));
          EXPECT_EQ(joined.unfinished().at(job).launch_watermark, d.launch_watermark.at(job));
        }
      }
    } while (std::next_permutation(order.begin(), order.end()));
    for (const auto& [job, done] : d.done) {
      if (d.outcome_done.contains(job) || d.outcome_cancelled.contains(job)) continue;
      std::string all;
      for (const auto t : done) all += "," + std::to_string(t);
      EXPECT_NE(
          first.find("}" + std::string(d.cancelled.contains(job) ? " withdrawn" : "") + all + ";"),
          std::string::npos)
          << job << " in " << first;
    }
  }
}

// What covers cancellations (cancellation/) goes by it: learnt by whatever way, and over whatever
// comes late.
TEST(CopyJoin, ReportsWhatIsCancelledUntilItEnds) {
  recovery::StateReplica replica(1000);
  std::set<std::string> cancelled;
  replica.on_cancelled = [&](const std::string& job) { cancelled.insert(job); };
  replica.on_outcome = [&](const std::string& job) { cancelled.erase(job); };
  recovery::StateReplica other(1000);
  other.add_unfinished("run-1", "{}", true, 0);
  other.add_unfinished("run-2", "{}", false, 0);
  replica.merge(other.encode(1000).front());
  replica.add_unfinished("run-3", "{}", true, 0);
  EXPECT_EQ(cancelled, (std::set<std::string>{"run-1", "run-3"}));
  replica.add_outcome("run-1", {true, 0});
  replica.merge(other.encode(1000).front());
  EXPECT_EQ(cancelled, (std::set<std::string>{"run-3"})) << "a late word";
}

TEST(CopyJoin, BrokenPartsAreRefusedAndBoundsHold) {
  const auto d = draw(7);
  const auto whole = d.replicas[0].encode(1'000'000).front();
  std::mt19937_64 random(1);
  for (int i = 0; i < 3000; ++i) {
    auto bad = whole;
    bad[random() % bad.size()] = static_cast<char>(random());
    bad.resize(random() % (bad.size() + 1));
    recovery::StateReplica c(1000);
    c.merge(bad);
    EXPECT_LE(c.bytes(), 100'000U);
  }
  recovery::StateReplica few(3);
  for (int j = 0; j < 10; ++j) few.add_outcome("run-" + std::to_string(j), {false, 1});
  EXPECT_EQ(few.outcomes().size(), 3U);
  EXPECT_TRUE(few.contains("run-9") && !few.contains("run-6")) << "the oldest go first";
}

// ---- keeping a copy
// ---------------------------------------------------------------------------------

// Against the simulator store, without delays.
struct Keeping {
  core::Outbox out;
  core::StoreClient client{out, 1000, 100, 1};
  core::ReplicaSync replicas{client};
  simulators::Store store;
  core::Ms now = 1000;
  std::size_t requests = 0;

  void put(const std::string& key, const std::string& value, bool drop = false) {
    wire::Txn txn;
    drop ? txn.drop(key) : txn.put(key, value);
    store.handle(now, "POST", "/txn", txn.body(),
                 [](const simulators::Response& r) { EXPECT_EQ(r.status, 200); });
  }
  void pass(core::Ms ms) {
    for (const auto end = now + ms; now < end; now += 100) {
      client.send_queued(now);
      replicas.tick(now);
      for (auto calls = out.take().calls; !calls.empty(); calls = out.take().calls)
        for (auto& c : calls) {
          ++requests;
          store.handle(now, "GET", c.path, c.body, [&](const simulators::Response& r) {
            out.complete(now, c.id, r.status, r.body);
          });
        }
    }
  }
};

TEST(ReplicaSync, ReadAStoreFullOfFinalStatesAtAPaceAndThenWhatChanges) {
  Keeping k;
  for (int i = 0; i < 1450; ++i)
    k.put("over/run-" + std::to_string(100000 + i), wire::encode(wire::JobOutcome{i % 7 == 0, 3}));
  k.put("prog/run-900000/1", "\"f\"");
  k.pass(500);
  EXPECT_LT(k.replicas.replica().outcomes().size(), 1450U) << "a page each tick";
  EXPECT_LE(k.requests, 16U);
  k.pass(2000);
  EXPECT_EQ(k.replicas.replica().outcomes().size(), 1450U);
  EXPECT_TRUE(k.replicas.replica().outcome_of("run-100007")->cancelled);
  EXPECT_EQ(k.replicas.replica().unfinished().at("run-900000").progress.at(1),
            std::set<std::string>{"f"});
  k.put("over/run-900000", wire::encode(wire::JobOutcome{false, 4}));
  k.put("prog/run-900000/1", "", true);
  const auto before = k.requests;
  k.pass(3000);
  EXPECT_TRUE(k.replicas.replica().outcome_of("run-900000"));
  EXPECT_TRUE(k.replicas.replica().unfinished().empty());
  EXPECT_LE(k.requests - before, 15U) << "five a second with the reads of unfinished jobs";
}

// Guards against a loss that no revision shows: the store went back and was written to since.
TEST(ReplicaSync, ANewestRecordThatIsGoneOrOlderIsProofAndAnUnfinishedJobsEndIsNone) {
  for (const int which : {0, 1, 2}) {
    Keeping k;
    std::size_t proofs = 0;
    k.replicas.on_data_loss_detected = [&](core::Ms) { ++proofs; };
    k.put("over/run-000001", wire::encode(wire::JobOutcome{false, 1}));
    k.put("prog/run-000002/0", "\"1\"");
    const auto kept = k.store.keep();
    k.put("prog/run-000002/0", "\"3\"");
    k.put("over/run-000003", wire::encode(wire::JobOutcome{false, 1}));
    k.pass(2500);
    EXPECT_EQ(proofs, 0U);
    if (which == 0) k.put("prog/run-000002/0", "", true);  // the job ended
    if (which == 1) k.put("over/run-000003", "", true);
    if (which == 2) {
      k.store.put_back(k.now, *kept);
      for (int i = 0; i < 5; ++i) k.put("roster/0", "\"x\"");
    }
    k.pass(2500);
    EXPECT_EQ(proofs > 0, which != 0) << which;
  }
}

// ---- losses
// ---------------------------------------------------------------------------------------

struct Loss {
  const char* name;
  std::vector<Scenario::At> events;
};
void PrintTo(const Loss& l, std::ostream* out) {
  *out << l.name;
}
const Loss kLosses[] = {
    {"back_2_s", {{60'000, "back 2000"}}},
    {"back_20_s", {{60'000, "back 20000"}}},
    {"back_after_an_outage", {{60'000, "outage"}, {65'000, "back 20000"}, {65'000, "mend"}}},
    {"back_and_the_leader_crashes", {{60'000, "back 20000"}, {60'000, "crash leader"}}},
    {"back_and_the_leader_frozen", {{60'000, "freeze leader 12000"}, {60'000, "back 20000"}}},
    {"back_twice", {{60'000, "back 20000"}, {64'000, "back 5000"}}},
    {"all", {{60'000, "lose-all"}}},
    {"all_and_the_leader_crashes", {{60'000, "lose-all"}, {60'000, "crash leader"}}},
    {"all_and_leaders_of_the_rebuild_crash",
     {{60'000, "lose-all"}, {60'500, "crash leader"}, {66'000, "crash leader"}}},
    {"all_again_before_it_is_rebuilt",
     {{60'000, "freeze leader 6000"}, {60'000, "back 4000"}, {63'000, "lose-all"}}},
    {"all_again_as_the_rebuild_ends",
     {{60'000, "back 4000"}, {60'600, "lose-all"}, {61'200, "lose-all"}}},
    {"a_little_every_twenty_s",
     {{40'000, "back 1500"}, {60'000, "back 1500"}, {80'000, "back 1500"}, {100'000, "back 1500"}}},
};
class Losses : public ::testing::TestWithParam<Loss> {};

TEST_P(Losses, AreRebuiltWithoutABrokenRule) {
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    Scenario s;
    s.seed = seed;
    s.events = GetParam().events;
    ClusterSimulation w(s);
    w.run();
    EXPECT_TRUE(w.checker.broken.empty()) << "seed " << seed << "\n" << report(w);
    EXPECT_TRUE(w.unfinished().empty()) << "seed " << seed << ": " << w.unfinished().size()
                                        << " never ended, " << w.unfinished().front();
    EXPECT_GT(w.checker.started, 20U);
  }
}
INSTANTIATE_TEST_SUITE_P(All, Losses, ::testing::ValuesIn(kLosses),
                         [](const auto& p) { return p.param.name; });

// Guards against suspicion taken for proof: a rebuild for an outage, a cut or a crash would stop
// everything for nothing.
TEST(Rebuild, NothingButALossStartsOne) {
  for (std::uint64_t seed = 200; seed < 230; ++seed) {
    ClusterSimulation w(random_scenario(seed));
    w.run();
    EXPECT_EQ(lines(w, "state.lost"), 0U) << "seed " << seed;
  }
}

// A controller of a version from before levels heeds no loss, and if it leads, nothing is rebuilt:
// it is unseated, whatever the level is. Guards against four controllers that refused their users
// until somebody came, and against a loss during the first roll, of which nobody took notice. What
// such a controller tells users is beyond anybody: they are kept from it here.
TEST(Rebuild, BesideAnEarlierVersionServiceIsBackWithinSeconds) {
  const std::vector<Scenario::At> kinds[] = {
      {{70'000, "back 4000"}},
      {{70'000, "lose-all"}},
      {{66'000, "back 4000"}, {68'000, "freeze leader 6000"}, {80'000, "lose-all"}},
      {{70'000, "back 4000"}, {71'000, "crash all"}},
  };
  for (const bool first : {false, true})  // during the first roll, or after the levels were reached
    for (const auto& events : kinds)
      for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        Scenario s;
        s.seed = seed;
        s.nodes = 5;
        s.jobs_per_s =
            0.6;  // something is stored in the four seconds that are lost, whatever the day
        s.events = events;
        s.no_users = {0};
        const bool crash = events.back().what == "crash all";
        if (first)
          for (int node = 0; node < 5; ++node) s.versions.push_back({0, node, {1, 1, false}});
        for (int node = 1; first && node < 5; ++node)
          s.versions.push_back({10'000 + 5000 * node, node, {}});
        if (!first) s.versions = {{60'000, 0, {1, 1, false}}};
        s.versions.push_back({110'000, 0, {}});
        ClusterSimulation w(s);
        w.run();
        const auto which = "seed " + std::to_string(seed) +
                           (first ? ", during the first roll, " : ", ") + events.front().what;
        // Where all end with the state, what was lost with it is gone for everybody.
        if (!crash) {
          EXPECT_TRUE(w.checker.broken.empty()) << which << "\n" << report(w);
          EXPECT_TRUE(w.unfinished().empty()) << which;
        }
        EXPECT_GE(lines(w, "state.restored"), 1U) << which;
        std::map<std::string, std::int64_t> lost;  // by node, since when
        for (const auto& l : w.log) {
          const auto at = std::stoll(l);
          const auto node = l.substr(l.find(' ') + 1, 6);
          if (l.find("state.lost") != std::string::npos) lost.try_emplace(node, at);
          if (l.find("node.started") != std::string::npos) lost.erase(node);
          if (l.find("state.recovered") == std::string::npos || !lost.contains(node)) continue;
          EXPECT_LT(at - lost.at(node), 35'000) << l;
          lost.erase(node);
        }
        EXPECT_TRUE(lost.empty()) << which << ": " << lost.begin()->first << " never served again";
      }
}

TEST(Rebuild, NoTermIsGivenOutTwiceAndServiceIsBackInSeconds) {
  Scenario s;
  s.seed = 6;
  s.events = {{60'000, "lose-all"}};
  ClusterSimulation w(s);
  w.run();
  EXPECT_TRUE(w.checker.broken.empty()) << report(w);
  EXPECT_EQ(lines(w, "leader.elected term=1"), 1U);
  EXPECT_EQ(lines(w, "state.restored generation=2"), 1U);
  EXPECT_EQ(w.level().generation, 2U);
  for (const auto& l : w.log)
    if (l.find("state.recovered") != std::string::npos) {
      EXPECT_LT(std::stoll(l), 63'000) << l;
    }
}

// ---- mutants that the invariant checker has to see
// -------------------------------------------------------------

// Later all processes end, so that what was rebuilt is all there is.
Scenario lost_then_all_crash(std::uint64_t seed) {
  Scenario s;
  s.seed = seed;
  s.events = {{60'000, "lose-all"}, {80'000, "crash all"}};
  return s;
}

// Takes changes of some keys out of the rebuild's transactions.
std::size_t broken_without(const std::string& prefix) {
  std::size_t seen = 0;
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    auto s = lost_then_all_crash(seed);
    if (!prefix.empty())
      s.mutant = [prefix](std::int64_t now, int, core::Effects& e) {
        if (now < 60'000 || now > 81'000) return;
        for (auto& c : e.calls) {
          if (c.path != "/txn" || c.body.find("\"Set\":\"" + prefix) == std::string::npos ||
              c.body.find("\"K\":\"leader\"") == std::string::npos)
            continue;
          auto body = nlohmann::json::parse(c.body);
          auto changes = nlohmann::json::array();
          for (const auto& i : body["Then"])
            if (!i.value("Set", "").starts_with(prefix)) changes.push_back(i);
          body["Then"] = changes;
          c.body = body.dump();
        }
      };
    ClusterSimulation w(s);
    w.run();
    seen += w.checker.broken.contains("forgotten") ? 1 : 0;
  }
  return seen;
}

TEST(StateRecoveryChecker, SeesARebuildThatLeavesSomethingOut) {
  EXPECT_EQ(broken_without(""), 0U);
  EXPECT_GT(broken_without("over/"), 0U) << "what had ended";
  EXPECT_GT(broken_without("live/"), 0U) << "what had not";
}

}  // namespace
}  // namespace hitchfront::testing
