// What LeaderElection asks of the controller around it, and reports to it.
#pragma once
#include <string>

#include "core/effects.hpp"

namespace hitchfront::core {

// All functions are called on the core's thread, within a call of LeaderElection or of one of its
// store callbacks. `now` is the steady time of that turn.
class ElectionEnvironment {
 public:
  virtual ~ElectionEnvironment() = default;

  // This node has taken the leader key; LeaderElection::term() is its term.
  virtual void on_leadership_gained(Ms now) = 0;
  // This node leads no longer. Whatever works for the leader must not act any more.
  virtual void on_leadership_lost(Ms now) = 0;
  // The store names a term below one that is known: it has lost data. May call
  // LeaderElection::state_lost() before it returns.
  virtual void on_stale_term_stored(Ms now) = 0;

  // Until when this node's knowledge of cancellations suffices to answer workers
  // (docs/safety.md).
  [[nodiscard]] virtual Ms cancellations_known_until() const = 0;
  // `node` runs a version that does not detect data loss: as leader it would never recover the
  // stored state.
  [[nodiscard]] virtual bool ignores_data_loss(const std::string& node) const = 0;
  // Every other controller has been heard since this process began, or has been silent for so long
  // that it would have been: had there been a term, one of them would have named it.
  [[nodiscard]] virtual bool heard_from_all_peers(Ms now) const = 0;
};

}  // namespace hitchfront::core
