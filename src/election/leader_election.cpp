#include "election/leader_election.hpp"

#include <nlohmann/json.hpp>

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

// Until when a lease that was requested at `sent` runs by the leader's own view: counted from
// before the request was sent, shortened by drift.
Ms conservative_expiry(Ms sent) {
  return sent +
         static_cast<Ms>(static_cast<double>(kLeaderLeaseTtlMs) * (1 - 2 * kMaxClockDriftShare)) -
         kLeaderLeaseMarginMs;
}

}  // namespace

LeaderElection::LeaderElection(Outbox& out, StoreClient& store, ElectionConfig config,
                               ElectionEnvironment& environment)
    : out_(out),
      store_(store),
      environment_(environment),
      config_(std::move(config)),
      random_(config_.seed),
      abstentions_(config_.peers) {}

std::optional<std::uint64_t> LeaderElection::decode_term(const json& value) const {
  if (config_.level == nullptr && !value.is_number_unsigned()) return std::nullopt;
  return wire::decode_term(value);
}

std::string LeaderElection::last_leader_value(std::uint64_t term,
                                              bool allocation_log_complete) const {
  using wire::AllocationLogState;
  auto state = AllocationLogState::absent;
  if (config_.keeps_allocation_log)
    state = allocation_log_complete ? AllocationLogState::complete : AllocationLogState::partial;
  return wire::encode(wire::LastLeaderRecord{config_.node, term, state});
}

void LeaderElection::revoke_lease(Ms now, Rank rank, std::uint64_t lease) {
  store_.call(now, rank, Method::del, wire::end_path(lease), {}, [](Ms, int, std::string_view) {});
}

void LeaderElection::revoke_lease_and_read(Ms now, std::uint64_t lease) {
  store_.call(now, Rank::lease, Method::del, wire::end_path(lease), {},
              [this](Ms t, int, std::string_view) { read(t); });
}

// ---- start and time

void LeaderElection::start(Ms now) {
  abstentions_.start(now);
  store_.get(now, Rank::lease, kTermKey, [this](Ms t, int status, std::string_view body) {
    // No term was ever stored: nobody has led, and nobody can have been promised anything.
    no_term_ever_stored_ = status == kNotFound;
    const auto item = status == kOk ? wire::parse_item(body) : std::nullopt;
    const auto term = item ? decode_term(item->value) : std::nullopt;
    if (!term) return read(t);
    read_last_leader_at_start(t, *term);
  });
}

void LeaderElection::read_last_leader_at_start(Ms now, std::uint64_t stored_term) {
  store_.get(now, Rank::lease, kLastLeaderKey,
             [this, stored_term](Ms t, int status, std::string_view body) {
               if (was_last_leader(status, body, stored_term)) former_leader_was_this_node_ = true;
               read(t);
             });
}

bool LeaderElection::was_last_leader(int status, std::string_view body,
                                     std::uint64_t stored_term) const {
  const auto item = status == kOk ? wire::parse_item(body) : std::nullopt;
  const auto last = item ? wire::decode_last_leader(item->value) : std::nullopt;
  // The term guards against a record that a later leader did not write.
  return last && last->node == config_.node && last->term == stored_term;
}

void LeaderElection::tick(Ms now) {
  if (read_at_ != 0 && now >= read_at_) {
    read_at_ = 0;
    read(now);
  }
  if (contend_at_ != 0 && now >= contend_at_) {
    contend_at_ = 0;
    contend(now);
  }
  // A watch from before a loss may be held by a store that has gone behind its revision.
  if (state_lost_ && !leading_ && now >= loss_read_at_) {
    loss_read_at_ = now + kDataLossPollIntervalMs;
    read(now);
  }
  if (leading_ && now >= next_renewal_) renew(now);
  if (leading_ && mark_incomplete_at_ != 0 && now >= mark_incomplete_at_) {
    mark_incomplete_at_ = 0;
    mark_allocation_log_incomplete(now);
  }
}

// ---- vote abstentions

bool LeaderElection::wants_abstentions(Ms now) const {
  return holds_lease(now) && abstentions_.enabled() &&
         now - renewed_at_ > kVoteAbstentionRequestDelayMs;
}

std::uint64_t LeaderElection::begin_abstention_round(Ms now) {
  return abstentions_.begin_round(now);
}

std::optional<LeaderElection::VoteAbstention> LeaderElection::record_abstention(
    Ms now, const std::string& node, std::uint64_t round) {
  // Only while the right to act has not lapsed: after a gap somebody may have taken over meanwhile.
  if (!holds_lease(now)) return std::nullopt;
  const bool first = !abstentions_.any_recorded();
  const auto abstention = abstentions_.record(node, round);
  if (abstention && first) out_.log(Event::outage_abstentions, term_);
  return abstention;
}

