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
using wire::http_status::kNone;
using wire::http_status::kOk;
namespace {

// In the order in which they are read: jobs before their progress, final states last.
constexpr std::array kLoadedPrefixes = {wire::kUnfinishedJobPrefix, wire::kJobProgressPrefix,
                                        wire::kJobOutcomePrefix};

constexpr std::size_t kLoggedRefusalMost = 100;  // characters of the store's answer

}  // namespace

StateRecovery::StateRecovery(Outbox& out, StoreClient& store, FeatureLevelGate& feature_levels,
                             const recovery::StateReplica& own, const Platform& platform,
                             std::uint64_t term, std::uint64_t leader_version, OnDone done)
    : out_(out),
      store_(store),
      feature_levels_(feature_levels),
      platform_(platform),
      term_(term),
      leader_version_(leader_version),
      done_(std::move(done)),
      merged_(kMaxReplicaOutcomes) {
  merged_.join(own);
}

void StateRecovery::start(Ms now) {
  started_at_ = now;
  for (const auto& [node, member] : feature_levels_.members().all()) gathering_.expect(node);
  tick(now);
  load_stored(now, 0, "");
}

void StateRecovery::tick(Ms now) {
  if (phase_ == Phase::gathering) return gather(now);
  if (!commit_open_ && now >= retry_at_) write(now);
}

// ---- gathering

void StateRecovery::gather(Ms now) {
  if (now >= retry_at_) {
    retry_at_ = now + kPeerHeartbeatIntervalMs;
    request_replicas();
  }
  const bool any = waits_for_any_replica(now);
  if (stored_loaded_ && (!any || now - started_at_ >= kReplicaGatheringTimeoutMs)) make_plan(now);
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
    out_.send_to_peer(node, wire::encode(request));
  }
}

bool StateRecovery::waits_for_any_replica(Ms now) const {
  const auto incomplete = gathering_.incomplete();
  return std::any_of(incomplete.begin(), incomplete.end(),
                     [&](const std::string& node) { return waits_for_replica(now, node); });
}

// A node that is up and keeps no replica is not waited for: an earlier version beside a loss made
// the recovery longer by 5 s.
bool StateRecovery::waits_for_replica(Ms now, const std::string& node) const {
  return !(feature_levels_.members().up(now, node) && feature_levels_.ignores_data_loss(node));
}

void StateRecovery::on_replica_part(Ms now, const std::string& node,
                                    const wire::PeerMessage& part) {
  const auto index = part.a, count = part.b;
  const bool wanted = phase_ == Phase::gathering && part.id == term_ && gathering_.expects(node);
  if (!wanted || index >= count) return;
  // Part 0 is the feature level as that node knew it.
  if (index == 0) {
    const auto level = wire::decode_level(nlohmann::json::parse(part.text, nullptr, false));
    if (level) feature_levels_.note_level_before_loss(*level);
  } else if (!merged_.join(part.text)) {
    return;  // broken: asked for again
  }
  gathering_.record_part(node, index, count);
  tick(now);
}

