#include "election/leader_election.hpp"

#include <nlohmann/json.hpp>

#include "settings/constants.hpp"

namespace hitchfront::core {
using namespace settings;
using nlohmann::json;
using Rank = StoreClient::Rank;
namespace {

constexpr const char* kLeaderKey = "leader";
constexpr const char* kTermKey = "term";
constexpr const char* kLedKey =
    "led";  // who led last, in which term, and whether the allocation log holds all that runs
constexpr const char* kComplete = "whole";

// The leader's own view of its lease: counted from before the request was sent, shortened by drift.
Ms conservative(Ms sent) {
  return sent + static_cast<Ms>(static_cast<double>(kLeaderTtlMs) * (1 - 2 * kDrift)) -
         kLeaderMarginMs;
}

}  // namespace

LeaderElection::LeaderElection(Outbox& out, StoreClient& store, std::string node,
                               std::uint64_t seed, std::vector<std::string> peers,
                               bool keeps_allocation_log, const wire::FeatureLevel* level)
    : out_(out),
      store_(store),
      node_(std::move(node)),
      random_(seed),
      peers_(std::move(peers)),
      keeps_allocation_log_(keeps_allocation_log),
      level_(level) {}

std::optional<std::uint64_t> LeaderElection::read_term(const json& value) const {
  if (level_ == nullptr && !value.is_number_unsigned()) return std::nullopt;
  return wire::decode_term(value);
}

void LeaderElection::start(Ms now) {
  started_ = now;
  // No term was ever stored: nobody has led, and nobody can have been promised anything.
  store_.get(now, Rank::lease, kTermKey, [this](Ms t, int status, std::string_view body) {
    no_term_ever_stored_ = status == 404;
    const auto item = status == 200 ? wire::parse_item(body) : std::nullopt;
    const auto term = item ? read_term(item->value) : std::nullopt;
    if (!term) return read(t);
    // The one before this process may have been the last to lead: then nobody acts, and nothing
    // that it promised earlier is still open. The term guards against a record that a later leader
    // did not write.
    store_.get(t, Rank::lease, kLedKey,
               [this, term = *term](Ms t2, int status2, std::string_view body2) {
                 const auto led = status2 == 200 ? wire::parse_item(body2) : std::nullopt;
                 if (led && led->value.is_object() && led->value.value("node", "") == node_ &&
                     led->value.value("term", std::uint64_t{0}) == term)
                   former_leader_was_this_node_ = true;
                 read(t2);
               });
  });
}

// ---- abstentions
// ---------------------------------------------------------------------------------------

Ms LeaderElection::abstained_until() const {
  if (peers_.empty() || abstentions_.size() < peers_.size()) return 0;
  Ms until = INT64_MAX;
  for (const auto& [node, t] : abstentions_) until = std::min(until, t);
  return until;
}

bool LeaderElection::wants_abstentions(Ms now) const {
  return holds_lease(now) && !peers_.empty() && now - renewed_at_ > kAbstentionAskAfterMs;
}

std::uint64_t LeaderElection::begin_abstention_round(Ms now) {
  rounds_[++round_] = now;
  while (rounds_.size() > 20) rounds_.erase(rounds_.begin());
  return round_;
}

std::optional<LeaderElection::VoteAbstention> LeaderElection::record_abstention(
    Ms now, const std::string& node, std::uint64_t round) {
  // Only while the right to act has not lapsed: after a gap somebody may have taken over meanwhile.
  if (!holds_lease(now)) return std::nullopt;
  const auto it = rounds_.find(round);
  if (it == rounds_.end()) return std::nullopt;
  // Counted from before the question was sent, which is before the promise was made.
  const Ms until = it->second +
                   static_cast<Ms>(static_cast<double>(kAbstentionMs) * (1 - 2 * kDrift)) -
                   kLeaderMarginMs;
  if (abstentions_.empty()) out_.log(Event::outage_abstentions, term_);
  auto& mine = abstentions_[node];
  mine = std::max(mine, until);
  return VoteAbstention{it->second, until};
}

namespace {
// How long an abstention binds whoever gave it, by its own clock.
constexpr Ms abstention_bound_ms() {
  return static_cast<Ms>(static_cast<double>(kAbstentionMs) * (1 + 2 * kDrift)) + kLeaseMarginMs;
}
}  // namespace

Ms LeaderElection::abstention_bound_until() const {
  return leading_ || peers_.empty() ? 0
                                    : std::max(abstains_until_, started_ + abstention_bound_ms());
}

bool LeaderElection::abstain(Ms now, std::uint64_t term) {
  // Promising is safe whoever asks: it only binds this node, and the leader counts it only while it
  // has the right to act. A node that was cut off until the outage began may know no leader at all,
  // and its abstention is needed all the same.
  if (leading_ || contending_ || term < term_ || state_lost_) return false;
  if (store_down_since_ == 0) {
    // Watches stay open in an outage and tell nothing: ask the store.
    if (!probing_ && now - probed_at_ > kStoreRetryMs) {
      probing_ = true;
      probed_at_ = now;
      store_.get(now, Rank::lease, kLeaderKey, [this](Ms t, int status, std::string_view) {
        probing_ = false;
        store_down_since_ = status == 200 || status == 404 ? 0 : t;
      });
    }
    return false;
  }
  if (now - store_down_since_ > kAbstentionMs)
    store_down_since_ = 0;  // look again before the next promise
  abstains_until_ = now + abstention_bound_ms();
  return true;
}

void LeaderElection::state_lost(Ms now) {
  state_lost_ = true;
  note_term(term_);
  no_term_ever_stored_ = false;
  if (leading_) step_down(now, "the stored state has lost something");
  leader_.clear();
  revision_ = version_ = 0;
  contend_at_ = 0;
  read(now);
}

void LeaderElection::on_term_heard(Ms now, std::uint64_t term) {
  note_term(term);
  if (!leading_ || term <= term_) return;
  if (!holds_lease(now)) return step_down(now, "a later term is known");
  // Nobody can have taken over: the store had forgotten that term when this one was taken.
  if (on_data_loss) on_data_loss(now, "term");
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
    loss_read_at_ = now + kDataLossPollMs;
    read(now);
  }
  if (leading_ && now >= next_renewal_) renew(now);
  if (leading_ && mark_incomplete_at_ != 0 && now >= mark_incomplete_at_) {
    mark_incomplete_at_ = 0;
    mark_allocation_log_incomplete(now);
  }
}

