// Passing workers' heartbeats on to a leader that the workers can't reach: over the peer
// connection, or through the store where the nodes can't reach each other either (two zones apart).
// A relay forms no answers of its own; the leader's answer carries the leader's token and check,
// and the worker drops whatever takes longer than 4 s, so a relayed answer is as safe as a direct
// one.
#pragma once
#include <map>
#include <unordered_map>
#include <vector>

#include "election/leader_election.hpp"
#include "kv/store_client.hpp"
#include "membership/members.hpp"
#include "settings/platform.hpp"
#include "wire/batch.hpp"
#include "wire/peer.hpp"
#include "wire/worker.hpp"

namespace hitchfront::core {

class Relay {
 public:
  // `handle`: gives a heartbeat to this node's leader under a request id of the relay's own.
  // `by_store`: the way back is slow, so the answer must not be held.
  using Handle =
      std::function<void(Ms, std::uint64_t request, wire::Heartbeat heartbeat, bool by_store)>;
  Relay(Outbox& out, StoreClient& store, LeaderElection& election,
        const settings::Platform& platform, const membership::Members& members, Handle handle);

  // Follower.
  bool reachable(Ms now) const;
  // Takes a worker's heartbeat if it should be passed on rather than redirected.
  bool pass_on(Ms now, std::uint64_t request, const wire::Heartbeat& heartbeat,
               std::string_view body, Ms until);
  // Whom a worker should report to: a controller in its own zone if one is up, which passes its
  // reports on, else the leader. When two zones lose each other the zone's workers then notice
  // nothing.
  std::string home(Ms now, const wire::Heartbeat& heartbeat) const;
  // Leader: true if the worker was sent to the controller of its own zone.
  bool send_home(Ms now, std::uint64_t request, const wire::Heartbeat& heartbeat);
  void peer_answer(Ms now, const wire::PeerMessage& m);
  // The leader has changed: what waited for the former one's answer starts over.
  std::function<void(Ms, std::uint64_t request, std::string_view body, Ms until)> again;

  // Leader.
  void lead(Ms now);
  void stop_leading();
  void state_lost() { replies_revision_ = 0; }
  void peer_ask(Ms now, const std::string& node, const wire::PeerMessage& m);
  bool answered(Ms now, const HttpReply& reply);  // true: it was the answer to a relayed heartbeat

  void tick(Ms now);
  static constexpr std::uint64_t kFirstRequest = 1ULL << 62;

 private:
  struct Pending {  // follower: a worker's request that waits for the leader's answer
    std::uint64_t request = 0;
    Ms until = 0;
    std::string body;
    bool by_peer = false;
  };
  struct Asked {  // leader: where an answer goes
    std::string node;
    std::uint64_t id = 0;
    bool by_store = false;
  };
  struct Batch {  // leader: one follower's batch through the store
    std::uint64_t seq = 0;
    std::size_t open = 0;
    std::vector<wire::RelayedResponse> answers;
  };
  const std::string& zone_of(const std::string& node) const;
  void send_to_leader(Ms now, std::uint64_t request, std::string_view body, Ms until, bool near);
  void flush_store(Ms now);
  void watch_replies(Ms now);
  void watch_asks(Ms now);
  void take_asks(Ms now, const std::string& node, const nlohmann::json& value);
  void write_answers(Ms now, const std::string& node);

  Outbox& out_;
  StoreClient& store_;
  LeaderElection& election_;
  const settings::Platform& platform_;
  const membership::Members& members_;
  const std::string node_;
  Handle handle_;

  std::map<std::string, Ms> welcomed_, redirected_, relaying_;  // machine -> since
  std::unordered_map<std::uint64_t, Pending> pending_;
  std::uint64_t next_id_;
  std::string asked_leader_;
  std::uint64_t asked_term_ = 0;
  std::vector<std::uint64_t> unsent_;  // for the store
  std::uint64_t batch_seq_ = 0, first_seq_ = 0;
  bool batch_open_ = false, watching_replies_ = false;
  Ms batch_at_ = 0;
  std::uint64_t replies_revision_ = 0;

  std::unordered_map<std::uint64_t, Asked> asked_;
  std::uint64_t next_request_ = kFirstRequest;
  std::map<std::string, Batch> batches_;
  std::uint64_t asks_revision_ = 0, watch_epoch_ = 0;
  bool leading_ = false;
  Ms retry_watch_at_ = 0;
};

}  // namespace hitchfront::core
