// What every part of a leader needs in order to act: effects, the store, the settings, the right to
// act and the term.
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
  Outbox& out;
  StoreClient& store;
  LeaderElection& election;
  FeatureLevelGate& feature_levels;
  const settings::Platform& platform;
  const settings::Operator& operator_settings;
  LeaderEnvironment& environment;
  const std::uint64_t term;            // the fencing token
  const std::uint64_t leader_version;  // of the key `leader`, for conditions
  const std::int64_t wall_minus_steady;
  std::shared_ptr<int> alive = std::make_shared<int>(0);

  bool can_act(Ms now) const { return election.can_act(now) && election.term() == term; }
  template <class... Values>
  void log(Event event, Values&&... values) const {
    out.log(event, std::forward<Values>(values)...);
  }
  telemetry::Metrics& metrics() const { return out.metrics(); }
  // Continuations run only while this leader exists.
  template <class F>
  ResponseCallback guarded(F continuation) const {
    return while_alive(alive, std::move(continuation));
  }
  // The time of day in the milliseconds of the steady clock.
  Ms to_steady(std::int64_t wall_ms) const { return wall_ms - wall_minus_steady; }
};

}  // namespace hitchfront::core