// Reads the pages of one prefix after the other. `prefix`: index into kLoadedPrefixes; `after`: the
// last key of the page before.
void StateRecovery::load_stored(Ms now, std::size_t prefix, const std::string& after) {
  store_.range(now, Rank::lease, kLoadedPrefixes[prefix], after,
               while_exists([this, prefix, after](Ms t, int status, std::string_view body) {
                 const auto page = status == kOk ? wire::parse_page(body) : std::nullopt;
                 if (!page) return load_stored(t, prefix, after);
                 for (const auto& item : page->items) merge_stored(item);
                 if (page->more && !page->items.empty())
                   return load_stored(t, prefix, page->items.back().key);
                 if (prefix + 1 < kLoadedPrefixes.size()) return load_stored(t, prefix + 1, "");
                 stored_loaded_ = true;
                 tick(t);
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
    // Joined beside what the replicas have of the chunk; recorded, it would take its place.
    recovery::StateReplica one(1);
    one.set_progress(key->job, key->chunk, item.value.get<std::string>());
    merged_.join(one);
  }
  stored_[item.key] = {item.version, item.value.dump()};
}

// A version that doesn't detect data loss may have led, and such a one tells nobody how far it
// launches: what the store lost of its launch watermarks is known from the replicas' last reading
// alone, up to a second old.
bool StateRecovery::watermarks_may_be_behind() const {
  if (feature_levels_.known_level().high >= 2) return false;
  const auto nodes = gathering_.expected();
  return std::any_of(nodes.begin(), nodes.end(),
                     [&](const std::string& node) { return !detects_data_loss(node); });
}

void StateRecovery::make_plan(Ms now) {
  const auto complete = gathering_.complete_count();
  const auto missing = static_cast<std::ptrdiff_t>(gathering_.expected_count() - complete);
  out_.log(Event::state_gathered, complete + 1, missing, merged_.unfinished().size(),
           merged_.outcomes().size());
  const auto form = wire::progress_form(feature_levels_.recovered_level().active);
  plan_ = recovery::RecoveryPlan(merged_, stored_, {form, watermarks_may_be_behind()});
  retry_at_ = 0;
  phase_ = Phase::opening;
  write(now);
}

// ---- writing

void StateRecovery::write(Ms now) {
  if (phase_ == Phase::opening) return open(now);
  if (plan_.empty()) return finish(now);
  write_batch(now);
}

// Before any value: which forms may stand in the store, and a term that versions from before
// feature levels refuse, still of the lost generation.
void StateRecovery::open(Ms now) {
  auto level = feature_levels_.recovered_level();
  --level.generation;
  level.term = term_;
  const auto& stored = feature_levels_.level();
  const bool open_already =
      stored.low <= level.low && stored.high == level.high && stored.generation == level.generation;
  if (open_already) {
    phase_ = Phase::writing;
    return write(now);
  }
  put_level(now, level, [this](Ms t) {
    phase_ = Phase::writing;
    write(t);
  });
}

void StateRecovery::write_batch(Ms now) {
  auto batch = plan_.next_batch(
      {static_cast<std::size_t>(platform_.store.transaction_changes), kMaxRecoveryBatchBytes});
  wire::Txn txn;
  txn.if_version(wire::kLeaderKey, leader_version_);
  for (const auto& write : batch) {
    // A controller that knows of no loss may have written there meanwhile.
    const auto it = stored_.find(write.key);
    txn.if_version(write.key, it == stored_.end() ? 0 : it->second.version);
    if (write.removes())
      txn.drop(write.key);
    else
      txn.put(write.key, write.text);
  }
  commit_open_ = true;
  store_.commit(
      now, Rank::lease, txn,
      while_exists([this, batch = std::move(batch)](Ms t, int status, std::string_view body) {
        commit_open_ = false;
        const auto revision = status == kOk ? wire::parse_revision(body) : std::nullopt;
        if (!revision) return on_batch_refused(t, status, body);
        on_batch_written(t, batch, *revision);
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
  refused_in_a_row_ = 0;
  written_ += batch.size();
  plan_.confirm(batch.size());
  write(now);
}

// Refused, or nobody knows: what stands there is read again, and what is missing then is planned
// anew.
void StateRecovery::on_batch_refused(Ms now, int status, std::string_view body) {
  if (abandon_if_hopeless(now, status, body)) return;
  retry_at_ = now + kStoreRetryDelayMs;
  if (status != kConflict && status != kNone) return;
  plan_ = {};
  stored_.clear();
  phase_ = Phase::gathering;
  stored_loaded_ = false;
  load_stored(now, 0, "");
}

// The last write: the next generation of the state.
void StateRecovery::finish(Ms now) {
  auto level = feature_levels_.recovered_level();
  level.term = term_;
  put_level(now, level, [this, generation = level.generation](Ms t) {
    const double seconds = static_cast<double>(t - started_at_) / 1000;
    out_.log(Event::state_restored, generation, written_, seconds);
    done_(t);
  });
}

void StateRecovery::put_level(Ms now, const wire::FeatureLevel& level, OnDone done) {
  wire::Txn txn;
  txn.if_version(wire::kLeaderKey, leader_version_)
      .put(StoreClient::kFeatureLevelKey, wire::encode(level))
      .put(wire::kTermKey, wire::encode_term(term_, level));
  commit_open_ = true;
  store_.commit(
      now, Rank::lease, txn,
      while_exists([this, level, done = std::move(done)](Ms t, int status, std::string_view body) {
        commit_open_ = false;
        const auto revision = status == kOk ? wire::parse_revision(body) : std::nullopt;
        if (revision) {
          feature_levels_.adopt_recovered(t, level, *revision);
          return done(t);
        }
        if (abandon_if_hopeless(t, status, body)) return;
        retry_at_ = t + kStoreRetryDelayMs;
      }));
}

// A write that is refused for the leader's key will be for good. One that is refused again and
// again for anything else has a cause that this process does not see; a new leader reads everything
// anew.
bool StateRecovery::abandon_if_hopeless(Ms now, int status, std::string_view body) {
  if (status != kConflict) return false;
  const bool still_leads = body.find("\"leader\"") == std::string_view::npos;
  if (still_leads && ++refused_in_a_row_ < kMaxRecoveryConflicts) return false;
  out_.log(Event::recovery_abandoned, still_leads ? "refused again and again" : "another leads",
           std::string(body.substr(0, kLoggedRefusalMost)));
  if (on_abandoned) on_abandoned(now);
  return true;
}

}  // namespace hitchfront::core
