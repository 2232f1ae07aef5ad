// Jobs that await others, and a state service whose limits fall: the graph against a plain model,
// the records, and the real controllers in the cluster simulation.
#include <gtest/gtest.h>

#include <random>

#include "dependencies/graph.hpp"
#include "simulation_test.hpp"
#include "wire/job.hpp"
#include "wire/progress.hpp"

namespace hitchfront::testing {
namespace {
using dependencies::Graph;
using dependencies::Outcome;
using nlohmann::json;

// ---- the graph
// --------------------------------------------------------------------------------------

// Everything is worked out anew from what was told.
class PlainGraph {
 public:
  std::map<std::string, std::set<std::string>> awaits;
  std::map<std::string, Outcome> outcomes;
  std::set<std::string> removed;

  bool cancelled(const std::string& job) const {
    const auto it = outcomes.find(job);
    if (it != outcomes.end() && it->second == Outcome::cancelled) return true;
    const auto own = awaits.find(job);
    return own != awaits.end() && !removed.contains(job) &&
           std::any_of(own->second.begin(), own->second.end(),
                       [this](const auto& name) { return cancelled(name); });
  }
  bool is_blocked(const std::string& job) const {
    const auto own = awaits.find(job);
    if (own == awaits.end() || removed.contains(job) || cancelled(job)) return false;
    return std::any_of(own->second.begin(), own->second.end(), [this](const auto& name) {
      const auto it = outcomes.find(name);
      return it == outcomes.end() || it->second != Outcome::done;
    });
  }
};

TEST(Graph, ReleasesAndCancelsAsAPlainModelDoes) {
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    std::mt19937_64 random(seed);
    const auto draw = [&random](std::size_t below) {
      return std::uniform_int_distribution<std::size_t>(0, below - 1)(random);
    };
    Graph graph;
    PlainGraph plain;
    std::vector<std::string> jobs;
    std::set<std::string> released, cancelled;
    const auto take = [&](const Graph::Consequences& c) {
      for (const auto& job : c.released)
        EXPECT_TRUE(released.insert(job).second) << job << " twice";
      for (const auto& job : c.cancelled)
        EXPECT_TRUE(cancelled.insert(job).second) << job << " twice";
    };
    for (int step = 0; step < 120; ++step) {
      const auto kind = draw(5);
      if (kind < 2 || jobs.empty()) {
        const auto id = "run-" + std::to_string(jobs.size());
        std::set<std::string> names;
        for (auto n = jobs.empty() ? 0 : draw(4); n > 0; --n) names.insert(jobs[draw(jobs.size())]);
        if (!names.empty()) plain.awaits[id] = names;
        graph.add(id, {names.begin(), names.end()});
        // The caller tells of each name what it knows.
        for (const auto& name : names) {
          if (plain.cancelled(name))
            take(graph.settle(name, Outcome::cancelled));
          else if (plain.outcomes.contains(name))
            take(graph.settle(name, Outcome::done));
        }
        jobs.push_back(id);
      } else {
        const auto& job = jobs[draw(jobs.size())];
        if (kind == 4 && draw(4) == 0) {
          graph.remove(job);
          if (plain.is_blocked(job)) plain.removed.insert(job);
        } else if (!plain.outcomes.contains(job) && !plain.cancelled(job) &&
                   !plain.is_blocked(job)) {
          const auto outcome = kind == 2 ? Outcome::cancelled : Outcome::done;
          plain.outcomes[job] = outcome;
          take(graph.settle(job, outcome));
          take(graph.settle(job, outcome));  // told again
        }
      }
      for (const auto& job : jobs) {
        ASSERT_EQ(graph.is_blocked(job), plain.is_blocked(job)) << job;
        if (!plain.awaits.contains(job) || plain.removed.contains(job)) continue;
        ASSERT_EQ(cancelled.contains(job), plain.cancelled(job) && !plain.outcomes.contains(job))
            << job;
        ASSERT_FALSE(released.contains(job) && plain.is_blocked(job));
      }
    }
  }
}

TEST(Graph, HoldsLongChains) {
  Graph graph;
  constexpr int kSteps = 100'000;
  for (int i = 1; i <= kSteps; ++i)
    graph.add("run-" + std::to_string(i), {"run-" + std::to_string(i - 1)});
  EXPECT_EQ(graph.first_awaited("run-7"), "run-6");
  EXPECT_EQ(graph.settle("run-0", Outcome::cancelled).cancelled.size(),
            static_cast<std::size_t>(kSteps));
  EXPECT_EQ(graph.waiting(), 0U);
  EXPECT_FALSE(graph.is_awaited("run-6"));
}

// ---- records
// ----------------------------------------------------------------------------------------

json submission() {
  return json::parse(
      R"({"Ref":"run-000412","Docket":"train","Desk":"vision","Form":"sweep","Standing":"urgent","Lots":16,
    "Cpus":8.0,"Cards":1.0,"RamGb":64.0,"Kit":"img-07","ImageGb":6.2,"Rigs":["g8"],"Hall":null,"Together":true,"Spread":false,
    "Loaners":true,"ReckonS":240.0,"MarkS":30.0,"StowS":4.0,"DueS":900.0})");
}

