// Leader election among the controllers.
//
// The leader holds the key `leader` of the store under a lease; the key `term` counts takeovers and
// is the fencing token. LeaderElection observes the leader key, contends for it while it is vacant,
// and while leading renews the lease. When the store is unreachable for longer than the lease lasts
// the leader goes on by the other controllers' vote abstentions. docs/safety.md, "One leader", has
// the argument.
//
// Everything runs on the core's thread. Calls to the store are asynchronous: what is named as a
// step below ends by sending one, and the next step begins when its answer comes.
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
  std::uint64_t seed = 0;  // of the random pauses before it contends
  // All other controllers; empty where the settings don't name them all: vote abstentions are then
  // not used.
  std::vector<std::string> peers;
  // This node's leader stores what it launches before it launches it (allocation log).
  bool allocation_log_enabled = false;
  // The feature level of the stored state as this node sees it; outlives the election. Null: a
  // version from before feature levels, to which a term in the form of a higher level is
  // unreadable.
  const wire::FeatureLevel* feature_level = nullptr;
};

class LeaderElection {
 public:
  using StepDownReason = election::StepDownReason;
  using VoteAbstention = election::VoteAbstention;

  // `environment` outlives the election; it is not called before start().
  LeaderElection(Outbox& outbox, StoreClient& store, ElectionConfig config,
                 ElectionEnvironment& environment);

  void start(Ms now);  // once, when this process may serve
  void tick(Ms now);   // each kTickIntervalMs from then on

  // ---- whether this node leads

  [[nodiscard]] bool leading() const { return leading_; }
  // By its own conservative count nobody else can lead yet: its lease is running, or the others'
  // abstentions are.
  [[nodiscard]] bool holds_lease(Ms now) const {
    return leading_ && now < std::max(lease_until_, abstentions_.all_abstain_until());
  }
  // It may act: that, and every cancellation that a controller may have acknowledged to a user is
  // known here.
  [[nodiscard]] bool can_act(Ms now) const {
    return holds_lease(now) && now < cancellations_known_until();
  }
  // Nobody else can lead, and it may not act all the same.
  [[nodiscard]] bool fenced(Ms now) const { return holds_lease(now) && !can_act(now); }
  // Until when what this node knows of cancellations suffices to answer workers.
  [[nodiscard]] Ms cancellations_known_until() const {
    return environment_.cancellations_known_until();
  }

  // ---- who leads, as far as this node knows

  [[nodiscard]] const std::string& leader() const { return leader_; }  // empty: nobody is known
  [[nodiscard]] std::uint64_t term() const { return term_; }           // of that leader
  // Version of the leader key, for conditions of transactions.
  [[nodiscard]] std::uint64_t key_version() const { return leader_key_version_; }
  // The newest revision of the store in any answer about the leader key.
  [[nodiscard]] std::uint64_t revision() const { return revision_; }
  // When the present leader was first seen.
  [[nodiscard]] Ms observed_at() const { return observed_at_; }

  // ---- giving leadership up

  // On purpose: ends the lease, and doesn't contend for kResignationBackoffMs.
  void resign(Ms now, StepDownReason reason);
  // Another node leads, or may lead. Does nothing unless this node leads.
  void step_down(Ms now, StepDownReason reason);

  // ---- terms that others know

  // A worker, or another controller, has named this term.
  void record_known_term(std::uint64_t term) { known_term_ = std::max(known_term_, term); }
  // The same, by a message of another controller. A leader that the store alone refuses learns by
  // it that it was replaced: thinking itself the leader, it would refuse the abstention that its
  // successor needs in an outage.
  void on_peer_term(Ms now, std::uint64_t term);

  // ---- vote abstentions (election/vote_abstentions.hpp)

  // The leader's renewals have failed for so long that the others should be asked to abstain.
  [[nodiscard]] bool should_request_abstentions(Ms now) const;
  // Begins a round of requests; returns its number, which the answers carry.
  [[nodiscard]] std::uint64_t begin_abstention_round(Ms now);
  // Counts the answer of `node`. Nothing: it doesn't count.
  [[nodiscard]] std::optional<VoteAbstention> record_abstention(Ms now, const std::string& node,
                                                                std::uint64_t round);
  // The leader of `term` asks this node to abstain. True: it does, from now on. A node abstains
  // only while it can't reach the store either, so that a leader which the store refuses alone is
  // replaced as usual. Any node may ask: an abstention binds this node only, and the leader counts
  // it only while it may act.
  [[nodiscard]] bool abstain(Ms now, std::uint64_t term);
  // Until when an abstention of this node may stand, one of a process before this one included.
  [[nodiscard]] Ms latest_abstention_expiry() const;

