// A whole deployment in one process, played from a seed in virtual time: real controllers against
// simulators for the state service, the cloud, machines and users, over a network that delays, cuts
// and holds messages. An invariant checker watches what users and machines observe.
//
// The same scenario gives the same run: time advances in fixed steps, and everything drawn comes
// from the scenario's seed. One thread; several simulations may be alive at once.
#pragma once
#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <vector>

#include "core/controller.hpp"
#include "simulation/controller_cluster.hpp"
#include "simulation/fault_injector.hpp"
#include "simulation/feature_level_check.hpp"
#include "simulation/launch_log.hpp"
#include "simulation/observations.hpp"
#include "simulation/scenario.hpp"
#include "simulation/scenario_generator.hpp"
#include "simulation/simulated_network.hpp"
#include "simulation/simulated_platform.hpp"
#include "simulation/simulated_users.hpp"
#include "simulation/simulation_context.hpp"

namespace hitchfront::testing {

class ClusterSimulation : public Observations {
 public:
  // Throws std::invalid_argument for a scenario with an unknown fault.
  explicit ClusterSimulation(Scenario scenario);
  ClusterSimulation(const ClusterSimulation&) = delete;
  ClusterSimulation& operator=(const ClusterSimulation&) = delete;

  // To the scenario's end, or until every accepted job has ended and faults are over.
  void run();

  // Which run it is, for messages: its seed and its deployment.
  std::string description() const;
  std::int64_t now() const { return context_.now(); }
  const settings::Platform& platform() const { return context_.platform; }

  // ---- jobs; see service_quality.hpp

  // Accepted jobs of which no user knows an end.
  std::vector<std::string> unfinished() const { return users_.unfinished(); }
  std::vector<std::string> unserved() const;
  std::vector<std::string> large_jobs() const;
  std::vector<std::string> late_to_begin(std::int64_t most_ms) const;

  // ---- controllers

  // None: nobody leads.
  core::Controller* leader();
  // What the leader answers at once to a request of this moment; status 0: it doesn't yet.
  core::HttpReply ask_leader(core::Method method, const std::string& path,
                             const std::string& body) {
    return controllers_.ask_leader(method, path, body);
  }
  // Requests so answered by a controller, of anybody.
  std::size_t answered(const std::string& node, int status) const;

  // ---- the state service

  wire::FeatureLevel level() const { return stored_level(surroundings_.store()); }
  std::string stored(const std::string& key) const;      // as JSON; empty: nothing
  std::size_t written(const std::string& prefix) const;  // puts and deletes of such keys
  // Transactions that it refused for its limits.
  std::size_t too_large() const { return surroundings_.store().too_large; }

  // Machines on which every task fails.
  std::set<std::string> faulty() const { return surroundings_.faulty(); }

 private:
  void record_launches();
  void step();
  void check_invariants(std::int64_t quiet_at);
  bool all_over(std::int64_t quiet_at) const;

  SimulationContext context_;
  SimulatedNetwork network_;
  ControllerCluster controllers_;
  SimulatedPlatform surroundings_;
  SimulatedUsers users_;
  FaultInjector faults_;
  FeatureLevelCheck level_check_;
  LaunchLog launch_log_{checker};
};

// Removes from all that a controller says to machines the launches for which `unwanted` is true: a
// mutant.
void drop_launches(core::Effects& effects,
                   const std::function<bool(const std::string& job)>& unwanted);

// Sets the fencing token of all that a controller says to machines to the first one of its term: a
// mutant whose tokens never rise within a term.
void keep_first_token(core::Effects& effects);

// The first few violations, a line each.
std::string report(const ClusterSimulation& simulation);

}  // namespace hitchfront::testing