void LeaderElection::read(Ms now) {
  if (reading_) return;
  reading_ = true;
  store_.get(now, Rank::lease, kLeaderKey,
             [this, known = std::max(known_term_, term_)](Ms t, int status, std::string_view body) {
               reading_ = false;
               if (status == 200) {
                 if (auto item = wire::parse_item(body)) {
                   // A leader of a term before one that was known when this was asked.
                   if (!state_lost_ && on_data_loss && item->value.is_object() &&
                       item->value.value("term", std::uint64_t{0}) < known)
                     on_data_loss(t, "term");
                   // The revision of the read is not given; the key's own will do, for a watch from
                   // there shows every later change of it.
                   revision_ = std::max(revision_, item->version);
                   on_leader_observed(t, item->value.value("node", ""),
                                      item->value.value("term", std::uint64_t{0}), item->version,
                                      item->lease);
                   if (!watching_) watch(t);
                   return;
                 }
               } else if (status == 404) {
                 if (auto rev = wire::parse_revision(body)) {
                   revision_ = std::max(revision_, *rev);
                   on_vacancy(t, *rev);
                   if (!watching_) watch(t);
                   return;
                 }
               }
               read_at_ = t + kStoreRetryMs;
             });
}

void LeaderElection::watch(Ms now) {
  if (watching_) return;
  watching_ = true;
  store_.watch(now, kLeaderKey, revision_, [this](Ms t, int status, std::string_view body) {
    watching_ = false;
    if (status == 200) {
      if (auto page = wire::parse_watch(body)) {
        for (const auto& e : page->events) {
          if (e.key != kLeaderKey) continue;
          if (e.deleted) {
            on_vacancy(t, e.version);
          } else {
            on_leader_observed(t, e.value.value("node", ""),
                               e.value.value("term", std::uint64_t{0}), e.version, 0);
            read(t);  // the watch does not tell the lease
          }
        }
        revision_ = std::max(revision_, page->revision);
        return watch(t);
      }
    }
    // 410: too old; anything else: the store can't be reached. Either way read the key again.
    read_at_ = t + kStoreRetryMs;
  });
}

