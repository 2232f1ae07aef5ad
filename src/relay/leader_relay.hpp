// The leader's side of the relay: takes the heartbeats that followers pass on, over the peer
// connection or through the store, gives them to this node's leader, and sends its responses back
// by the way the heartbeats came. Runs on the core's thread.
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
  // Gives a heartbeat to this node's leader, which answers it under `request`. By HeartbeatRoute::
  // store the way back is slow, so the response must not be deferred.
  using Handler = std::function<void(Ms now, std::uint64_t request, wire::Heartbeat heartbeat,
                                     telemetry::HeartbeatRoute route)>;
  // All references outlive this object.
  LeaderRelay(Outbox& out, StoreClient& store, const LeaderElection& election,
              const settings::Platform& platform, HeartbeatRouting& routing, Handler handler);

  // This node leads from now on, or has recovered the stored state: takes what followers pass on.
  void start(Ms now);
  void stop();
  void tick(Ms now);  // each kTickIntervalMs

  // True: the worker, whose heartbeat came here directly as `request`, was redirected to the
  // controller of its own zone.
  [[nodiscard]] bool redirect_home(Ms now, std::uint64_t request, const wire::Heartbeat& heartbeat);
  // A heartbeat that `node` passes on over the peer connection: relay_ask.
  void on_peer_request(Ms now, const std::string& node, const wire::PeerMessage& message);
  // True: the reply was the response to a relayed heartbeat, and has been taken for it.
  [[nodiscard]] bool take_response(Ms now, const HttpReply& reply);

 private:
  using Route = telemetry::HeartbeatRoute;  // peer or store
  // Ids of relayed requests: above all that the server gives to requests of its own.
  static constexpr std::uint64_t kFirstRequest = 1ULL << 62;

  // Where a response goes.
  struct Origin {
    std::string node;
    std::uint64_t id = 0;  // of the heartbeat, by that node
    Route route = Route::peer;
  };
  // A follower's batch that came through the store.
  struct Batch {
    std::uint64_t sequence = 0;
    std::size_t heartbeats = 0;
    std::vector<wire::RelayedResponse> responses;  // so far
  };

  std::uint64_t add_request(Origin origin);
  void send_to_peer(const Origin& origin, const HttpReply& reply);
  void add_to_batch(Ms now, const Origin& origin, const HttpReply& reply);
  void write_responses(Ms now, const std::string& node);
  void watch_requests(Ms now);
  void on_requests_watched(Ms now, const wire::WatchPage& page);
  void on_batch(Ms now, const std::string& node, const wire::RelayValue& value);

  Outbox& out_;
  StoreClient& store_;
  const LeaderElection& election_;
  const settings::Platform& platform_;
  HeartbeatRouting& routing_;
  Handler handler_;

  bool running_ = false;
  std::unordered_map<std::uint64_t, Origin> origins_;  // by request
  std::uint64_t next_request_ = kFirstRequest;
  std::map<std::string, Batch> batches_;  // the newest of each node
  std::uint64_t requests_revision_ = 0;   // of the store, up to which requests are known
  std::uint64_t watch_epoch_ = 0;         // counts start() and stop(): earlier watches are dropped
  Ms retry_watch_at_ = 0;                 // 0: not planned
};

}  // namespace hitchfront::core
