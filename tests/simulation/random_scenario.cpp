// The order of the draws is part of a seed's meaning: a new draw goes to the end.
#include "simulation/scenario_generator.hpp"
#include "simulation/seeded_random.hpp"

namespace hitchfront::testing {
namespace {

class RandomScenario {
 public:
  explicit RandomScenario(std::uint64_t seed) : random_(seed) { s_.seed = seed; }

  Scenario draw() {
    if (number(0, 3) == 0) s_.zones = {"only"};
    s_.loss = 0.001 * static_cast<double>(number(0, 20));
    for (auto faults = number(3, 9); faults > 0; --faults) draw_fault();
    draw_load();
    draw_machine_faults();
    draw_silent_controllers();
    draw_versions();
    end_outages();
    if (number(0, 1) == 0) s_.restart_ms = number(50, 500);
    draw_duplicates();
    draw_unreachable_machines();
    draw_isolated_controller();
    s_.settle_ms += 60'000;  // the last of these may end when the users have long stopped
    draw_flaps();
    draw_chains();
    if (number(0, 1) == 0) s_.limits_fall_at = number(1'000, s_.run_ms);
    draw_repeats();
    return s_;
  }

 private:
  std::int64_t number(std::int64_t low, std::int64_t high) { return random_.between(low, high); }
  double tenths(std::int64_t low, std::int64_t high) {
    return 0.1 * static_cast<double>(number(low, high));
  }
  void add(std::int64_t when, const std::string& what) { s_.events.push_back({when, what}); }

  void draw_fault() {
    const auto when = number(5'000, s_.run_ms - 10'000);
    const std::string node = "node-" + std::to_string(number(0, 2));
    switch (number(0, 10)) {
      case 0:
        return add(when, "crash leader");
      case 1:
        return add(when, number(0, 1) == 0 ? "crash all" : "crash " + node);
      case 2:
        add(when, "outage");
        return add(when + number(1'000, 25'000), "mend");
      case 3:
        add(when, "cloud-out");
        return add(when + number(5'000, 40'000), "cloud-mend");
      case 4:
        return add(when, "hang");
      case 5:
        return add(when, "hang briefly");
      case 6:
        return add(when, number(0, 1) == 0 ? "take" : "notice");
      default:
        return draw_cut(when, node);
    }
  }

  void draw_cut(std::int64_t when, const std::string& node) {
    const char* others[] = {"state", "workers", "cloud", "users", "*", "node-1"};
    std::string a = number(0, 2) == 0 ? "n-00000" + std::to_string(number(1, 9)) : node;
    std::string b = others[number(0, 5)];
    if (a.starts_with("n-")) b = "*";
    s_.cuts.push_back({when, when + number(1'000, 45'000), a, b, number(0, 1) == 0});
  }

  void draw_load() {
    if (number(0, 2) == 0) {
      s_.poll_storm_from = number(5'000, 60'000);
      s_.poll_storm_to = s_.poll_storm_from + number(5'000, 60'000);
    }
    if (number(0, 2) == 0) {
      s_.best_effort = tenths(1, 6);
      if (number(0, 1) == 0) s_.best_effort_run_s = static_cast<double>(number(10, 40));
    }
    if (number(0, 2) == 0) s_.always_failing = 0.05 * static_cast<double>(number(1, 4));
  }

  void draw_machine_faults() {
    if (number(0, 2) == 0) {
      const auto when = number(1'000, s_.run_ms - 30'000);
      const char* boots[] = {"boots 0.05", "boots 4", "boots 12", "boots-fail"};
      add(when, boots[number(0, 3)]);
      add(when + number(10'000, 60'000), "boots-mend");
    }
    if (number(0, 2) == 0) add(number(5'000, s_.run_ms), "faulty");
  }

  // One controller is silent for a minute and more, and perhaps a second one with it.
  void draw_silent_controllers() {
    if (number(0, 2) != 0) return;
    const auto when = number(5'000, 60'000);
    const auto first = number(0, 2);
    s_.cuts.push_back({when, when + number(60'000, 85'000), "node-" + std::to_string(first), "*",
                       number(0, 1) == 0});
    if (number(0, 2) == 0)
      s_.cuts.push_back({when + number(0, 20'000), when + number(30'000, 60'000),
                         "node-" + std::to_string((first + 1) % 3), "*", number(0, 1) == 0});
  }

  // Controllers are replaced, back and forth between versions, at any moment; at the end all are of
  // the newest.
  void draw_versions() {
    if (number(0, 1) != 0) return;
    for (int node = 0; node < s_.nodes; ++node) draw_version(0, node);
    for (auto rolls = number(0, 8); rolls > 0; --rolls)
      draw_version(number(10'000, s_.run_ms), static_cast<int>(number(0, 2)));
    for (int node = 0; node < s_.nodes; ++node)
      s_.versions.push_back(
          {s_.run_ms + 1000 + 8000 * node, node, {1, feature_level::kNewestLevel + 1, true}});
    // The last of them is back twenty seconds after the users' last job, and a job of one machine
    // type takes its time.
    s_.settle_ms += 100'000;
    if (number(0, 1) == 0)
      s_.events.push_back(
          {number(10'000, s_.run_ms), "freeze leader " + std::to_string(number(1'000, 20'000))});
  }

  void draw_version(std::int64_t when, int node) {
    const feature_level::Support kinds[] = {{1, 1, false},
                                            {1, 1, true},
                                            {1, 2, true},
                                            {1, 3, true},
                                            {1, feature_level::kNewestLevel + 1, true}};
    s_.versions.push_back(
        {when, node, kinds[number(0, 4)],
         number(0, 3) == 0 ? static_cast<unsigned>(number(1, 4)) : Scenario::kNoLevelLimit});
  }

  // An outage that no later event ends would leave nothing to settle.
  void end_outages() {
    for (const char* what : {"mend", "cloud-mend", "boots-mend"}) add(s_.run_ms, what);
  }

  void draw_duplicates() {
    if (number(0, 1) == 0) {
      s_.duplicates = 0.05 * static_cast<double>(number(1, 6));
      s_.duplicate_delay_min = number(500, 5'000);
      s_.duplicate_delay_max = s_.duplicate_delay_min + number(1'000, 60'000);
    }
    if (number(0, 1) == 0) s_.late_commands = tenths(1, 5);
    if (number(0, 1) == 0) {  // heartbeats far apart, so that launches go to machines directly
      s_.heartbeat_ms = number(3, 8) * 1000;
      s_.lease_s = 12 + 2.5 * static_cast<double>(s_.heartbeat_ms) / 1000;
      s_.settle_ms += 60'000;
    }
    if (number(0, 1) == 0) s_.request_repeats = 0.05 * static_cast<double>(number(1, 4));
  }

  void draw_unreachable_machines() {
    for (auto unreachable = number(0, 3); unreachable > 0; --unreachable) {
      const auto when = number(10'000, s_.run_ms - 40'000);
      const std::string machine = number(0, 4) == 0
                                      ? "zone " + s_.zones.front()
                                      : "n-0000" + std::string(number(0, 1) == 0 ? "0" : "1") +
                                            std::to_string(number(1, 9));
      s_.unreachable.push_back({when, when + number(20'000, 90'000),
                                number(0, 2) == 0 ? "node-" + std::to_string(number(0, 2)) : "*",
                                machine, number(0, 1) == 0});
    }
  }

  void draw_isolated_controller() {
    if (number(0, 2) != 0) return;
    const auto when = number(10'000, s_.run_ms - 50'000);
    isolate_controller(s_, static_cast<int>(number(0, 2)), when, when + number(3'000, 45'000),
                       number(0, 1) == 0);
  }

  void draw_flaps() {
    for (auto flaps = number(0, 3); flaps > 0; --flaps)
      s_.events.push_back(
          {number(5'000, s_.run_ms - 20'000), "flap " + std::to_string(number(100, 900))});
  }

  // While earlier versions are there jobs that await others are refused, and most of their users
  // give up.
  void draw_chains() {
    if (number(0, 1) == 0) s_.chains = tenths(2, s_.versions.empty() ? 8 : 3);
  }

  void draw_repeats() {
    if (number(0, 1) == 0) return;
    s_.duplicate_delay_min = number(100, 3'000);
    s_.command_repeats = tenths(1, 10);
    if (number(0, 1) == 0) s_.peer_message_repeats = 0.05 * static_cast<double>(number(1, 4));
  }

  SeededRandom random_;
  Scenario s_;
};

}  // namespace

Scenario random_scenario(std::uint64_t seed) {
  return RandomScenario(seed).draw();
}

}  // namespace hitchfront::testing
