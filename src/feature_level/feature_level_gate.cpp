#include "feature_level/feature_level_gate.hpp"

#include <algorithm>

#include "settings/constants.hpp"
#include "wire/http_status.hpp"

namespace hitchfront::core {
using namespace settings;
using Rank = StoreClient::Rank;
using feature_level::BlockReason;
using wire::http_status::kNotFound;
using wire::http_status::kOk;
namespace {

std::vector<std::string> node_names(const std::vector<Peer>& peers) {
  std::vector<std::string> nodes;
  nodes.reserve(peers.size());
  for (const auto& peer : peers) nodes.push_back(peer.node);
  return nodes;
}

bool has_sent_heartbeat(const std::pair<const std::string, membership::Member>& entry) {
  return entry.second.last_heartbeat_at.has_value();
}

}  // namespace

FeatureLevelGate::FeatureLevelGate(Outbox& outbox, StoreClient& store, const Platform& platform,
                                   feature_level::Support support, std::uint32_t max_level,
                                   std::uint64_t process, FeatureLevelObserver& observer)
    : outbox_(outbox),
      store_(store),
      observer_(observer),
      platform_(platform),
      support_(support),
      members_(node_names(platform.peers), kPeerSilenceTimeoutMs),
      announcement_(
          store, {platform.node, HITCHFRONT_VERSION, process, support.from, support.to, 0},
          [this](Ms now, MemberAnnouncement::Result result) { on_announcement(now, result); }),
      upgrade_(outbox, store, platform, {support, max_level, process}, level_, members_) {
  store_.on_feature_level_mismatch = [this](Ms now) { read_level(now); };
  store_.on_loss = [this](Ms now, const char* reason) { begin_data_loss(now, reason); };
  upgrade_.on_switched = [this](Ms now, const wire::FeatureLevel& level, std::uint64_t version) {
    adopt(now, level, version);
  };
  upgrade_.on_switch_failed = [this](Ms now) { read_level(now); };
}

void FeatureLevelGate::start(Ms now, std::int64_t wall_ms) {
  started_at_ = now;
  wall_minus_steady_ms_ = wall_ms - now;
  upgrade_.set_wall_clock_offset(wall_minus_steady_ms_);
  announcement_.set_start_time_s(wall_ms / 1000);
  if (support_.announces) return read_level(now);
  serving_ = true;
  observer_.on_ready_to_serve(now);
}

void FeatureLevelGate::tick(Ms now) {
  if (!support_.announces) return;
  if (next_check_at_ != 0 && now >= next_check_at_) {
    next_check_at_ = 0;
    if (lost()) return read_level(now);
    // A serving process that has lost its announcement only needs to announce itself again; it
    // detects a change of the level by refused writes.
    if (serving_)
      announcement_.announce(now);
    else
      read_level(now);
  }
  if (serving_) announcement_.renew_if_due(now);
}

wire::ProgressForm FeatureLevelGate::progress_form() const {
  return wire::progress_form(level_.active);
}

// --- reading and adopting the level ---

void FeatureLevelGate::on_peer_level_version(Ms now, std::uint64_t version) {
  if (version > level_version_ && level_known_ && !lost()) read_level(now);
}

void FeatureLevelGate::read_level(Ms now) {
  if (reading_level_ || !support_.announces) return;
  reading_level_ = true;
  next_check_at_ = 0;
  // The response reflects the store at the time of the request or later, so its generation must not
  // be older than the one known now.
  const auto expected_generation = data_loss_.peer_generation();
  store_.get(now, Rank::lease, StoreClient::kFeatureLevelKey,
             [this, expected_generation](Ms received_at, int status, std::string_view body) {
               on_level_read(received_at, expected_generation, status, body);
             });
}

void FeatureLevelGate::on_level_read(Ms now, std::uint64_t expected_generation, int status,
                                     std::string_view body) {
  reading_level_ = false;
  if (status == kNotFound) {
    if (!report_old_generation(now, 0, expected_generation)) adopt(now, {}, 0);
    return;
  }
  const auto item = status == kOk ? wire::parse_item(body) : std::nullopt;
  if (!item) {
    next_check_at_ = now + kStoreRetryDelayMs;
    return;
  }
  // An undecodable level was written by a newer version of the program.
  const auto level = wire::decode_level(item->value);
  if (!level) return reject_level(now, "unreadable");
  if (!report_old_generation(now, level->generation, expected_generation))
    adopt(now, *level, item->version);
}

// Reports data loss and returns true if the stored generation is older than `expected`, which a
// peer had reported before the request.
bool FeatureLevelGate::report_old_generation(Ms now, std::uint64_t generation,
                                             std::uint64_t expected) {
  if (lost() || generation >= expected || !detects_data_loss()) return false;
  data_loss_.set_lost_generation(expected);
  store_.record_loss(now, log_text(DataLossEvidence::generation));
  return true;
}

void FeatureLevelGate::adopt(Ms now, const wire::FeatureLevel& level, std::uint64_t version) {
  // A stale response: this node's own switch has been stored since. During a loss older versions
  // are accepted, because the store may have gone backwards: ignoring them would keep this node
  // from ever serving again.
  if (level_known_ && !lost() && version < level_version_) return;
  const bool changed = !level_known_ || version != level_version_;
  level_known_ = true;
  level_ = level;
  level_version_ = version;
  bool recovered = false;
  if (lost()) {
    store_.set_feature_level_version(version);
    if (!data_loss_.is_recovered_by(level)) {
      next_check_at_ = now + kDataLossPollIntervalMs;
      return;
    }
    recovered = true;
    end_data_loss(now, level.generation);
  }
  if (detects_data_loss()) store_.enable_data_loss_detection();
  if (!announcement_.self().supports(level))
    return reject_level(now, std::to_string(level.low) + "-" + std::to_string(level.high));
  store_.set_feature_level_version(version);
  unsupported_ = false;
  if (changed && (level.high > 1 || serving_))
    outbox_.log(Event::level_active, level.active, level.low, level.high);
  // A serving process that supports the level continues: the store refuses its writes that were
  // prepared under the previous level. One that has not announced itself does so now, at the level
  // just read. After a loss the announcement is always stored again: the store may have lost it and
  // assigned its lease's id to another client, so that renewals succeed while the missing
  // announcement blocks every switch.
  if (!serving_ || recovered) announcement_.announce(now);
}

void FeatureLevelGate::reject_level(Ms now, std::string stored) {
  store_.stop_writing();
  next_check_at_ = now + kFeatureLevelPollIntervalMs;
  if (!unsupported_)
    outbox_.log(Event::level_unsupported, std::move(stored), support_.from, support_.to);
  unsupported_ = true;
  if (!std::exchange(serving_, false)) return;
  observer_.on_unsupported_level(now);
}

// --- members ---

void FeatureLevelGate::on_announcement(Ms now, MemberAnnouncement::Result result) {
  switch (result) {
    case MemberAnnouncement::Result::failed:
      next_check_at_ = now + kStoreRetryDelayMs;
      return;
    case MemberAnnouncement::Result::expired:
      // The process may keep serving: a missing announcement blocks every switch.
      if (serving_) announcement_.announce(now);
      return;
    case MemberAnnouncement::Result::announced:
      if (std::exchange(serving_, true)) return;
      outbox_.log(Event::member_announced, static_cast<std::int64_t>(process() >> 1), support_.from,
                  support_.to);
      observer_.on_ready_to_serve(now);
      return;
  }
}

std::string FeatureLevelGate::member_status() const {
  if (!support_.announces) return {};
  const auto generation = lost() ? data_loss_.lost_generation() : level_.generation;
  return wire::encode_member_status(
      {announcement_.self(), store_.latest_revision(), generation, lost()});
}

void FeatureLevelGate::on_peer_heartbeat(Ms now, const std::string& node,
                                         std::string_view member_status) {
  const auto status =
      support_.announces ? wire::decode_member_status(node, member_status) : std::nullopt;
  const auto* member = members_.find(node);
  const bool new_process =
      member != nullptr && status &&
      (!member->announced || member->announced->process != status->announcement.process);
  members_.record_heartbeat(now, node, status ? std::optional(status->announcement) : std::nullopt);
  if (new_process) observer_.on_peer_process_started(node);
  if (status && status->announcement.to >= kDataLossDetectionFeatureLevel && detects_data_loss())
    on_member_status(now, *status);
}

// Compares the stored state with what a peer that detects data loss knows of it.
void FeatureLevelGate::on_member_status(Ms now, const wire::MemberStatus& status) {
  data_loss_.record_peer_generation(status.generation);
  if (status.data_lost && status.generation >= level_.generation && !lost()) {
    data_loss_.set_lost_generation(status.generation);
    return store_.record_loss(now, log_text(DataLossEvidence::peer));
  }
  // Responses to later requests of this node must not be older than a revision that a peer has read
  // in the same generation.
  if (!status.data_lost && status.generation == level_.generation)
    store_.record_peer_revision(status.max_revision);
  // The peer knows a later generation: either this node's level is stale, or the store has lost
  // that generation.
  if (!lost() && level_known_ && status.generation > level_.generation) read_level(now);
}

bool FeatureLevelGate::heard_from_all_peers(Ms now) const {
  if (now - started_at_ >= kPeerSilenceTimeoutMs) return true;
  return std::all_of(members_.all().begin(), members_.all().end(), has_sent_heartbeat);
}

bool FeatureLevelGate::heard_any_peer(Ms now) const {
  return now - started_at_ >= kPeerSilenceTimeoutMs || members_.all().empty() ||
         std::any_of(members_.all().begin(), members_.all().end(), has_sent_heartbeat);
}

// --- data loss ---

void FeatureLevelGate::begin_data_loss(Ms now, const char* reason) {
  if (!lost()) next_recovery_wait_log_at_ = now + kDataLossLogIntervalMs;
  data_loss_.begin(now, level_);
  level_version_ = 0;
  outbox_.log(Event::state_lost, data_loss_.lost_generation(), reason);
  observer_.on_data_loss(now);
  reading_level_ = false;
  read_level(now);
}

void FeatureLevelGate::end_data_loss(Ms now, std::uint64_t generation) {
  data_loss_.end();
  store_.recovered();
  outbox_.log(Event::state_recovered, generation);
  observer_.on_data_recovered(now);
}

void FeatureLevelGate::report_data_loss(Ms now, DataLossEvidence evidence) {
  if (lost() || !detects_data_loss()) return;
  data_loss_.set_lost_generation(std::max(level_.generation, data_loss_.peer_generation()));
  store_.record_loss(now, log_text(evidence));
}

bool FeatureLevelGate::ignores_data_loss(const std::string& node) const {
  const auto* member = members_.find(node);
  return member != nullptr && member->last_heartbeat_at &&
         (!member->announced || member->announced->to < kDataLossDetectionFeatureLevel);
}

void FeatureLevelGate::log_recovery_wait(Ms now, const std::string& leader) {
  if (!lost() || now < next_recovery_wait_log_at_) return;
  next_recovery_wait_log_at_ = now + kDataLossLogIntervalMs;
  const char* awaited = "the recovery by the leader";
  if (leader.empty())
    awaited = "a leader";
  else if (leader == platform_.node)
    awaited = "the recovery on this node";
  outbox_.log(Event::state_waits, static_cast<double>(data_loss_.ms_since_loss(now)) / 1000,
              awaited, leader, data_loss_.lost_generation());
}

wire::FeatureLevel FeatureLevelGate::recovered_level() const {
  const auto start_time_s = (started_at_ + wall_minus_steady_ms_) / 1000;
  return data_loss_.recovered_level(level_, upgrade_.new_store_incarnation(start_time_s));
}

// --- leader ---

void FeatureLevelGate::advance(Ms now, std::uint64_t term, std::uint64_t leader_version,
                               std::size_t unmigrated_values) {
  if (!support_.announces || !serving_ || lost()) return;
  upgrade_.advance(now, {term, leader_version}, unmigrated_values);
}

void FeatureLevelGate::update_gauges(Ms now) const {
  using telemetry::Gauge;
  auto& metrics = outbox_.metrics();
  metrics.set(Gauge::level, level_.active, 0);
  metrics.set(Gauge::level, level_.low, 1);
  metrics.set(Gauge::level, level_.high, 2);
  metrics.set(Gauge::level_held, upgrade_.blocker().reason == BlockReason::none ? 0 : 1);
  metrics.set(Gauge::level_unmigrated, static_cast<double>(upgrade_.unmigrated_values()));
  metrics.set(Gauge::state_lost, lost() ? 1 : 0);
  metrics.set(Gauge::members_up, static_cast<double>(members_.up_count(now)));
}

}  // namespace hitchfront::core
