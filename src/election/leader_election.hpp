// Leader election among the controllers.
//
// The leader holds the key `leader` of the store under a lease. The key `term` rises with each
// election and is the last fencing token of the elected leader (election/fencing_token.hpp).
// LeaderElection observes the leader key, contends for it while it is vacant,
// and renews the lease while leading. When the store is unreachable for longer than the lease
// lasts, the leader keeps its leadership while all other controllers abstain.
// docs/safety.md, "One leader", has the argument.
//
// Everything runs on the core's thread. Store calls are asynchronous: each step ends by sending
// one, and the next step runs when its response arrives.
#pragma once
#include <random>
#include <vector>

#include "election/election_environment.hpp"
#include "election/step_down_reason.hpp"
#include "election/vote_abstentions.hpp"
#include "kv/store_client.hpp"
#include "wire/election_record.hpp"
#include "wire/feature_level.hpp"

namespace hitchfront::core {

struct ElectionConfig {
  std::string node;        // this controller
  std::uint64_t seed = 0;  // of the random election delays
  // All other controllers. Empty if the settings do not name all of them: vote abstentions are then
  // disabled.
  std::vector<std::string> peers;
  // As leader, this node records each launch in the stored allocation log before it takes place.
  bool allocation_log_enabled = false;
  // The feature level of the stored state as known to this node; must outlive the election. Null
  // for a version without feature levels, which cannot decode a term stored at a higher level.
  const wire::FeatureLevel* feature_level = nullptr;
};

class LeaderElection {
 public:
  using StepDownReason = election::StepDownReason;
  using VoteAbstention = election::VoteAbstention;

  // All references outlive the election. `environment` is not called before start().
  LeaderElection(Outbox& outbox, StoreClient& store, ElectionConfig config,
                 membership::RequestIds& request_ids, ElectionEnvironment& environment);

  // Called once, when this process may start serving.
  void start(Ms now);
  // Called every kTickIntervalMs after start().
  void tick(Ms now);

  // --- leadership of this node ---

  [[nodiscard]] bool leading() const { return leading_; }
  // Whether no other node can have been elected, by a conservative count: this node's lease has not
  // expired, or all other controllers still abstain.
  [[nodiscard]] bool holds_lease(Ms now) const {
    return leading_ && now < std::max(lease_until_, abstentions_.all_abstain_until());
  }
  // Whether this node may act as leader: holds_lease(), and it knows every cancellation that any
  // controller may have acknowledged to a user.
  [[nodiscard]] bool can_act(Ms now) const {
    return holds_lease(now) && now < cancellations_known_until();
  }
  // Whether this node holds the lease but may not act.
  [[nodiscard]] bool fenced(Ms now) const { return holds_lease(now) && !can_act(now); }
  // See ElectionEnvironment.
  [[nodiscard]] Ms cancellations_known_until() const {
    return environment_.cancellations_known_until();
  }

  // --- current leader as known to this node ---

  [[nodiscard]] const std::string& leader() const { return leader_; }  // empty: unknown or none
  // The term of the current leader, or of the last one.
  [[nodiscard]] std::uint64_t term() const { return term_; }
  // The version of the leader key, for conditions in transactions.
  [[nodiscard]] std::uint64_t key_version() const { return leader_key_version_; }
  // The highest store revision in any response about the leader key.
  [[nodiscard]] std::uint64_t revision() const { return revision_; }
  // When the current leader was first observed.
  [[nodiscard]] Ms observed_at() const { return observed_at_; }

  // --- stepping down ---

  // Gives up the leadership voluntarily: revokes the lease, and does not contend for
  // kResignationBackoffMs.
  void resign(Ms now, StepDownReason reason);
  // Another node leads, or may do so. No effect unless this node leads.
  void step_down(Ms now, StepDownReason reason);

  // --- terms known to other nodes ---

  // Records a term named by another controller, or the fencing token of a worker.
  void record_known_term(std::uint64_t term) { known_term_ = std::max(known_term_, term); }
  // Records the term in a peer's message. It tells a leader that is partitioned from the store that
  // it has been replaced; otherwise the leader would refuse the abstention that its successor needs
  // during an outage.
  void on_peer_term(Ms now, std::uint64_t term);

  // --- vote abstentions (election/vote_abstentions.hpp) ---

  // Whether the leader's renewals have failed for long enough to request abstentions.
  [[nodiscard]] bool should_request_abstentions(Ms now) const;
  // Starts a round of requests. Returns its number, which the responses repeat.
  [[nodiscard]] std::uint64_t begin_abstention_round(Ms now);
  // Records the response of `node`. Empty if it does not count.
  [[nodiscard]] std::optional<VoteAbstention> record_abstention(Ms now, const std::string& node,
                                                                std::uint64_t round);
  // Handles an abstention request from the leader of `term`. Returns whether this node abstains
  // from now on. It does so only while it cannot reach the store either, so that a leader that
  // alone is partitioned from the store is replaced as usual. Requests of any node may be granted:
  // an abstention binds only this node, and the requester counts it only while it holds its lease.
  [[nodiscard]] bool abstain(Ms now, std::uint64_t term);
  // The latest time at which an abstention of this node can end, including one given by a previous
  // process; 0 if it is the leader or abstentions are disabled.
  [[nodiscard]] Ms latest_abstention_expiry() const;

  // --- completeness of the stored allocation log ---

