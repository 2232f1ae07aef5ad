// Direct commands of which another copy reaches the machine after they were executed and answered:
// neither what ended since then nor what was cleared may start again.
#include <gtest/gtest.h>

#include "simulation_test.hpp"

namespace hitchfront::testing {
namespace {

// Delays of the copies: from a fraction of a second to well over a worker's lease.
struct Delays {
  std::int64_t min_ms, max_ms;
};
constexpr Delays kDelays[] = {{100, 1'500}, {2'000, 12'000}, {5'000, 90'000}};
constexpr std::uint64_t kSeeds = 3;
constexpr std::size_t kMinRepeatedLaunches = 30;  // in the runs of one variant

// Heartbeats far apart, so that most launches are sent to the machine directly, and each direct
// command is repeated.
Scenario repeated_commands(std::uint64_t seed, Delays delays) {
  Scenario s;
  s.seed = seed;
  s.heartbeat_ms = 6'000;
  s.lease_s = 27;
  s.jobs_per_s = 0.4;
  s.command_repeats = 1;
  s.duplicate_delay_min = delays.min_ms;
  s.duplicate_delay_max = delays.max_ms;
  s.settle_ms = 300'000;
  return s;
}

class RepeatedCommands : public ::testing::TestWithParam<ScenarioVariant> {};

TEST_P(RepeatedCommands, StartNothingAgain) {
  std::size_t repeated_launches = 0;
  for (const auto delays : kDelays)
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      auto s = repeated_commands(seed, delays);
      GetParam().change(s);
      ClusterSimulation simulation(s);
      SCOPED_TRACE("copies up to " + std::to_string(delays.max_ms) + " ms late");
      simulation.run();
      expect_sound(simulation);
      repeated_launches += simulation.repeated_launches;
    }
  EXPECT_GE(repeated_launches, kMinRepeatedLaunches);
}

const ScenarioVariant kRepeatedCommands[] = {
    {"after_an_error",
     [](Scenario& s) {
       s.always_failing = 0.2;
       s.events = {{20'000, "faulty"}, {40'000, "faulty"}, {60'000, "faulty"}};
     }},
    {"after_a_cancellation",
     [](Scenario& s) {
       s.cancels = 0.6;
       s.min_run_s = 10;
     }},
    {"across_leaders_back_at_once",
     [](Scenario& s) {
       s.restart_ms = 200;
       for (std::int64_t when = 40'000; when < 120'000; when += 9'000)
         s.events.push_back({when, "crash leader"});
     }},
    {"after_it_is_done",
     [](Scenario& s) {
       s.services = 0;
       s.tasks_most = 3;
       s.jobs_per_s = 1;
     }},
    {"after_a_preemption",
     [](Scenario& s) {
       s.best_effort = 0.5;
       s.best_effort_run_s = 25;
       s.jobs_per_s = 0.45;
       s.settle_ms = 450'000;
     }},
    {"at_a_cancellation_with_hanging_machines",
     [](Scenario& s) {
       s.min_run_s = 30;
       s.scale = 2;
       s.events = {{50'000, "cancel 5 9000"}, {80'000, "cancel 5 12000"}, {110'000, "cancel 5"}};
     }},
    {"on_machines_back_within_their_lease",
     [](Scenario& s) {
       for (std::int64_t when = 30'000; when < 140'000; when += 6'000)
         s.events.push_back({when, when % 12'000 == 0 ? "hang briefly" : "flap 700"});
     }},
    {"on_machines_that_lost_their_lease",
     [](Scenario& s) {
       s.cuts = {{40'000, 75'000, "n-000001", "*", true},
                 {60'000, 95'000, "n-000003", "*", false},
                 {90'000, 125'000, "n-000005", "*", true}};
     }},
    {"with_answers_lost_too",
     [](Scenario& s) {
       s.late_commands = 0.3;
       s.always_failing = 0.1;
     }},
    {"with_every_leader_killed",
     [](Scenario& s) {
       s.restart_ms = 5'000;
       s.always_failing = 0.1;
       s.events = {{50'000, "crash leader"}, {80'000, "crash all"}, {110'000, "crash leader"}};
     }},
};
INSTANTIATE_TEST_SUITE_P(Tests, RepeatedCommands, ::testing::ValuesIn(kRepeatedCommands), name_of);

// ---- mutant: a leader whose token for a machine never rises

Scenario without_epochs(std::uint64_t seed) {
  auto s = repeated_commands(seed, kDelays[1]);
  kRepeatedCommands[0].change(s);
  s.mutant = [](std::int64_t, int, core::Effects& effects) { keep_first_token(effects); };
  return s;
}

TEST(RepeatedCommandsChecker, CatchesATokenThatDoesNotRise) {
  std::set<std::string> broken;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    ClusterSimulation simulation(without_epochs(seed));
    simulation.run();
    broken.insert(simulation.checker.broken.begin(), simulation.checker.broken.end());
  }
  EXPECT_TRUE(broken.contains("started_again"));
  EXPECT_TRUE(broken.contains("ran_twice"));
}

// A task went on beside its next attempt for 6 s, and no line of the log said so.
TEST(RepeatedCommandsChecker, AnAttemptThatStartsAgainIsLoggedAndStopped) {
  std::size_t logged = 0, stopped = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    ClusterSimulation simulation(without_epochs(seed));
    simulation.run();
    for (const auto& line : simulation.log) {
      if (line.find(" task.unexpected ") == std::string::npos) continue;
      ++logged;
      if (line.find("stopped=true") != std::string::npos) ++stopped;
    }
  }
  EXPECT_GT(logged, 0U);
  EXPECT_GT(stopped, 0U);
}

}  // namespace
}  // namespace hitchfront::testing
