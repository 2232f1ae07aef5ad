// The follower's side of the relay: passes workers' heartbeats on to the leader, and the leader's
// responses back to the workers.
//
// A heartbeat goes over the peer connection while the leader's node is up, and otherwise in a batch
// through the store: one value at a time, so that the store sees a few writes a second however many
// workers there are. Runs on the core's thread.
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

class FollowerRelay {
 public:
  // Takes a heartbeat once more, as if it had just come: `until` is when it is to be refused.
  using Retry = std::function<void(Ms now, std::uint64_t request, std::string_view body, Ms until)>;
  // All references outlive this object.
  FollowerRelay(Outbox& out, StoreClient& store, const LeaderElection& election,
                const settings::Platform& platform, HeartbeatRouting& routing, Retry retry);

  // Takes a worker's heartbeat if it should be passed on: it is answered later, at `until` with a
  // refusal. False: the worker should be redirected. `body` is the heartbeat as it came.
  [[nodiscard]] bool pass_on(Ms now, std::uint64_t request, const wire::Heartbeat& heartbeat,
                             std::string_view body, Ms until);
  // The leader's response to a heartbeat that went over the peer connection: relay_answer.
  void on_peer_response(const wire::PeerMessage& message);
  // The store has lost data: its revisions begin anew.
  void state_lost() { responses_revision_ = 0; }
  void tick(Ms now);  // each kTickIntervalMs

 private:
  using Route = telemetry::HeartbeatRoute;  // peer or store
  // A worker's request that waits for the leader's response.
  struct Pending {
    std::uint64_t request = 0;
    Ms until = 0;
    std::string body;
    Route route = Route::peer;
  };
  // The heartbeats of one value, and the ids under which they wait.
  struct Batch {
    std::vector<std::uint64_t> ids;
    std::string items;
  };

  bool is_newcomer(Ms now, const std::string& machine);
  void send_to_leader(Ms now, std::uint64_t request, std::string_view body, Ms until, Route route);
  void answer(std::uint64_t id, int status, std::string body);
  // Through the store.
  void send_batch(Ms now);
  Batch take_batch();
  void on_batch_written(int status, const std::vector<std::uint64_t>& ids);
  void watch_responses(Ms now);
  void on_responses(const wire::Event& event);
  void on_responses_watched(Ms now, int status, std::string_view body);
  // Parts of tick().
  void retry_if_leader_changed(Ms now);
  void refuse_overdue(Ms now);
  void move_to_store_if_leader_is_silent(Ms now);
  void forget_old_machines(Ms now);

  Outbox& out_;
  StoreClient& store_;
  const LeaderElection& election_;
  const settings::Platform& platform_;
  HeartbeatRouting& routing_;
  Retry retry_;

  // By machine. A relayed one is passed on for a while before it is redirected once more.
  std::map<std::string, Ms> newcomer_since_, relayed_since_;
  std::unordered_map<std::uint64_t, Pending> pending_;  // by id
  std::uint64_t next_id_ = 1;
  // Whom the pending heartbeats were sent to.
  std::string sent_to_leader_;
  std::uint64_t sent_in_term_ = 0;

  std::vector<std::uint64_t> unsent_;  // ids that wait for the next batch
  std::uint64_t batch_sequence_ = 0;   // of the newest batch; 0: there was none
  std::uint64_t first_sequence_ = 0;   // of this process
  bool batch_open_ = false;            // responses to the newest batch are awaited
  Ms batch_sent_at_ = 0;
  bool watching_responses_ = false;
  std::uint64_t responses_revision_ = 0;  // of the store, up to which responses are known
};

}  // namespace hitchfront::core