void LeaderElection::on_leader_observed(Ms now, const std::string& node, std::uint64_t term,
                                        std::uint64_t version, std::uint64_t lease) {
  if (leading_ && version == version_) return;
  if (leading_ && version < version_) return;  // older than our own takeover
  if (contending_) return;                     // our own transaction's outcome decides
  if (leading_) step_down(now, "another node took over");
  if (leader_ != node || version_ != version) {
    observed_at_ = now;
    if (node != node_) out_.log(Event::leader_followed, term, node);
  }
  leader_ = node;
  term_ = term;
  version_ = version;
  contend_at_ = 0;
  if (node != node_ && lease != 0) {
    // A store that has lost something gives out numbers again, and a leader that heeds no loss
    // would go on by the renewals of somebody else's lease: found as tasks that ran twice, since it
    // kept their workers' leases alive for good.
    store_.retire_lease(lease);
    if (!state_lost_ || !ignores_data_loss || !ignores_data_loss(node)) return;
    // It leads on such a state, and will never know: with its lease its key goes. Workers must not
    // be sent there either.
    leader_.clear();
    store_.call(now, Rank::lease, Method::del, wire::end_path(lease), {},
                [this](Ms t, int, std::string_view) { read(t); });
    return;
  }
  // Our own name on a lease that we don't hold: a former process of ours, which is dead, or a
  // takeover that was given up. Nobody acts under it, so it can end at once.
  if (node == node_ && lease != 0) {
    out_.log(Event::leader_former_ended);
    former_leader_was_this_node_ = true;
    leader_.clear();
    store_.call(now, Rank::lease, Method::del, wire::end_path(lease), {},
                [this](Ms t, int, std::string_view) { read(t); });
  } else if (node == node_) {
    leader_.clear();
    read(now);  // the watch does not tell the lease
  }
}

void LeaderElection::on_vacancy(Ms now, std::uint64_t revision) {
  if (contending_) return;
  if (leading_ && revision < version_) return;  // an answer from before our own takeover
  if (leading_) step_down(now, "the lease ended");
  leader_.clear();
  if (contend_at_ == 0) {
    std::uniform_int_distribution<Ms> pause(0, kContendMs);
    contend_at_ = std::max(now + 1, contend_pause_until_) + pause(random_);
  }
}

void LeaderElection::contend(Ms now) {
  if (contending_ || leading_) return;
  // Not against an abstention; and a process that has just started does not know what the one
  // before it promised, unless that one led, or nobody ever did.
  if (no_term_ever_stored_ && known_term_ == 0 && heard_all && !heard_all(now)) {
    contend_at_ = now + kTickMs;
    return;
  }
  const Ms earliest =
      std::max(abstains_until_, (no_term_ever_stored_ && known_term_ == 0) ||
                                        former_leader_was_this_node_ || peers_.empty()
                                    ? 0
                                    : started_ + abstention_bound_ms());
  if (now < earliest) {
    contend_at_ = earliest;
    return;
  }
  contending_ = true;
  lease_sent_ = now;
  store_.hold(
      now, static_cast<std::uint32_t>(kLeaderTtlMs),
      [this](Ms t, std::optional<std::uint64_t> lease) {
        if (!lease) return end_contest(t);
        lease_ = *lease;
        // What was known when it was asked: a term that was taken meanwhile proves nothing.
        store_.get(
            t, Rank::lease, kTermKey,
            [this, known = std::max(known_term_, term_)](Ms t2, int status2,
                                                         std::string_view body2) {
              std::uint64_t term = 0, version = 0;
              if (status2 == 200) {
                auto item = wire::parse_item(body2);
                const auto stored = item ? read_term(item->value) : std::nullopt;
                if (!stored) return end_contest(t2);
                term = *stored;
                version = item->version;
              } else if (status2 != 404) {
                return end_contest(t2);
              }
              known_term_ = std::max(known_term_, term_);
              if (term < known && !state_lost_ && on_data_loss) on_data_loss(t2, "term");
              if (state_lost_)
                return commit_term(t2, std::max(term, known_term_) + 1, version, false);
              if (version == 0)
                return commit_term(
                    t2, 1, 0,
                    keeps_allocation_log_);  // nobody ever led, and nothing was ever launched
              store_.get(t2, Rank::lease, kLedKey,
                         [this, term, version](Ms t3, int status3, std::string_view body3) {
                           if (status3 != 200 && status3 != 404) return end_contest(t3);
                           const auto led = status3 == 200 ? wire::parse_item(body3) : std::nullopt;
                           // Written with the term by every leader; by one of an older version, or
                           // without an allocation log, without this field.
                           const bool allocation_log_complete =
                               led && led->value.is_object() &&
                               led->value.value("term", std::uint64_t{0}) == term &&
                               led->value.value("roster", "") == kComplete;
                           commit_term(t3, term + 1, version,
                                       keeps_allocation_log_ && allocation_log_complete);
                         });
            });
      });
}

std::string LeaderElection::last_leader_value(std::uint64_t term,
                                              bool allocation_log_complete) const {
  json o = {{"node", node_}, {"term", term}};
  if (keeps_allocation_log_) o["roster"] = allocation_log_complete ? kComplete : "partial";
  return o.dump();
}