Ms LeaderElection::abstention_bound_until() const {
  return leading_ || !abstentions_.enabled() ? 0 : abstentions_.bound_until();
}

bool LeaderElection::abstain(Ms now, std::uint64_t term) {
  // A node that was cut off until the outage began may know no leader at all, and its abstention is
  // needed all the same: whether `term` is the leader's is not asked.
  if (leading_ || contending_ || term < term_ || state_lost_) return false;
  if (store_down_since_ == 0) {
    probe_store(now);
    return false;
  }
  // Look again before the next abstention.
  if (now - store_down_since_ > kVoteAbstentionPeriodMs) store_down_since_ = 0;
  abstentions_.abstain(now);
  return true;
}

// Watches stay open in an outage and report nothing: whether the store answers is asked.
void LeaderElection::probe_store(Ms now) {
  if (probing_ || now - probed_at_ <= kStoreRetryDelayMs) return;
  probing_ = true;
  probed_at_ = now;
  store_.get(now, Rank::lease, kLeaderKey, [this](Ms t, int status, std::string_view) {
    probing_ = false;
    store_down_since_ = status == kOk || status == kNotFound ? 0 : t;
  });
}

// ---- data loss, and terms that others know

void LeaderElection::state_lost(Ms now) {
  state_lost_ = true;
  note_term(term_);
  no_term_ever_stored_ = false;
  if (leading_) step_down(now, StepDownReason::stored_state_lost);
  leader_.clear();
  revision_ = version_ = 0;
  contend_at_ = 0;
  read(now);
}

void LeaderElection::on_term_heard(Ms now, std::uint64_t term) {
  note_term(term);
  if (!leading_ || term <= term_) return;
  if (!holds_lease(now)) return step_down(now, StepDownReason::later_term_known);
  // Nobody can have taken over: the store had forgotten that term when this one was taken.
  environment_.on_stale_term_stored(now);
}

// ---- observing the leader key

void LeaderElection::read(Ms now) {
  if (reading_) return;
  reading_ = true;
  // What was known when this was asked: a term that is taken meanwhile proves nothing.
  const auto known_term = std::max(known_term_, term_);
  store_.get(now, Rank::lease, kLeaderKey,
             [this, known_term](Ms t, int status, std::string_view body) {
               reading_ = false;
               on_read(t, known_term, status, body);
             });
}

