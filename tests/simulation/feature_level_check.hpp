// The rule of a rollout: no controller leads, and nothing stands in the store, that does not go
// with the stored feature level.
#pragma once
#include <cstdint>
#include <map>
#include <string>

#include "simulation/controller_cluster.hpp"
#include "simulation/simulation_context.hpp"
#include "simulators/store.hpp"
#include "wire/feature_level.hpp"

namespace hitchfront::testing {

// Level 1, where none is stored.
wire::FeatureLevel stored_level(const simulators::Store& store);

class FeatureLevelCheck {
 public:
  static constexpr std::int64_t kEveryMs = 100;

  // To be called every kEveryMs.
  void run(SimulationContext& context, const ControllerCluster& controllers,
           const simulators::Store& store);

 private:
  void check_controller(SimulationContext& context, const SimulatedController& controller,
                        const wire::FeatureLevel& level);

  // How long a controller has led without supporting the stored level (ms).
  std::map<std::string, std::int64_t> unsupported_ms_;
};

}  // namespace hitchfront::testing
