// Relays heartbeats of workers that cannot reach the leader: over the peer connection, or through
// the key-value store if the controllers cannot reach each other either, as in a partition between
// two zones.
//
// A follower never answers a heartbeat with commands of its own. The response is the leader's, with
// its fencing token and after its lease check, and workers discard responses after 4 s, so a
// relayed response is as safe as a direct one. Runs on the core's thread.
#pragma once
#include "relay/follower_relay.hpp"
#include "relay/heartbeat_routing.hpp"
#include "relay/leader_relay.hpp"

namespace hitchfront::core {

// Both sides of the relay on one node, and the routing that they share.
class Relay {
 public:
  // All references outlive this object.
  Relay(Outbox& outbox, StoreClient& store, const LeaderElection& election,
        const settings::Platform& platform, const membership::Members& members,
        membership::RequestIds& request_ids, LeaderRelay::Handler handler,
        FollowerRelay::Retry retry)
      : routing_(election, platform, members),
        follower_(outbox, store, election, platform, routing_, request_ids, std::move(retry)),
        leader_(outbox, store, election, platform, routing_, std::move(handler)) {}

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
