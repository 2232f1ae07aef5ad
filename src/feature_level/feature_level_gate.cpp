#include "feature_level/feature_level_gate.hpp"

#include <algorithm>

#include "settings/constants.hpp"
#include "wire/http_status.hpp"

namespace hitchfront::core {
using namespace settings;
using Rank = StoreClient::Rank;
using feature_level::HoldReason;
using wire::http_status::kNotFound;
using wire::http_status::kOk;
namespace {

std::vector<std::string> nodes_of(const std::vector<Peer>& peers) {
  std::vector<std::string> nodes;
  nodes.reserve(peers.size());
  for (const auto& peer : peers) nodes.push_back(peer.node);
  return nodes;
}

bool was_heard(const std::pair<const std::string, membership::Member>& entry) {
  return entry.second.heard_at.has_value();
}

}  // namespace

FeatureLevelGate::FeatureLevelGate(Outbox& out, StoreClient& store, const Platform& platform,
                                   feature_level::Support support, std::uint32_t most,
                                   std::uint64_t process, FeatureLevelObserver& observer)
    : out_(out),
      store_(store),
      observer_(observer),
      platform_(platform),
      support_(support),
      members_(nodes_of(platform.peers), kPeerSilenceTimeoutMs),
      announcement_(
          store, {platform.node, HITCHFRONT_VERSION, process, support.from, support.to, 0},
          [this](Ms now, MemberAnnouncement::Result result) { on_announcement(now, result); }),
      upgrade_(out, store, platform, {support, most, process}, level_, members_) {
  store_.on_feature_level_mismatch = [this](Ms now) { read_level(now); };
  store_.on_loss = [this](Ms now, const char* why) { begin_data_loss(now, why); };
  upgrade_.on_switched = [this](Ms now, const wire::FeatureLevel& level, std::uint64_t version) {
    adopt(now, level, version);
  };
  upgrade_.on_switch_failed = [this](Ms now) { read_level(now); };
}

void FeatureLevelGate::start(Ms now, std::int64_t wall_ms) {
  started_at_ = now;
  wall_minus_steady_ms_ = wall_ms - now;
  upgrade_.set_wall_clock(wall_minus_steady_ms_);
  announcement_.set_since(wall_ms / 1000);
  if (support_.announces) return read_level(now);
  serving_ = true;
  observer_.on_ready_to_serve(now);
}

void FeatureLevelGate::tick(Ms now) {
  if (!support_.announces) return;
  if (look_at_ != 0 && now >= look_at_) {
    look_at_ = 0;
    if (lost()) return read_level(now);
    // A process that serves and has lost its announcement only needs a new one; that the level has
    // changed shows by refused writes.
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

// ---- reading and adopting the level

void FeatureLevelGate::on_peer_level_version(Ms now, std::uint64_t version) {
  if (version > level_version_ && level_known_ && !lost()) read_level(now);
}

void FeatureLevelGate::read_level(Ms now) {
  if (reading_level_ || !support_.announces) return;
  reading_level_ = true;
  look_at_ = 0;
  // What was known when this was asked: an answer is of that moment or later.
  const auto expected_generation = data_loss_.peer_generation();
  store_.get(now, Rank::lease, StoreClient::kFeatureLevelKey,
             [this, expected_generation](Ms t, int status, std::string_view body) {
               on_level_read(t, expected_generation, status, body);
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
    look_at_ = now + kStoreRetryDelayMs;
    return;
  }
  // One that can't be read is of a version newer than any that this one knows.
  const auto level = wire::decode_level(item->value);
  if (!level) return refuse_level(now, "unreadable");
  if (!report_old_generation(now, level->generation, expected_generation))
    adopt(now, *level, item->version);
}

// True: the stored generation is older than a peer has named before it was asked for.
bool FeatureLevelGate::report_old_generation(Ms now, std::uint64_t generation,
                                             std::uint64_t expected) {
  if (lost() || generation >= expected || !detects_data_loss()) return false;
  data_loss_.expect(expected);
  store_.record_loss(now, log_text(DataLossEvidence::generation));
  return true;
}

void FeatureLevelGate::adopt(Ms now, const wire::FeatureLevel& level, std::uint64_t version) {
  // An answer that was overtaken: this node's own switch is stored already. Not in a loss: the
  // store has gone back, perhaps more than once, and a controller that would not look at what
  // stands there now refused its users for good.
  if (level_known_ && !lost() && version < level_version_) return;
  const bool changed = !level_known_ || version != level_version_;
  level_known_ = true;
  level_ = level;
  level_version_ = version;
  bool recovered = false;
  if (lost()) {
    store_.set_feature_level_version(version);
    if (!data_loss_.is_recovered_by(level)) {
      look_at_ = now + kDataLossPollIntervalMs;
      return;
    }
    recovered = true;
    end_data_loss(now, level.generation);
  }
  if (detects_data_loss()) store_.enable_data_loss_detection();
  if (!announcement_.self().supports(level))
    return refuse_level(now, std::to_string(level.low) + "-" + std::to_string(level.high));
  store_.set_feature_level_version(version);
  unsupported_ = false;
  if (changed && (level.high > 1 || serving_))
    out_.log(Event::level_active, level.active, level.low, level.high);
  // A running process that supports the level goes on: whatever it wrote under the former one was
  // refused. One that has announced nothing yet does so now, under the level as just read. After a
  // loss the announcement may be gone without its lease being missed: a store that has lost
  // everything gives the lease's id to somebody else, and renewing that one looks well. It held
  // every switch back for good.
  if (!serving_ || recovered) announcement_.announce(now);
}

void FeatureLevelGate::refuse_level(Ms now, std::string what) {
  store_.stop_writing();
  look_at_ = now + kFeatureLevelPollIntervalMs;
  if (!unsupported_)
    out_.log(Event::level_unsupported, std::move(what), support_.from, support_.to);
  unsupported_ = true;
  if (!std::exchange(serving_, false)) return;
  observer_.on_unsupported_level(now);
}

// ---- the members

void FeatureLevelGate::on_announcement(Ms now, MemberAnnouncement::Result result) {
  switch (result) {
    case MemberAnnouncement::Result::failed:
      look_at_ = now + kStoreRetryDelayMs;
      return;
    case MemberAnnouncement::Result::expired:
      // Nobody switches while it is gone, for an announcement that is missing holds every switch
      // back.
      if (serving_) announcement_.announce(now);
      return;
    case MemberAnnouncement::Result::announced:
      if (std::exchange(serving_, true)) return;
      out_.log(Event::member_announced, static_cast<std::int64_t>(process() >> 1), support_.from,
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
    on_peer_state(now, *status);
}

// What another controller that detects losses knows of the stored state.
void FeatureLevelGate::on_peer_state(Ms now, const wire::MemberStatus& status) {
  data_loss_.note_peer_generation(status.generation);
  if (status.lost && status.generation >= level_.generation && !lost()) {
    data_loss_.expect(status.generation);
    return store_.record_loss(now, log_text(DataLossEvidence::peer));
  }
  // What a peer has seen of the same state, this node's next answer must be no older than.
  if (!status.lost && status.generation == level_.generation)
    store_.record_peer_revision(status.seen);
  // Of a generation that does not stand in the store as this node has read it: it is behind, or the
  // store has lost it.
  if (!lost() && level_known_ && status.generation > level_.generation) read_level(now);
}

bool FeatureLevelGate::heard_all(Ms now) const {
  if (now - started_at_ >= kPeerSilenceTimeoutMs) return true;
  return std::all_of(members_.all().begin(), members_.all().end(), was_heard);
}

bool FeatureLevelGate::heard_any(Ms now) const {
  return now - started_at_ >= kPeerSilenceTimeoutMs || members_.all().empty() ||
         std::any_of(members_.all().begin(), members_.all().end(), was_heard);
}

// ---- data loss

void FeatureLevelGate::begin_data_loss(Ms now, const char* why) {
  if (!lost()) next_waiting_log_ = now + kDataLossLogIntervalMs;
  data_loss_.begin(now, level_);
  level_version_ = 0;
  out_.log(Event::state_lost, data_loss_.lost_generation(), why);
  observer_.on_data_loss(now);
  reading_level_ = false;
  read_level(now);
}

void FeatureLevelGate::end_data_loss(Ms now, std::uint64_t generation) {
  data_loss_.end();
  store_.recovered();
  out_.log(Event::state_recovered, generation);
  observer_.on_data_recovered(now);
}

void FeatureLevelGate::report_data_loss(Ms now, DataLossEvidence evidence) {
  if (lost() || !detects_data_loss()) return;
  data_loss_.expect(std::max(level_.generation, data_loss_.peer_generation()));
  store_.record_loss(now, log_text(evidence));
}

bool FeatureLevelGate::ignores_data_loss(const std::string& node) const {
  const auto* member = members_.find(node);
  return member != nullptr && member->heard_at &&
         (!member->announced || member->announced->to < kDataLossDetectionFeatureLevel);
}

// Nobody is there at night to ask why users are refused: said again while it lasts.
void FeatureLevelGate::log_waiting(Ms now, const std::string& leader) {
  if (!lost() || now < next_waiting_log_) return;
  next_waiting_log_ = now + kDataLossLogIntervalMs;
  const char* waits_for = "the rebuild";
  if (leader.empty())
    waits_for = "a leader";
  else if (leader == platform_.node)
    waits_for = "the rebuild here";
  out_.log(Event::state_waits, static_cast<double>(data_loss_.lost_for(now)) / 1000, waits_for,
           leader, data_loss_.lost_generation());
}

wire::FeatureLevel FeatureLevelGate::recovered_level() const {
  const auto began_s = (started_at_ + wall_minus_steady_ms_) / 1000;
  return data_loss_.recovered_level(level_, upgrade_.new_store_incarnation(began_s));
}

// ---- the leader

void FeatureLevelGate::advance(Ms now, std::uint64_t term, std::uint64_t leader_version,
                               std::size_t other_values) {
  if (!support_.announces || !serving_ || lost()) return;
  upgrade_.advance(now, {term, leader_version}, other_values);
}

void FeatureLevelGate::update_gauges(Ms now) const {
  using telemetry::Gauge;
  auto& metrics = out_.metrics();
  metrics.set(Gauge::level, level_.active, 0);
  metrics.set(Gauge::level, level_.low, 1);
  metrics.set(Gauge::level, level_.high, 2);
  metrics.set(Gauge::level_held, upgrade_.held().why == HoldReason::none ? 0 : 1);
  metrics.set(Gauge::level_left, static_cast<double>(upgrade_.other_values()));
  metrics.set(Gauge::state_lost, lost() ? 1 : 0);
  metrics.set(Gauge::members_up, static_cast<double>(members_.up_now(now)));
}

}  // namespace hitchfront::core
