// The invariants under faults, in the cluster simulation.
#include <gtest/gtest.h>

#include "machines/failure_attribution.hpp"
#include "settings/constants.hpp"
#include "simulation_test.hpp"

namespace hitchfront::testing {
namespace {

void keeps_rules(const Scenario& s) {
  ClusterSimulation simulation(s);
  SCOPED_TRACE(simulation.description());
  simulation.run();
  EXPECT_TRUE(no_invariant_broken(simulation));
  EXPECT_GT(simulation.checker.started, 20U);
  EXPECT_GT(simulation.accepted, 10U);
  // Whatever happened, every accepted job ends once all is mended.
  EXPECT_TRUE(every_job_ended(simulation));
}

struct FaultCase {
  const char* name;
  std::vector<Scenario::Cut> cuts;
  std::vector<Scenario::At> events;
};
void PrintTo(const FaultCase& fault, std::ostream* out) {
  *out << fault.name;
}

// Each kind of fault alone, and pairs of them.
const FaultCase kFaults[] = {
    {"quiet", {}, {}},
    {"leader_crashes", {}, {{40'000, "crash leader"}, {80'000, "crash leader"}}},
    {"all_crash", {}, {{50'000, "crash all"}, {90'000, "crash all"}}},
    {"rolling_restart",
     {},
     {{40'000, "crash node-0"}, {50'000, "crash node-1"}, {60'000, "crash node-2"}}},
    {"state_outage",
     {},
     {{40'000, "outage"}, {55'000, "mend"}, {90'000, "outage"}, {98'000, "mend"}}},
    {"cloud_outage", {}, {{20'000, "cloud-out"}, {50'000, "cloud-mend"}}},
    {"machines_hang",
     {},
     {{30'000, "hang"}, {40'000, "hang briefly"}, {50'000, "hang"}, {80'000, "hang briefly"}}},
    {"spot_wave",
     {},
     {{30'000, "take"},
      {31'000, "notice"},
      {60'000, "take"},
      {61'000, "notice"},
      {62'000, "take"}}},
    {"node_cut_from_state_held",
     {{40'000, 70'000, "node-0", "state", true},
      {80'000, 110'000, "node-1", "state", true},
      {115'000, 140'000, "node-2", "state", true}},
     {}},
    {"node_cut_from_workers",
     {{30'000, 60'000, "node-0", "workers", true},
      {65'000, 95'000, "node-1", "workers", false},
      {100'000, 130'000, "node-2", "workers", true}},
     {}},
    {"node_cut_off",
     {{40'000, 75'000, "node-0", "*", true}, {80'000, 120'000, "node-1", "*", true}},
     {}},
    {"nodes_apart",
     {{30'000, 100'000, "node-0", "node-1", true}, {30'000, 100'000, "node-0", "node-2", false}},
     {}},
    {"workers_cut",
     {{40'000, 60'000, "n-000001", "*", true},
      {50'000, 80'000, "n-000002", "*", true},
      {60'000, 70'000, "n-000003", "*", false}},
     {}},
    {"late_rentals",
     {{5'000, 30'000, "*", "cloud", true}, {60'000, 80'000, "*", "cloud", true}},
     {}},
    {"outage_and_crash",
     {},
     {{40'000, "outage"}, {45'000, "crash leader"}, {55'000, "mend"}, {60'000, "crash all"}}},
    {"cut_and_crash",
     {{40'000, 70'000, "node-0", "*", true}, {40'000, 60'000, "n-000001", "*", true}},
     {{50'000, "crash leader"}, {64'000, "hang"}}},
    {"wave_during_failover",
     {{45'000, 75'000, "n-000002", "*", true}},
     {{45'000, "crash leader"},
      {46'000, "take"},
      {47'000, "hang"},
      {48'000, "cloud-out"},
      {80'000, "cloud-mend"}}},
};

class Faults : public ::testing::TestWithParam<FaultCase> {};

TEST_P(Faults, KeepTheRules) {
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    Scenario s;
    s.seed = seed * 101;
    s.cuts = GetParam().cuts;
    s.events = GetParam().events;
    keeps_rules(s);
  }
}
INSTANTIATE_TEST_SUITE_P(All, Faults, ::testing::ValuesIn(kFaults),
                         [](const auto& p) { return p.param.name; });

// A process that ends is back within a fraction of a second: before its lease or its connections
// are missed, in the middle of a takeover, of a switch of levels (they come at 6 to 25 s), of a
// rebuild, and faster than anybody can take over.
std::vector<Scenario::At> again_and_again(const std::string& whom, std::int64_t from,
                                          std::int64_t every, int times) {
  std::vector<Scenario::At> out;
  for (int i = 0; i < times; ++i) out.push_back({from + i * every, "crash " + whom});
  return out;
}
const FaultCase kQuick[] = {
    {"one", {}, {{40'000, "crash node-1"}, {60'000, "crash leader"}}},
    {"all", {}, {{40'000, "crash all"}, {80'000, "crash all"}, {80'700, "crash all"}}},
    {"the_leader_again_and_again", {}, again_and_again("leader", 40'000, 700, 20)},
    {"all_again_and_again", {}, again_and_again("all", 40'000, 1'300, 12)},
    {"one_faster_than_a_takeover", {}, again_and_again("node-0", 40'000, 250, 40)},
    {"as_levels_switch", {}, again_and_again("leader", 6'000, 1'900, 10)},
    {"a_follower_as_levels_switch", {}, again_and_again("node-2", 6'000, 1'100, 20)},
    {"in_an_outage",
     {},
     {{40'000, "outage"},
      {42'000, "crash node-1"},
      {43'000, "crash leader"},
      {46'000, "mend"},
      {46'100, "crash all"}}},
    {"as_a_rebuild_goes_on",
     {},
     {{60'000, "back 5000"},
      {60'300, "crash leader"},
      {60'900, "crash leader"},
      {61'700, "crash node-0"}}},
    {"beside_a_frozen_leader",
     {},
     {{50'000, "freeze leader 9000"},
      {53'000, "crash node-0"},
      {54'000, "crash node-1"},
      {55'000, "crash node-2"}}},
};
class QuickRestarts : public ::testing::TestWithParam<FaultCase> {};

TEST_P(QuickRestarts, KeepTheRules) {
  std::uint64_t seed = 60;
  for (const std::int64_t back : {50, 200, 500}) {
    Scenario s;
    s.seed = ++seed;
    s.events = GetParam().events;
    s.restart_ms = back;
    keeps_rules(s);
  }
}
INSTANTIATE_TEST_SUITE_P(All, QuickRestarts, ::testing::ValuesIn(kQuick),
                         [](const auto& p) { return p.param.name; });

TEST(RandomFaults, DrawnAtRandomKeepTheRules) {
  for (std::uint64_t seed = 1; seed <= 16; ++seed) keeps_rules(random_scenario(seed));
}

// A state outage longer than the workers' leases: the leader goes on under the others' abstentions.
TEST(Outage, LongerThanTheLeasesLosesNoTask) {
  Scenario s;
  s.seed = 5;
  s.loss = 0;
  s.events = {{60'000, "outage"}, {85'000, "mend"}};
  ClusterSimulation simulation(s);
  simulation.run();
  EXPECT_TRUE(no_invariant_broken(simulation));
  EXPECT_EQ(simulation.leases_lost, 0U);
}

// Guards against an abstention withheld by a controller that was cut off until the outage began.
TEST(Outage, AControllerThatKnowsNoLeaderAbstainsToo) {
  for (const char* node : {"node-0", "node-1", "node-2"}) {
    Scenario s;
    s.seed = 9;
    s.loss = 0;
    s.cuts = {{40'000, 59'900, node, "state", false}};
    s.events = {{60'000, "outage"}, {85'000, "mend"}};
    ClusterSimulation simulation(s);
    SCOPED_TRACE(simulation.description());
    simulation.run();
    EXPECT_TRUE(no_invariant_broken(simulation));
    EXPECT_EQ(simulation.leases_lost, 0U) << node;
  }
}

// Guards against the same by a leader that was refused by the store alone, replaced, and had no
// time to read that: its phase against the outage decided, in 9 of 90 runs and then in 27 of 90.
TEST(Outage, ALeaderThatWasReplacedWithoutSeeingItAbstainsToo) {
  std::size_t lost = 0;
  for (std::uint64_t seed = 1; seed <= 8; ++seed)
    for (const char* node : {"node-0", "node-1", "node-2"}) {
      Scenario s;
      s.seed = seed;
      s.loss = 0;
      s.cuts = {{40'000, 59'990, node, "state", false}};
      s.events = {{60'000, "outage"}, {85'000, "mend"}};
      ClusterSimulation simulation(s);
      SCOPED_TRACE(simulation.description());
      simulation.run();
      EXPECT_TRUE(no_invariant_broken(simulation));
      lost += simulation.leases_lost > 0 ? 1 : 0;
    }
  EXPECT_EQ(lost, 0U);
}

// Found in an incident: with two of three controllers down, workers went round the dead ones, 4 s
// each, while the third was about to take over.
TEST(Takeover, WithTwoControllersDownKeepsTheThirdsWorkers) {
  std::size_t lost = 0;
  for (std::uint64_t seed = 1; seed <= 16; ++seed) {
    Scenario s;
    s.seed = seed;
    s.loss = 0;
    // Behind a cut that holds packets a node is as silent as one without power.
    s.cuts = {{60'000, 72'000, "node-0", "*", true}, {60'000, 72'000, "node-1", "*", true}};
    ClusterSimulation simulation(s);
    SCOPED_TRACE(simulation.description());
    simulation.run();
    EXPECT_TRUE(no_invariant_broken(simulation));
    lost += simulation.leases_lost;
  }
  // Those that try both silent nodes first lose 10 s there, which no answer can prevent: up to 8 of
  // some 12 workers with one seed, none with another, so it is the mean that is bounded.
  EXPECT_LE(lost, 16U * 3);
}

// Found in an incident: workers cut off from the leader were redirected back to it by the first
// node they tried, lost 4 s there a second time, and their leases with it.
TEST(Relay, ALeaderCutOffFromItsWorkersLosesNoLease) {
  for (const bool hold : {true, false})
    for (const char* node : {"node-0", "node-1", "node-2"}) {
      Scenario s;
      s.seed = 11;
      s.loss = 0;
      s.zones = {"only"};
      s.cuts = {{60'000, 85'000, node, "workers", hold}};
      ClusterSimulation simulation(s);
      SCOPED_TRACE(simulation.description());
      simulation.run();
      EXPECT_TRUE(no_invariant_broken(simulation));
      EXPECT_EQ(simulation.leases_lost, 0U) << node;
    }
}

// The same while one controller is down: no abstentions, so the lead lapses, and nothing else may
// break.
TEST(Outage, WithoutEveryAbstentionTheLeadLapses) {
  Scenario s;
  s.seed = 6;
  s.events = {{60'000, "outage"}, {85'000, "mend"}};
  s.cuts = {{55'000, 90'000, "node-0", "node-1", false},
            {55'000, 90'000, "node-0", "node-2", false}};
  ClusterSimulation simulation(s);
  simulation.run();
  EXPECT_TRUE(no_invariant_broken(simulation));
  EXPECT_GT(simulation.leases_lost, 0U);
}

// Found on the bench: a new leader returned running machines that had not reported to it yet.
TEST(Takeover, KeepsMachinesThatRun) {
  Scenario s;
  s.seed = 7;
  s.loss = 0;
  s.events = {{90'000, "crash leader"}, {120'000, "crash leader"}};
  ClusterSimulation simulation(s);
  simulation.run();
  EXPECT_TRUE(no_invariant_broken(simulation));
  EXPECT_EQ(simulation.busy_returned, 0U);
}

// Found in an incident: once the former leader's lease had ended too, restarted controllers waited
// for promises that nobody could have asked for.
TEST(Takeover, AfterAllCrashedTheLastLeaderWaitsForNoAbstention) {
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    Scenario s;
    s.seed = seed;
    s.loss = 0;
    s.run_ms = 70'000;
    s.settle_ms = 60'000;
    s.events = {{50'000, "crash all"}};  // back at 55 s
    ClusterSimulation simulation(s);
    SCOPED_TRACE(simulation.description());
    simulation.run();
    EXPECT_TRUE(no_invariant_broken(simulation));
    long long led = 0;
    for (const auto& l : simulation.log)
      if (l.find("leader.elected") != std::string::npos) led = std::stoll(l);
    EXPECT_GE(led, 55'000);
    EXPECT_LT(led, 56'500);
  }
}

// Two zones apart: workers report to a controller of their own zone, which relays through the
// store.
TEST(Relay, ZonesApartLoseNoLease) {
  Scenario s;
  s.seed = 8;
  s.loss = 0;
  for (const char* a : {"node-0", "node-2"}) s.cuts.push_back({60'000, 110'000, a, "node-1", true});
  // Stand-in zones alternate: node-1 is west, the others east. Workers of a zone reach only its
  // own.
  s.zone_cuts = {{60'000, 110'000, "east", "west", true}};
  ClusterSimulation simulation(s);
  simulation.run();
  EXPECT_TRUE(no_invariant_broken(simulation));
  EXPECT_EQ(simulation.leases_lost, 0U);
}

// A team without guarantee and limit submits single small tasks while users poll eight times as
// often.
TEST(BestEffort, ManySmallJobsAndAStormOfPollsKeepTheRules) {
  Scenario s;
  s.seed = 12;
  s.best_effort = 0.8;
  s.jobs_per_s = 4;
  s.run_ms = 90'000;
  s.tasks_most = 2;
  s.poll_storm_from = 30'000;
  s.poll_storm_to = 80'000;
  s.events = {{60'000, "crash leader"}};
  ClusterSimulation simulation(s);
  simulation.run();
  EXPECT_TRUE(no_invariant_broken(simulation));
  EXPECT_GT(simulation.accepted, 250U);
  EXPECT_TRUE(every_job_ended(simulation));
}

// A best-effort team's long tasks fill the fleet; the other teams, whose jobs are larger than what
// they are guaranteed, get that much all the same.
TEST(BestEffort, LongTasksGiveWayToGuarantees) {
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    Scenario s;
    s.seed = seed;
    s.loss = 0;
    s.best_effort_until = 60'000;
    s.best_effort_run_s = 600;
    s.jobs_per_s = 1;
    s.tasks_most = 30;
    s.services = 0;
    s.low_priority_only = true;
    s.run_ms = 90'000;
    s.settle_ms = 0;
    ClusterSimulation simulation(s);
    SCOPED_TRACE(simulation.description());
    simulation.run();
    EXPECT_TRUE(no_invariant_broken(simulation));
    EXPECT_GT(simulation.checker.used("guest"), 50);
    EXPECT_GE(simulation.checker.used("red") + simulation.checker.used("blue"), 18)
        << "of 24 guaranteed";
  }
}

// Found on the bench: jobs that fail everywhere had healthy machines returned as faulty, two by
// two, kept machines rented for all their tasks, and nothing was ever consolidated while they
// waited.
TEST(FailureAttribution, JobsThatFailEverywhereCostFewTriesAndNoMachine) {
  std::size_t jobs = 0, failures = 0;
  for (std::uint64_t seed = 21; seed <= 28; ++seed) {
    Scenario s;
    s.seed = seed;
    s.loss = 0;
    s.always_failing = 0.25;
    s.tasks_most = 30;
    ClusterSimulation simulation(s);
    SCOPED_TRACE(simulation.description());
    simulation.run();
    EXPECT_TRUE(no_invariant_broken(simulation));
    std::size_t others = 0, jobs_here = 0, failures_here = 0;
    for (const auto& [id, job] : simulation.checker.jobs) {
      if (!job.always_fails || !job.accepted) continue;
      ++jobs_here;
      failures_here += job.failures;
    }
    EXPECT_GT(jobs_here, 3U);
    EXPECT_LT(failures_here, jobs_here * 15);
    jobs += jobs_here;
    failures += failures_here;
    for (const auto& id : simulation.unfinished())
      others += simulation.checker.jobs[id].always_fails ? 0 : 1;
    for (const auto& l : simulation.log)
      EXPECT_EQ(l.find("machine.faulty"), std::string::npos) << l;
    EXPECT_EQ(others, 0U);
  }
  EXPECT_GT(jobs, 24U);
  // 7 or 8 each, up to 16 in a few runs; 22 when every wave takes what capacity there is.
  EXPECT_LT(failures, jobs * 10);
}

// A core that starts nothing of one team's keeps every other rule, and has failed all the same.
TEST(InvariantChecker, SeesATeamThatIsNotServed) {
  // Whether one and the same machine has capacity for 90 s differs: in one of four runs it has.
  std::set<std::string> broken;
  for (std::uint64_t seed = 9; seed <= 12; ++seed) {
    Scenario s;
    s.seed = seed;
    s.run_ms = 60'000;
    s.settle_ms = 140'000;
    ClusterSimulation* running = nullptr;
    s.mutant = [&running](std::int64_t, int, core::Effects& e) {
      drop_launches(e, [&](const std::string& id) {
        const auto job = running->checker.jobs.find(id);
        return job != running->checker.jobs.end() && job->second.spec.team == "blue";
      });
    };
    ClusterSimulation simulation(s);
    SCOPED_TRACE(simulation.description());
    running = &simulation;
    simulation.run();
    EXPECT_TRUE(simulation.checker.broken.contains("served"));
    broken.insert(simulation.checker.broken.begin(), simulation.checker.broken.end());
    ASSERT_FALSE(simulation.unserved().empty());
    EXPECT_TRUE(simulation.unserved().back().starts_with("team blue: 0 of "));
  }
  EXPECT_EQ(broken, (std::set<std::string>{"neglected", "served"}));
}

// A machine on which every task fails is found and returned, whether there are jobs that fail
// everywhere or not.
TEST(FailureAttribution, AFaultyMachineIsReturned) {
  Scenario s;
  s.seed = 22;
  s.loss = 0;
  s.always_failing = 0.1;
  s.events = {{50'000, "faulty"}};
  ClusterSimulation simulation(s);
  simulation.run();
  EXPECT_TRUE(no_invariant_broken(simulation));
  ASSERT_EQ(simulation.faulty().size(), 1U);
  std::size_t drained = 0;
  for (const auto& l : simulation.log)
    drained +=
        l.find("machine.faulty machine=" + *simulation.faulty().begin()) != std::string::npos;
  EXPECT_GE(drained, 1U);
  EXPECT_TRUE(every_job_ended(simulation));
}

TEST(FailureAttribution, WeighsEvidenceOnBothSides) {
  core::FailureAttribution b;
  EXPECT_EQ(b.record_failure(1, "a"), 1U);
  EXPECT_EQ(b.record_failure(1, "a"), 2U);
  EXPECT_FALSE(b.is_quarantined(1));  // one machine may be at fault
  EXPECT_FALSE(b.faulty("a"));        // or the job
  ASSERT_NE(b.machines_to_avoid(1), nullptr);
  b.record_failure(1, "b");
  EXPECT_TRUE(b.is_quarantined(1));
  EXPECT_EQ(b.machines_to_avoid(1), nullptr);
  b.record_failure(2, "a");
  EXPECT_FALSE(b.faulty("a"));
  b.record_completion(1, "c");  // it was sound after all: three failures count against the machines
  EXPECT_FALSE(b.is_quarantined(1));
  EXPECT_TRUE(b.faulty("a"));
  EXPECT_FALSE(b.faulty("b"));
  b.forget_job(1);
  EXPECT_TRUE(b.faulty("a"));
  for (int i = 0; i < 30; ++i)
    b.record_completion(3, "a");  // many completions: two failures were chance
  EXPECT_FALSE(b.faulty("a"));
  b.forget_machine("a");
  EXPECT_EQ(b.failed_on(2), nullptr);
}

// ---- at full size
// -----------------------------------------------------------------------------------

Scenario full_size(std::uint64_t seed) {
  Scenario s;
  s.seed = seed;
  s.scale = 22;
  s.nodes = 5;
  s.tasks_most = 2000;
  s.jobs_per_s = 0.4;  // so that the arrays ask for more than 300 machines whatever is drawn
  s.run_ms = 60'000;
  s.settle_ms =
      900'000;  // arrays that may run in one zone, on one type and not on spot take their time
  return s;
}

TEST(FullSize, FiveControllersAndHundredsOfMachinesKeepTheRules) {
  const std::vector<Scenario::At> events[] = {
      {{25'000, "crash leader"}, {45'000, "crash all"}},
      {{25'000, "take"},
       {30'000, "outage"},
       {40'000, "mend"},
       {45'000, "crash leader"},
       {50'000, "hang"}},
  };
  for (std::uint64_t seed = 1; seed <= 2; ++seed) {
    auto s = full_size(seed);
    s.events = events[seed - 1];
    s.cuts = {{30'000, 50'000, "n-000007", "*", true}, {35'000, 55'000, "node-3", "state", true}};
    s.settle_ms = 2'400'000;  // the last job, of one zone and no spot machines, is left two
                              // machines by the policy (ODE) on seed 2
    ClusterSimulation simulation(s);
    SCOPED_TRACE(simulation.description());
    simulation.run();
    EXPECT_TRUE(no_invariant_broken(simulation));
    EXPECT_GT(simulation.machines_most, 300U);
    EXPECT_GT(simulation.checker.started, 2000U);
    EXPECT_TRUE(every_job_ended(simulation));
  }
}

// Two zones apart at full size: the relay carries a whole zone's reports through the store.
TEST(FullSize, ZonesApartLoseNoLease) {
  // Not one in which a machine comes up as the zones part: with the far controllers to try first, 4
  // s each, it may lose its lease whatever the relay carries (one machine of 427, seed 3).
  auto s = full_size(4);
  s.loss = 0;
  s.jobs_per_s = 0.6;
  s.write_rps = 30;  // three writes a second for each relay
  for (const char* a : {"node-0", "node-2", "node-4"})
    for (const char* b : {"node-1", "node-3"}) s.cuts.push_back({30'000, 60'000, a, b, true});
  s.zone_cuts = {{30'000, 60'000, "east", "west", true}};
  ClusterSimulation simulation(s);
  simulation.run();
  EXPECT_TRUE(no_invariant_broken(simulation));
  EXPECT_GT(simulation.machines_most, 300U);
  EXPECT_EQ(simulation.leases_lost, 0U);  // 74 when a value carries four reports
}

// Guards the cost of a heartbeat: machines and tasks looked at, whatever the processor.
TEST(FullSize, TwiceTheFleetIsNotFourTimesTheWorkForAReport) {
  double work[2] = {};
  for (int twice = 0; twice < 2; ++twice) {
    auto s = full_size(4);
    s.scale = twice == 1 ? 22 : 11;
    s.tasks_most = twice == 1 ? 2000 : 1000;
    ClusterSimulation simulation(s);
    SCOPED_TRACE(simulation.description());
    simulation.run();
    ASSERT_NE(simulation.leader(), nullptr);
    const auto [looked, heartbeats] = simulation.leader()->work_counters();
    ASSERT_GT(heartbeats, 1000U);
    work[twice] = static_cast<double>(looked) / static_cast<double>(heartbeats);
  }
  EXPECT_LT(work[1], 4 * work[0]);
  EXPECT_LT(work[1], 450) << "a report costs less than one look at the fleet";
}

// ---- at fleet size
// --------------------------------------------------------------------------------

Scenario fleet_size(std::uint64_t seed, int scale = 65) {
  auto s = full_size(seed);
  s.scale = scale;
  s.heartbeat_ms = 5000;
  s.lease_s = 26.5;
  s.write_rps = 200;
  s.jobs_per_s = 0.016 * scale;
  s.tasks_most = static_cast<std::uint32_t>(2000 * scale / 65);
  s.run_ms = 50'000;
  s.settle_ms = 8000;  // the rules; that every job ends is shown at the smaller sizes
  return s;
}

struct FleetFaultCase {
  const char* name;
  std::vector<Scenario::Cut> cuts;
  std::vector<Scenario::Cut> zone_cuts;
  std::vector<Scenario::At> events;
};
void PrintTo(const FleetFaultCase& fault, std::ostream* out) {
  *out << fault.name;
}
const FleetFaultCase kFleetFaults[] = {
    {"all_crash", {}, {}, {{30'000, "crash all"}}},
    {"rolling_restart",
     {},
     {},
     {{20'000, "crash node-0"},
      {26'000, "crash node-1"},
      {32'000, "crash node-2"},
      {38'000, "crash node-3"},
      {44'000, "crash node-4"}}},
    {"a_zone_cut_and_a_crash",
     {},
     {{25'000, 45'000, "east", "west", true}},
     {{28'000, "crash leader"}}},
    {"a_hundred_hang", {}, {}, {{28'000, "hang 100"}, {36'000, "crash leader"}}},
};
class FleetSize : public ::testing::TestWithParam<FleetFaultCase> {};

TEST_P(FleetSize, KeepsTheRules) {
  auto s = fleet_size(3);
  s.cuts = GetParam().cuts;
  s.zone_cuts = GetParam().zone_cuts;
  s.events = GetParam().events;
  ClusterSimulation simulation(s);
  simulation.run();
  EXPECT_TRUE(no_invariant_broken(simulation));
  EXPECT_GT(simulation.machines_most, 1000U);
  EXPECT_GT(simulation.checker.started, 3000U);
}
INSTANTIATE_TEST_SUITE_P(All, FleetSize, ::testing::ValuesIn(kFleetFaults),
                         [](const auto& p) { return p.param.name; });

// Half as many machines again as the largest deployment, and processes that are back after 0.2 s.
TEST(FleetSize, HalfAsManyMachinesAgainAndProcessesBackAtOnce) {
  auto s = fleet_size(3, 98);
  s.restart_ms = 200;
  s.events = {{28'000, "crash leader"},
              {29'000, "crash all"},
              {33'000, "crash leader"},
              {33'500, "crash leader"},
              {36'000, "crash all"}};
  ClusterSimulation simulation(s);
  simulation.run();
  EXPECT_TRUE(no_invariant_broken(simulation));
  EXPECT_GT(simulation.machines_most, 1500U);
  EXPECT_GT(simulation.checker.started, 3000U);
  EXPECT_EQ(simulation.leases_lost, 0U);
}

// Guards the cost of a heartbeat, and with it of a placement, against the size of the fleet:
// machines and tasks that placement looked at, at 325, 650 and 1,300 machines.
TEST(FleetSize, WorkForAReportGrowsNoFasterThanTheFleet) {
  double work[3] = {};
  const int scales[] = {16, 32, 65};
  for (int i = 0; i < 3; ++i) {
    ClusterSimulation simulation(fleet_size(4, scales[i]));
    SCOPED_TRACE(simulation.description());
    simulation.run();
    ASSERT_NE(simulation.leader(), nullptr);
    const auto [looked, heartbeats] = simulation.leader()->work_counters();
    ASSERT_GT(heartbeats, 300U);
    work[i] = static_cast<double>(looked) / static_cast<double>(heartbeats);
  }
  EXPECT_LT(work[1], 2.6 * work[0]);
  EXPECT_LT(work[2], 2.6 * work[1]);
  EXPECT_LT(work[2], 1300) << "a report costs less than one look at the fleet";
}

// Guards against an answer beyond what a worker can read.
TEST(FullSize, AReportOfAThousandUnknownTasksGetsABoundedAnswer) {
  Scenario s;
  s.seed = 6;
  s.zones = {"east"};  // wherever the leader is, the machine is in its zone
  s.run_ms = 20'000;
  s.settle_ms = 1000;
  ClusterSimulation simulation(s);
  simulation.run();
  ASSERT_NE(simulation.leader(), nullptr);
  const auto before = simulation.leader()->work_counters().first;
  wire::Heartbeat r;
  r.machine = "n-999999";
  r.addr = "10.1.0.1:9000";
  r.type = "small";
  r.zone = "east";
  r.incarnation = 1;
  for (std::uint32_t i = 0; i < 1200; ++i)
    r.tasks.push_back({"run-123456", i, i + 1, wire::TaskState::running, {}, false});
  for (r.seq = 1; r.seq <= 3; ++r.seq) {
    const auto answer = simulation.ask_leader(core::Method::post, "/agent/beat", wire::encode(r));
    EXPECT_EQ(answer.status, 200);
    EXPECT_LT(answer.body.size(), wire::kMaxBodyBytes);
    const auto said = wire::parse_heartbeat_response(answer.body);
    ASSERT_TRUE(said);
    EXPECT_EQ(said->commands.size(), settings::kMaxCommandsPerResponse);
    for (const auto& c : said->commands) EXPECT_EQ(c.op, wire::Command::Op::stop);
  }
  EXPECT_LT(simulation.leader()->work_counters().first - before, 3U * 1200);
}

// What a worker may say that nobody expects: it is cleared or stopped, and nothing else comes of
// it.
TEST(UnexpectedReports, AreClearedAndAttributeNoFailure) {
  Scenario s;
  s.seed = 6;
  s.run_ms = 20'000;
  s.settle_ms = 60'000;
  ClusterSimulation simulation(s);
  simulation.run();
  ASSERT_NE(simulation.leader(), nullptr);
  std::string over;  // a job that is done
  for (const auto& [id, job] : simulation.checker.jobs)
    if (job.acknowledged_done) over = id;
  ASSERT_FALSE(over.empty());
  wire::Heartbeat r;
  r.machine = "n-888888";  // no list has shown it
  r.addr = "10.1.0.1:9000";
  r.type = "small";
  r.incarnation = 1;
  r.zone = "east";
  if (simulation.ask_leader(core::Method::post, "/agent/beat", wire::encode(r)).status == 421)
    r.zone = "west";  // the leader's
  r.tasks = {{"run-987654", 0, 1, wire::TaskState::ended, wire::Cause::error, false},
             {over, 0, 7, wire::TaskState::ended, wire::Cause::error, false},
             {over, 99'999, 8, wire::TaskState::ended, wire::Cause::stopped, true}};
  for (r.seq = 1; r.seq <= 3; ++r.seq) {  // and says it again
    auto body = nlohmann::json::parse(wire::encode(r));
    body["Lots"][1]["Cause"] = "moonlight";  // no cause that is known: a failure
    const auto answer = simulation.ask_leader(core::Method::post, "/agent/beat", body.dump());
    ASSERT_EQ(answer.status, 200) << answer.body;
    const auto said = wire::parse_heartbeat_response(answer.body);
    ASSERT_TRUE(said);
    ASSERT_EQ(said->commands.size(), 3U);
    for (const auto& c : said->commands) EXPECT_EQ(c.op, wire::Command::Op::forget);
  }
  for (const auto& l : simulation.log)
    EXPECT_EQ(l.find("machine.faulty machine=n-888888"), std::string::npos) << l;
  // The machine is taken into use, and in the end returned, like any other.
  r.tasks.clear();
  r.type = "unheard-of";
  r.machine = "n-888889";
  r.seq = 1;
  EXPECT_EQ(simulation.ask_leader(core::Method::post, "/agent/beat", wire::encode(r)).status, 503);
  EXPECT_EQ(simulation.ask_leader(core::Method::post, "/agent/beat", "{\"Post\":1}").status, 400);
}

// ---- the invariant checker catches a mutant
// --------------------------------------------------------------

std::set<std::string> broken_by(std::function<void(std::int64_t, int, core::Effects&)> mutant,
                                std::vector<Scenario::Cut> cuts = {}) {
  Scenario s;
  s.seed = 77;
  s.settle_ms = 1000;
  s.services = 0.3;
  s.mutant = std::move(mutant);
  s.cuts = std::move(cuts);
  ClusterSimulation simulation(s);
  simulation.run();
  return simulation.checker.broken;
}

void each_answer(core::Effects& e,
                 const std::function<void(core::HttpReply&, nlohmann::json&)>& change) {
  for (auto& r : e.replies) {
    auto o = nlohmann::json::parse(r.body, nullptr, false);
    if (!o.is_object()) continue;
    change(r, o);
    r.body = o.dump();
  }
}

// Launches whatever task was last launched anywhere on every machine that reports.
TEST(InvariantChecker, CatchesTasksInTwoPlaces) {
  nlohmann::json last;
  const auto broken = broken_by([&](std::int64_t, int, core::Effects& e) {
    for (const auto& c : e.calls)  // launches go to machines directly, too
      if (const auto o = nlohmann::json::parse(c.body, nullptr, false);
          c.target == core::Target::worker && o.is_object() && o.contains("Orders"))
        for (const auto& order : o["Orders"])
          if (order["Verb"] == "launch") last = order;
    each_answer(e, [&](core::HttpReply&, nlohmann::json& o) {
      if (!o.contains("Orders")) return;
      for (const auto& c : o["Orders"])
        if (c["Verb"] == "launch") last = c;
      if (!last.is_null()) o["Orders"].push_back(last);
    });
  });
  EXPECT_TRUE(broken.contains("ran_twice"));
  EXPECT_TRUE(broken.contains("wrong_place"));
  EXPECT_TRUE(broken.contains("quota"));
}

TEST(InvariantChecker, CatchesCancelledTasksThatRun) {
  const auto broken = broken_by([&](std::int64_t, int, core::Effects& e) {
    std::erase_if(e.calls,
                  [](const core::HttpCall& c) { return c.target == core::Target::worker; });
    each_answer(e, [&](core::HttpReply&, nlohmann::json& o) {
      if (!o.contains("Orders")) return;
      auto kept = nlohmann::json::array();
      for (const auto& c : o["Orders"])
        if (c["Verb"] != "stop") kept.push_back(c);
      o["Orders"] = kept;
    });
  });
  EXPECT_TRUE(broken.contains("ran_cancelled"));
}

TEST(InvariantChecker, CatchesWrongAnswersToUsers) {
  int n = 0;
  auto broken = broken_by([&](std::int64_t, int, core::Effects& e) {
    each_answer(e, [&](core::HttpReply& r, nlohmann::json& o) {
      if (o.value("Status", "") == "running" && ++n % 7 == 0) o["Status"] = "done";
      if (o.value("error", "") == "no such job") r.status = 200;
    });
  });
  EXPECT_TRUE(broken.contains("not_done"));
  EXPECT_TRUE(broken.contains("invented"));
  EXPECT_TRUE(broken.contains("went_back"));
  n = 0;
  broken = broken_by([&](std::int64_t, int, core::Effects& e) {
    for (auto& r : e.replies)
      if (r.status == 200 && ++n % 50 == 0) r.status = 404;
  });
  EXPECT_TRUE(broken.contains("forgotten"));
}

}  // namespace
}  // namespace hitchfront::testing
