// What surrounds the controllers of a simulation: the state service, the cloud, and the machines
// that are rented from it, with the scenario's faults on the calls that controllers make.
#pragma once
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "simulation/controller_cluster.hpp"
#include "simulation/simulated_network.hpp"
#include "simulation/simulation_context.hpp"
#include "simulators/cloud.hpp"
#include "simulators/store.hpp"
#include "simulators/worker.hpp"

namespace hitchfront::testing {

class SimulatedPlatform {
 public:
  using Workers = std::map<std::string, std::unique_ptr<simulators::Worker>>;
  using OnAnswer = ControllerCluster::OnAnswer;
  struct Hooks {
    // A task's attempt started / a task is done.
    std::function<void(const std::string& job, std::uint32_t task, std::uint64_t attempt)> started;
    std::function<void(const std::string& job)> task_done;
  };

  SimulatedPlatform(SimulationContext& context, SimulatedNetwork& network,
                    ControllerCluster& controllers);
  Hooks hooks;  // set before the first controller starts; each may be empty

  // Time passes in the state service and the cloud.
  void tick();
  // Machines send their heartbeats.
  void send_heartbeats();
  // Copies of heartbeats that were kept for the next leader.
  void deliver_held_heartbeats();
  // See ControllerCluster::Serve.
  void serve(const SimulatedController& from, const core::HttpCall& call, const OnAnswer& back);

  // Executes nothing for a while, and goes on.
  void hang(const std::string& machine, std::int64_t ms);
  // Any machine; none: there is none.
  simulators::Worker* draw_machine();
  // Every task fails there from now on.
  void break_machine(const std::string& machine) { faulty_.insert(machine); }

  const Workers& workers() const { return workers_; }
  const std::set<std::string>& faulty() const { return faulty_; }
  // Empty: there is no such machine.
  std::string zone_of(const std::string& machine) const;
  simulators::Store& store() { return store_; }
  const simulators::Store& store() const { return store_; }
  simulators::Cloud& cloud() { return *cloud_; }

  static constexpr double kNeverUp = 0.02;  // share of machines that stay booting

 private:
  void set_up_store();
  void set_up_cloud();
  void add_machine(const simulators::Cloud::Machine& machine);
  simulators::Worker::Hooks worker_hooks(const simulators::Worker::Place& place);
  void task_started(const simulators::Worker::Place& place, const std::string& job,
                    std::uint32_t task);
  double run_s(const std::string& job, std::uint32_t task) const;
  // See Scenario::CutAfterResponses.
  void cut_after_response(const simulators::Worker& worker);
  void send_heartbeat(const std::string& machine, const simulators::Worker::Outgoing& heartbeat);

  void serve_store(const SimulatedController& from, const core::HttpCall& call,
                   const OnAnswer& back);
  void serve_cloud(const core::HttpCall& call, const OnAnswer& back);
  void serve_machine(const core::HttpCall& call, const OnAnswer& back);
  // The machine executes the command, when it resumes if it hangs; never if it is gone by then.
  void deliver_command(const std::string& machine, const core::HttpCall& call,
                       const std::function<void(const simulators::Response&)>& executed);
  // Delivers another copy of a command that the machine has executed.
  void repeat_command(const std::string& machine, const core::HttpCall& call);
  void check_first_start(const std::string& job, std::uint32_t task, std::uint64_t attempt);
  bool is_late_write(const core::HttpCall& call);
  void carry_out_without_answer(const core::HttpCall& call);

  SimulationContext& context_;
  SimulatedNetwork& network_;
  ControllerCluster& controllers_;
  simulators::Store store_;
  std::unique_ptr<simulators::Cloud> cloud_;
  std::vector<std::string> controller_names_;
  Workers workers_;
  std::set<std::string> faulty_;                                      // machines
  std::vector<std::pair<std::string, std::string>> held_heartbeats_;  // machine, body
  // Heartbeats answered in the time of Scenario::cuts_after_responses[i], by i and machine.
  std::map<std::pair<std::size_t, std::string>, int> responses_;
};

}  // namespace hitchfront::testing
