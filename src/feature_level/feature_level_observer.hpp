// The interface through which FeatureLevelGate notifies the controller that owns it.
#pragma once
#include <string>

#include "core/effects.hpp"

namespace hitchfront::core {

// All functions are called on the core's thread, from within a call to FeatureLevelGate or one of
// its store callbacks. `now` is the steady time of that call.
class FeatureLevelObserver {
 public:
  virtual ~FeatureLevelObserver() = default;

  // This process may serve: from now on the feature level is not switched without its support.
  // Called again when it may serve again after on_unsupported_level().
  virtual void on_ready_to_serve(Ms now) = 0;
  // The stored state is at a feature level that this process does not support: it stops serving.
  virtual void on_unsupported_level(Ms now) = 0;
  // The store has lost data. Called again for each further loss before the recovery.
  virtual void on_data_loss(Ms now) = 0;
  virtual void on_data_recovered(Ms now) = 0;
  // The first heartbeat of another controller's process has arrived. That process may not have
  // received any heartbeat from this one yet.
  virtual void on_peer_process_started(const std::string& node) = 0;
};

}  // namespace hitchfront::core