TEST(Awaits, IsReadAndStored) {
  auto o = submission();
  o["Awaits"] = {"run-000398", "run-000405"};
  const auto parsed = wire::parse_job(o.dump());
  ASSERT_TRUE(parsed.job);
  EXPECT_EQ(parsed.job->dependencies, (std::vector<std::string>{"run-000398", "run-000405"}));
  const auto stored = wire::decode_unfinished_job(
      json::parse(wire::encode(wire::UnfinishedJob{*parsed.job, 7, false, 3})));
  ASSERT_TRUE(stored);
  EXPECT_EQ(stored->job.dependencies, parsed.job->dependencies);
  for (const json& none : {json(nullptr), json::array()}) {
    o["Awaits"] = none;
    EXPECT_TRUE(wire::parse_job(o.dump()).job->dependencies.empty());
  }
  for (const json& bad : {json("run-000398"), json({5}), json({"run-x"}), json({"run-000412"}),
                          json({"run-1", "run-1"}), json::object()}) {
    o["Awaits"] = bad;
    const auto refused = wire::parse_job(o.dump());
    ASSERT_TRUE(refused.error) << bad;
    EXPECT_EQ(refused.error->field, "Awaits");
    EXPECT_EQ(refused.known_id, "run-000412");
  }
}

// Accepted under a larger limit: it can be cancelled, and its mark can be written, all the same.
TEST(Awaits, ARecordThatNoLongerFitsLosesTypesThatNobodyKnows) {
  auto job = *wire::parse_job(submission().dump()).job;
  for (int i = 0; i < 400; ++i) job.types->push_back("type-" + std::to_string(i));
  const wire::UnfinishedJob record{job, 7, false, 3};
  EXPECT_EQ(wire::encode_within(record, 100'000, {}), wire::encode(record));
  const auto marked =
      wire::decode_unfinished_job(json::parse(wire::encode_within(record, 2048, {"g8", "g16"})));
  EXPECT_EQ(marked->job.types, (std::vector<std::string>{"g8"}));
  auto cancelled = record;
  cancelled.cancelled = true;
  const auto text = wire::encode_within(cancelled, 2048, {"g8"});
  EXPECT_LE(text.size(), 2048U);
  EXPECT_TRUE(wire::decode_unfinished_job(json::parse(text))->job.types->empty());
}

// The worst chunk fits the smallest value that was announced, and earlier forms stay readable.
TEST(Awaits, ProgressInTheShortestFormFitsTwoKiB) {
  constexpr std::uint32_t kTasks = 8192;
  std::mt19937_64 random(5);
  for (int density = 0; density <= 10; ++density) {
    std::vector<bool> done(kTasks);
    for (std::uint32_t t = 0; t < kTasks; ++t)
      done[t] =
          density == 10 ? t % 2 == 0 : std::uniform_int_distribution<>(0, 9)(random) < density;
    const auto text = wire::encode_progress(done, wire::ProgressForm::shortest);
    EXPECT_LE(json(text).dump().size(), 2048U);
    EXPECT_LE(text.size(), wire::encode_progress(done, wire::ProgressForm::runs).size());
    const auto read = wire::decode_progress(text, kTasks);
    ASSERT_TRUE(read);
    EXPECT_TRUE(wire::is_current_form(read->form, wire::ProgressForm::shortest));
    std::vector<bool> again(kTasks);
    for (const auto t : read->done) again[t] = true;
    EXPECT_EQ(again, done);
  }
  EXPECT_FALSE(wire::decode_progress("#/w==", 7));  // eight tasks done of seven
  EXPECT_FALSE(wire::is_current_form(wire::ProgressForm::bitmap, wire::ProgressForm::shortest));
  EXPECT_FALSE(wire::is_current_form(wire::ProgressForm::shortest, wire::ProgressForm::runs));
}

// ---- the cluster simulation
// -------------------------------------------------------------------------------

Scenario chains(std::uint64_t seed, int nodes) {
  Scenario s;
  s.seed = seed;
  s.nodes = nodes;
  s.chains = 0.6;
  s.cancels = 0.25;
  s.services = 0;
  s.jobs_per_s = 0.4;
  s.settle_ms = 600'000;
  s.limits_fall_at = 60'000;
  return s;
}

const ScenarioVariant kCases[] = {
    {"calm", [](Scenario&) {}},
    {"the_leader_ends",
     [](Scenario& s) {
       s.events = {{30'000, "crash leader"},
                   {60'000, "crash leader"},
                   {61'000, "crash leader"},
                   {90'000, "crash leader"}};
     }},
    {"all_end",
     [](Scenario& s) {
       s.restart_ms = 300;
       s.events = {{40'000, "crash all"}, {80'000, "crash all"}};
     }},
    {"frozen_leader",
     [](Scenario& s) {
       s.events = {{40'000, "freeze leader 12000"}, {90'000, "freeze leader 25000"}};
     }},
    {"outage_and_cancellations",
     [](Scenario& s) {
       s.events = {{50'000, "cancel 6"}, {50'100, "outage"}, {80'000, "mend"}};
     }},
    {"refused_leader_and_cancellations",
     [](Scenario& s) {
       s.events = {{50'000, "refuse leader 20000"},
                   {50'200, "cancel 6"},
                   {90'000, "cancel 6"},
                   {90'100, "crash leader"}};
     }},
    {"late_writes",
     [](Scenario& s) {
       s.late_writes = 0.3;
       s.late_writes_from = 20'000;
       s.late_writes_to = 110'000;
     }},
    {"answers_lost",
     [](Scenario& s) {
       s.late_writes = 0.3;
       s.lose_only_answers = true;
       s.late_writes_to = 110'000;
       s.query_burst_from = 10'000;
       s.query_burst_to = 110'000;
     }},
    {"cancelled_at_a_jobs_end",
     [](Scenario& s) {
       s.cancels_at_end = 0.4;
       s.events = {{70'000, "crash leader"}};
     }},
    {"old_reports_and_copies",
     [](Scenario& s) {
       s.duplicates = 0.3;
       s.hold_duplicates_for_next_leader = true;
       s.events = {{50'000, "crash leader"}, {80'000, "crash leader"}};
     }},
    {"without_allocation_log",
     [](Scenario& s) {
       s.without_allocation_log = {0, 1, 2};
       s.events = {{50'000, "crash leader"}, {80'000, "crash all"}};
     }},
    {"a_roll",
     [](Scenario& s) {
       for (int node = 0; node < s.nodes; ++node) {
         s.versions.push_back({0, node, {1, 4, true}});
         s.versions.push_back({20'000 + 7'000 * node, node, {}});
       }
       s.events = {{45'000, "freeze leader 9000"}};
     }},
    {"a_roll_and_back",
     [](Scenario& s) {
       for (int node = 0; node < s.nodes; ++node) {
         s.versions.push_back({60'000 + 6'000 * node, node, {}, 4});
         s.versions.push_back({110'000 + 6'000 * node, node, {}});
       }
     }},
    {"the_store_goes_back",
     [](Scenario& s) {
       s.events = {{70'000, "back 3000"}};
     }},
    {"two_zones_apart",
     [](Scenario& s) {
       for (int a = 1; a < s.nodes; a += 2)
         for (int b = 0; b < s.nodes; b += 2)
           s.cuts.push_back(
               {55'000, 85'000, "node-" + std::to_string(a), "node-" + std::to_string(b), true});
       s.zone_cuts.push_back({55'000, 85'000, "east", "west", true});
     }},
};

class Chains : public ::testing::TestWithParam<ScenarioVariant> {};
TEST_P(Chains, BreakNoRule) {
  for (const int nodes : {3, 5})
    for (const std::uint64_t seed : {31, 32}) {
      auto s = chains(seed, nodes);
      GetParam().change(s);
      ClusterSimulation simulation(s);
      SCOPED_TRACE(simulation.description());
      simulation.run();
      expect_sound(simulation);
      EXPECT_EQ(simulation.too_large(), 0U);
      const auto waited = std::count_if(
          simulation.checker.jobs.begin(), simulation.checker.jobs.end(),
          [](const auto& j) { return j.second.accepted && !j.second.spec.dependencies.empty(); });
      EXPECT_GT(waited, 5);
    }
}
INSTANTIATE_TEST_SUITE_P(All, Chains, ::testing::ValuesIn(kCases), name_of);

// What a user asks is answered from the store's facts, whether a leader has come to it or not: here
// none ever cancels on.
TEST(Chains, ACancellationReachesAJobWithoutTheLeader) {
  std::size_t cancelled = 0;
  for (std::uint64_t seed = 41; seed <= 44; ++seed) {
    auto s = chains(seed, 3);
    s.mutant = [](std::int64_t, int, core::Effects& e) {
      std::erase_if(e.calls, [](const core::HttpCall& c) {
        // The leader's transaction that ends a cancelled job.
        return c.target == core::Target::state && c.path == "/txn" &&
               c.body.find("\"Set\":\"over/") != std::string::npos &&
               c.body.find("\"gone\":true") != std::string::npos;
      });
    };
    ClusterSimulation simulation(s);
    SCOPED_TRACE(simulation.description());
    simulation.run();
    EXPECT_TRUE(no_invariant_broken(simulation));
    for (const auto& [id, job] : simulation.checker.jobs)
      cancelled += job.acknowledged_cancelled && !job.cancel_asked ? 1 : 0;
  }
  EXPECT_GT(cancelled, 0U);
}

// ---- mutants
// -------------------------------------------------------------------------------------

std::set<std::string> broken_by(
    const std::function<void(std::int64_t, int, core::Effects&)>& mutant,
    const std::function<void(Scenario&)>& change = {}) {
  std::set<std::string> broken;
  for (std::uint64_t seed = 51; seed <= 54; ++seed) {
    auto s = chains(seed, 3);
    s.settle_ms = 90'000;
    s.mutant = mutant;
    if (change) change(s);
    ClusterSimulation simulation(s);
    simulation.run();
    broken.insert(simulation.checker.broken.begin(), simulation.checker.broken.end());
    if (simulation.too_large() > 0) broken.insert("too_large");
  }
  return broken;
}

// An acceptance that forgets what the job awaits.
TEST(ChainChecker, CatchesAStartThatIsTooEarly) {
  const auto broken = broken_by([](std::int64_t, int, core::Effects& e) {
    for (auto& c : e.calls) {
      auto body = json::parse(c.body, nullptr, false);
      if (c.path != "/txn" || !body.is_object()) continue;
      for (auto& change : body["Then"])
        if (change.contains("V") && change["V"].is_object() && change["V"].contains("job"))
          change["V"]["job"].erase("Awaits");
      c.body = body.dump();
    }
  });
  EXPECT_TRUE(broken.contains("too_early"));
}

// Nodes that go on calling a job pending which a cancellation has reached.
TEST(ChainChecker, CatchesAJobThatNobodyCancels) {
  const auto broken = broken_by([](std::int64_t, int, core::Effects& e) {
    for (auto& r : e.replies) {
      const auto body = json::parse(r.body, nullptr, false);
      if (r.status == 200 && body.is_object() && body.value("Status", "") == "withdrawn" &&
          body.contains("running"))
        r.body = wire::job_counts_body(body.value("Ref", ""), wire::kPending, 0, 0);
    }
  });
  EXPECT_TRUE(broken.contains("orphaned"));
}

TEST(ChainChecker, CatchesAnAcceptanceOfAJobThatAwaitsAnUnknownOne) {
  const auto broken = broken_by([](std::int64_t, int, core::Effects& e) {
    for (auto& r : e.replies)
      if (r.status == 422) r.status = 201;
  });
  EXPECT_TRUE(broken.contains("invented"));
}

// Controllers that go by today's limits when those have fallen.
TEST(ChainChecker, CatchesValuesOfTheOldSize) {
  const auto broken = broken_by({}, [](Scenario& s) {
    s.hide_next_limits = true;
    s.scale = 12;
    s.jobs_per_s = 1.5;
    s.tasks_most = 60;
  });
  EXPECT_TRUE(broken.contains("too_large"));
}

}  // namespace
}  // namespace hitchfront::testing
