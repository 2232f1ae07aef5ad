// The controllers of a simulation: each a core::Controller with a process that can crash, a clock
// of its own, and messages that reach it over the simulated network.
#pragma once
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/controller.hpp"
#include "simulation/fault.hpp"
#include "simulation/simulated_network.hpp"
#include "simulation/simulation_context.hpp"

namespace hitchfront::testing {

struct SimulatedController {
  int index = 0;
  std::string name;
  std::unique_ptr<core::Controller> core;  // none: its process does not run
  feature_level::Support support;          // of the program that it runs
  unsigned level_limit = Scenario::kNoLevelLimit;
  std::uint64_t process = 0;  // counts processes
  double clock_rate = 1;      // of its steady clock
  std::int64_t clock_offset = 0;
  std::map<std::uint64_t, std::function<void(const core::HttpReply&)>> requests;  // unanswered
  std::map<int, std::size_t> answered;                                            // by status
  std::uint64_t next_request = 1;
  std::int64_t next_tick = 0;
  std::int64_t restart_at = 0;
  std::int64_t frozen_until = 0;
  std::int64_t refused_until = 0;  // by the store alone
};

class ControllerCluster {
 public:
  // status 0: no answer came in time.
  using OnAnswer = std::function<void(int status, const std::string& body)>;
  // A call of a controller has arrived at the state service, the cloud or a machine; `back` sends
  // the response to it. What is never answered runs into the call's timeout.
  using Serve =
      std::function<void(const SimulatedController& from, const core::HttpCall&, OnAnswer back)>;
  struct Hooks {
    Serve serve;
    std::function<void()> leader_elected;
    // What a controller wants done, after the scenario's mutant and before it is carried out.
    std::function<void(const core::Effects&)> effects;
  };

  ControllerCluster(SimulationContext& context, SimulatedNetwork& network);
  Hooks hooks;  // set before the first tick

  std::vector<std::unique_ptr<SimulatedController>>& all() { return controllers_; }
  const std::vector<std::unique_ptr<SimulatedController>>& all() const { return controllers_; }
  SimulatedController* find(const std::string& name);
  SimulatedController& draw_any();
  SimulatedController* leader();
  // Empty: there is no such controller.
  std::string zone_of(const std::string& name) const;
  std::vector<SimulatedController*> select(const ControllerSelector& who);

  // Starts processes whose time has come, and runs the controllers' timers.
  void tick();
  void crash(SimulatedController& controller);
  // A request of a user or a machine.
  void request(SimulatedController& to, const std::string& from, core::Method method,
               const std::string& path, const std::string& body, OnAnswer done,
               std::int64_t timeout_ms);
  // What the leader answers at once to a request of this moment; status 0: it doesn't yet.
  core::HttpReply ask_leader(core::Method method, const std::string& path, const std::string& body);

 private:
  using Action = EventQueue::Action;

  std::int64_t steady_clock(const SimulatedController& controller) const;
  std::int64_t wall_clock() const;
  void start(SimulatedController& controller);
  void reset_steady_clock(SimulatedController& controller);
  std::uint64_t process_seed(const SimulatedController& controller);
  // Once the controller runs again, if it is frozen.
  void when_awake(SimulatedController& controller, Action action);
  void accept(SimulatedController& to, const std::string& from, core::Method method,
              const std::string& path, const std::string& body, const OnAnswer& finish,
              std::int64_t timeout_ms);
  // Carries out what the controller wants done until it wants nothing more.
  void flush(SimulatedController& controller);
  void note_logs(SimulatedController& controller, const core::Effects& effects);
  void reply(SimulatedController& controller, const core::HttpReply& answer);
  void send_to_peer(SimulatedController& controller, const core::OutgoingPeerMessage& message);
  // By the scenario's late messages; none: it is not late.
  std::optional<std::int64_t> peer_message_delay(const std::string& bytes) const;
  // By the scenario's late reads; null: it is not late.
  const Scenario::LateRead* find_late_read(const core::HttpCall& call) const;
  void call(SimulatedController& controller, const core::HttpCall& call);
  void check_rental_name(const SimulatedController& controller, const core::HttpCall& call);

  SimulationContext& context_;
  SimulatedNetwork& network_;
  std::vector<std::unique_ptr<SimulatedController>> controllers_;
  std::set<std::string> elected_;                    // terms
  std::map<std::string, std::string> rental_users_;  // names of rentals -> process that used each
};

}  // namespace hitchfront::testing