void LeaderElection::commit_term(Ms now, std::uint64_t term, std::uint64_t term_version,
                                 bool allocation_log_complete) {
  // Read before a loss that is known by now.
  allocation_log_complete = allocation_log_complete && !state_lost_;
  wire::Txn txn;
  txn.if_version(kLeaderKey, 0)
      .if_version(kTermKey, term_version)
      .put(kLeaderKey, json{{"node", node_}, {"term", term}}.dump(), lease_)
      .put(kTermKey, wire::encode_term(term, level_ != nullptr ? *level_ : wire::FeatureLevel{}))
      .put(kLedKey, last_leader_value(term, allocation_log_complete));
  store_.commit(now, Rank::lease, txn,
                [this, term, allocation_log_complete](Ms t, int status, std::string_view body) {
                  if (status == 200) {
                    if (auto rev = wire::parse_revision(body))
                      return become_leader(t, *rev, term, allocation_log_complete);
                  }
                  // Lost, or unknown: if our transaction is applied after all, reading the key
                  // shows our name on a lease that nobody renews, and it is ended.
                  end_contest(t);
                });
}

void LeaderElection::mark_allocation_log_complete(Ms now, std::function<void(Ms, bool)> done) {
  if (!leading_ || !keeps_allocation_log_ || allocation_log_complete_) return;
  wire::Txn txn;
  txn.if_version(kLeaderKey, version_).put(kLedKey, last_leader_value(term_, true));
  store_.commit(now, Rank::lease, txn,
                [this, term = term_, done = std::move(done)](Ms t, int status, std::string_view) {
                  const bool stored = status == 200 && leading_ && term == term_;
                  if (stored) allocation_log_complete_ = true;
                  done(t, stored);
                });
}

void LeaderElection::mark_allocation_log_incomplete(Ms now) {
  if (!leading_ || (!allocation_log_complete_ && !marking_incomplete_)) return;
  allocation_log_complete_ = false;
  marking_incomplete_ = true;
  wire::Txn txn;
  txn.if_version(kLeaderKey, version_).put(kLedKey, last_leader_value(term_, false));
  store_.commit(now, Rank::lease, txn, [this, term = term_](Ms t, int status, std::string_view) {
    if (!leading_ || term != term_) return;
    if (status == 200)
      marking_incomplete_ = false;
    else
      mark_incomplete_at_ = t + kStoreRetryMs;
  });
}

void LeaderElection::end_contest(Ms now) {
  contending_ = false;
  if (lease_ != 0)
    store_.call(now, Rank::low, Method::del, wire::end_path(lease_), {},
                [](Ms, int, std::string_view) {});
  lease_ = 0;
  read_at_ = now + kStoreRetryMs;
}

void LeaderElection::become_leader(Ms now, std::uint64_t version, std::uint64_t term,
                                   bool allocation_log_complete) {
  contending_ = false;
  allocation_log_complete_ = allocation_log_complete;
  marking_incomplete_ = false;
  mark_incomplete_at_ = 0;
  leading_ = true;
  leader_ = node_;
  term_ = term;
  version_ = version;
  renewed_at_ = now;
  abstentions_.clear();
  lease_until_ = conservative(lease_sent_);
  next_renewal_ = now + kRenewMs / 2;
  out_.log(Event::leader_elected, term);
  store_.lead(true);
  if (on_won) on_won(now);
}

void LeaderElection::renew(Ms now) {
  next_renewal_ = now + kRenewMs;
  const auto lease = lease_;
  store_.call(now, Rank::lease, Method::post, wire::touch_path(lease), "{}",
              [this, now, lease](Ms t, int status, std::string_view) {
                if (!leading_ || lease != lease_) return;
                if (status == 200) {
                  // `now` is when the renewal was asked for, which is before the store received it.
                  lease_until_ = std::max(lease_until_, conservative(now));
                  renewed_at_ = std::max(renewed_at_, now);
                  abstentions_.clear();
                } else if (status == 404) {
                  step_down(t, "the lease ended");
                }
              });
}

void LeaderElection::resign(Ms now, const char* why) {
  if (!leading_) return;
  contend_pause_until_ = now + kResignPauseMs;
  const auto lease = lease_;
  step_down(now, why);
  store_.call(now, Rank::lease, Method::del, wire::end_path(lease), {},
              [](Ms, int, std::string_view) {});
}

void LeaderElection::step_down(Ms now, const char* why) {
  if (!leading_) return;
  leading_ = false;
  lease_until_ = 0;
  lease_ = 0;
  leader_.clear();
  out_.log(Event::leader_lost, term_, why);
  out_.metrics().add(telemetry::Count::leads_lost);
  store_.lead(false);
  if (on_lost) on_lost(now);
  read_at_ = now + kStoreRetryMs;
}

}  // namespace hitchfront::core