void LeaderElection::on_read(Ms now, std::uint64_t known_term, int status, std::string_view body) {
  if (status == kOk) {
    if (const auto item = wire::parse_item(body)) {
      const auto record = wire::decode_leader(item->value);
      if (!state_lost_ && record.term < known_term) environment_.on_stale_term_stored(now);
      // The revision of the read is not given; the key's own will do, for a watch from there shows
      // every later change of it.
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
  read_at_ = now + kStoreRetryDelayMs;
}

void LeaderElection::watch_unless_open(Ms now) {
  if (!watching_) watch(now);
}

void LeaderElection::watch(Ms now) {
  if (watching_) return;
  watching_ = true;
  store_.watch(now, kLeaderKey, revision_, [this](Ms t, int status, std::string_view body) {
    watching_ = false;
    const auto page = status == kOk ? wire::parse_watch(body) : std::nullopt;
    if (!page) {
      // 410: too old; anything else: the store can't be reached. Either way read the key again.
      read_at_ = t + kStoreRetryDelayMs;
      return;
    }
    for (const auto& event : page->events)
      if (event.key == kLeaderKey) on_watch_event(t, event);
    revision_ = std::max(revision_, page->revision);
    watch(t);
  });
}

void LeaderElection::on_watch_event(Ms now, const wire::Event& event) {
  if (event.deleted) return on_vacancy(now, event.version);
  on_leader_observed(now, {wire::decode_leader(event.value), event.version, 0});
  read(now);  // for the lease, which an event does not name
}

void LeaderElection::on_leader_observed(Ms now, const ObservedLeader& observed) {
  if (leading_ && observed.version <= version_) return;  // this node's own takeover, or older
  if (contending_) return;  // the outcome of this node's own transaction decides
  if (leading_) step_down(now, StepDownReason::replaced);
  const bool own_name = observed.record.node == config_.node;
  if (leader_ != observed.record.node || version_ != observed.version) {
    observed_at_ = now;
    if (!own_name) out_.log(Event::leader_followed, observed.record.term, observed.record.node);
  }
  leader_ = observed.record.node;
  term_ = observed.record.term;
  version_ = observed.version;
  contend_at_ = 0;
  if (own_name)
    on_own_former_lease(now, observed);
  else
    on_other_leader(now, observed);
}

void LeaderElection::on_other_leader(Ms now, const ObservedLeader& observed) {
  if (observed.lease == 0) return;
  // A store that has lost data gives out lease ids again, and a leader that doesn't detect the loss
  // would go on by the renewals of somebody else's lease: found as tasks that ran twice, since it
  // kept their workers' leases alive for good.
  store_.retire_lease(observed.lease);
  if (!state_lost_ || !environment_.ignores_data_loss(observed.record.node)) return;
  // It leads on such a state, and will never know: with its lease its key goes. Workers must not be
  // sent there either.
  leader_.clear();
  revoke_lease_and_read(now, observed.lease);
}

// This node's own name on a lease that it doesn't hold: a former process of it, which is dead, or a
// takeover that was given up. Nobody acts under it, so it can end at once.
void LeaderElection::on_own_former_lease(Ms now, const ObservedLeader& observed) {
  if (observed.lease == 0) {
    leader_.clear();
    return read(now);  // for the lease
  }
  out_.log(Event::leader_former_ended);
  former_leader_was_this_node_ = true;
  leader_.clear();
  revoke_lease_and_read(now, observed.lease);
}

void LeaderElection::on_vacancy(Ms now, std::uint64_t revision) {
  if (contending_) return;
  if (leading_ && revision < version_) return;  // an answer from before this node's own takeover
  if (leading_) step_down(now, StepDownReason::lease_expired);
  leader_.clear();
  if (contend_at_ == 0) {
    std::uniform_int_distribution<Ms> pause(0, kMaxElectionDelayMs);
    contend_at_ = std::max(now + 1, contend_pause_until_) + pause(random_);
  }
}

// ---- contending

void LeaderElection::contend(Ms now) {
  if (contending_ || leading_) return;
  if (assumes_first_term() && !environment_.heard_all_peers(now)) {
    contend_at_ = now + kTickIntervalMs;
    return;
  }
  const Ms earliest = earliest_contest();
  if (now < earliest) {
    contend_at_ = earliest;
    return;
  }
  request_lease(now);
}

// Not against an abstention; and a process that has just started does not know what the one before
// it promised, unless that one led, or nobody ever did.
Ms LeaderElection::earliest_contest() const {
  const bool nothing_was_promised =
      assumes_first_term() || former_leader_was_this_node_ || !abstentions_.enabled();
  return nothing_was_promised ? abstentions_.abstaining_until() : abstentions_.bound_until();
}

void LeaderElection::request_lease(Ms now) {
  contending_ = true;
  lease_sent_ = now;
  store_.acquire_lease(now, static_cast<std::uint32_t>(kLeaderLeaseTtlMs),
                       [this](Ms t, std::optional<std::uint64_t> lease) {
                         if (!lease) return end_contest(t);
                         lease_ = *lease;
                         read_term(t);
                       });
}

void LeaderElection::read_term(Ms now) {
  // What was known when it was asked: a term that was taken meanwhile proves nothing.
  const auto known_term = std::max(known_term_, term_);
  store_.get(now, Rank::lease, kTermKey,
             [this, known_term](Ms t, int status, std::string_view body) {
               on_term_read(t, known_term, status, body);
             });
}

void LeaderElection::on_term_read(Ms now, std::uint64_t known_term, int status,
                                  std::string_view body) {
  StoredTerm stored;
  if (status == kOk) {
    const auto item = wire::parse_item(body);
    const auto term = item ? decode_term(item->value) : std::nullopt;
    if (!term) return end_contest(now);
    stored = {*term, item->version};
  } else if (status != kNotFound) {
    return end_contest(now);
  }
  known_term_ = std::max(known_term_, term_);
  if (stored.term < known_term && !state_lost_) environment_.on_stale_term_stored(now);
  if (state_lost_)
    return commit_term(now, {std::max(stored.term, known_term_) + 1, stored.version, false});
  // Nobody ever led, and nothing was ever launched.
  if (stored.version == 0) return commit_term(now, {1, 0, config_.keeps_allocation_log});
  read_last_leader(now, stored);
}

void LeaderElection::read_last_leader(Ms now, const StoredTerm& stored) {
  store_.get(now, Rank::lease, kLastLeaderKey,
             [this, stored](Ms t, int status, std::string_view body) {
               on_last_leader_read(t, stored, status, body);
             });
}

void LeaderElection::on_last_leader_read(Ms now, const StoredTerm& stored, int status,
                                         std::string_view body) {
  if (status != kOk && status != kNotFound) return end_contest(now);
  const auto item = status == kOk ? wire::parse_item(body) : std::nullopt;
  const auto last = item ? wire::decode_last_leader(item->value) : std::nullopt;
  // Written with the term by every leader; by one of an older version, or without an allocation
  // log, without the log's state.
  const bool complete = last && last->term == stored.term &&
                        last->allocation_log == wire::AllocationLogState::complete;
  commit_term(now, {stored.term + 1, stored.version, config_.keeps_allocation_log && complete});
}

void LeaderElection::commit_term(Ms now, NextTerm next) {
  // What was read may be from before a loss that is known by now.
  next.allocation_log_complete = next.allocation_log_complete && !state_lost_;
  const auto level = config_.level != nullptr ? *config_.level : wire::FeatureLevel{};
  wire::Txn txn;
  txn.if_version(kLeaderKey, 0)
      .if_version(kTermKey, next.key_version)
      .put(kLeaderKey, wire::encode(wire::LeaderRecord{config_.node, next.term}), lease_)
      .put(kTermKey, wire::encode_term(next.term, level))
      .put(kLastLeaderKey, last_leader_value(next.term, next.allocation_log_complete));
  store_.commit(now, Rank::lease, txn, [this, next](Ms t, int status, std::string_view body) {
    const auto revision = status == kOk ? wire::parse_revision(body) : std::nullopt;
    if (revision) return become_leader(t, *revision, next);
    // Lost, or unknown: if the transaction is applied after all, reading the key shows this node's
    // name on a lease that nobody renews, and it is ended.
    end_contest(t);
  });
}

void LeaderElection::end_contest(Ms now) {
  contending_ = false;
  if (lease_ != 0) revoke_lease(now, Rank::low, lease_);
  lease_ = 0;
  read_at_ = now + kStoreRetryDelayMs;
}

void LeaderElection::become_leader(Ms now, std::uint64_t version, const NextTerm& next) {
  contending_ = false;
  allocation_log_complete_ = next.allocation_log_complete;
  marking_incomplete_ = false;
  mark_incomplete_at_ = 0;
  leading_ = true;
  leader_ = config_.node;
  term_ = next.term;
  version_ = version;
  renewed_at_ = now;
  abstentions_.clear_recorded();
  lease_until_ = conservative_expiry(lease_sent_);
  next_renewal_ = now + kLeaderLeaseRenewalIntervalMs / 2;
  out_.log(Event::leader_elected, next.term);
  store_.set_leading(true);
  environment_.on_leadership_gained(now);
}

// ---- leading

void LeaderElection::renew(Ms now) {
  next_renewal_ = now + kLeaderLeaseRenewalIntervalMs;
  const auto lease = lease_;
  store_.call(now, Rank::lease, Method::post, wire::touch_path(lease), "{}",
              [this, requested_at = now, lease](Ms t, int status, std::string_view) {
                if (!leading_ || lease != lease_) return;
                if (status == kOk) {
                  // Counted from the request, which is before the store received it.
                  lease_until_ = std::max(lease_until_, conservative_expiry(requested_at));
                  renewed_at_ = std::max(renewed_at_, requested_at);
                  abstentions_.clear_recorded();
                } else if (status == kNotFound) {
                  step_down(t, StepDownReason::lease_expired);
                }
              });
}

void LeaderElection::mark_allocation_log_complete(Ms now, std::function<void(Ms, bool)> done) {
  if (!leading_ || !config_.keeps_allocation_log || allocation_log_complete_) return;
  wire::Txn txn;
  txn.if_version(kLeaderKey, version_).put(kLastLeaderKey, last_leader_value(term_, true));
  store_.commit(now, Rank::lease, txn,
                [this, term = term_, done = std::move(done)](Ms t, int status, std::string_view) {
                  const bool stored = status == kOk && leading_ && term == term_;
                  if (stored) allocation_log_complete_ = true;
                  done(t, stored);
                });
}

void LeaderElection::mark_allocation_log_incomplete(Ms now) {
  if (!leading_ || (!allocation_log_complete_ && !marking_incomplete_)) return;
  allocation_log_complete_ = false;
  marking_incomplete_ = true;
  wire::Txn txn;
  txn.if_version(kLeaderKey, version_).put(kLastLeaderKey, last_leader_value(term_, false));
  store_.commit(now, Rank::lease, txn, [this, term = term_](Ms t, int status, std::string_view) {
    if (!leading_ || term != term_) return;
    if (status == kOk)
      marking_incomplete_ = false;
    else
      mark_incomplete_at_ = t + kStoreRetryDelayMs;
  });
}

void LeaderElection::resign(Ms now, StepDownReason reason) {
  if (!leading_) return;
  contend_pause_until_ = now + kResignationBackoffMs;
  const auto lease = lease_;
  step_down(now, reason);
  revoke_lease(now, Rank::lease, lease);
}

void LeaderElection::step_down(Ms now, StepDownReason reason) {
  if (!leading_) return;
  leading_ = false;
  lease_until_ = 0;
  lease_ = 0;
  leader_.clear();
  out_.log(Event::leader_lost, term_, election::log_text(reason));
  out_.metrics().add(telemetry::Count::leads_lost);
  store_.set_leading(false);
  environment_.on_leadership_lost(now);
  read_at_ = now + kStoreRetryDelayMs;
}

}  // namespace hitchfront::core
