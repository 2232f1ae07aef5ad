// What the leader's components share: the outbox, the store, the election, the settings, and the
// leader's term.
#pragma once
#include <cstdint>
#include <memory>
#include <utility>

#include "core/effects.hpp"
#include "election/leader_election.hpp"
#include "feature_level/feature_level_gate.hpp"
#include "kv/store_client.hpp"
#include "leader/leader_environment.hpp"
#include "settings/operator_settings.hpp"
#include "settings/platform.hpp"

namespace hitchfront::core {

struct LeaderContext {
  Outbox& outbox;
  StoreClient& store;
  LeaderElection& election;
  FeatureLevelGate& feature_levels;
  const settings::Platform& platform;
  const settings::OperatorSettings& operator_settings;
  LeaderEnvironment& environment;
  const std::uint64_t term;                // its fencing tokens: election/fencing_token.hpp
  const std::uint64_t leader_key_version;  // of the key `leader`; every write is conditioned on it
  const std::int64_t wall_minus_steady_ms;
  // Guards callbacks: see while_alive().
  std::shared_ptr<int> alive = std::make_shared<int>(0);

  // This node still leads in this term, and knows every cancellation that was acknowledged to a
  // user: it may respond to workers and launch tasks.
  bool can_act(Ms now) const { return election.can_act(now) && election.term() == term; }
  template <class... Values>
  void log(Event event, Values&&... values) const {
    outbox.log(event, std::forward<Values>(values)...);
  }
  telemetry::Metrics& metrics() const { return outbox.metrics(); }
  // Wraps a callback so that it is skipped once this leader has been destroyed.
  template <class F>
  ResponseCallback guarded(F callback) const {
    return while_alive(alive, std::move(callback));
  }
  // Converts wall clock time to the steady clock.
  Ms to_steady(std::int64_t wall_ms) const { return wall_ms - wall_minus_steady_ms; }
};

}  // namespace hitchfront::core
