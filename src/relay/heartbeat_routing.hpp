// To which controller a worker should send its heartbeats, and which workers were redirected a
// moment ago.
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
  // All outlive this object.
  HeartbeatRouting(const LeaderElection& election, const settings::Platform& platform,
                   const membership::Members& members);

  // The controller that a worker should send its heartbeats to: one in its own zone if such a one
  // is up, which passes them on, else the leader. When two zones lose each other the zone's workers
  // then notice nothing.
  [[nodiscard]] std::string home(Ms now, const wire::Heartbeat& heartbeat) const;
  // The leader's node gives peer heartbeats, or has just been elected.
  [[nodiscard]] bool leader_is_up(Ms now) const;
  // The worker was redirected a moment ago: if it is here again, it can't reach the other node.
  [[nodiscard]] bool was_redirected(Ms now, const std::string& machine) const;
  void record_redirect(Ms now, const std::string& machine);
  // Machines come and go: forgets old entries once there are many. Each tick.
  void tick(Ms now);

 private:
  const std::string& zone_of(const std::string& node) const;

  const LeaderElection& election_;
  const settings::Platform& platform_;
  const membership::Members& members_;
  std::map<std::string, Ms> redirected_at_;  // by machine
};

// Machines that are remembered before old entries are looked for.
[[nodiscard]] std::size_t remembered_machines(const settings::Platform& platform);

}  // namespace hitchfront::core
