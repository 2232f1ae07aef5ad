// The interface between LeaderElection and the controller that owns it.
#pragma once
#include <string>

#include "core/effects.hpp"

namespace hitchfront::core {

// All functions are called on the core's thread, from within a call of LeaderElection or one of its
// store callbacks. `now` is the steady time of that call.
class ElectionEnvironment {
 public:
  virtual ~ElectionEnvironment() = default;

  // This node has taken the leader key; LeaderElection::term() is its term.
  virtual void on_leadership_gained(Ms now) = 0;
  // This node is no longer the leader. Everything that acts on the leader's behalf must stop.
  virtual void on_leadership_lost(Ms now) = 0;
  // The stored term is lower than a term known to this node: the store has lost data. May call
  // LeaderElection::state_lost() before it returns.
  virtual void on_stale_term_stored(Ms now) = 0;

  // The end of the period in which this node's knowledge of cancellations suffices for responses to
  // workers (docs/safety.md).
  [[nodiscard]] virtual Ms cancellations_known_until() const = 0;
  // Whether `node` runs a version that does not detect data loss: as leader it would never recover
  // the stored state.
  [[nodiscard]] virtual bool ignores_data_loss(const std::string& node) const = 0;
  // Whether each peer has sent a message since this process started, or has been silent for long
  // enough to count as unreachable. If any term had been taken, a reachable peer would have
  // reported it.
  [[nodiscard]] virtual bool heard_from_all_peers(Ms now) const = 0;
};

}  // namespace hitchfront::core
