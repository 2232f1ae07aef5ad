#include "election/leader_election.hpp"

#include <nlohmann/json.hpp>

#include "election/fencing_token.hpp"
#include "settings/constants.hpp"
#include "wire/http_status.hpp"

namespace hitchfront::core {
using namespace settings;
using nlohmann::json;
using Rank = StoreClient::Rank;
using wire::kLastLeaderKey;
using wire::kLeaderKey;
using wire::kTermKey;
using wire::http_status::kNotFound;
using wire::http_status::kOk;
namespace {

// A lower bound on the expiry of a lease: counted from its request, which precedes the store's own
// count, and shortened by clock drift and margin.
Ms conservative_expiry(Ms requested_at) {
  return requested_at +
         static_cast<Ms>(static_cast<double>(kLeaderLeaseTtlMs) * (1 - 2 * kMaxClockDriftShare)) -
         kLeaderLeaseMarginMs;
}

}  // namespace

LeaderElection::LeaderElection(Outbox& outbox, StoreClient& store, ElectionConfig config,
                               membership::RequestIds& request_ids,
                               ElectionEnvironment& environment)
    : outbox_(outbox),
      store_(store),
      environment_(environment),
      config_(std::move(config)),
      random_(config_.seed),
      abstentions_(config_.peers, request_ids) {}

std::optional<std::uint64_t> LeaderElection::decode_term(const json& value) const {
  if (config_.feature_level == nullptr && !value.is_number_unsigned()) return std::nullopt;
  return wire::decode_term(value);
}

std::string LeaderElection::last_leader_value(std::uint64_t term,
                                              bool allocation_log_complete) const {
  using wire::AllocationLogState;
  auto state = AllocationLogState::absent;
  if (config_.allocation_log_enabled)
    state = allocation_log_complete ? AllocationLogState::complete : AllocationLogState::partial;
  return wire::encode(wire::LastLeaderRecord{config_.node, term, state});
}

void LeaderElection::revoke_lease(Ms now, Rank rank, std::uint64_t lease) {
  store_.call(now, rank, Method::del, wire::revoke_lease_path(lease), {},
              [](Ms, int, std::string_view) {});
}

void LeaderElection::revoke_lease_and_read(Ms now, std::uint64_t lease) {
  store_.call(now, Rank::lease, Method::del, wire::revoke_lease_path(lease), {},
              [this](Ms received_at, int, std::string_view) { read(received_at); });
}

// --- start and tick ---

void LeaderElection::start(Ms now) {
  abstentions_.start(now);
  store_.get(now, Rank::lease, kTermKey, [this](Ms received_at, int status, std::string_view body) {
    // Without a stored term there has been no leader, so no abstention can have been given.
    no_term_ever_stored_ = status == kNotFound;
    const auto item = status == kOk ? wire::parse_item(body) : std::nullopt;
    const auto term = item ? decode_term(item->value) : std::nullopt;
    if (!term) return read(received_at);
    read_last_leader_at_start(received_at, *term);
  });
}

void LeaderElection::read_last_leader_at_start(Ms now, std::uint64_t stored_term) {
  store_.get(now, Rank::lease, kLastLeaderKey,
             [this, stored_term](Ms received_at, int status, std::string_view body) {
               if (was_last_leader(status, body, stored_term)) former_leader_was_this_node_ = true;
               read(received_at);
             });
}

bool LeaderElection::was_last_leader(int status, std::string_view body,
                                     std::uint64_t stored_term) const {
  const auto item = status == kOk ? wire::parse_item(body) : std::nullopt;
  const auto last = item ? wire::decode_last_leader(item->value) : std::nullopt;
  // The record is stale if a later leader has not written it, so its term must match.
  return last && last->node == config_.node && last->term == stored_term;
}

void LeaderElection::tick(Ms now) {
  if (next_read_at_ != 0 && now >= next_read_at_) {
    next_read_at_ = 0;
    read(now);
  }
  if (next_contend_at_ != 0 && now >= next_contend_at_) {
    next_contend_at_ = 0;
    contend(now);
  }
  // After a data loss the store may be behind the revision of an open watch, which then does not
  // return; so the key is polled.
  if (state_lost_ && !leading_ && now >= next_data_loss_read_at_) {
    next_data_loss_read_at_ = now + kDataLossPollIntervalMs;
    read(now);
  }
  if (leading_ && now >= next_renewal_at_) renew(now);
  if (leading_ && next_mark_incomplete_at_ != 0 && now >= next_mark_incomplete_at_) {
    next_mark_incomplete_at_ = 0;
    mark_allocation_log_incomplete(now);
  }
}

// --- vote abstentions ---

bool LeaderElection::should_request_abstentions(Ms now) const {
  return holds_lease(now) && abstentions_.enabled() &&
         now - renewed_at_ > kVoteAbstentionRequestDelayMs;
}

std::uint64_t LeaderElection::begin_abstention_round(Ms now) {
  return abstentions_.begin_round(now);
}

std::optional<LeaderElection::VoteAbstention> LeaderElection::record_abstention(
    Ms now, const std::string& node, std::uint64_t round) {
  // Once the lease has lapsed, another node may have been elected.
  if (!holds_lease(now)) return std::nullopt;
  const bool first = !abstentions_.any_recorded();
  const auto abstention = abstentions_.record(node, round);
  if (abstention && first) outbox_.log(Event::outage_abstentions, term_);
  return abstention;
}

Ms LeaderElection::latest_abstention_expiry() const {
  return leading_ || !abstentions_.enabled() ? 0 : abstentions_.latest_expiry();
}

bool LeaderElection::abstain(Ms now, std::uint64_t term) {
  // `term` need not be the known leader's: a node that was partitioned until the outage began may
  // know no leader, and its abstention is still required.
  if (leading_ || contending_ || term < term_ || state_lost_) return false;
  if (store_down_since_ == 0) {
    probe_store(now);
    return false;
  }
  // Requires another probe before a later abstention.
  if (now - store_down_since_ > kVoteAbstentionPeriodMs) store_down_since_ = 0;
  abstentions_.abstain(now);
  return true;
}

// Watches stay open during an outage without reporting it, so the store is probed.
void LeaderElection::probe_store(Ms now) {
  if (probing_ || now - probed_at_ <= kStoreRetryDelayMs) return;
  probing_ = true;
  probed_at_ = now;
  store_.get(now, Rank::lease, kLeaderKey, [this](Ms received_at, int status, std::string_view) {
    probing_ = false;
    store_down_since_ = status == kOk || status == kNotFound ? 0 : received_at;
  });
}

// --- data loss and terms known to other nodes ---

void LeaderElection::state_lost(Ms now) {
  state_lost_ = true;
  record_known_term(term_);
  no_term_ever_stored_ = false;
  if (leading_) step_down(now, StepDownReason::stored_state_lost);
  leader_.clear();
  revision_ = leader_key_version_ = 0;
  next_contend_at_ = 0;
  read(now);
}

void LeaderElection::on_peer_term(Ms now, std::uint64_t term) {
  record_known_term(term);
  if (!leading_ || term <= term_) return;
  if (!holds_lease(now)) return step_down(now, StepDownReason::later_term_known);
  // While the lease is held no other node can have been elected. So the store had already lost the
  // later term when this node's term was taken.
  environment_.on_stale_term_stored(now);
}

// --- observing the leader key ---

void LeaderElection::read(Ms now) {
  if (reading_) return;
  reading_ = true;
  // As known when the request is sent: a term taken while it is in flight is no sign of data loss.
  const auto known_term = std::max(known_term_, term_);
  store_.get(now, Rank::lease, kLeaderKey,
             [this, known_term](Ms received_at, int status, std::string_view body) {
               reading_ = false;
               on_read(received_at, known_term, status, body);
             });
}

void LeaderElection::on_read(Ms now, std::uint64_t known_term, int status, std::string_view body) {
  if (status == kOk) {
    if (const auto item = wire::parse_item(body)) {
      const auto record = wire::decode_leader(item->value);
      if (!state_lost_ && record.term < known_term) environment_.on_stale_term_stored(now);
      // The response does not contain the store's revision. The key's version suffices: a watch
      // from there returns every later change of the key.
      revision_ = std::max(revision_, item->version);
      on_leader_observed(now, {record, item->version, item->lease});
      return watch_unless_open(now);
    }
  } else if (status == kNotFound) {
    if (const auto revision = wire::parse_revision(body)) {
      revision_ = std::max(revision_, *revision);
      on_vacancy(now, *revision);
      return watch_unless_open(now);
    }
  }
  next_read_at_ = now + kStoreRetryDelayMs;
}

void LeaderElection::watch_unless_open(Ms now) {
  if (!watching_) watch(now);
}

void LeaderElection::watch(Ms now) {
  if (watching_) return;
  watching_ = true;
  store_.watch(now, kLeaderKey, revision_,
               [this](Ms received_at, int status, std::string_view body) {
                 watching_ = false;
                 const auto page = status == kOk ? wire::parse_watch(body) : std::nullopt;
                 if (!page) {
                   // Status 410: the revision has been compacted. Otherwise the store is
                   // unreachable. Either way the key is read again.
                   next_read_at_ = received_at + kStoreRetryDelayMs;
                   return;
                 }
                 for (const auto& event : page->events)
                   if (event.key == kLeaderKey) on_watch_event(received_at, event);
                 revision_ = std::max(revision_, page->revision);
                 watch(received_at);
               });
}

void LeaderElection::on_watch_event(Ms now, const wire::Event& event) {
  if (event.deleted) return on_vacancy(now, event.version);
  on_leader_observed(now, {wire::decode_leader(event.value), event.version, 0});
  read(now);  // for the lease, which watch events do not contain
}

void LeaderElection::on_leader_observed(Ms now, const ObservedLeader& observed) {
  if (leading_ && observed.version <= leader_key_version_) return;  // own election, or older
  if (contending_) return;  // decided by the outcome of this node's transaction
  if (leading_) step_down(now, StepDownReason::replaced);
  const bool is_this_node = observed.record.node == config_.node;
  if (leader_ != observed.record.node || leader_key_version_ != observed.version) {
    observed_at_ = now;
    if (!is_this_node)
      outbox_.log(Event::leader_followed, observed.record.term, observed.record.node);
  }
  leader_ = observed.record.node;
  term_ = observed.record.term;
  leader_key_version_ = observed.version;
  next_contend_at_ = 0;
  if (is_this_node)
    on_own_former_lease(now, observed);
  else
    on_other_leader(now, observed);
}

void LeaderElection::on_other_leader(Ms now, const ObservedLeader& observed) {
  if (observed.lease == 0) return;
  // After a data loss the store may reissue this lease id to this node. A leader that does not
  // detect the loss would then renew this node's lease as its own and continue to act, and tasks
  // could run twice. So this node does not use the id.
  store_.retire_lease(observed.lease);
  if (!state_lost_ || !environment_.ignores_data_loss(observed.record.node)) return;
  // This leader would never recover the lost data. Revoking its lease deletes its leader key, and
  // workers must not be redirected to it.
  leader_.clear();
  revoke_lease_and_read(now, observed.lease);
}

// The leader key has this node's name, but a lease that it does not hold: it was written by a
// previous process of this node, or in an abandoned candidacy. Nothing acts under that lease, so it
// is revoked at once.
void LeaderElection::on_own_former_lease(Ms now, const ObservedLeader& observed) {
  if (observed.lease == 0) {
    leader_.clear();
    return read(now);  // for the lease
  }
  outbox_.log(Event::leader_former_ended);
  former_leader_was_this_node_ = true;
  leader_.clear();
  revoke_lease_and_read(now, observed.lease);
}

void LeaderElection::on_vacancy(Ms now, std::uint64_t revision) {
  if (contending_) return;
  if (leading_ && revision < leader_key_version_) return;  // older than own election
  if (leading_) step_down(now, StepDownReason::lease_expired);
  leader_.clear();
  if (next_contend_at_ == 0) {
    std::uniform_int_distribution<Ms> election_delay(0, kMaxElectionDelayMs);
    next_contend_at_ = std::max(now + 1, resignation_backoff_until_) + election_delay(random_);
  }
}

// --- contending ---

void LeaderElection::contend(Ms now) {
  if (contending_ || leading_) return;
  if (assumes_first_term() && !environment_.heard_from_all_peers(now)) {
    next_contend_at_ = now + kTickIntervalMs;
    return;
  }
  const Ms earliest = earliest_candidacy();
  if (now < earliest) {
    next_contend_at_ = earliest;
    return;
  }
  request_lease(now);
}

// No candidacy before this node's abstention ends. After a start, an abstention of the previous
// process is assumed, unless that process was the leader or no leader was ever elected.
Ms LeaderElection::earliest_candidacy() const {
  const bool no_earlier_abstention =
      assumes_first_term() || former_leader_was_this_node_ || !abstentions_.enabled();
  return no_earlier_abstention ? abstentions_.abstaining_until() : abstentions_.latest_expiry();
}

void LeaderElection::request_lease(Ms now) {
  contending_ = true;
  lease_requested_at_ = now;
  store_.acquire_lease(now, static_cast<std::uint32_t>(kLeaderLeaseTtlMs),
                       [this](Ms received_at, std::optional<std::uint64_t> lease) {
                         if (!lease) return abandon_candidacy(received_at);
                         lease_id_ = *lease;
                         read_term(received_at);
                       });
}

void LeaderElection::read_term(Ms now) {
  // As known when the request is sent: see read().
  const auto known_term = std::max(known_term_, term_);
  store_.get(now, Rank::lease, kTermKey,
             [this, known_term](Ms received_at, int status, std::string_view body) {
               on_term_read(received_at, known_term, status, body);
             });
}

void LeaderElection::on_term_read(Ms now, std::uint64_t known_term, int status,
                                  std::string_view body) {
  StoredTerm stored;
  if (status == kOk) {
    const auto item = wire::parse_item(body);
    const auto term = item ? decode_term(item->value) : std::nullopt;
    if (!term) return abandon_candidacy(now);
    stored = {*term, item->version};
  } else if (status != kNotFound) {
    return abandon_candidacy(now);
  }
  known_term_ = std::max(known_term_, term_);
  if (stored.term < known_term && !state_lost_) environment_.on_stale_term_stored(now);
  if (state_lost_)
    return commit_term(
        now, {election::next_term(std::max(stored.term, known_term_)), stored.version, false});
  // Without a stored term there has been no leader, and nothing has been launched.
  if (stored.version == 0)
    return commit_term(now, {election::next_term(0), 0, config_.allocation_log_enabled});
  read_last_leader(now, stored);
}

void LeaderElection::read_last_leader(Ms now, const StoredTerm& stored) {
  store_.get(now, Rank::lease, kLastLeaderKey,
             [this, stored](Ms received_at, int status, std::string_view body) {
               on_last_leader_read(received_at, stored, status, body);
             });
}

void LeaderElection::on_last_leader_read(Ms now, const StoredTerm& stored, int status,
                                         std::string_view body) {
  if (status != kOk && status != kNotFound) return abandon_candidacy(now);
  const auto item = status == kOk ? wire::parse_item(body) : std::nullopt;
  const auto last = item ? wire::decode_last_leader(item->value) : std::nullopt;
  // Every leader writes this record with its term. Older versions, and leaders without an
  // allocation log, omit the state of the log.
  const bool complete = last && last->term == stored.term &&
                        last->allocation_log == wire::AllocationLogState::complete;
  commit_term(now, {election::next_term(stored.term), stored.version,
                    config_.allocation_log_enabled && complete});
}

void LeaderElection::commit_term(Ms now, NextTerm next) {
  // A data loss may have been detected since the last leader's record was read.
  next.allocation_log_complete = next.allocation_log_complete && !state_lost_;
  const auto feature_level =
      config_.feature_level != nullptr ? *config_.feature_level : wire::FeatureLevel{};
  wire::Txn txn;
  txn.if_version(kLeaderKey, 0)
      .if_version(kTermKey, next.key_version)
      .put(kLeaderKey, wire::encode(wire::LeaderRecord{config_.node, next.term}), lease_id_)
      .put(kTermKey, wire::encode_term(next.term, feature_level))
      .put(kLastLeaderKey, last_leader_value(next.term, next.allocation_log_complete));
  store_.commit(now, Rank::lease, txn,
                [this, next](Ms received_at, int status, std::string_view body) {
                  const auto revision = status == kOk ? wire::parse_revision(body) : std::nullopt;
                  if (revision) return become_leader(received_at, *revision, next);
                  // Rejected, or the outcome is unknown. If the transaction is applied after all,
                  // the next read finds this node's name on a lease that it does not hold, and
                  // revokes that lease.
                  abandon_candidacy(received_at);
                });
}

void LeaderElection::abandon_candidacy(Ms now) {
  contending_ = false;
  if (lease_id_ != 0) revoke_lease(now, Rank::low, lease_id_);
  lease_id_ = 0;
  next_read_at_ = now + kStoreRetryDelayMs;
}

void LeaderElection::become_leader(Ms now, std::uint64_t version, const NextTerm& next) {
  contending_ = false;
  allocation_log_complete_ = next.allocation_log_complete;
  marking_incomplete_ = false;
  next_mark_incomplete_at_ = 0;
  leading_ = true;
  leader_ = config_.node;
  term_ = next.term;
  leader_key_version_ = version;
  renewed_at_ = now;
  abstentions_.clear_recorded();
  lease_until_ = conservative_expiry(lease_requested_at_);
  next_renewal_at_ = now + kLeaderLeaseRenewalIntervalMs / 2;
  outbox_.log(Event::leader_elected, next.term);
  store_.set_leading(true);
  environment_.on_leadership_gained(now);
}

// --- leading ---

void LeaderElection::renew(Ms now) {
  next_renewal_at_ = now + kLeaderLeaseRenewalIntervalMs;
  const auto lease = lease_id_;
  store_.call(now, Rank::lease, Method::post, wire::renew_lease_path(lease), "{}",
              [this, requested_at = now, lease](Ms received_at, int status, std::string_view) {
                if (!leading_ || lease != lease_id_) return;
                if (status == kOk) {
                  // Counted from the request, which precedes its arrival at the store.
                  lease_until_ = std::max(lease_until_, conservative_expiry(requested_at));
                  renewed_at_ = std::max(renewed_at_, requested_at);
                  abstentions_.clear_recorded();
                } else if (status == kNotFound) {
                  step_down(received_at, StepDownReason::lease_expired);
                }
              });
}

void LeaderElection::mark_allocation_log_complete(Ms now, std::function<void(Ms, bool)> done) {
  if (!leading_ || !config_.allocation_log_enabled || allocation_log_complete_) return;
  wire::Txn txn;
  txn.if_version(kLeaderKey, leader_key_version_)
      .put(kLastLeaderKey, last_leader_value(term_, true));
  store_.commit(
      now, Rank::lease, txn,
      [this, term = term_, done = std::move(done)](Ms received_at, int status, std::string_view) {
        const bool stored = status == kOk && leading_ && term == term_;
        if (stored) allocation_log_complete_ = true;
        done(received_at, stored);
      });
}

void LeaderElection::mark_allocation_log_incomplete(Ms now) {
  if (!leading_ || (!allocation_log_complete_ && !marking_incomplete_)) return;
  allocation_log_complete_ = false;
  marking_incomplete_ = true;
  wire::Txn txn;
  txn.if_version(kLeaderKey, leader_key_version_)
      .put(kLastLeaderKey, last_leader_value(term_, false));
  store_.commit(now, Rank::lease, txn,
                [this, term = term_](Ms received_at, int status, std::string_view) {
                  if (!leading_ || term != term_) return;
                  if (status == kOk)
                    marking_incomplete_ = false;
                  else
                    next_mark_incomplete_at_ = received_at + kStoreRetryDelayMs;
                });
}

void LeaderElection::resign(Ms now, StepDownReason reason) {
  if (!leading_) return;
  resignation_backoff_until_ = now + kResignationBackoffMs;
  const auto lease = lease_id_;
  step_down(now, reason);
  revoke_lease(now, Rank::lease, lease);
}

void LeaderElection::step_down(Ms now, StepDownReason reason) {
  if (!leading_) return;
  leading_ = false;
  lease_until_ = 0;
  lease_id_ = 0;
  leader_.clear();
  outbox_.log(Event::leader_lost, term_, election::log_text(reason));
  outbox_.metrics().add(telemetry::Count::leaderships_lost);
  store_.set_leading(false);
  environment_.on_leadership_lost(now);
  next_read_at_ = now + kStoreRetryDelayMs;
}

}  // namespace hitchfront::core
