// Determines which controller a worker should send its heartbeats to, and tracks recent redirects.
#pragma once
#include <map>
#include <string>

#include "election/leader_election.hpp"
#include "membership/members.hpp"
#include "settings/platform.hpp"
#include "wire/worker.hpp"

namespace hitchfront::core {

class HeartbeatRouting {
 public:
  // All references outlive this object.
  HeartbeatRouting(const LeaderElection& election, const settings::Platform& platform,
                   const membership::Members& members);

  // The controller that a worker should send its heartbeats to: one in the worker's zone if such a
  // controller is up, otherwise the leader. Workers are then unaffected by a partition between
  // zones, since a follower in their zone relays their heartbeats.
  [[nodiscard]] std::string preferred_controller(Ms now, const wire::Heartbeat& heartbeat) const;
  // Whether the leader has sent a peer heartbeat recently, or was first observed too recently for
  // one to have arrived.
  [[nodiscard]] bool leader_is_up(Ms now) const;
  // Whether the worker was redirected within kRedirectReturnWindowMs. If it has come back, it
  // cannot reach the other node.
  [[nodiscard]] bool was_redirected(Ms now, const std::string& machine) const;
  void record_redirect(Ms now, const std::string& machine);
  // Evicts old redirects once there are many.
  void tick(Ms now);  // each kTickIntervalMs

 private:
  const std::string& zone_of(const std::string& node) const;

  const LeaderElection& election_;
  const settings::Platform& platform_;
  const membership::Members& members_;
  std::map<std::string, Ms> redirected_at_;  // by machine
};

// Number of machines in a table above which its old entries are evicted.
[[nodiscard]] std::size_t machine_eviction_threshold(const settings::Platform& platform);

}  // namespace hitchfront::core
