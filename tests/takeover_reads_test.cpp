// Takeovers whose reads of the state service or the cloud are answered late or never, while
// machines lose the network after their first responses.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "simulation_test.hpp"
#include "wire/allocation.hpp"

namespace hitchfront::testing {
namespace {

using LateRead = Scenario::LateRead;

constexpr std::int64_t kCrashMs = 60'000;
constexpr std::int64_t kRestartMs = 5000;
constexpr std::int64_t kBackMs = kCrashMs + kRestartMs;

// All controllers end and are back at once; tasks run for longer than a lease, and a third of the
// machines that run some lose the network with their first response.
Scenario takeover_scenario(std::uint64_t seed) {
  Scenario scenario;
  scenario.seed = seed;
  scenario.loss = 0;
  scenario.jobs_per_s = 0.25;
  scenario.services = 0;
  scenario.min_run_s = 20;
  scenario.run_ms = 110'000;
  scenario.settle_ms = 500'000;
  scenario.restart_ms = kRestartMs;
  scenario.events = {{kCrashMs, "crash all"}};
  scenario.cuts_after_responses = {{kBackMs, kBackMs + 12'000, 1, 30'000, 0.3}};
  return scenario;
}

bool has_log_line(const ClusterSimulation& simulation, const std::string& part) {
  return std::any_of(simulation.log.begin(), simulation.log.end(),
                     [&](const std::string& line) { return line.find(part) != std::string::npos; });
}

// A task was started elsewhere while its machine's lease, renewed since, still lasted.
TEST(TakeoverReads, MachineTypesReadAfterTheAllocationLogStartNoTaskTwice) {
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    auto scenario = takeover_scenario(seed);
    scenario.late_reads = {{"/store/rigs", kCrashMs, kBackMs + 400, LateRead::kLost}};
    ClusterSimulation simulation(scenario);
    SCOPED_TRACE(simulation.description());
    simulation.run();
    EXPECT_TRUE(has_log_line(simulation, "allocation_log=whole machines=0 placed=0 unknown="));
    EXPECT_GT(simulation.machines_cut, 0U);
    expect_sound(simulation);
  }
}

// Changes what `effects` put under keys with the prefix.
void change_stored(core::Effects& effects, const std::string& prefix,
                   const std::function<void(nlohmann::json& value)>& change) {
  for (auto& call : effects.calls) {
    if (call.path != "/txn" || call.body.find("\"Set\":\"" + prefix) == std::string::npos) continue;
    auto body = nlohmann::json::parse(call.body);
    for (auto& operation : body["Then"])
      if (operation.value("Set", "").starts_with(prefix) && !operation["V"].empty())
        change(operation["V"]);
    call.body = body.dump();
  }
}

void keep_small_type(nlohmann::json& stored_types) {
  auto kept = nlohmann::json::array();
  for (const auto& type : stored_types["Rigs"])
    if (type["Name"] == "small") kept.push_back(type);
  stored_types["Rigs"] = kept;
}

// Names the tasks of each chunk's large machines on one of its small machines as well: an entry
// that has not been written again since the tasks were proved gone there.
void add_outdated_entries(nlohmann::json& chunk) {
  auto machines = wire::decode_allocations(chunk.get<std::string>()).value();
  const auto small = std::find_if(machines.begin(), machines.end(), [](const auto& machine) {
    return machine.type == "small" && machine.up && machine.tasks.empty();
  });
  if (small == machines.end()) return;
  for (const auto& machine : machines)
    if (machine.type == "large")
      small->tasks.insert(small->tasks.end(), machine.tasks.begin(), machine.tasks.end());
  chunk = wire::encode_allocations(machines);
}

// The takeover knows some of the types, and the allocation log names a task on two machines: its
// absence from the one of a known type started it elsewhere while it ran on the other.
TEST(TakeoverReads, ATaskThatMayBeOnAMachineOfUnknownTypeTooIsNotStartedElsewhere) {
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    auto scenario = takeover_scenario(seed);
    scenario.cuts_after_responses.clear();
    scenario.late_reads = {{"/flavors", kCrashMs, kBackMs + 2000, 3900}};
    scenario.mutant = [](std::int64_t now, int, core::Effects& effects) {
      if (now > kCrashMs) return;
      change_stored(effects, "rigs", keep_small_type);
      change_stored(effects, "roster/", add_outdated_entries);
    };
    ClusterSimulation simulation(scenario);
    SCOPED_TRACE(simulation.description());
    simulation.run();
    EXPECT_TRUE(has_log_line(simulation, " takeover.types_learned "));
    expect_sound(simulation);
  }
}

// Each thing that a takeover reads, late or lost at all controllers.
class LateTakeoverRead : public ::testing::TestWithParam<ScenarioVariant> {};
TEST_P(LateTakeoverRead, BreaksNoRule) {
  constexpr std::int64_t kDelaysMs[] = {200, 800, 1400, LateRead::kLost};
  std::uint64_t seed = 20;
  std::size_t machines_cut = 0;
  for (const auto delay_ms : kDelaysMs)
    for (const std::int64_t until : {kBackMs + 400, kBackMs + 4000})
      for (const char* crash : {"crash all", "crash leader"}) {
        SCOPED_TRACE(std::string(crash) + ", delay " + std::to_string(delay_ms) + " ms");
        auto scenario = takeover_scenario(++seed);
        scenario.events = {{kCrashMs, crash}};
        scenario.cuts_after_responses.front().from = kCrashMs + 1000;
        scenario.cuts_after_responses.front().responses = 1 + static_cast<int>(seed % 3);
        GetParam().change(scenario);
        for (auto& read : scenario.late_reads) {
          read.from = kCrashMs;
          read.to = until;
          read.delay_ms = delay_ms;
        }
        ClusterSimulation simulation(scenario);
        SCOPED_TRACE(simulation.description());
        simulation.run();
        machines_cut += simulation.machines_cut;
        expect_sound(simulation);
      }
  EXPECT_GT(machines_cut, 0U);
}

ScenarioVariant late(const char* name, std::vector<std::string> paths) {
  return {name, [paths = std::move(paths)](Scenario& scenario) {
            for (const auto& path : paths) scenario.late_reads.push_back({path, 0, 0, 0});
          }};
}
INSTANTIATE_TEST_SUITE_P(
    All, LateTakeoverRead,
    ::testing::Values(late("MachineTypes", {"/store/rigs"}),
                      late("MachineTypesEverywhere", {"/store/rigs", "/store/flavors", "/flavors"}),
                      late("Jobs", {"/store?Under=live/"}),
                      late("Progress", {"/store?Under=prog/"}),
                      late("AllocationLog", {"/store?Under=roster/"}),
                      late("LastLeader", {"/store/led"}), late("Term", {"/store/term"}),
                      late("Leader", {"/store/leader"}), late("FeatureLevel", {"/store/level"}),
                      late("TypesAndJobs", {"/store/rigs", "/store?Under=live/"}),
                      late("TypesAndAllocationLog", {"/store/rigs", "/store?Under=roster/"}),
                      late("Everything", {"/store"})),
    name_of);

}  // namespace
}  // namespace hitchfront::testing
