// The follower's side of the relay: forwards workers' heartbeats to the leader, and the leader's
// responses to the workers.
//
// Heartbeats are sent over the peer connection while the leader is up, and otherwise in batches
// through the key-value store. Only one batch is in flight at a time, so that the rate of writes
// does not depend on the number of workers. Runs on the core's thread.
#pragma once
#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "membership/request_ids.hpp"
#include "relay/heartbeat_routing.hpp"
#include "telemetry/metrics.hpp"
#include "wire/batch.hpp"
#include "wire/peer.hpp"
#include "wire/relay_value.hpp"

namespace hitchfront::core {

class FollowerRelay {
 public:
  // Processes a heartbeat again as if it had just arrived. It is refused at `deadline`.
  using Retry =
      std::function<void(Ms now, std::uint64_t request, std::string_view body, Ms deadline)>;
  // All references outlive this object.
  FollowerRelay(Outbox& outbox, StoreClient& store, const LeaderElection& election,
                const settings::Platform& platform, HeartbeatRouting& routing,
                membership::RequestIds& request_ids, Retry retry);

  // Relays a worker's heartbeat, whose unparsed text is `body`, and replies to `request` when the
  // leader has responded, or at `deadline` with a refusal. Returns false if the worker should be
  // redirected instead.
  [[nodiscard]] bool try_relay(Ms now, std::uint64_t request, const wire::Heartbeat& heartbeat,
                               std::string_view body, Ms deadline);
  // Handles the leader's response over the peer connection: relay_response.
  void on_peer_response(const wire::PeerMessage& message);
  // The store has lost data, and its revisions may have gone back.
  void state_lost() { responses_revision_ = 0; }
  void tick(Ms now);  // each kTickIntervalMs

 private:
  using Route = telemetry::HeartbeatRoute;  // peer or store
  // A worker's request that awaits the leader's response.
  struct Pending {
    std::uint64_t request = 0;
    Ms deadline = 0;
    std::string body;
    Route route = Route::peer;
  };
  // The encoded heartbeats of one relay value, and their ids in pending_.
  struct Batch {
    std::vector<std::uint64_t> ids;
    std::string items;
  };

  // Returns true if the worker is new here, and records it.
  bool record_arrival(Ms now, const std::string& machine);
  void send_to_leader(Ms now, std::uint64_t request, std::string_view body, Ms deadline,
                      Route route);
  void reply_to_worker(std::uint64_t id, int status, std::string body);
  // The route through the store.
  void send_batch(Ms now);
  Batch build_batch();
  void on_batch_committed(int status, const std::vector<std::uint64_t>& ids);
  void watch_responses(Ms now);
  void process_responses(const wire::Event& event);
  void on_watch_response(Ms now, int status, std::string_view body);
  // Parts of tick().
  void retry_if_leader_changed(Ms now);
  void refuse_expired(Ms now);
  void reroute_if_leader_unreachable(Ms now);
  void evict_old_machines(Ms now);

  Outbox& outbox_;
  StoreClient& store_;
  const LeaderElection& election_;
  const settings::Platform& platform_;
  HeartbeatRouting& routing_;
  membership::RequestIds& request_ids_;
  Retry retry_;

  // By machine. A machine in relayed_since_ is relayed for kRelayPeriodMs before it is redirected
  // again.
  std::map<std::string, Ms> arrived_at_, relayed_since_;
  std::unordered_map<std::uint64_t, Pending> pending_;  // by id
  // The leader that the pending heartbeats were sent to.
  std::string sent_to_leader_;
  std::uint64_t sent_in_term_ = 0;

  std::vector<std::uint64_t> unsent_ids_;  // waiting for the next batch
  std::uint64_t batch_sequence_ = 0;       // of the newest batch; 0: none yet
  std::uint64_t first_sequence_ = 0;       // lower ones are of earlier processes
  bool batch_in_flight_ = false;           // the newest batch awaits responses
  Ms batch_sent_at_ = 0;
  bool watching_responses_ = false;
  std::uint64_t responses_revision_ = 0;  // store revision up to which responses have been read
};

}  // namespace hitchfront::core
