// The network between controllers, machines, users, the state service and the cloud: messages are
// delayed, lost once and sent again, refused or held back by the scenario's cuts.
#pragma once
#include <functional>
#include <string>

#include "simulation/simulation_context.hpp"

namespace hitchfront::testing {

class SimulatedNetwork {
 public:
  // The zone of a controller or machine; empty: it has none.
  using ZoneOf = std::function<std::string(const std::string& endpoint)>;
  using Action = EventQueue::Action;

  SimulatedNetwork(SimulationContext& context, ZoneOf zone_of)
      : context_(context), zone_of_(std::move(zone_of)) {}

  // Sends a message; `lost` (which may be empty) is called when it can never arrive.
  void send(const std::string& from, const std::string& to, Action deliver, Action lost);
  // False: what this machine sends reaches no controller.
  bool can_send(const std::string& machine) const;
  // A copy of what was sent is carried out once more, for this share of messages; whoever sent it
  // has its answer from elsewhere.
  void duplicate(double share, Action action);
  // Carries it out as late as copies arrive.
  void delay_like_duplicate(Action action);

 private:
  const Scenario::Cut* find_cut(const std::string& a, const std::string& b) const;
  bool crosses_zone_cut(const Scenario::Cut& cut, const std::string& a, const std::string& b) const;
  bool is_unreachable(const std::string& controller, const std::string& machine) const;
  bool matches(const std::string& pattern, const std::string& machine) const;
  bool is_active(const Scenario::Cut& cut) const {
    return context_.now() >= cut.from && context_.now() < cut.to;
  }

  SimulationContext& context_;
  ZoneOf zone_of_;
};

}  // namespace hitchfront::testing
