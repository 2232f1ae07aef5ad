// Passing workers' heartbeats on to a leader that the workers can't reach: over the peer
// connection, or through the store where the nodes can't reach each other either (two zones apart).
//
// A relay forms no responses of its own; the leader's response carries the leader's fencing token
// and check, and the worker drops whatever takes longer than 4 s, so a relayed response is as safe
// as a direct one. Runs on the core's thread.
#pragma once
#include "relay/follower_relay.hpp"
#include "relay/heartbeat_routing.hpp"
#include "relay/leader_relay.hpp"

namespace hitchfront::core {

// The two sides of the relay on one node, and the routing that they share.
class Relay {
 public:
  // All references outlive this object.
  Relay(Outbox& out, StoreClient& store, const LeaderElection& election,
        const settings::Platform& platform, const membership::Members& members,
        LeaderRelay::Handler handler, FollowerRelay::Retry retry)
      : routing_(election, platform, members),
        follower_(out, store, election, platform, routing_, std::move(retry)),
        leader_(out, store, election, platform, routing_, std::move(handler)) {}

  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  [[nodiscard]] const HeartbeatRouting& routing() const { return routing_; }
  [[nodiscard]] FollowerRelay& follower() { return follower_; }
  [[nodiscard]] LeaderRelay& leader() { return leader_; }

  void tick(Ms now) {  // each kTickIntervalMs
    leader_.tick(now);
    follower_.tick(now);
    routing_.tick(now);
  }

 private:
  HeartbeatRouting routing_;
  FollowerRelay follower_;
  LeaderRelay leader_;
};

}  // namespace hitchfront::core
