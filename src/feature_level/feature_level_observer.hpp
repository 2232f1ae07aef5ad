// What FeatureLevelGate reports to the controller around it.
#pragma once
#include <string>

#include "core/effects.hpp"

namespace hitchfront::core {

// All functions are called on the core's thread, within a call of FeatureLevelGate or of one of its
// store callbacks. `now` is the steady time of that turn.
class FeatureLevelObserver {
 public:
  virtual ~FeatureLevelObserver() = default;

  // This process may serve: no switch of the feature level passes it by any more. Once more after
  // each on_unsupported_level().
  virtual void on_ready_to_serve(Ms now) = 0;
  // The stored state is of a feature level that this version doesn't know: it serves no longer.
  virtual void on_unsupported_level(Ms now) = 0;
  // The store has lost data. Once more for each loss before the first is recovered.
  virtual void on_data_loss(Ms now) = 0;
  // The stored state has been recovered.
  virtual void on_data_recovered(Ms now) = 0;
  // Another controller's process has begun, or is heard for the first time: it knows nothing yet.
  virtual void on_peer_process_started(const std::string& node) = 0;
};

}  // namespace hitchfront::core
