// What the parts of one simulation share: what is played, the virtual time, the draws, and what is
// observed. One per run; everything happens in one thread.
#pragma once
#include <utility>

#include "settings/platform.hpp"
#include "simulation/event_queue.hpp"
#include "simulation/observations.hpp"
#include "simulation/scenario.hpp"
#include "simulation/seeded_random.hpp"

namespace hitchfront::testing {

struct SimulationContext {
  SimulationContext(Scenario to_play, Observations& observations)
      : scenario(std::move(to_play)), random(scenario.seed), observed(observations) {}

  std::int64_t now() const { return events.now(); }

  Scenario scenario;  // faults may add to its cuts
  SeededRandom random;
  EventQueue events;
  Observations& observed;
  settings::Platform platform;  // of every controller, but for its own name, zone and peers
  // The store has lost something in this run: what stands there may be older than what any
  // controller knows.
  bool store_has_lost = false;
};

}  // namespace hitchfront::testing