  // Whether the stored allocation log contains every task of earlier terms that may still be
  // running: a task that is not in it runs nowhere. False if an earlier leader kept no log (an
  // older version, or disabled by the operators) and its tasks may not all have been found yet.
  [[nodiscard]] bool allocation_log_complete() const { return allocation_log_complete_; }
  // Stores that, from now on, the allocation log contains everything that may be running. `done` is
  // called with the outcome, or not at all if there is nothing to store.
  void mark_allocation_log_complete(Ms now, std::function<void(Ms, bool stored)> done);
  // Stores that a part of the allocation log is unreadable. Retried until stored; the allocation
  // log must not be written before that.
  void mark_allocation_log_incomplete(Ms now);
  [[nodiscard]] bool allocation_log_writable() const { return !marking_incomplete_; }

  // --- data loss (feature_level/feature_level_gate.hpp) ---

  // Called when the store has lost data. Discards what was read, steps down and grants no more
  // abstentions. Until state_restored(), an election relies neither on the stored term nor on the
  // stored allocation log.
  void state_lost(Ms now);
  void state_restored() { state_lost_ = false; }

 private:
  // The leader key as returned by a read or a watch.
  struct ObservedLeader {
    wire::LeaderRecord record;
    std::uint64_t version = 0;
    std::uint64_t lease = 0;  // its id; 0: unknown, since watch events do not contain it
  };
  // The key `term` as read by a candidate.
  struct StoredTerm {
    std::uint64_t term = 0;
    std::uint64_t version = 0;  // of the key; 0: no term has been stored
  };
  // The term that a candidate is about to take.
  struct NextTerm {
    std::uint64_t term = 0;
    std::uint64_t key_version = 0;  // expected version of the key `term`
    bool allocation_log_complete = false;
  };

  // --- observing the leader key ---

  void read_last_leader_at_start(Ms now, std::uint64_t stored_term);
  void read(Ms now);
  void on_read(Ms now, std::uint64_t known_term, int status, std::string_view body);
  void watch(Ms now);
  void on_watch_event(Ms now, const wire::Event& event);
  void watch_unless_open(Ms now);
  void on_leader_observed(Ms now, const ObservedLeader& observed);
  void on_other_leader(Ms now, const ObservedLeader& observed);
  void on_own_former_lease(Ms now, const ObservedLeader& observed);
  void on_vacancy(Ms now, std::uint64_t revision);

  // --- contending ---

  // Steps of a candidacy: obtain a lease, read the stored term, read the last leader's record,
  // commit the transaction. Any failure abandons the candidacy.
  void contend(Ms now);
  Ms earliest_candidacy() const;
  void request_lease(Ms now);
  void read_term(Ms now);
  void on_term_read(Ms now, std::uint64_t known_term, int status, std::string_view body);
  void read_last_leader(Ms now, const StoredTerm& stored);
  void on_last_leader_read(Ms now, const StoredTerm& stored, int status, std::string_view body);
  void commit_term(Ms now, NextTerm next);
  void abandon_candidacy(Ms now);
  void become_leader(Ms now, std::uint64_t version, const NextTerm& next);

  // --- leading ---

  void renew(Ms now);

  // --- helpers ---

  void probe_store(Ms now);
  void revoke_lease(Ms now, StoreClient::Rank rank, std::uint64_t lease);
  void revoke_lease_and_read(Ms now, std::uint64_t lease);
  std::optional<std::uint64_t> decode_term(const nlohmann::json& value) const;
  std::string last_leader_value(std::uint64_t term, bool allocation_log_complete) const;
  // Whether this node was the last leader: then no other node acts, and no abstention of this node
  // is still valid.
  bool was_last_leader(int status, std::string_view body, std::uint64_t stored_term) const;
  // Whether no leader has ever been elected, as far as known: then no abstention can have been
  // given.
  bool assumes_first_term() const { return no_term_ever_stored_ && known_term_ == 0; }

  Outbox& outbox_;
  StoreClient& store_;
  ElectionEnvironment& environment_;
  const ElectionConfig config_;
  std::mt19937_64 random_;
  election::VoteAbstentions abstentions_;

  // The leader key as last observed.
  std::string leader_;
  std::uint64_t term_ = 0, leader_key_version_ = 0, revision_ = 0;
  Ms observed_at_ = 0;
  Ms next_read_at_ = 0;            // 0: not scheduled
  Ms next_data_loss_read_at_ = 0;  // while stored data is lost
  bool reading_ = false, watching_ = false;
  std::uint64_t known_term_ = 0;  // the highest term or token that any node has reported

  // This node as a candidate.
  Ms next_contend_at_ = 0;  // 0: not scheduled
  Ms resignation_backoff_until_ = 0;
  bool contending_ = false;
  bool no_term_ever_stored_ = false, former_leader_was_this_node_ = false;

  // This node as the leader.
  bool leading_ = false;
  std::uint64_t lease_id_ = 0;  // 0: none
  Ms lease_requested_at_ = 0;
  Ms lease_until_ = 0;  // conservative expiry
  Ms renewed_at_ = 0, next_renewal_at_ = 0;
  bool allocation_log_complete_ = false, marking_incomplete_ = false;
  Ms next_mark_incomplete_at_ = 0;  // 0: not scheduled

  // Reachability of the store, for abstentions.
  Ms store_down_since_ = 0;  // 0: not known to be down
  Ms probed_at_ = 0;
  bool probing_ = false;

  bool state_lost_ = false;
};

}  // namespace hitchfront::core
