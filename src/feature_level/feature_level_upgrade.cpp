#include "feature_level/feature_level_upgrade.hpp"

#include "settings/constants.hpp"
#include "wire/election_record.hpp"
#include "wire/http_status.hpp"

namespace hitchfront::core {
using namespace settings;
using Rank = StoreClient::Rank;
using feature_level::Held;
using feature_level::HoldReason;
using feature_level::MemberCheck;
using wire::http_status::kOk;
namespace {
// Conditions that a transaction may have for each change that it may have.
constexpr int kConditionsPerChange = 4;
}  // namespace

FeatureLevelUpgrade::FeatureLevelUpgrade(Outbox& out, StoreClient& store, const Platform& platform,
                                         const Config& config, const wire::FeatureLevel& level,
                                         membership::Members& members)
    : out_(out),
      store_(store),
      platform_(platform),
      config_(config),
      level_(level),
      members_(members) {}

std::string FeatureLevelUpgrade::new_store_incarnation(std::int64_t since_s) const {
  return std::to_string(config_.process) + "-" + std::to_string(since_s);
}

// ---- what holds the next level back

// Members are who the settings name; where they don't name everybody, somebody may be passed by.
// One condition for each member, one for this node, the leader and the level.
bool FeatureLevelUpgrade::settings_name_all_members() const {
  const bool all_named = static_cast<int>(platform_.peers.size()) + 1 == platform_.nodes;
  const int conditions = platform_.nodes + 2;
  return all_named && conditions <= kConditionsPerChange * platform_.store.transaction_changes;
}

void FeatureLevelUpgrade::record_held(Ms now, std::uint32_t target, const Held& held) {
  if (held.why != HoldReason::none) free_since_ = 0;
  if (held.why == HoldReason::none && free_since_ == 0) free_since_ = now;
  if (held.why == held_.why && held.member == held_.member) return;
  held_ = held;
  if (held.why != HoldReason::none)
    out_.log(Event::level_held, target, feature_level::log_text(held.why), held.member);
}

void FeatureLevelUpgrade::reset_held() {
  held_ = {};
  free_since_ = 0;
}

// ---- the steps

void FeatureLevelUpgrade::advance(Ms now, const LeaderTerm& leader, std::size_t other_values) {
  if (switching_ || now < next_step_at_) return;
  next_step_at_ = now + kFeatureLevelStepIntervalMs;
  other_values_ = other_values;
  if (level_.low != level_.high && other_values == 0) {
    auto settled = level_;
    settled.low = settled.high = level_.active;
    return switch_to(now, leader, settled);
  }
  const auto step = feature_level::next_step(level_, config_.most, config_.support);
  if (!step.next) {
    reset_held();
    if (step.why == HoldReason::for_good) record_held(now, level_.active - 1, {step.why, ""});
    return;
  }
  const auto target = step.next->active;
  if (!settings_name_all_members()) return record_held(now, target, {HoldReason::settings, ""});
  const auto held = feature_level::held_by(now, *step.next, members_, MemberCheck::heartbeats);
  record_held(now, target, held);
  if (held.why != HoldReason::none || now - free_since_ < kFeatureLevelSettlePeriodMs) return;
  switching_ = true;
  members_.begin_reading();
  own_announcement_version_ = 0;
  read_members(now, leader, *step.next, "");
}

// `after`: the last key of the page before.
void FeatureLevelUpgrade::read_members(Ms now, const LeaderTerm& leader,
                                       const wire::FeatureLevel& next, const std::string& after) {
  store_.range(now, Rank::leader, wire::kMemberPrefix, after,
               [this, leader, next](Ms t, int status, std::string_view body) {
                 const auto page = status == kOk ? wire::parse_page(body) : std::nullopt;
                 if (!page) {
                   switching_ = false;
                   return;
                 }
                 for (const auto& item : page->items) record_announcement(item);
                 if (page->more && !page->items.empty())
                   return read_members(t, leader, next, page->items.back().key);
                 on_members_read(t, leader, next);
               });
}

void FeatureLevelUpgrade::record_announcement(const wire::Item& item) {
  auto announced = wire::decode_announcement(item.value);
  // Unreadable, or of another name than its key: as if it had announced nothing.
  if (!announced || wire::member_key(announced->node) != item.key) return;
  if (announced->node != platform_.node) {
    members_.record_stored(std::move(*announced), item.version);
  } else if (announced->process == config_.process) {
    own_announcement_version_ = item.version;
  }
}

void FeatureLevelUpgrade::on_members_read(Ms now, const LeaderTerm& leader,
                                          const wire::FeatureLevel& next) {
  auto held = feature_level::held_by(now, next, members_, MemberCheck::heartbeats_and_store);
  if (held.why == HoldReason::none && own_announcement_version_ == 0)
    held = {HoldReason::absent, platform_.node};
  record_held(now, next.active, held);
  if (held.why != HoldReason::none) {
    switching_ = false;
    return;
  }
  switch_to(now, leader, next);
}

void FeatureLevelUpgrade::switch_to(Ms now, const LeaderTerm& leader, wire::FeatureLevel next) {
  switching_ = true;
  next.term = leader.term;
  next.since_s = (now + wall_minus_steady_ms_) / 1000;
  // It stays when the level is taken back: what was once known of the state remains so.
  if (next.active >= kDataLossDetectionFeatureLevel && next.generation == 0) {
    next.store_incarnation = new_store_incarnation(next.since_s);
    next.generation = 1;
  }
  wire::Txn txn;
  txn.if_version(wire::kLeaderKey, leader.key_version);
  // Not where only the forms that may stand get fewer: that asks nothing new of anybody.
  if (next.active != level_.active) {
    txn.if_version(wire::member_key(platform_.node), own_announcement_version_);
    for (const auto& [node, member] : members_.all())
      txn.if_version(wire::member_key(node), member.stored_version);
  }
  txn.put(StoreClient::kFeatureLevelKey, wire::encode(next))
      .put(wire::kTermKey, wire::encode_term(leader.term, next));
  store_.commit(now, Rank::leader, txn, [this, next](Ms t, int status, std::string_view body) {
    on_switch_answered(t, next, status, body);
  });
}

void FeatureLevelUpgrade::on_switch_answered(Ms now, const wire::FeatureLevel& next, int status,
                                             std::string_view body) {
  switching_ = false;
  if (const auto revision = status == kOk ? wire::parse_revision(body) : std::nullopt) {
    const bool settled = next.active == level_.active;
    out_.log(settled ? Event::level_settled : Event::level_switched, next.active, next.term);
    reset_held();
    return on_switched(now, next, *revision);
  }
  // Applied late, it makes the next write fail, and that is looked at.
  free_since_ = 0;
  on_switch_failed(now);
}

}  // namespace hitchfront::core