  // ---- whether the stored allocation log is complete

  // In every term before this one that may matter, what was launched was in the stored allocation
  // log first; so a task that is not in it is nowhere. Otherwise an earlier leader kept none (an
  // older version of the program, or its operators switched it off) and what it launched may not
  // have been found yet.
  [[nodiscard]] bool allocation_log_complete() const { return allocation_log_complete_; }
  // Everything that may be running is in the stored allocation log from now on. `done` is called
  // when that is stored, or not; not at all where there is nothing to store.
  void mark_allocation_log_complete(Ms now, std::function<void(Ms, bool stored)> done);
  // A part of it can't be read. Repeated until it is stored; nothing of the allocation log may be
  // written before that.
  void mark_allocation_log_incomplete(Ms now);
  [[nodiscard]] bool allocation_log_writable() const { return !marking_incomplete_; }

  // ---- data loss (feature_level/feature_level_gate.hpp)

  // The store has lost data: what was read is forgotten, this node leads no longer and abstains for
  // nobody, and until state_restored() a takeover relies neither on the stored term nor on the
  // allocation log.
  void state_lost(Ms now);
  void state_restored() { state_lost_ = false; }

 private:
  // The leader key as it was read or watched.
  struct ObservedLeader {
    wire::LeaderRecord record;
    std::uint64_t version = 0;
    std::uint64_t lease = 0;  // 0: not known, for a watch does not name it
  };
  // What a contest finds in the store before it takes the next term.
  struct StoredTerm {
    std::uint64_t term = 0;
    std::uint64_t version = 0;  // of the key; 0: no term was ever stored
  };
  struct NextTerm {
    std::uint64_t term = 0;
    std::uint64_t key_version = 0;  // of the key `term`, which it replaces
    bool allocation_log_complete = false;
  };

  // Observing the leader key.
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

  // Contending, in the order of the steps: the lease, the stored term, the last leader's record,
  // the transaction. Each failure ends the contest.
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

  // Leading.
  void renew(Ms now);

  void probe_store(Ms now);
  void revoke_lease(Ms now, StoreClient::Rank rank, std::uint64_t lease);
  void revoke_lease_and_read(Ms now, std::uint64_t lease);
  std::optional<std::uint64_t> decode_term(const nlohmann::json& value) const;
  std::string last_leader_value(std::uint64_t term, bool allocation_log_complete) const;
  // This node was the last to lead: nobody else acts, and it has promised nothing that still binds.
  bool was_last_leader(int status, std::string_view body, std::uint64_t stored_term) const;
  // As far as is known nobody has ever led: there is nothing that could have been promised.
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
  Ms next_read_at_ = 0;            // when to read it again; 0: not planned
  Ms next_data_loss_read_at_ = 0;  // the same, while stored data is lost
  bool reading_ = false, watching_ = false;
  std::uint64_t known_term_ = 0;  // the highest that was named by anybody

  // A contest of this node.
  Ms next_contend_at_ = 0;            // 0: not planned
  Ms resignation_backoff_until_ = 0;  // after a resignation
  bool contending_ = false;
  bool no_term_ever_stored_ = false, former_leader_was_this_node_ = false;

  // This node's leadership.
  bool leading_ = false;
  std::uint64_t lease_id_ = 0;  // its id; 0: none
  Ms lease_requested_at_ = 0;   // when it was asked for
  Ms lease_until_ = 0;          // by the conservative count
  Ms renewed_at_ = 0, next_renewal_at_ = 0;
  bool allocation_log_complete_ = false, marking_incomplete_ = false;
  Ms next_mark_incomplete_at_ = 0;  // when to try again; 0: not planned

  // Whether the store is reachable, for abstentions.
  Ms store_down_since_ = 0;  // 0: it is not known to be down
  Ms probed_at_ = 0;
  bool probing_ = false;

  bool state_lost_ = false;
};

}  // namespace hitchfront::core
