// The leader's side of the relay: receives heartbeats from followers, over the peer connection or
// through the key-value store, passes them to this node's leader, and returns its responses by the
// same route. Runs on the core's thread.
#pragma once
#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "relay/heartbeat_routing.hpp"
#include "telemetry/metrics.hpp"
#include "wire/batch.hpp"
#include "wire/peer.hpp"
#include "wire/relay_value.hpp"

namespace hitchfront::core {

class LeaderRelay {
 public:
  // Passes a heartbeat to this node's leader, which replies to `request`. With
  // HeartbeatRoute::store the response is slow to return, so it should not be deferred for long.
  using Handler = std::function<void(Ms now, std::uint64_t request, wire::Heartbeat heartbeat,
                                     telemetry::HeartbeatRoute route)>;
  // All references outlive this object.
  LeaderRelay(Outbox& outbox, StoreClient& store, const LeaderElection& election,
              const settings::Platform& platform, HeartbeatRouting& routing, Handler handler);

  // Called when this node has become leader, or has recovered the stored state.
  void start(Ms now);
  void stop();
  void tick(Ms now);  // each kTickIntervalMs

  // Redirects a worker to its preferred controller unless that is this node. `request` is its
  // direct heartbeat. Returns whether a redirect was sent.
  [[nodiscard]] bool redirect_to_preferred(Ms now, std::uint64_t request,
                                           const wire::Heartbeat& heartbeat);
  // Handles a heartbeat that `node` relays over the peer connection: relay_request.
  void on_peer_request(Ms now, const std::string& node, const wire::PeerMessage& message);
  // Returns whether `reply` belongs to a relayed heartbeat. If so it has been consumed: sent back,
  // or dropped if it is of an earlier leadership.
  [[nodiscard]] bool try_relay_response(Ms now, const HttpReply& reply);

 private:
  using Route = telemetry::HeartbeatRoute;  // peer or store
  // Ids of relayed requests begin here, above those of the HTTP server.
  static constexpr std::uint64_t kFirstRequestId = 1ULL << 62;

  // The sender of a relayed heartbeat, to which the response is returned.
  struct Origin {
    std::string node;
    std::uint64_t id = 0;  // of the heartbeat, assigned by that node
    Route route = Route::peer;
  };
  // A follower's batch received through the store.
  struct Batch {
    std::uint64_t sequence = 0;
    std::size_t heartbeat_count = 0;
    std::vector<wire::RelayedResponse> responses;  // not written yet
  };

  std::uint64_t add_request(Origin origin);
  void send_to_peer(const Origin& origin, const HttpReply& reply);
  void add_to_batch(Ms now, const Origin& origin, const HttpReply& reply);
  void write_responses(Ms now, const std::string& node);
  void watch_requests(Ms now);
  void on_watch_response(Ms now, const wire::WatchPage& page);
  void process_batch(Ms now, const std::string& node, const wire::RelayValue& value);

  Outbox& outbox_;
  StoreClient& store_;
  const LeaderElection& election_;
  const settings::Platform& platform_;
  HeartbeatRouting& routing_;
  Handler handler_;

  bool running_ = false;
  std::unordered_map<std::uint64_t, Origin> origins_;  // by request id
  std::uint64_t next_request_id_ = kFirstRequestId;
  std::map<std::string, Batch> batches_;  // the newest batch by node
  std::uint64_t requests_revision_ = 0;   // store revision up to which requests have been read
  std::uint64_t watch_epoch_ = 0;  // incremented by start() and stop(), to ignore earlier watches
  Ms retry_watch_at_ = 0;          // 0: not scheduled
};

}  // namespace hitchfront::core
