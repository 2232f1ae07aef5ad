// Who leads. The leader holds the key `leader` under a lease of the store; `term` counts takeovers
// and is the fencing token.
#pragma once
#include <map>
#include <random>
#include <vector>

#include "kv/store_client.hpp"
#include "wire/feature_level.hpp"

namespace hitchfront::core {

class LeaderElection {
 public:
  // `peers`: the other controllers; all of them, or abstentions are not used. `level`: of the
  // stored state, as this node sees it; null: a version that heeds none, to which a term in the
  // form of a higher level is unreadable. `allocation log`: this node's leader stores what it
  // launches before it launches it (leader/leader_allocation.cpp).
  LeaderElection(Outbox& out, StoreClient& store, std::string node, std::uint64_t seed,
                 std::vector<std::string> peers, bool keeps_allocation_log,
                 const wire::FeatureLevel* level);

  void start(Ms now);
  void tick(Ms now);

  bool leading() const { return leading_; }
  // By its own conservative count nobody else can lead yet: its lease is running, or the others'
  // abstentions are.
  bool holds_lease(Ms now) const {
    return leading_ && now < std::max(lease_until_, abstained_until());
  }
  // It may act: that, and no cancellation can have been told for too long that it does not know of.
  bool can_act(Ms now) const {
    return holds_lease(now) && (!cancellations_known_until || now < cancellations_known_until());
  }
  // Nobody else can lead, and it may not act all the same.
  bool fenced(Ms now) const { return holds_lease(now) && !can_act(now); }
  // Until when what this controller knows of cancellations suffices to answer machines
  // (docs/safety.md).
  std::function<Ms()> cancellations_known_until;

  // A state outage longer than the lease: the leader goes on while every other controller promises
  // not to take over. A controller promises only while it can't reach the store either, so that a
  // leader which is refused alone is replaced as usual.
  bool wants_abstentions(Ms now) const;
  std::uint64_t begin_abstention_round(Ms now);  // the number of a new round of asking
  // When an abstention of this round was asked for, and until when it stands; nothing: it does not
  // count.
  struct VoteAbstention {
    Ms asked = 0, until = 0;
  };
  std::optional<VoteAbstention> record_abstention(Ms now, const std::string& node,
                                                  std::uint64_t round);
  bool abstain(Ms now, std::uint64_t term);
  // Until when an abstention of this node may stand, one of a process before this one included.
  Ms abstention_bound_until() const;
  // Another controller knows of this term. A leader that was refused by the store alone learns by
  // it that it was replaced: thinking itself the leader, it would refuse the abstention that its
  // successor needs in an outage.
  void on_term_heard(Ms now, std::uint64_t term);
  std::uint64_t term() const { return term_; }
  std::uint64_t key_version() const { return version_; }  // of `leader`, for conditions
  // In every term before this one that may matter, what was launched was in the stored allocation
  // log first; so a task that is not in it is nowhere. Otherwise an earlier leader kept none (an
  // older version of the program, or its operators switched it off) and what it launched may not
  // have been found yet.
  bool allocation_log_complete() const { return allocation_log_complete_; }
  // Everything that may be running is in the stored allocation log from now on. To be stored.
  void mark_allocation_log_complete(Ms now, std::function<void(Ms, bool stored)> done);
  // A part of it can't be read. Nothing of it may be written before that is stored.
  void mark_allocation_log_incomplete(Ms now);
  bool allocation_log_writable() const { return !marking_incomplete_; }
  Ms observed_at() const { return observed_at_; }  // when the present leader was first seen
  std::uint64_t revision() const { return revision_; }
  // Gives leadership up on purpose, and leaves it to others for a while.
  void resign(Ms now, const char* why);
  const std::string& leader() const { return leader_; }  // empty: nobody known
  // A condition on the leader key failed: somebody else leads.
  void step_down(Ms now, const char* why);

  // The stored state has lost something (feature_level/feature_level_gate.hpp): what was read is
  // forgotten, nobody is promised anything, and until it is rebuilt a takeover believes neither the
  // stored term nor the allocation log.
  void state_lost(Ms now);
  void state_restored() { state_lost_ = false; }
  // This controller heeds no loss: if it leads in one, nothing is rebuilt. It is unseated then
  // (docs/safety.md).
  std::function<bool(const std::string& node)> ignores_data_loss;
  // A worker has heard of this term, or another controller has.
  void note_term(std::uint64_t term) { known_term_ = std::max(known_term_, term); }
  // A term that is stored is below one that is known: a loss.
  std::function<void(Ms, const char* what)> on_data_loss;
  // Before the first of all terms: whether the others would have said that there was one.
  std::function<bool(Ms)> heard_all;
  std::function<void(Ms)> on_won, on_lost;

 private:
  void read(Ms now);
  void watch(Ms now);
  void on_leader_observed(Ms now, const std::string& node, std::uint64_t term,
                          std::uint64_t version, std::uint64_t lease);
  void on_vacancy(Ms now, std::uint64_t revision);
  void contend(Ms now);
  void become_leader(Ms now, std::uint64_t version, std::uint64_t term,
                     bool allocation_log_complete);
  void commit_term(Ms now, std::uint64_t term, std::uint64_t term_version,
                   bool allocation_log_complete);
  std::optional<std::uint64_t> read_term(const nlohmann::json& value) const;
  std::string last_leader_value(std::uint64_t term,
                                bool allocation_log_complete) const;  // value of `led`
  void end_contest(Ms now);
  void renew(Ms now);
  Ms abstained_until() const;

  Outbox& out_;
  StoreClient& store_;
  std::string node_;
  std::mt19937_64 random_;
  std::string leader_;
  std::uint64_t term_ = 0, version_ = 0, lease_ = 0, revision_ = 0;
  Ms lease_until_ = 0, lease_sent_ = 0;
  Ms next_renewal_ = 0, contend_at_ = 0, read_at_ = 0, observed_at_ = 0, contend_pause_until_ = 0,
     mark_incomplete_at_ = 0;
  std::vector<std::string> peers_;
  std::map<std::string, Ms> abstentions_;  // to us, until when
  std::map<std::uint64_t, Ms> rounds_;     // when each was asked
  std::uint64_t round_ = 0;
  Ms renewed_at_ = 0, abstains_until_ = 0, started_ = 0, store_down_since_ = 0, probed_at_ = 0;
  const bool keeps_allocation_log_;
  const wire::FeatureLevel* const level_;
  std::uint64_t known_term_ = 0;
  Ms loss_read_at_ = 0;
  bool state_lost_ = false;
  bool allocation_log_complete_ = false, marking_incomplete_ = false;
  bool no_term_ever_stored_ = false, former_leader_was_this_node_ = false, probing_ = false;
  bool leading_ = false, contending_ = false, watching_ = false, reading_ = false;
};

}  // namespace hitchfront::core
