#include "feature_level/feature_level_gate.hpp"

#include <algorithm>

#include "settings/constants.hpp"

namespace hitchfront::core {
using namespace settings;
using Rank = StoreClient::Rank;
using feature_level::Held;
using feature_level::Hold;
namespace {
constexpr const char* kLevelKey = StoreClient::kLevelKey;
constexpr const char* kNodePrefix = "node/";

std::vector<std::string> names(const std::vector<Peer>& peers) {
  std::vector<std::string> out;
  for (const auto& p : peers) out.push_back(p.node);
  return out;
}
}  // namespace

FeatureLevelGate::FeatureLevelGate(Outbox& out, StoreClient& store, const Platform& platform,
                                   feature_level::Support mine, std::uint32_t most,
                                   std::uint64_t process)
    : out_(out),
      store_(store),
      platform_(platform),
      mine_(mine),
      most_(most),
      self_{platform.node, HITCHFRONT_VERSION, process, mine.from, mine.to, 0},
      members_(names(platform.peers), kPeerSilentMs) {
  store_.on_other_level = [this](Ms now) { look(now); };
  store_.on_loss = [this](Ms now, const char* why) { losing(now, why); };
}

wire::ProgressForm FeatureLevelGate::progress_form() const {
  return wire::progress_form(level_.active);
}

void FeatureLevelGate::start(Ms now, std::int64_t wall_ms) {
  started_ = now;
  wall_minus_steady_ = wall_ms - now;
  self_.since_s = wall_ms / 1000;
  if (mine_.announces) return look(now);
  serving_ = true;
  if (on_serving) on_serving(now);
}

std::string FeatureLevelGate::member_status() const {
  return mine_.announces
             ? wire::encode_member_status(
                   {self_, store_.seen(), lost_ ? lost_generation_ : level_.generation, lost_})
             : std::string();
}

void FeatureLevelGate::heard(Ms now, const std::string& node, std::string_view text) {
  const auto member_status =
      mine_.announces ? wire::decode_member_status(node, text) : std::nullopt;
  const auto* before = members_.find(node);
  const bool other = before != nullptr && member_status &&
                     (!before->said || before->said->process != member_status->said.process);
  members_.heard(now, node, member_status ? std::optional(member_status->said) : std::nullopt);
  if (other && on_new_process) on_new_process(node);
  if (!member_status || member_status->said.to < kDataLossLevel || !detects_data_loss()) return;
  peer_generation_ = std::max(peer_generation_, member_status->generation);
  if (member_status->lost && member_status->generation >= level_.generation && !lost_) {
    lost_generation_ = member_status->generation;
    return store_.lose(now, "told");
  }
  // What a peer has seen of the same state, this node's next answer must be no older than.
  if (!member_status->lost && member_status->generation == level_.generation)
    store_.knows(member_status->seen);
  // Of an identity that does not stand in the store as this node has read it: it is behind, or the
  // store has lost it.
  if (!lost_ && known_ && member_status->generation > level_.generation) look(now);
}

// ---- a loss
// -----------------------------------------------------------------------------------------

void FeatureLevelGate::losing(Ms now, const char* why) {
  lost_generation_ = std::max(lost_generation_, level_.generation);
  if (std::exchange(lost_, true)) {
    knew(level_);  // lost once more before it was rebuilt
  } else {
    before_ = level_;
    lost_since_ = now;
    next_wait_ = now + kDataLossLogMs;
  }
  stamp_ = 0;
  out_.log(Event::state_lost, lost_generation_, why);
  if (on_loss) on_loss(now);
  looking_ = false;
  look(now);
}

void FeatureLevelGate::report_data_loss(Ms now, const char* why) {
  if (lost_ || !detects_data_loss()) return;
  lost_generation_ = std::max(level_.generation, peer_generation_);
  store_.lose(now, why);
}

bool FeatureLevelGate::heard_all(Ms now) const {
  if (now - started_ >= kPeerSilentMs) return true;
  return std::all_of(members_.all().begin(), members_.all().end(),
                     [](const auto& m) { return m.second.heard_at.has_value(); });
}

std::string FeatureLevelGate::new_store_incarnation(std::int64_t since_s) const {
  return std::to_string(self_.process) + "-" + std::to_string(since_s);
}

bool FeatureLevelGate::ignores_data_loss(const std::string& node) const {
  const auto* m = members_.find(node);
  return m != nullptr && m->heard_at && (!m->said || m->said->to < kDataLossLevel);
}

// Nobody is there at night to ask why users are refused: said again while it lasts.
void FeatureLevelGate::log_waiting(Ms now, const std::string& leader) {
  if (!lost_ || now < next_wait_) return;
  next_wait_ = now + kDataLossLogMs;
  const bool own = leader == platform_.node;
  const char* what = leader.empty() ? "a leader" : own ? "the rebuild here" : "the rebuild";
  out_.log(Event::state_waits, static_cast<double>(now - lost_since_) / 1000, what, leader,
           lost_generation_);
}

bool FeatureLevelGate::heard_any(Ms now) const {
  return now - started_ >= kPeerSilentMs || members_.all().empty() ||
         std::any_of(members_.all().begin(), members_.all().end(),
                     [](const auto& m) { return m.second.heard_at.has_value(); });
}

void FeatureLevelGate::knew(const wire::FeatureLevel& level) {
  before_.low = std::min(before_.low, level.low);
  before_.high = std::max(before_.high, level.high);
  before_.active = std::max(before_.active, level.active);
  if (before_.store_incarnation.empty()) before_.store_incarnation = level.store_incarnation;
  before_.generation = std::max(before_.generation, level.generation);
}

wire::FeatureLevel FeatureLevelGate::recovered_level() const {
  auto l = before_;
  l.low = std::min(l.low, level_.low);
  l.high = std::max(l.high, level_.high);
  l.active = std::max(l.active, level_.active);
  l.generation =
      std::max({lost_generation_, l.generation, level_.generation, peer_generation_}) + 1;
  // Below the level that brings it the state had none; the rebuilt one is known by it.
  if (l.store_incarnation.empty())
    l.store_incarnation = new_store_incarnation((started_ + wall_minus_steady_) / 1000);
  return l;
}

void FeatureLevelGate::look(Ms now) {
  if (looking_ || !mine_.announces) return;
  looking_ = true;
  look_at_ = 0;
  store_.get(now, Rank::lease, kLevelKey,
             [this, expected = peer_generation_](Ms t, int status, std::string_view body) {
               looking_ = false;
               const auto too_old = [&](std::uint64_t generation) {
                 if (lost_ || generation >= expected || !detects_data_loss()) return false;
                 lost_generation_ = expected;
                 store_.lose(t, "generation");
                 return true;
               };
               if (status == 404) return too_old(0) ? void() : adopt(t, {}, 0);
               const auto item = status == 200 ? wire::parse_item(body) : std::nullopt;
               if (!item) {
                 look_at_ = t + kStoreRetryMs;
                 return;
               }
               // One that can't be read is of a version newer than any that this one knows.
               const auto level = wire::decode_level(item->value);
               if (!level) return refuse(t, "unreadable");
               if (!too_old(level->generation)) adopt(t, *level, item->version);
             });
}

void FeatureLevelGate::adopt(Ms now, const wire::FeatureLevel& level, std::uint64_t stamp) {
  // An answer that was overtaken: this node's own switch is stored already. Not in a loss: the
  // store has gone back, perhaps more than once, and a controller that would not look at what
  // stands there now refused its users for good.
  if (known_ && !lost_ && stamp < stamp_) return;
  const bool other = !known_ || stamp != stamp_;
  bool forgotten = false;
  known_ = true;
  level_ = level;
  stamp_ = stamp;
  if (lost_) {
    store_.set_level(stamp);
    if (level.generation <= lost_generation_) {
      look_at_ = now + kDataLossPollMs;
      return;
    }
    lost_ = false;
    // The announcement may be gone without its lease being missed: a store that has lost everything
    // gives the lease's number to somebody else, and renewing that one looks well. It held every
    // switch back for good.
    forgotten = true;
    store_.recovered();
    out_.log(Event::state_recovered, level.generation);
    if (on_recovered) on_recovered(now);
  }
  if (detects_data_loss()) store_.detect_data_loss();
  if (!self_.supports(level))
    return refuse(now, std::to_string(level.low) + "-" + std::to_string(level.high));
  store_.set_level(stamp);
  unsupported_ = false;
  if (other && (level.high > 1 || serving_))
    out_.log(Event::level_active, level.active, level.low, level.high);
  // A running process that supports the level goes on: whatever it wrote under the former one was
  // refused. One that has announced nothing yet does so now, under the level as just read.
  if (!serving_ || forgotten) announce(now);
}

void FeatureLevelGate::refuse(Ms now, std::string what) {
  store_.stop_writing();
  look_at_ = now + kLevelLookMs;
  if (!unsupported_) out_.log(Event::level_unsupported, std::move(what), mine_.from, mine_.to);
  unsupported_ = true;
  if (!std::exchange(serving_, false)) return;
  if (on_unsupported) on_unsupported(now);
}

// Conditioned on the level as read, by the store client, and on what stood there: a former
// process's late write can't take the place of this one's. From the write on a switch is
// conditioned on this very announcement.
void FeatureLevelGate::announce(Ms now) {
  if (announcing_) return;
  announcing_ = true;
  const auto again = [this](Ms t) {
    announcing_ = false;
    look_at_ = t + kStoreRetryMs;
  };
  store_.hold(
      now, static_cast<std::uint32_t>(kMemberTtlMs),
      [this, again](Ms t, std::optional<std::uint64_t> lease) {
        if (!lease) return again(t);
        store_.get(
            t, Rank::lease, kNodePrefix + platform_.node,
            [this, again, lease = *lease](Ms t2, int status2, std::string_view body2) {
              const auto item = status2 == 200 ? wire::parse_item(body2) : std::nullopt;
              if (!item && status2 != 404) return again(t2);
              wire::Txn txn;
              const auto key = kNodePrefix + platform_.node;
              txn.if_version(key, item ? item->version : 0).put(key, wire::encode(self_), lease);
              store_.commit(
                  t2, Rank::lease, txn, [this, again, lease](Ms t3, int status3, std::string_view) {
                    if (status3 != 200) return again(t3);
                    announcing_ = false;
                    lease_ = lease;
                    renew_at_ = t3 + kMemberRenewMs;
                    if (std::exchange(serving_, true)) return;
                    out_.log(Event::member_announced, static_cast<std::int64_t>(self_.process >> 1),
                             mine_.from, mine_.to);
                    if (on_serving) on_serving(t3);
                  });
            });
      });
}

void FeatureLevelGate::renew(Ms now) {
  renew_at_ = now + kMemberRenewMs;
  store_.call(now, Rank::lease, Method::post, wire::touch_path(lease_), "{}",
              [this](Ms t, int status, std::string_view) {
                // Gone: nobody switches while it is, for an announcement that is missing holds
                // every switch back.
                if (status == 404 && serving_) announce(t);
              });
}

void FeatureLevelGate::tick(Ms now) {
  if (!mine_.announces) return;
  if (look_at_ != 0 && now >= look_at_) {
    look_at_ = 0;
    if (lost_) return look(now);
    // A process that serves and has lost its announcement only needs a new one; the level tells
    // itself by refused writes.
    if (serving_)
      announce(now);
    else
      look(now);
  }
  if (serving_ && renew_at_ != 0 && now >= renew_at_) renew(now);
}

// ---- leader
// -----------------------------------------------------------------------------------------

void FeatureLevelGate::hold(Ms now, std::uint32_t target, const Held& held) {
  if (held.why != Hold::none) free_since_ = 0;
  if (held.why == Hold::none && free_since_ == 0) free_since_ = now;
  if (held.why == held_.why && held.member == held_.member) return;
  held_ = held;
  if (held.why != Hold::none)
    out_.log(Event::level_held, target, feature_level::word(held.why), held.member);
}

void FeatureLevelGate::advance(Ms now, std::uint64_t term, std::uint64_t leader_version,
                               std::size_t others) {
  if (!mine_.announces || !serving_ || lost_ || switching_ || now < advance_at_) return;
  advance_at_ = now + kLevelStepMs;
  others_ = others;
  if (level_.low != level_.high && others == 0) {
    auto settled = level_;
    settled.low = settled.high = level_.active;
    return switch_to(now, term, leader_version, settled);
  }
  const auto step = feature_level::next_step(level_, most_, mine_);
  if (!step.next) {
    held_ = {};
    free_since_ = 0;
    if (step.why == Hold::for_good) hold(now, level_.active - 1, {step.why, ""});
    return;
  }
  const auto target = step.next->active;
  // Members are who the settings name; where they don't name everybody, somebody may be passed by.
  // One condition for each member, one for oneself, the leader and the level.
  if (static_cast<int>(platform_.peers.size()) + 1 != platform_.nodes ||
      platform_.nodes + 2 > 4 * platform_.store.transaction_changes)
    return hold(now, target, {Hold::settings, ""});
  const auto held = feature_level::held_by(now, *step.next, members_, false);
  hold(now, target, held);
  if (held.why != Hold::none || now - free_since_ < kLevelSettleMs) return;
  switching_ = true;
  members_.begin_reading();
  self_stamp_ = 0;
  read_members(now, term, leader_version, *step.next, "");
}

void FeatureLevelGate::read_members(Ms now, std::uint64_t term, std::uint64_t leader_version,
                                    const wire::FeatureLevel& next, std::string after) {
  store_.range(now, Rank::leader, kNodePrefix, after,
               [this, term, leader_version, next](Ms t, int status, std::string_view body) {
                 auto page = status == 200 ? wire::parse_page(body) : std::nullopt;
                 if (!page) {
                   switching_ = false;
                   return;
                 }
                 for (const auto& i : page->items) {
                   auto said = wire::decode_announcement(i.value);
                   if (!said || kNodePrefix + said->node != i.key)
                     continue;  // as if it had announced nothing
                   if (said->node == platform_.node) {
                     if (said->process == self_.process) self_stamp_ = i.version;
                   } else {
                     members_.stored(std::move(*said), i.version);
                   }
                 }
                 if (page->more && !page->items.empty())
                   return read_members(t, term, leader_version, next, page->items.back().key);
                 auto held = feature_level::held_by(t, next, members_, true);
                 if (held.why == Hold::none && self_stamp_ == 0)
                   held = {Hold::absent, platform_.node};
                 hold(t, next.active, held);
                 if (held.why != Hold::none) {
                   switching_ = false;
                   return;
                 }
                 switch_to(t, term, leader_version, next);
               });
}

void FeatureLevelGate::switch_to(Ms now, std::uint64_t term, std::uint64_t leader_version,
                                 wire::FeatureLevel next) {
  switching_ = true;
  next.term = term;
  next.since_s = (now + wall_minus_steady_) / 1000;
  // It stays when the level is taken back: what was once known of the state remains so.
  if (next.active >= kDataLossLevel && next.generation == 0) {
    next.store_incarnation = new_store_incarnation(next.since_s);
    next.generation = 1;
  }
  wire::Txn txn;
  txn.if_version("leader", leader_version);
  // Not where only the forms that may stand get fewer: that asks nothing new of anybody.
  if (next.active != level_.active) {
    txn.if_version(kNodePrefix + platform_.node, self_stamp_);
    for (const auto& [node, m] : members_.all()) txn.if_version(kNodePrefix + node, m.stamp);
  }
  txn.put(kLevelKey, wire::encode(next)).put("term", wire::encode_term(term, next));
  store_.commit(now, Rank::leader, txn, [this, next](Ms t, int status, std::string_view body) {
    switching_ = false;
    if (const auto rev = status == 200 ? wire::parse_revision(body) : std::nullopt) {
      out_.log(next.active == level_.active ? Event::level_settled : Event::level_switched,
               next.active, next.term);
      held_ = {};
      free_since_ = 0;
      return adopt(t, next, *rev);
    }
    // Refused, or nobody knows: what stands there decides. Applied late, it makes the next write
    // fail, and that is looked at.
    free_since_ = 0;
    look(t);
  });
}

void FeatureLevelGate::update_gauges(Ms now) const {
  using telemetry::Gauge;
  auto& f = out_.metrics();
  f.set(Gauge::level, level_.active, 0);
  f.set(Gauge::level, level_.low, 1);
  f.set(Gauge::level, level_.high, 2);
  f.set(Gauge::level_held, held_.why == Hold::none ? 0 : 1);
  f.set(Gauge::level_left, static_cast<double>(others_));
  f.set(Gauge::state_lost, lost_ ? 1 : 0);
  f.set(Gauge::members_up, static_cast<double>(members_.up_now(now)));
}

}  // namespace hitchfront::core
