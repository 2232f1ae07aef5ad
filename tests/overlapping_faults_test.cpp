// Faults that overlap, in the cluster simulation: a test for each case of docs/safety.md, "Where
// two troubles meet".
#include <gtest/gtest.h>

#include "settings/constants.hpp"
#include "simulation_test.hpp"

namespace hitchfront::testing {
namespace {

// ---- a cancellation that the leader never hears of
// ---------------------------------------------------

constexpr std::int64_t kRefused = 70'000, kOutageBegins = 72'500, kOutageEnds = 135'000;

// The store refuses the leader alone, users cancel by way of the others, and then the store is down
// for all, for longer than cancel_s and the tasks' time.
Scenario gap(std::uint64_t seed) {
  Scenario s;
  s.seed = seed;
  s.min_run_s = 100;
  s.services = 0;
  s.jobs_per_s = 0.4;
  s.tasks_most = 3;
  s.cancels = 0.7;
  s.cancel_from = kRefused - 1000;
  s.cancel_to = kOutageBegins;
  s.settle_ms = 800'000;
  s.events = {{kRefused, "refuse leader 14000"}, {kOutageBegins, "outage"}, {kOutageEnds, "mend"}};
  return s;
}

class Gap : public ::testing::TestWithParam<ScenarioVariant> {};
TEST_P(Gap, TasksOfCancelledJobsAreGoneInTime) {
  for (const int nodes : {3, 5})
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
      auto s = gap(seed * 11);
      s.nodes = nodes;
      GetParam().change(s);
      ClusterSimulation simulation(s);
      SCOPED_TRACE(simulation.description());
      simulation.run();
      expect_sound(simulation);
    }
}
const ScenarioVariant kGap[] = {
    {"as_it_was_found", [](Scenario&) {}},
    {"in_the_instant_before_the_refusal",
     [](Scenario& s) {
       s.cancel_from = kRefused - 30;
       s.cancel_to = kRefused;
     }},
    {"in_the_instant_before_the_outage",
     [](Scenario& s) {
       s.cancel_from = kOutageBegins - 30;
       s.cancel_to = kOutageBegins;
     }},
    {"the_canceller_ends",
     [](Scenario& s) {
       s.after_cancel = {{kRefused + 300, 1, "crash canceller"}};
     }},
    {"the_canceller_is_back_at_once",
     [](Scenario& s) {
       s.restart_ms = 50;
       s.after_cancel = {{kRefused + 300, 1, "crash canceller"}};
     }},
    {"the_canceller_is_back_during_the_outage",
     [](Scenario& s) {
       s.restart_ms = 200;
       s.after_cancel = {{kOutageBegins - 500, 700, "crash canceller"},
                         {kOutageBegins - 400, 3000, "crash canceller"}};
     }},
    {"all_others_end_one_by_one",
     [](Scenario& s) {
       s.restart_ms = 300;
       for (int i = 0; i < s.nodes; ++i)
         s.events.push_back({kOutageBegins + 1500 + 2500 * i, "crash node-" + std::to_string(i)});
     }},
    {"promises_lost_and_late",
     [](Scenario& s) {
       s.loss = 0.2;
       s.cuts = {{kOutageBegins, kOutageBegins + 2500, "node-0", "node-1", true},
                 {kOutageBegins + 4000, kOutageBegins + 6000, "node-1", "node-2", true}};
     }},
    {"served_again_for_a_moment",
     [](Scenario& s) {
       s.events[0].what = "refuse leader 1500";
       s.events.push_back({kRefused + 1600, "refuse leader 14000"});
     }},
    {"refused_on_and_off",
     [](Scenario& s) {
       s.events.clear();
       for (std::int64_t at = kRefused; at < kOutageEnds; at += 2000)
         s.events.push_back({at, "refuse leader 1900"});
       s.cancel_to = kRefused + 20'000;
     }},
    {"a_leader_that_has_just_taken_over",
     [](Scenario& s) {
       s.events = {{kRefused, "crash leader"}, {kRefused + 5400, "outage"}, {kOutageEnds, "mend"}};
       s.cancel_to = kRefused + 5400;
     }},
    {"and_machines_that_do_not_hear_the_leader",
     [](Scenario& s) {
       s.unreachable = {{kOutageBegins + 500, kOutageBegins + 40'000, "*", "tenth", false}};
     }},
    {"the_leader_is_frozen_meanwhile",
     [](Scenario& s) {
       s.events.push_back({kRefused + 1000, "freeze leader 2500"});
     }},
    {"twice_in_a_row",
     [](Scenario& s) {
       s.events.push_back({kOutageEnds + 5000, "refuse leader 14000"});
       s.events.push_back({kOutageEnds + 7500, "outage"});
       s.events.push_back({kOutageEnds + 70'000, "mend"});
       s.run_ms = 220'000;
       s.cancel_to = kOutageEnds + 7500;
     }},
};
INSTANTIATE_TEST_SUITE_P(All, Gap, ::testing::ValuesIn(kGap), name_of);

// What it must not cost: an outage of two minutes stops nothing that runs, also where a follower
// ends in it and is back at once, having forgotten what it told and unable to read it.
TEST(PlainOutage, StopsNoRunningWork) {
  for (const bool restart : {false, true})
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
      Scenario s;
      s.seed = seed;
      s.loss = 0;
      s.services = 0;
      s.min_run_s = 100;
      s.tasks_most = 3;
      s.restart_ms = 200;
      s.settle_ms = 800'000;
      s.events = {{80'000, "outage"}, {200'000, "mend"}};
      if (restart)
        s.events.insert(s.events.end(), {{100'000, "crash a follower"},
                                         {130'000, "crash a follower"},
                                         {131'000, "crash a follower"}});
      ClusterSimulation simulation(s);
      SCOPED_TRACE(simulation.description());
      simulation.run();
      expect_sound(simulation);
      EXPECT_EQ(simulation.leases_lost, 0U) << (restart ? "with restarts" : "");
    }
}

// 2,000 cancelled jobs in the gap, at the largest deployment's size.
TEST(GapAtSize, TwoThousandCancellationsAreKnownInTime) {
  for (const int nodes : {3, 5}) {
    auto s = gap(5);
    constexpr std::int64_t kLater = 70'000;  // twenty jobs a second have to come first
    s.nodes = nodes;
    s.scale = 98;
    s.heartbeat_ms = 8000;
    s.lease_s = 34;
    s.write_rps = 1500;
    s.jobs_per_s = 45;
    s.tasks_most = 8;
    s.cancels = 0.95;
    s.cancel_from = kRefused;
    s.cancel_to = kOutageBegins + kLater;
    s.run_ms = kOutageBegins + kLater;
    s.settle_ms = 60'000;  // the rules; that every job ends is shown at the smaller size
    for (auto& e : s.events) e.when += kLater;
    ClusterSimulation simulation(s);
    SCOPED_TRACE(simulation.description());
    simulation.run();
    EXPECT_TRUE(no_invariant_broken(simulation));
    EXPECT_GT(simulation.machines_most, 1000U);
    const auto acknowledged =
        std::count_if(simulation.checker.jobs.begin(), simulation.checker.jobs.end(),
                      [](const auto& j) { return j.second.acknowledged_cancelled; });
    EXPECT_GT(acknowledged, 2000);
  }
}

// ---- the other meetings
// --------------------------------------------------------------------------------

class Meeting : public ::testing::TestWithParam<ScenarioVariant> {};
TEST_P(Meeting, BreaksNoRule) {
  for (const int nodes : {3, 5})
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
      Scenario s;
      s.seed = seed * 101;
      s.nodes = nodes;
      s.services = 0;
      s.cancels = 0.3;
      s.settle_ms = 500'000;
      GetParam().change(s);
      ClusterSimulation simulation(s);
      SCOPED_TRACE(simulation.description());
      simulation.run();
      expect_sound(simulation);
    }
}

// Jobs of two or three tasks that end far apart.
void far_apart(Scenario& s) {
  s.tasks_most = 3;
  s.task_stagger_s = 25;
  s.jobs_per_s = 0.15;
}

void ends(Scenario& s, const char* who, std::initializer_list<std::int64_t> times) {
  for (const auto t : times) s.events.push_back({t, std::string("crash ") + who});
}

const ScenarioVariant kOverlaps[] = {
    // Hand over and back, all end, one returns, within a second.
    {"one_leads_ends_and_leads_again_within_a_second",
     [](Scenario& s) {
       s.restart_ms = 50;
       ends(s, "leader", {50'000, 50'200, 50'500, 50'900, 90'000, 90'060, 90'130, 90'700});
     }},
    {"handed_over_and_back",
     [](Scenario& s) {
       s.restart_ms = 400;
       for (std::int64_t t = 50'000; t < 110'000; t += 15'000)
         s.events.push_back({t, "freeze leader 7000"}),
             s.events.push_back({t + 7'100, "crash leader"});
     }},
    {"all_end_and_again_before_any_is_a_second_old",
     [](Scenario& s) {
       s.restart_ms = 120;
       s.late_writes = 0.3;
       s.late_writes_from = 49'000;
       s.late_writes_to = 60'000;
       ends(s, "all", {50'000, 50'400, 50'800, 51'500, 90'000, 90'150, 90'300});
     }},
    {"all_end_one_is_back_and_is_cut_off",
     [](Scenario& s) {
       s.restart_ms = 300;
       ends(s, "all", {60'000});
       s.cuts = {{59'000, 66'000, "node-0", "node-1", true},
                 {61'000, 72'000, "node-2", "state", true}};
     }},
    // Jobs of two or three tasks that end far apart across a change of leader.
    {"far_apart_across_a_leaders_end",
     [](Scenario& s) {
       far_apart(s);
       ends(s, "leader", {45'000, 70'000, 95'000, 120'000});
     }},
    {"far_apart_all_back_at_once",
     [](Scenario& s) {
       far_apart(s);
       s.restart_ms = 100;
       ends(s, "all", {45'000, 70'000, 95'000, 120'000});
     }},
    {"far_apart_and_no_roster",
     [](Scenario& s) {
       far_apart(s);
       s.without_allocation_log = {0, 1, 2, 3, 4};
       ends(s, "leader", {45'000, 70'000, 95'000});
     }},
    {"far_apart_and_late_writes",
     [](Scenario& s) {
       far_apart(s);
       s.late_writes = 0.4;
       s.late_writes_from = 40'000;
       s.late_writes_to = 125'000;
       ends(s, "leader", {60'000, 62'000, 100'000});
     }},
    // The state service slow, refusing the leader, then everybody, while users cancel and ask.
    {"slow_refusing_then_down",
     [](Scenario& s) {
       s.min_run_s = 30;
       s.jobs_per_s = 0.15;
       s.store_delay_ms = 2500;
       s.store_delay_from = 55'000;
       s.store_delay_to = 85'000;
       s.events = {{60'000, "refuse leader 9000"}, {63'000, "outage"}, {105'000, "mend"}};
       s.cancel_from = 55'000;
       s.cancel_to = 70'000;
       s.poll_storm_from = 55'000;
       s.poll_storm_to = 120'000;
     }},
    {"slow_for_a_minute",
     [](Scenario& s) {
       s.store_delay_ms = 1400;
       s.store_delay_from = 50'000;
       s.store_delay_to = 110'000;
       ends(s, "leader", {70'000});
     }},
    // An old heartbeat after newer ones, also of an earlier incarnation or attempt.
    {"old_reports_of_ended_sessions",
     [](Scenario& s) {
       s.duplicates = 0.4;
       s.duplicate_delay_min = 2000;
       s.duplicate_delay_max = 60'000;
       s.min_run_s = 15;
       s.events = {{50'000, "hang 5"},
                   {70'000, "crash leader"},
                   {72'000, "hang 5"},
                   {95'000, "crash leader"},
                   {97'000, "crash leader"}};
     }},
    {"old_reports_while_nobody_has_a_roster",
     [](Scenario& s) {
       s.duplicates = 0.4;
       s.duplicate_delay_min = 500;
       s.duplicate_delay_max = 25'000;
       s.min_run_s = 15;
       s.without_allocation_log = {0, 1, 2, 3, 4};
       s.events = {{50'000, "hang 5"},
                   {60'000, "crash leader"},
                   {80'000, "crash all"},
                   {105'000, "crash leader"}};
     }},
    // A leader ends while machines with long tasks can't be reached, or don't hear the new one.
    {"ends_while_machines_are_cut_off",
     [](Scenario& s) {
       s.min_run_s = 40;
       s.jobs_per_s = 0.15;
       s.cuts = {{58'000, 80'000, "n-000002", "*", true},
                 {59'000, 69'000, "n-000003", "*", false},
                 {59'500, 100'000, "n-000005", "*", true}};
       ends(s, "leader", {60'000, 66'500, 90'000});
     }},
    {"ends_while_machines_do_not_hear",
     [](Scenario& s) {
       s.min_run_s = 40;
       s.jobs_per_s = 0.15;
       s.unreachable = {{59'000, 90'000, "*", "zone west", false},
                        {95'000, 103'000, "*", "zone east", false}};
       ends(s, "leader", {60'000, 74'000, 100'000});
     }},
    // A transaction without an answer, carried out late.
    {"late_writes_all_the_time",
     [](Scenario& s) {
       s.late_writes = 0.15;
       s.late_writes_from = 10'000;
       s.late_writes_to = 140'000;
     }},
    {"late_writes_and_takeovers",
     [](Scenario& s) {
       s.late_writes = 0.5;
       s.late_writes_from = 48'000;
       s.late_writes_to = 75'000;
       s.restart_ms = 200;
       ends(s, "leader", {50'000, 55'000, 56'000, 62'000});
     }},
    {"late_writes_and_switches_of_the_level",
     [](Scenario& s) {
       s.late_writes = 0.3;
       s.late_writes_from = 1'000;
       s.late_writes_to = 120'000;
       for (int n = 0; n < s.nodes; ++n) {
         s.versions.push_back({0, n, {1, 2, true}});
         s.versions.push_back({40'000 + 6000 * n, n, {1, feature_level::kNewestLevel + 1, true}});
       }
     }},
    {"late_writes_and_a_loss",
     [](Scenario& s) {
       s.late_writes = 0.3;
       s.late_writes_from = 55'000;
       s.late_writes_to = 90'000;
       s.events = {{60'000, "back 3000"}};
     }},
    // A leader cut from the store and the other controllers, while workers and users reach it.
    {"a_leader_alone_and_cancellations_elsewhere",
     [](Scenario& s) {
       s.min_run_s = 40;
       s.jobs_per_s = 0.15;
       s.cancels = 0.6;
       s.cancel_from = 50'000;
       s.cancel_to = 95'000;
       s.events = {{50'000, "alone leader 40000"}, {62'000, "alone leader 25000"}};
     }},
    {"a_leader_alone_then_the_store_down_for_all",
     [](Scenario& s) {
       s.min_run_s = 60;
       s.jobs_per_s = 0.15;
       s.cancels = 0.6;
       s.cancel_from = 50'000;
       s.cancel_to = 57'000;
       s.events = {{50'000, "alone leader 6000"}, {53'000, "outage"}, {100'000, "mend"}};
     }},
    // A command or its answer held up for seconds, and the machine then goes on.
    {"commands_held_around_takeovers_and_cancellations",
     [](Scenario& s) {
       s.heartbeat_ms = 6000;
       s.lease_s = 27;
       s.min_run_s = 10;
       s.late_commands = 0.4;
       s.duplicate_delay_min = 2000;
       s.duplicate_delay_max = 9000;
       s.cancels = 0.5;
       s.events = {{55'000, "crash leader"},
                   {57'000, "hang 4"},
                   {90'000, "freeze leader 8000"},
                   {95'000, "flap 900"},
                   {95'500, "flap 400"}};
       s.after_cancel = {{60'000, 5, "hang 3"}, {100'000, 5, "crash leader"}};
     }},
    {"commands_held_and_machines_returned",
     [](Scenario& s) {
       s.heartbeat_ms = 6000;
       s.lease_s = 27;
       s.late_commands = 0.5;
       s.duplicate_delay_min = 2000;
       s.duplicate_delay_max = 12'000;
       s.jobs_per_s = 0.08;
       s.events = {{45'000, "take"},
                   {60'000, "notice"},
                   {65'000, "crash leader"},
                   {80'000, "take"},
                   {100'000, "take"}};
     }},
};
INSTANTIATE_TEST_SUITE_P(All, Meeting, ::testing::ValuesIn(kOverlaps), name_of);

void cut_off(Scenario& s, std::int64_t from, std::int64_t to,
             bool hold) {  // the second zone, with its controllers and machines
  s.zone_cuts.push_back({from, to, s.zones[0], s.zones[1], hold});
  for (int a = 1; a < s.nodes; a += 2) {
    const auto name = "node-" + std::to_string(a);
    for (const char* b : {"state", "cloud", "users"}) s.cuts.push_back({from, to, name, b, hold});
    for (int b = 0; b < s.nodes; b += 2)
      s.cuts.push_back({from, to, name, "node-" + std::to_string(b), hold});
  }
}

// The rest of the operators' list, and of the letter that came with it.
const ScenarioVariant kMoreOverlaps[] = {
    {"queries_at_all_nodes_within_milliseconds",
     [](Scenario& s) {
       s.query_burst_from = 20'000;
       s.query_burst_to = 140'000;
       s.cancels_at_end = 0.2;
       ends(s, "leader", {70'000, 100'000});
     }},
    {"queries_while_a_node_is_refused_or_slow",
     [](Scenario& s) {
       s.query_burst_from = 40'000;
       s.query_burst_to = 140'000;
       s.store_delay_ms = 900;
       s.store_delay_from = 50'000;
       s.store_delay_to = 90'000;
       s.events = {{60'000, "refuse node-0 9000"},
                   {80'000, "refuse leader 9000"},
                   {100'000, "freeze node-1 1500"}};
     }},
    {"invalid_requests_all_the_time",
     [](Scenario& s) {
       s.invalid_requests_from = 20'000;
       s.invalid_requests_to = 150'000;
       s.events = {{60'000, "crash all"}, {90'000, "outage"}, {100'000, "mend"}};
     }},
    {"every_team_at_its_limit_and_machines_hang",
     [](Scenario& s) {
       s.jobs_per_s = 0.5;
       s.min_run_s = 15;
       s.events = {{60'000, "cancel 6 13000"},
                   {60'300, "crash leader"},
                   {95'000, "cancel 6 9000"},
                   {95'000, "freeze leader 7000"}};
       s.cuts = {{59'500, 73'000, "n-000002", "*", true},
                 {59'800, 71'000, "n-000003", "*", false},
                 {94'500, 108'000, "n-000004", "*", true}};
     }},
    {"one_team_at_its_limit_and_the_leader_changes",
     [](Scenario& s) {
       s.best_effort = 0;
       s.jobs_per_s = 0.35;
       s.min_run_s = 25;
       s.unreachable = {{58'000, 75'000, "*", "tenth", false}};
       s.events = {{60'000, "cancel 4"}, {60'100, "crash leader"}, {63'000, "cancel 4"}};
     }},
    {"cancelled_as_work_changes_hands",
     [](Scenario& s) {
       s.min_run_s = 30;
       s.jobs_per_s = 0.25;
       s.restart_ms = 300;
       for (const std::int64_t t : {50'000, 75'000, 100'000}) {
         for (const std::int64_t d : {-400, -20, 40, 900, 4'000, 5'300})
           s.events.push_back({t + d, "cancel 1 6000"});
         s.events.push_back({t, t == 75'000 ? "alone leader 9000" : "crash leader"});
       }
     }},
    {"machines_up_at_once_and_writes_lag",
     [](Scenario& s) {
       s.late_writes = 0.4;
       s.late_writes_from = 5'000;
       s.late_writes_to = 60'000;
       s.events = {{0, "boots 0.05"},
                   {25'000, "crash leader"},
                   {32'000, "crash leader"},
                   {60'000, "boots-mend"}};
     }},
    {"old_reports_as_a_leader_begins",
     [](Scenario& s) {
       s.duplicates = 0.4;
       s.hold_duplicates_for_next_leader = true;
       s.min_run_s = 10;
       s.events = {{50'000, "hang 4"}, {75'000, "hang 4"}};
       ends(s, "leader", {55'000, 66'000, 80'000, 91'000});
     }},
    {"old_reports_as_a_leader_begins_without_a_roster",
     [](Scenario& s) {
       s.duplicates = 0.4;
       s.hold_duplicates_for_next_leader = true;
       s.min_run_s = 10;
       s.without_allocation_log = {0, 1, 2, 3, 4};
       ends(s, "leader", {55'000, 66'000, 80'000, 91'000});
     }},
    {"reports_held_until_the_next_leader_has_acted",
     [](Scenario& s) {
       s.min_run_s = 20;
       s.events = {{60'000, "crash leader"}, {90'000, "freeze leader 9000"}, {90'100, "cancel 4"}};
       for (int n = 0; n < s.nodes; ++n)
         s.cuts.push_back({59'000, 67'000 + 700 * n, "node-" + std::to_string(n), "workers", true});
       s.cuts.push_back({89'500, 103'000, "node-2", "workers", true});
     }},
    {"four_one_task_jobs_a_second_a_quarter_cancelled",
     [](Scenario& s) {
       s.jobs_per_s = 4;
       s.tasks_most = 1;
       s.scale = 4;
       s.cancels = 0.25;
       s.write_rps = 30;
       s.events = {{80'000, "crash leader"}};
     }},
    {"cancelled_at_a_jobs_end",
     [](Scenario& s) {
       s.cancels = 0;
       s.cancels_at_end = 0.7;
       s.query_burst_from = 5'000;
       s.query_burst_to = 140'000;
     }},
    {"a_zone_cut_off_for_longer_than_a_lease",
     [](Scenario& s) {
       s.min_run_s = 20;
       cut_off(s, 55'000, 78'000, true);
       cut_off(s, 95'000, 112'000, false);
       s.events = {{54'900, "cancel 3"}, {60'000, "cancel 3"}};
     }},
    {"all_controllers_away_for_longer_than_a_lease",
     [](Scenario& s) {
       s.min_run_s = 20;
       s.restart_ms = 16'000;
       s.events = {{59'900, "cancel 4"}};
       ends(s, "all", {60'000});
     }},
    {"bound_to_a_zone_that_loses_machines",
     [](Scenario& s) {
       s.bound_to_zone = 0.8;
       s.min_run_s = 8;
       s.jobs_per_s = 0.2;
       s.events = {{50'000, "hang 4"}, {60'000, "take"},         {62'000, "take"},
                   {64'000, "notice"}, {66'000, "crash leader"}, {90'000, "cancel 3 10000"},
                   {91'000, "take"}};
     }},
    {"more_work_than_room_over_slow_links",
     [](Scenario& s) {
       s.jobs_per_s = 0.5;
       s.loss = 0.08;
       s.store_delay_ms = 600;
       s.store_delay_from = 30'000;
       s.store_delay_to = 140'000;
       s.settle_ms = 700'000;
       ends(s, "leader", {80'000});
     }},
    {"ten_leaders_in_two_minutes",
     [](Scenario& s) {
       s.run_ms = 180'000;
       s.min_run_s = 10;
       for (std::int64_t t = 40'000; t < 160'000; t += 12'000)
         s.events.push_back({t, "crash leader"}), s.events.push_back({t + 1'500, "cancel 1"});
       s.events.push_back({87'500, "outage"});
       s.events.push_back({108'000, "mend"});
     }},
    {"machines_that_reach_no_controller",
     [](Scenario& s) {
       s.min_run_s = 15;
       s.heartbeat_ms = 4000;
       s.lease_s = 22;
       s.jobs_per_s = 0.2;
       s.outbound_cuts = {{55'000, 85'000, "", "tenth", false},
                          {100'000, 112'000, "", "zone east", false}};
       s.events = {{56'000, "cancel 4"}, {57'000, "crash leader"}, {101'000, "cancel 4"}};
     }},
    {"cancelled_at_the_moment_of_the_refusal",
     [](Scenario& s) {
       s.min_run_s = 100;
       s.jobs_per_s = 0.3;
       s.tasks_most = 3;
       s.settle_ms = 800'000;
       s.events = {{kRefused, "refuse leader 14000"},
                   {kRefused, "cancel 8"},
                   {kRefused + 1'000, "outage"},
                   {kOutageEnds, "mend"}};
     }},
};
INSTANTIATE_TEST_SUITE_P(More, Meeting, ::testing::ValuesIn(kMoreOverlaps), name_of);

// A transaction is carried out at once and only its answer is lost, while the others read what it
// wrote: each type that is stored.
class AnswerLost : public ::testing::TestWithParam<const char*> {};
TEST_P(AnswerLost, BreaksNoRule) {
  // These are written a few times in a run, everything else all the time.
  const std::set<std::string> seldom = {"leader", "term", "led", "level", "node/", "rigs"};
  std::vector<double> shares = {0.5};
  if (seldom.contains(GetParam())) shares.push_back(0.9);
  for (const double share : shares)
    for (const int nodes : {3, 5})
      for (const std::uint64_t seed : {7, 8}) {
        SCOPED_TRACE("share of lost answers " + std::to_string(share));
        Scenario s;
        s.seed = seed;
        s.nodes = nodes;
        s.services = 0;
        s.cancels = 0.3;
        s.settle_ms = 500'000;
        s.late_write_prefix = GetParam();
        s.late_writes = share;
        s.lose_only_answers = true;
        s.first_write_is_late = s.late_write_prefix == "rigs";  // written only once in some runs
        s.late_writes_to = 110'000;
        s.query_burst_from = 5'000;
        s.query_burst_to = 120'000;
        s.events = {{50'000, "crash leader"}, {80'000, "crash leader"}};
        // Answers by way of the store: two zones that don't hear of each other.
        if (s.late_write_prefix == "relay/" || s.late_write_prefix == "reply/")
          for (int a = 1; a < nodes; a += 2)
            for (int b = 0; b < nodes; b += 2)
              s.cuts.push_back(
                  {55'000, 95'000, "node-" + std::to_string(a), "node-" + std::to_string(b), true});
        ClusterSimulation simulation(s);
        SCOPED_TRACE(simulation.description());
        simulation.run();
        EXPECT_GT(simulation.late_writes, 0U);
        expect_sound(simulation);
      }
}
INSTANTIATE_TEST_SUITE_P(All, AnswerLost,
                         ::testing::Values("live/", "over/", "prog/", "leader", "term", "led",
                                           "roster/", "level", "node/", "rigs", "relay/", "reply/"),
                         [](const auto& p) {
                           std::string name = p.param;
                           std::erase(name, '/');
                           return name;
                         });

// Cancelled jobs whose machines hang, as the leader changes, at the largest deployment's size.
TEST(CancelAtSize, NothingCancelledGoesOn) {
  for (const int nodes : {3, 5}) {
    Scenario s;
    s.seed = 3;
    s.nodes = nodes;
    s.scale = 98;
    s.heartbeat_ms = 8000;
    s.lease_s = 34;
    s.write_rps = 1500;
    s.jobs_per_s = 30;
    s.min_run_s = 60;
    s.services = 0;
    s.run_ms = 130'000;
    s.settle_ms = 60'000;  // the rules; that every job ends is shown at the smaller size
    s.outbound_cuts = {{100'000, 140'000, "", "tenth", false}};
    s.events = {{80'000, "cancel 300 20000"},
                {80'300, "crash leader"},
                {101'000, "cancel 300 15000"},
                {101'500, "freeze leader 9000"}};
    ClusterSimulation simulation(s);
    SCOPED_TRACE(simulation.description());
    simulation.run();
    EXPECT_TRUE(no_invariant_broken(simulation));
    EXPECT_GT(simulation.machines_most, 1200U);
    const auto acknowledged =
        std::count_if(simulation.checker.jobs.begin(), simulation.checker.jobs.end(),
                      [](const auto& j) { return j.second.acknowledged_cancelled; });
    EXPECT_GT(acknowledged, 500);
  }
}

// The doubt that comes back when a late copy of a heartbeat, believed at first, is refuted: without
// it these runs, found among 600 of the kind, have a task that runs twice.
TEST(OldReports, WhatTheyMadePresentIsUnknownAgainOnceRefuted) {
  for (const std::uint64_t seed : {298, 359}) {
    Scenario s;
    s.seed = seed;
    s.nodes = seed % 2 == 0 ? 3 : 5;
    s.services = 0;
    s.duplicates = 0.5;
    s.duplicate_delay_min = 300;
    s.duplicate_delay_max = seed % 3 == 0 ? 6'000 : 20'000;
    s.min_run_s = seed % 5 == 0 ? 30 : 8;
    s.without_allocation_log = {0, 1, 2, 3, 4};
    s.settle_ms = 60'000;
    s.restart_ms = 300;
    for (std::int64_t t = 40'000; t < 140'000; t += 13'000) {
      s.events.push_back({t, "crash leader"});
      s.events.push_back({t - 300, "hang briefly"});
      s.events.push_back({t - 200, "hang briefly"});
    }
    s.cuts = {{52'000, 64'000, "n-000002", "*", false},
              {78'000, 90'000, "n-000003", "*", false},
              {91'000, 103'000, "n-000005", "*", false}};
    ClusterSimulation simulation(s);
    SCOPED_TRACE(simulation.description());
    simulation.run();
    EXPECT_TRUE(no_invariant_broken(simulation));
  }
}

// Reports kept until the next leader began: one with an earlier attempt of a task running, then one
// with its end, which passed for the end of the attempt that the allocation log named there. Two of
// 1,500 drawn runs; both have a task that runs twice without the guard.
TEST(OldReports, WhatEndedBeforeTheTermMayHaveBegunAgain) {
  Scenario s;
  s.services = 0;
  s.zones = {"only"};
  s.heartbeat_ms = 6000;
  s.lease_s = 27;
  s.scale = 3;
  s.duplicates = 0.3;
  s.hold_duplicates_for_next_leader = true;
  s.cancels = 0.2;
  s.run_ms = 170'000;
  s.settle_ms = 700'000;
  auto first = s;
  first.seed = 2495;
  first.restart_ms = 300;
  first.min_run_s = 30;
  first.cancel_from = 100'165;
  first.cancel_to = 114'177;
  ends(first, "leader", {59'033, 48'965, 54'171, 63'468, 69'283, 73'605, 103'686, 104'304});
  first.cuts = {{103'699, 124'390, "node-1", "node-2", false}};
  auto second = s;
  second.seed = 2855;
  second.restart_ms = 50;
  second.min_run_s = 60;
  second.cancel_from = 47'674;
  second.cancel_to = 72'265;
  second.events = {{51'271, "refuse leader 10955"},  {50'918, "outage"},  {82'117, "mend"},
                   {69'708, "crash leader"},         {117'872, "outage"}, {144'650, "mend"},
                   {116'855, "freeze leader 11429"}, {167'139, "mend"}};
  second.unreachable = {{118'249, 172'377, "node-1", "zone only", false}};
  for (const auto& scenario : {first, second}) {
    ClusterSimulation simulation(scenario);
    SCOPED_TRACE(simulation.description());
    simulation.run();
    expect_sound(simulation);
  }
}

// A direct launch without an answer bars its machine to other attempts of that task for as long as
// the incarnation lasts. It barred it to all of the job's tasks, and a task waited for 100 s beside
// an empty machine that passed for capacity.
TEST(DirectLaunches, ThatAreNotAnsweredKeepNoTaskWaitingBesideFreeCapacity) {
  Scenario s;
  s.seed = 757;
  s.services = 0;
  s.heartbeat_ms = 6000;
  s.lease_s = 27;
  s.tasks_most = 3;
  s.min_run_s = 100;
  s.scale = 3;
  s.cancels = 0.1;
  s.cancel_from = 49'938;
  s.cancel_to = 62'291;
  s.late_writes = 0.3;
  s.late_writes_from = 63'657;
  s.late_writes_to = 93'657;
  s.lose_only_answers = true;
  s.duplicates = 0.3;
  s.duplicate_delay_min = 2000;
  s.hold_duplicates_for_next_leader = true;
  s.late_commands = 0.3;
  s.invalid_requests_from = 119'074;
  s.invalid_requests_to = 157'109;
  s.run_ms = 170'000;
  s.settle_ms = 400'000;
  s.events = {{120'166, "crash leader"},
              {125'073, "crash leader"},
              {133'595, "crash leader"},
              {140'937, "crash leader"},
              {169'328, "mend"},
              {65'264, "cancel 7"},
              {149'765, "cancel 8"},
              {89'191, "cancel 1 20917"},
              {54'010, "cancel 3 11066"},
              {91'561, "cancel 4"},
              {122'506, "cancel 3 25534"},
              {126'085, "cancel 9 6650"},
              {133'576, "crash leader"},
              {80'462, "freeze leader 6701"},
              {126'699, "freeze leader 4623"},
              {56'317, "refuse leader 5189"}};
  ClusterSimulation simulation(s);
  simulation.run();
  expect_sound(simulation);
}

// Two or three faults of any kind within two seconds: sixty of the runs that hitchfront_soak
// plays by the thousand.
TEST(Meetings, DrawnDaysBreakNoRule) {
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    ClusterSimulation simulation(overlapping_faults_scenario(seed));
    SCOPED_TRACE(simulation.description());
    simulation.run();
    expect_sound(simulation);
  }
}

// ---- mutants, one for each kind of meeting, that the invariant checker catches
// ----------------------------------

std::set<std::string> broken_by(
    const std::function<void(Scenario&)>& meeting,
    const std::function<void(std::int64_t, int, core::Effects&)>& mutant) {
  std::set<std::string> broken;
  for (std::uint64_t seed = 1; seed <= 6 && broken.empty(); ++seed) {
    Scenario s;
    s.seed = seed * 101;
    s.services = 0;
    s.cancels = 0.3;
    s.settle_ms = 100'000;
    meeting(s);
    s.mutant = mutant;
    ClusterSimulation simulation(s);
    simulation.run();
    broken.insert(simulation.checker.broken.begin(), simulation.checker.broken.end());
  }
  return broken;
}

std::set<std::string> broken_by(
    const char* meeting, const std::function<void(std::int64_t, int, core::Effects&)>& mutant) {
  std::vector<ScenarioVariant> all(std::begin(kOverlaps), std::end(kOverlaps));
  all.insert(all.end(), std::begin(kMoreOverlaps), std::end(kMoreOverlaps));
  const auto it = std::find_if(all.begin(), all.end(), [&](const ScenarioVariant& c) {
    return std::string(c.name) == meeting;
  });
  return broken_by(it->change, mutant);
}

// What stands in a JSON body is changed by `change`.
void rewrite(std::string& text, const std::function<void(nlohmann::json&)>& change) {
  auto body = nlohmann::json::parse(text, nullptr, false);
  if (!body.is_object()) return;
  change(body);
  text = body.dump();
}

TEST(OverlappingFaultsChecker, CatchesAProcessThatUsesItsPredecessorsNames) {
  const auto broken = broken_by("one_leads_ends_and_leads_again_within_a_second",
                                [](std::int64_t, int, core::Effects& e) {
                                  for (auto& c : e.calls)
                                    if (c.target == core::Target::cloud && c.path == "/machines")
                                      rewrite(c.body, [](nlohmann::json& b) { b["Hire"] = "r-1"; });
                                });
  EXPECT_TRUE(broken.contains("numbers"));
}

TEST(OverlappingFaultsChecker, CatchesAJobThatIsDoneWithItsFirstTask) {
  const auto broken =
      broken_by("far_apart_across_a_leaders_end", [](std::int64_t, int, core::Effects& e) {
        for (auto& r : e.replies)
          rewrite(r.body, [](nlohmann::json& b) {
            if (b.value("done", 0) > 0 && b.contains("Status")) b["Status"] = "done";
          });
      });
  EXPECT_TRUE(broken.contains("not_done"));
}

TEST(OverlappingFaultsChecker, CatchesALeaderThatStopsNothingInAnOutage) {
  const auto broken = broken_by([](Scenario& s) { s = gap(s.seed); },
                                [](std::int64_t now, int, core::Effects& e) {
                                  if (now < kRefused || now > kOutageEnds) return;
                                  const auto drop = [](nlohmann::json& b) {
                                    if (!b.contains("Orders")) return;
                                    auto kept = nlohmann::json::array();
                                    for (const auto& o : b["Orders"])
                                      if (o.value("Verb", "") != "stop") kept.push_back(o);
                                    b["Orders"] = kept;
                                  };
                                  for (auto& r : e.replies) rewrite(r.body, drop);
                                  for (auto& c : e.calls) rewrite(c.body, drop);
                                });
  EXPECT_TRUE(broken.contains("ran_cancelled"));
}

// Late writes are harmless for their conditions alone. Half of them are late here, so that six runs
// are enough whatever is drawn.
TEST(OverlappingFaultsChecker, CatchesWritesWithoutConditions) {
  const auto half_late = [](Scenario& s) {
    s.late_writes = 0.5;
    s.late_writes_from = 10'000;
    s.late_writes_to = 140'000;
  };
  const auto broken = broken_by(half_late, [](std::int64_t, int, core::Effects& e) {
    for (auto& c : e.calls)
      if (c.target == core::Target::state && c.path == "/txn")
        rewrite(c.body, [](nlohmann::json& b) {
          auto kept = nlohmann::json::array();
          for (const auto& i : b["If"]) {
            const auto key = i.value("K", "");
            if (!key.starts_with("live/") && !key.starts_with("over/")) kept.push_back(i);
          }
          b["If"] = kept;
        });
  });
  EXPECT_TRUE(broken.contains("went_back") || broken.contains("ran_cancelled") ||
              broken.contains("forgotten"));
}

// Each check that came with the operators' longer list.
TEST(OverlappingFaultsChecker, CatchesAnAcceptanceOfWhatCannotRun) {
  const auto broken =
      broken_by("invalid_requests_all_the_time", [](std::int64_t, int, core::Effects& e) {
        for (auto& r : e.replies)
          if (r.status == 422) r.status = 201;
      });
  EXPECT_TRUE(broken.contains("accepted_invalid"));
}

TEST(OverlappingFaultsChecker, CatchesANodeThatAnswersSomethingOlder) {
  const auto broken = broken_by("queries_at_all_nodes_within_milliseconds",
                                [](std::int64_t, int node, core::Effects& e) {
                                  for (auto& r : e.replies)
                                    if (node == 1)
                                      rewrite(r.body, [](nlohmann::json& b) {
                                        if (b.value("Status", "") == "done")
                                          b["Status"] = "running";
                                      });
                                });
  EXPECT_EQ(broken, (std::set<std::string>{"went_back"}));
}

TEST(OverlappingFaultsChecker, CatchesACancelledTaskThatGoesOnAfterAHang) {
  const auto long_tasks = [](Scenario& s) {
    s.min_run_s = 80;
    s.events = {{60'000, "cancel 6 9000"}};
  };
  const auto broken = broken_by(long_tasks, [](std::int64_t now, int, core::Effects& e) {
    if (now < 61'000) return;  // all that did not hang is told to stop by then
    const auto drop = [](nlohmann::json& b) {
      if (b.contains("Orders"))
        std::erase_if(b["Orders"].get_ref<nlohmann::json::array_t&>(),
                      [](const auto& o) { return o.value("Verb", "") == "stop"; });
    };
    for (auto& r : e.replies) rewrite(r.body, drop);
    for (auto& c : e.calls) rewrite(c.body, drop);
  });
  EXPECT_TRUE(broken.contains("ran_cancelled"));
}

// Tasks that started after a user was answered that their job is cancelled, over all runs.
struct CancelledStarts {
  // Launched when no controller could know of the cancellation: the launch travels, or the task
  // waits for its image.
  std::size_t on_their_way = 0;
  std::size_t launched_knowing = 0;
};
constexpr std::uint64_t kCancellationRuns = 12;
CancelledStarts cancelled_starts(const std::function<void(Scenario&)>& change) {
  CancelledStarts sum;
  for (std::uint64_t seed = 1; seed <= kCancellationRuns; ++seed) {
    Scenario s;
    s.seed = seed;
    s.services = 0;
    s.min_run_s = 20;
    s.settle_ms = 60'000;
    s.events = {{60'000, "cancel 6"}};
    s.records_launches = true;
    change(s);
    ClusterSimulation simulation(s);
    simulation.run();
    sum.on_their_way += simulation.cancelled_starts_on_their_way;
    sum.launched_knowing += simulation.cancelled_starts_launched_knowing;
  }
  return sum;
}

// A leader that starts a cancelled task once more instead of stopping it.
void launch_again_instead_of_stopping(std::int64_t now, int, core::Effects& e) {
  if (now < 60'000) return;
  for (auto& r : e.replies)
    rewrite(r.body, [](nlohmann::json& b) {
      if (!b.contains("Orders")) return;
      for (auto& o : b["Orders"])
        if (o.value("Verb", "") == "stop" && o.value("LeaveS", 1.0) == 0)
          o = {{"Verb", "launch"}, {"Lot", o["Lot"]}, {"Try", o.value("Try", 0) + 1'000'000}};
    });
}

TEST(OverlappingFaultsChecker, CountsStartsAfterAConfirmedCancellation) {
  const auto sound = cancelled_starts([](Scenario&) {});
  const auto broken = cancelled_starts([](Scenario& s) {
    s.mutant = launch_again_instead_of_stopping;
    s.late_commands = 1;  // direct stops are lost
  });
  EXPECT_EQ(sound.launched_knowing, 0U);
  EXPECT_LT(sound.on_their_way, kCancellationRuns / 2);
  EXPECT_GT(broken.launched_knowing, 3 * (sound.on_their_way + 1));
}

// Beyond its right a controller that reaches its workers has only to be silent.
TEST(OverlappingFaultsChecker, CatchesALeaderThatGoesOnAnswering) {
  std::map<int, std::string> last;  // what each said last as leader
  const auto broken = broken_by(
      "a_leader_alone_and_cancellations_elsewhere",
      [&](std::int64_t now, int node, core::Effects& e) {
        for (auto& r : e.replies) {
          if (r.status == 200 && r.body.find("Warrant") != std::string::npos)
            last[node] = R"({"Orders":[],"Warrant":)" +
                         std::to_string(nlohmann::json::parse(r.body).value("Warrant", 0)) + "}";
          if (now > 50'000 && now < 95'000 && r.status == 503 && last.contains(node) &&
              r.body.find("no leader") != std::string::npos) {
            r.status = 200;
            r.body = last[node];
          }
        }
      });
  EXPECT_TRUE(broken.contains("ran_twice") || broken.contains("ran_cancelled"));
}

}  // namespace
}  // namespace hitchfront::testing
