#include "feature_level/feature_level_upgrade.hpp"

#include "settings/constants.hpp"
#include "wire/election_record.hpp"
#include "wire/http_status.hpp"

namespace hitchfront::core {
using namespace settings;
using Rank = StoreClient::Rank;
using feature_level::Blocker;
using feature_level::BlockReason;
using feature_level::MemberCheck;
using wire::http_status::kOk;
namespace {
// The store's limit on a transaction's conditions, as a multiple of its limit on changes.
constexpr int kMaxConditionsPerChange = 4;
}  // namespace

FeatureLevelUpgrade::FeatureLevelUpgrade(Outbox& outbox, StoreClient& store,
                                         const Platform& platform, const Config& config,
                                         const wire::FeatureLevel& level,
                                         membership::Members& members)
    : outbox_(outbox),
      store_(store),
      platform_(platform),
      config_(config),
      level_(level),
      members_(members) {}

std::string FeatureLevelUpgrade::new_store_incarnation(std::int64_t unix_time_s) const {
  return std::to_string(config_.process) + "-" + std::to_string(unix_time_s);
}

// --- blockers ---

// Members are taken from the settings: if these do not list every controller, a switch could bypass
// one that does not support the level. The switch has a condition for each node's announcement, the
// leader and the level.
bool FeatureLevelUpgrade::can_verify_all_members() const {
  const bool all_named = static_cast<int>(platform_.peers.size()) + 1 == platform_.nodes;
  const int conditions = platform_.nodes + 2;
  return all_named && conditions <= kMaxConditionsPerChange * platform_.store.transaction_changes;
}

void FeatureLevelUpgrade::record_blocker(Ms now, std::uint32_t target, const Blocker& blocker) {
  if (blocker.reason != BlockReason::none) unblocked_since_ = 0;
  if (blocker.reason == BlockReason::none && unblocked_since_ == 0) unblocked_since_ = now;
  if (blocker.reason == blocker_.reason && blocker.member == blocker_.member) return;
  blocker_ = blocker;
  if (blocker.reason != BlockReason::none)
    outbox_.log(Event::level_held, target, feature_level::log_text(blocker.reason), blocker.member);
}

void FeatureLevelUpgrade::reset_blocker() {
  blocker_ = {};
  unblocked_since_ = 0;
}

// --- steps ---

void FeatureLevelUpgrade::advance(Ms now, const LeaderTerm& leader, std::size_t unmigrated_values) {
  if (switching_ || now < next_step_at_) return;
  next_step_at_ = now + kFeatureLevelStepIntervalMs;
  unmigrated_values_ = unmigrated_values;
  if (level_.low != level_.high && unmigrated_values == 0) {
    auto migrated = level_;
    migrated.low = migrated.high = level_.active;
    return switch_to(now, leader, migrated);
  }
  const auto step = feature_level::next_step(level_, config_.max_level, config_.support);
  if (!step.next) {
    reset_blocker();
    if (step.reason == BlockReason::irreversible)
      record_blocker(now, level_.active - 1, {step.reason, ""});
    return;
  }
  const auto target = step.next->active;
  if (!can_verify_all_members()) return record_blocker(now, target, {BlockReason::settings, ""});
  const auto blocker =
      feature_level::find_blocker(now, *step.next, members_, MemberCheck::heartbeats);
  record_blocker(now, target, blocker);
  if (blocker.reason != BlockReason::none || now - unblocked_since_ < kFeatureLevelSettlePeriodMs)
    return;
  switching_ = true;
  members_.begin_reading();
  own_announcement_version_ = 0;
  read_announcements(now, leader, *step.next, "");
}

// Reads the page of announcements that follows `after_key`.
void FeatureLevelUpgrade::read_announcements(Ms now, const LeaderTerm& leader,
                                             const wire::FeatureLevel& next,
                                             const std::string& after_key) {
  store_.range(now, Rank::leader, wire::kMemberPrefix, after_key,
               [this, leader, next](Ms received_at, int status, std::string_view body) {
                 const auto page = status == kOk ? wire::parse_page(body) : std::nullopt;
                 if (!page) {
                   switching_ = false;
                   return;
                 }
                 for (const auto& item : page->items) record_announcement(item);
                 if (page->more && !page->items.empty())
                   return read_announcements(received_at, leader, next, page->items.back().key);
                 on_announcements_read(received_at, leader, next);
               });
}

void FeatureLevelUpgrade::record_announcement(const wire::Item& item) {
  auto announced = wire::decode_announcement(item.value);
  // An announcement that is unreadable or does not match its key is ignored.
  if (!announced || wire::member_key(announced->node) != item.key) return;
  if (announced->node != platform_.node) {
    members_.record_stored(std::move(*announced), item.version);
  } else if (announced->process == config_.process) {
    own_announcement_version_ = item.version;
  }
}

void FeatureLevelUpgrade::on_announcements_read(Ms now, const LeaderTerm& leader,
                                                const wire::FeatureLevel& next) {
  auto blocker =
      feature_level::find_blocker(now, next, members_, MemberCheck::heartbeats_and_store);
  if (blocker.reason == BlockReason::none && own_announcement_version_ == 0)
    blocker = {BlockReason::absent, platform_.node};
  record_blocker(now, next.active, blocker);
  if (blocker.reason != BlockReason::none) {
    switching_ = false;
    return;
  }
  switch_to(now, leader, next);
}

void FeatureLevelUpgrade::switch_to(Ms now, const LeaderTerm& leader, wire::FeatureLevel next) {
  switching_ = true;
  next.term = leader.term;
  next.since_s = (now + wall_minus_steady_ms_) / 1000;
  // Assigned once and kept when the level is lowered again.
  if (next.active >= kDataLossDetectionFeatureLevel && next.generation == 0) {
    next.store_incarnation = new_store_incarnation(next.since_s);
    next.generation = 1;
  }
  wire::Txn txn;
  txn.if_version(wire::kLeaderKey, leader.key_version);
  // Completing a migration needs no conditions on announcements: it only narrows the range of
  // formats in the store, which requires nothing more of the members.
  if (next.active != level_.active) {
    txn.if_version(wire::member_key(platform_.node), own_announcement_version_);
    for (const auto& [node, member] : members_.all())
      txn.if_version(wire::member_key(node), member.stored_version);
  }
  txn.put(StoreClient::kFeatureLevelKey, wire::encode(next))
      .put(wire::kTermKey, wire::encode_term(leader.term, next));
  store_.commit(now, Rank::leader, txn,
                [this, next](Ms received_at, int status, std::string_view body) {
                  on_switch_response(received_at, next, status, body);
                });
}

void FeatureLevelUpgrade::on_switch_response(Ms now, const wire::FeatureLevel& next, int status,
                                             std::string_view body) {
  switching_ = false;
  if (const auto revision = status == kOk ? wire::parse_revision(body) : std::nullopt) {
    const bool migrated = next.active == level_.active;
    outbox_.log(migrated ? Event::level_migrated : Event::level_switched, next.active, next.term);
    reset_blocker();
    return on_switched(now, next, *revision);
  }
  // If the switch is applied later after all, the next transaction is refused for its level, and
  // the level is read again.
  unblocked_since_ = 0;
  on_switch_failed(now);
}

}  // namespace hitchfront::core
