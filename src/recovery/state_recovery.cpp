#include "recovery/state_recovery.hpp"

#include <algorithm>
#include <array>

#include "settings/constants.hpp"
#include "wire/election_record.hpp"
#include "wire/http_status.hpp"
#include "wire/job_keys.hpp"

namespace hitchfront::core {
using namespace settings;
using Rank = StoreClient::Rank;
using wire::http_status::kConflict;
using wire::http_status::kNoResponse;
using wire::http_status::kOk;
namespace {

// In read order: jobs before their progress, outcomes last.
constexpr std::array kLoadedPrefixes = {wire::kUnfinishedJobPrefix, wire::kJobProgressPrefix,
                                        wire::kJobOutcomePrefix};

constexpr std::size_t kMaxLoggedResponseBytes = 100;

}  // namespace

StateRecovery::StateRecovery(Outbox& outbox, StoreClient& store, FeatureLevelGate& feature_levels,
                             const recovery::StateReplica& own_replica, const Platform& platform,
                             std::uint64_t term, std::uint64_t leader_version, OnDone on_done)
    : outbox_(outbox),
      store_(store),
      feature_levels_(feature_levels),
      platform_(platform),
      term_(term),
      leader_version_(leader_version),
      on_done_(std::move(on_done)),
      merged_(kMaxReplicaOutcomes) {
  merged_.merge(own_replica);
}

void StateRecovery::start(Ms now) {
  started_at_ = now;
  for (const auto& [node, member] : feature_levels_.members().all()) gathering_.expect(node);
  tick(now);
  load_stored(now, 0, "");
}

void StateRecovery::tick(Ms now) {
  if (phase_ == Phase::gathering) return gather(now);
  if (!commit_pending_ && now >= retry_at_) write(now);
}

// --- gathering ---

void StateRecovery::gather(Ms now) {
  if (now >= retry_at_) {
    retry_at_ = now + kPeerHeartbeatIntervalMs;
    request_replicas();
  }
  const bool replicas_pending = waits_for_any_replica(now);
  if (stored_loaded_ && (!replicas_pending || now - started_at_ >= kReplicaGatheringTimeoutMs))
    make_plan(now);
}

bool StateRecovery::detects_data_loss(const std::string& node) const {
  const auto* member = feature_levels_.members().find(node);
  return member != nullptr && member->announced &&
         member->announced->to >= kDataLossDetectionFeatureLevel;
}

void StateRecovery::request_replicas() {
  for (const auto& node : gathering_.incomplete()) {
    if (!detects_data_loss(node)) continue;
    wire::PeerMessage request;
    request.kind = wire::PeerMessage::Kind::replica_request;
    request.id = term_;
    outbox_.send_to_peer(node, wire::encode(request));
  }
}

bool StateRecovery::waits_for_any_replica(Ms now) const {
  const auto incomplete = gathering_.incomplete();
  return std::any_of(incomplete.begin(), incomplete.end(),
                     [&](const std::string& node) { return waits_for_replica(now, node); });
}

// A reachable node of a version without data loss detection keeps no replica and would only delay
// the recovery until the timeout.
bool StateRecovery::waits_for_replica(Ms now, const std::string& node) const {
  return !(feature_levels_.members().up(now, node) && feature_levels_.ignores_data_loss(node));
}

void StateRecovery::on_replica_part(Ms now, const std::string& node,
                                    const wire::PeerMessage& part) {
  const auto index = part.a, count = part.b;
  const bool is_expected =
      phase_ == Phase::gathering && part.id == term_ && gathering_.expects(node);
  if (!is_expected || index >= count) return;
  // Part 0 is the feature level as that node knew it before the loss.
  if (index == 0) {
    const auto level = wire::decode_level(nlohmann::json::parse(part.text, nullptr, false));
    if (level) feature_levels_.merge_level_before_loss(*level);
  } else if (!merged_.merge(part.text)) {
    return;  // malformed: not recorded, so it is requested again
  }
  gathering_.record_part(node, index, count);
  tick(now);
}

// Reads all pages of one prefix after the other. `prefix_index` is an index into kLoadedPrefixes;
// `after` is the last key of the previous page.
void StateRecovery::load_stored(Ms now, std::size_t prefix_index, const std::string& after) {
  store_.range(
      now, Rank::lease, kLoadedPrefixes[prefix_index], after,
      while_exists([this, prefix_index, after](Ms received_at, int status, std::string_view body) {
        const auto page = status == kOk ? wire::parse_page(body) : std::nullopt;
        if (!page) return load_stored(received_at, prefix_index, after);
        for (const auto& item : page->items) merge_stored(item);
        if (page->more && !page->items.empty())
          return load_stored(received_at, prefix_index, page->items.back().key);
        if (prefix_index + 1 < kLoadedPrefixes.size())
          return load_stored(received_at, prefix_index + 1, "");
        stored_loaded_ = true;
        tick(received_at);
      }));
}

void StateRecovery::merge_stored(const wire::Item& item) {
  if (item.key.starts_with(wire::kUnfinishedJobPrefix)) {
    const auto job = item.key.substr(wire::kUnfinishedJobPrefix.size());
    if (const auto record = wire::decode_unfinished_job(item.value))
      merged_.add_unfinished(job, item.value.dump(), record->cancelled, record->launch_watermark);
  } else if (item.key.starts_with(wire::kJobOutcomePrefix)) {
    const auto job = item.key.substr(wire::kJobOutcomePrefix.size());
    if (const auto record = wire::decode_job_outcome(item.value)) merged_.add_outcome(job, *record);
  } else if (const auto key = wire::parse_progress_key(item.key); key && item.value.is_string()) {
    // Merged by means of a temporary replica, because set_progress() on merged_ would replace the
    // other replicas' progress of the chunk.
    recovery::StateReplica stored_progress(1);
    stored_progress.set_progress(key->job, key->chunk, item.value.get<std::string>());
    merged_.merge(stored_progress);
  }
  stored_[item.key] = {item.version, item.value.dump()};
}

// A leader of a version without data loss detection does not send its launch watermarks to the
// other controllers. Watermarks that the store has lost are then known only from the replicas' last
// reads, which may be stale.
bool StateRecovery::watermarks_may_be_stale() const {
  if (feature_levels_.known_level().high >= 2) return false;
  const auto nodes = gathering_.expected();
  return std::any_of(nodes.begin(), nodes.end(),
                     [&](const std::string& node) { return !detects_data_loss(node); });
}

void StateRecovery::make_plan(Ms now) {
  const auto complete = gathering_.complete_count();
  const auto missing = static_cast<std::ptrdiff_t>(gathering_.expected_count() - complete);
  outbox_.log(Event::state_gathered, complete + 1, missing, merged_.unfinished().size(),
              merged_.outcomes().size());
  const auto form = wire::progress_form(feature_levels_.recovered_level().active);
  plan_ = recovery::RecoveryPlan(merged_, stored_, {form, watermarks_may_be_stale()});
  retry_at_ = 0;
  phase_ = Phase::preparing;
  write(now);
}

// --- writing ---

void StateRecovery::write(Ms now) {
  if (phase_ == Phase::preparing) return prepare_level(now);
  if (plan_.empty()) return finish(now);
  write_batch(now);
}

// Writes the feature level and the term before any planned value. The level, still of the lost
// generation, declares the formats that may be stored; the term is encoded so that versions without
// feature levels reject it.
void StateRecovery::prepare_level(Ms now) {
  auto level = feature_levels_.recovered_level();
  --level.generation;
  level.term = term_;
  const auto& stored = feature_levels_.level();
  const bool already_prepared =
      stored.low <= level.low && stored.high == level.high && stored.generation == level.generation;
  if (already_prepared) {
    phase_ = Phase::writing;
    return write(now);
  }
  put_level(now, level, [this](Ms received_at) {
    phase_ = Phase::writing;
    write(received_at);
  });
}

void StateRecovery::write_batch(Ms now) {
  auto batch = plan_.next_batch(
      {static_cast<std::size_t>(platform_.store.transaction_changes), kMaxRecoveryBatchBytes});
  wire::Txn txn;
  txn.if_version(wire::kLeaderKey, leader_version_);
  for (const auto& write : batch) {
    // A controller that has not detected the loss may have written the key since it was read.
    const auto it = stored_.find(write.key);
    txn.if_version(write.key, it == stored_.end() ? 0 : it->second.version);
    if (write.removes())
      txn.drop(write.key);
    else
      txn.put(write.key, write.text);
  }
  commit_pending_ = true;
  store_.commit(now, Rank::lease, txn,
                while_exists([this, batch = std::move(batch)](Ms received_at, int status,
                                                              std::string_view body) {
                  commit_pending_ = false;
                  const auto revision = status == kOk ? wire::parse_revision(body) : std::nullopt;
                  if (!revision) return on_batch_refused(received_at, status, body);
                  on_batch_written(received_at, batch, *revision);
                }));
}

void StateRecovery::on_batch_written(Ms now, const std::vector<recovery::PlannedWrite>& batch,
                                     std::uint64_t revision) {
  for (const auto& write : batch) {
    if (write.removes())
      stored_.erase(write.key);
    else
      stored_[write.key] = {revision, write.text};
  }
  consecutive_conflicts_ = 0;
  written_count_ += batch.size();
  plan_.confirm(batch.size());
  write(now);
}

// After a conflict, or without a response, the stored values are uncertain: reads them again and
// makes a new plan.
void StateRecovery::on_batch_refused(Ms now, int status, std::string_view body) {
  if (abandon_if_unresolvable(now, status, body)) return;
  retry_at_ = now + kStoreRetryDelayMs;
  if (status != kConflict && status != kNoResponse) return;
  plan_ = {};
  stored_.clear();
  phase_ = Phase::gathering;
  stored_loaded_ = false;
  load_stored(now, 0, "");
}

// Writes the next generation of the state, which ends the recovery.
void StateRecovery::finish(Ms now) {
  auto level = feature_levels_.recovered_level();
  level.term = term_;
  put_level(now, level, [this, generation = level.generation](Ms received_at) {
    const double seconds = static_cast<double>(received_at - started_at_) / 1000;
    outbox_.log(Event::state_restored, generation, written_count_, seconds);
    on_done_(received_at);
  });
}

void StateRecovery::put_level(Ms now, const wire::FeatureLevel& level, OnDone on_done) {
  wire::Txn txn;
  txn.if_version(wire::kLeaderKey, leader_version_)
      .put(StoreClient::kFeatureLevelKey, wire::encode(level))
      .put(wire::kTermKey, wire::encode_term(term_, level));
  commit_pending_ = true;
  store_.commit(now, Rank::lease, txn,
                while_exists([this, level, on_done = std::move(on_done)](Ms received_at, int status,
                                                                         std::string_view body) {
                  commit_pending_ = false;
                  const auto revision = status == kOk ? wire::parse_revision(body) : std::nullopt;
                  if (revision) {
                    feature_levels_.adopt_recovered(received_at, level, *revision);
                    return on_done(received_at);
                  }
                  if (abandon_if_unresolvable(received_at, status, body)) return;
                  retry_at_ = received_at + kStoreRetryDelayMs;
                }));
}

// A conflict on the leader key is permanent: this node no longer leads. Repeated conflicts on other
// keys have a cause that this process cannot detect, so a new leader has to start over.
bool StateRecovery::abandon_if_unresolvable(Ms now, int status, std::string_view body) {
  if (status != kConflict) return false;
  const bool still_leading = body.find("\"leader\"") == std::string_view::npos;
  if (still_leading && ++consecutive_conflicts_ < kMaxRecoveryConflicts) return false;
  outbox_.log(Event::recovery_abandoned,
              still_leading ? "refused again and again" : "another leads",
              std::string(body.substr(0, kMaxLoggedResponseBytes)));
  if (on_abandoned) on_abandoned(now);
  return true;
}

}  // namespace hitchfront::core
