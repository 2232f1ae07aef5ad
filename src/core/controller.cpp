#include "core/controller.hpp"

#include <cmath>

#include "settings/constants.hpp"
#include "wire/cancellation_batch.hpp"
#include "wire/peer.hpp"

namespace hitchfront::core {
using namespace settings;
using Rank = StoreClient::Rank;
namespace {
constexpr const char* kTypesKey = "flavors";
constexpr const char* kMovedTypesKey = "rigs";
constexpr Ms kAskMs = 300;  // users wait 2 s for a poll; counts are for display only
constexpr Ms kTypesRetryMs = 1000;
constexpr std::string_view kWork = "/work/";
constexpr std::string_view kAbort = "/abort";

// Every other controller, or none if the settings don't name them all: an abstention counts only if
// everybody who could take over has given it.
std::vector<std::string> all_peers(const Platform& p) {
  std::vector<std::string> names;
  if (static_cast<int>(p.peers.size()) + 1 == p.nodes)
    for (const auto& peer : p.peers) names.push_back(peer.node);
  return names;
}
}  // namespace

Controller::Controller(Platform platform, std::uint64_t seed, Operator op,
                       feature_level::Support support)
    : platform_(std::move(platform)),
      operator_(std::move(op)),
      store_(out_, platform_.store.requests_per_s, platform_.store.writes_per_s, platform_.nodes),
      feature_levels_(out_, store_, platform_, support,
                      static_cast<std::uint32_t>(operator_.get("level_most", {})),
                      std::mt19937_64(seed + 29)(), *this),
      replica_sync_(store_),
      replication_tracker_(all_peers(platform_)),
      election_(out_, store_,
                {platform_.node, seed, all_peers(platform_), operator_.get("roster", {}) != 0,
                 support.announces ? &feature_levels_.level() : nullptr},
                *this),
      job_api_(out_, store_, platform_, *this, replica_sync_.replica()),
      relay_(
          out_, store_, election_, platform_, feature_levels_.members(),
          [this](Ms now, std::uint64_t id, wire::Heartbeat heartbeat,
                 telemetry::HeartbeatRoute route) {
            if (leader_ && election_.leading())
              return leader_->heartbeat(now, id, std::move(heartbeat), route);
            out_.reply(id, 503, wire::error_body("no leader"));
          },
          [this](Ms now, std::uint64_t request, std::string_view body, Ms until) {
            heartbeat(now, request, body, until);
          }),
      random_(seed + 17) {
  cancellation_log_.on_added = [this](const std::string& job) {
    if (leader_) leader_->cancelled(now_, job);
  };
  replica_sync_.replica().on_cancelled = [this](const std::string& job) {
    cancellation_log_.add(job);
  };
  job_api_.cache().on_refreshed = [this](Ms asked) { on_jobs_read(asked); };
  // A late word of a cancellation may come between its record's end and the reading of its final
  // state.
  job_api_.cache().on_outcome = replica_sync_.replica().on_outcome =
      [this](const std::string& job) { cancellation_log_.remove(job); };
  replica_sync_.on_contradiction = [this](Ms now) { report_data_loss_evidence(now); };
}

bool Controller::may_report_unknown(Ms now) const {
  return feature_levels_.heard_all(now);
}

bool Controller::may_accept(Ms now) const {
  return feature_levels_.heard_any(now);
}

bool Controller::may_acknowledge_cancellation(Ms now, const std::string& job) const {
  return now >= election_.abstention_bound_until() || !cancellation_log_.contains(job) ||
         cancellation_log_.is_acknowledged(job);
}

bool Controller::supports_dependencies() const {
  return feature_levels_.level().active >= kDependenciesFeatureLevel;
}

void Controller::on_record_read(const std::string& key, std::uint64_t stamp) {
  replica_sync_.saw(key, stamp);
}

void Controller::publish(const recovery::StateReplica& published) {
  if (!feature_levels_.detects_data_loss()) return;
  wire::PeerMessage m;
  m.kind = wire::PeerMessage::Kind::replica_part;
  m.text = published.encode(kMaxReplicaPartBytes).front();
  const auto bytes = wire::encode(m);
  for (const auto& [node, member] : feature_levels_.members().all())
    if (member.announced && member.announced->to >= kDataLossDetectionFeatureLevel)
      out_.send_to_peer(node, bytes);
}

void Controller::report_data_loss_evidence(Ms now) {
  feature_levels_.report_data_loss(now, feature_level::DataLossEvidence::record);
}

std::optional<wire::JobOutcome> Controller::outcome_of(const std::string& job) const {
  return replica_sync_.replica().outcome_of(job);
}

void Controller::on_jobs_read(Ms asked) {
  read_all_ = std::max(read_all_.value_or(asked), asked);
}

void Controller::on_launch_watermark_stored(const wire::UnfinishedJob& record) {
  if (feature_levels_.detects_data_loss()) job_api_.publish_launch_watermark(record.job.id, record);
}

std::size_t Controller::values_in_other_forms() const {
  return types_form_ == feature_levels_.level().active ? 0U : 1U;
}

void Controller::on_leadership_gained(Ms now) {
  replication_tracker_.begin();
  leader_ = std::make_unique<Leader>(
      Leader::Dependencies{out_, store_, election_, feature_levels_, platform_, operator_, *this},
      random_(), wall_minus_steady_);
  leader_->set_step_rate(step_rate_);
  leader_->set_defer_responses(!connections_short_);
  types_form_ = 0;
  if (!types_.empty()) leader_->set_types(types_);
  leader_->begin(now, feature_levels_.lost());
  if (feature_levels_.lost()) {
    recovery_ = std::make_unique<StateRecovery>(
        out_, store_, feature_levels_, replica_sync_.replica(), platform_, election_.term(),
        election_.key_version(), [this](Ms t) {
          past_recovery_ = std::move(recovery_);
          out_.metrics().add(telemetry::Count::recoveries);
          relay_.leader().start(t);
          if (leader_) leader_->load(t);
        });
    recovery_->on_cancelled([this](const std::string& job) { cancellation_log_.add(job); });
    recovery_->on_abandoned = [this](Ms t) {
      election_.resign(t, election::StepDownReason::recovery_refused);
    };
    recovery_->start(now);
  }
  relay_.leader().start(now);
  next_peer_heartbeat_ = now;
  next_types_ = now;
}

void Controller::on_leadership_lost(Ms) {
  if (leader_) leader_->resign();
  relay_.leader().stop();
  past_recovery_ = std::move(recovery_);
  retired_ = std::move(leader_);
}

void Controller::on_stale_term_stored(Ms now) {
  feature_levels_.report_data_loss(now, feature_level::DataLossEvidence::term);
}

bool Controller::ignores_data_loss(const std::string& node) const {
  return feature_levels_.ignores_data_loss(node);
}

bool Controller::heard_all_peers(Ms now) const {
  return feature_levels_.heard_all(now);
}

void Controller::on_ready_to_serve(Ms now) {
  begin(now);
}

void Controller::on_unsupported_level(Ms now) {
  election_.resign(now, election::StepDownReason::unsupported_feature_level);
}

void Controller::on_data_loss(Ms now) {
  election_.state_lost(now);
  job_api_.state_lost();
  relay_.follower().state_lost();
  replica_sync_.forget();
}

void Controller::on_data_recovered(Ms) {
  types_form_ = 0;
  election_.state_restored();
  job_api_.state_lost();
  replica_sync_.forget();
}

// It hears at once what it may have to know before it says anything to users.
void Controller::on_peer_process_started(const std::string& node) {
  if (feature_levels_.serving()) out_.send_to_peer(node, wire::encode(peer_heartbeat()));
}

void Controller::start(Ms now, std::int64_t wall_ms) {
  wall_minus_steady_ = wall_ms - now;
  out_.log(Event::node_started, platform_.zone, HITCHFRONT_VERSION);
  feature_levels_.start(now, wall_ms);
}

void Controller::set_connections_short(bool on) {
  if (std::exchange(connections_short_, on) == on) return;
  if (leader_) leader_->set_defer_responses(!on);
}

bool Controller::alone(Ms now) const {
  return !platform_.peers.empty() && store_.unreachable(now) &&
         feature_levels_.members().up_now(now) == 0;
}

// What the others do not need of the store's write rate is the leader's: with a quarter of it fixed
// for each of two followers that used a twentieth, a fleet's bookkeeping waited for half a minute.
void Controller::share_writes(Ms now) {
  if (!election_.leading()) return;
  std::optional<double> sum = 0;
  for (const auto& p : platform_.peers) {
    const auto it = needs_.find(p.node);
    if (it == needs_.end() || now - it->second.at > kPeerSilenceTimeoutMs) sum.reset();
    if (!sum) break;
    *sum += it->second.writes_per_s;
  }
  if (static_cast<int>(platform_.peers.size()) + 1 != platform_.nodes) sum.reset();
  store_.others_need(sum);
}

void Controller::begin(Ms now) {
  if (std::exchange(begun_, true)) return;
  election_.start(now);
  fetch_types(now);
}

void Controller::set_step_rate(double steps_per_ms) {
  step_rate_ = steps_per_ms;
  if (leader_) leader_->set_step_rate(steps_per_ms);
}

std::pair<std::uint64_t, std::uint64_t> Controller::cost() const {
  return leader_ ? std::pair{leader_->work(), leader_->heartbeats()}
                 : std::pair<std::uint64_t, std::uint64_t>{};
}

void Controller::tick(Ms now, std::int64_t wall_ms) {
  now_ = now;
  wall_minus_steady_ = wall_ms - now;
  retired_.reset();
  past_recovery_.reset();
  store_.pump(now);
  feature_levels_.tick(now);
  retry_parked(now);
  // Neither a peer heartbeat, by which others would send workers here, nor anything by which it
  // could come to lead.
  if (!feature_levels_.serving()) {
    if (begun_) relay_.tick(now);
    return;
  }
  election_.tick(now);
  if (recovery_) recovery_->tick(now);
  feature_levels_.log_waiting(now, election_.leader());
  if (!feature_levels_.lost()) {
    if (now >= next_types_) fetch_types(now);
    if (leader_ && types_form_ != feature_levels_.level().active && now >= store_types_at_) {
      store_types_at_ = now + kTypesRetryMs;
      store_types(now);
    }
    job_api_.tick(now);
    if (feature_levels_.detects_data_loss()) replica_sync_.tick(now);
    if (now >= next_refresh_) {
      next_refresh_ = now + kReplicaSyncIntervalMs;
      job_api_.refresh_cache(now);
    }
  }
  relay_.tick(now);
  log_fencing(now);
  if (leader_) {
    leader_->tick(now);
    // Workers that reach the others but not this node: one of the others serves them better.
    if (leader_ && leader_->last_detour() > now - kPeerSilenceTimeoutMs &&
        now - leader_->last_direct() > kDirectHeartbeatTimeoutMs)
      election_.resign(now, election::StepDownReason::unreachable_by_workers);
  }
  if (now >= next_peer_heartbeat_) {
    next_peer_heartbeat_ = now + kPeerHeartbeatIntervalMs;
    share_writes(now);
    auto heartbeat = peer_heartbeat();
    heartbeat.needs = 1 + static_cast<std::uint64_t>(std::ceil(store_.needs_writes(now) * 10));
    if (election_.wants_abstentions(now)) {
      heartbeat.kind = wire::PeerMessage::Kind::abstention_request;
      heartbeat.id = election_.begin_abstention_round(now);
    }
    for (const auto& p : platform_.peers) {
      heartbeat.wants_cancellations = heartbeat.kind == wire::PeerMessage::Kind::abstention_request;
      heartbeat.position = replication_tracker_.position(p.node);
      out_.send_to_peer(p.node, wire::encode(heartbeat));
    }
  }
  for (auto it = asked_.begin(); it != asked_.end();) {
    if (now < it->second.until) {
      ++it;
      continue;
    }
    const auto asked = std::move(it->second);
    it = asked_.erase(it);
    for (const auto& done : asked.done) done(now, std::nullopt);
  }
}

// The leader reads the machine types from the cloud and stores them; everybody else reads the
// store, so that a node started while the cloud is down can still validate.
void Controller::fetch_types(Ms now) {
  next_types_ = now + (types_.empty() ? kTypesRetryMs : kMachineTypesReadIntervalMs);
  if (fetching_types_) return;
  fetching_types_ = true;
  if (!election_.leading()) return read_types(now);
  HttpCall c;
  c.target = Target::cloud;
  c.path = "/flavors";
  c.timeout_ms = kCloudCallTimeoutMs;
  out_.call(std::move(c), [this](Ms t, int status, std::string_view body) {
    auto json = nlohmann::json::parse(body, nullptr, false);
    auto types = status == 200 && json.is_object() ? wire::parse_types(json) : std::nullopt;
    if (!types && types_.empty()) return read_types(t);
    fetching_types_ = false;
    if (!types) return;
    use_types(t, std::move(*types));
    store_types(t);
  });
}

// Under the key of the active level first: right after a switch they may still stand under the
// other.
void Controller::read_types(Ms now) {
  const bool moved = feature_levels_.level().active >= kMovedMachineTypesFeatureLevel;
  const auto read = [this](Ms t, const char* key, std::function<void(Ms)> otherwise) {
    store_.get(t, Rank::low, key,
               [this, otherwise = std::move(otherwise)](Ms t2, int status, std::string_view body) {
                 const auto item = status == 200 ? wire::parse_item(body) : std::nullopt;
                 auto types = item ? wire::parse_types(item->value) : std::nullopt;
                 if (types && !types->empty()) {
                   fetching_types_ = false;
                   return use_types(t2, std::move(*types));
                 }
                 otherwise(t2);
               });
  };
  const auto give_up = [this](Ms) { fetching_types_ = false; };
  if (!feature_levels_.detects_data_loss()) return read(now, kTypesKey, give_up);
  read(now, moved ? kMovedTypesKey : kTypesKey,
       [read, moved, give_up](Ms t) { read(t, moved ? kTypesKey : kMovedTypesKey, give_up); });
}

void Controller::store_types(Ms now) {
  const auto& level = feature_levels_.level();
  const auto text = wire::encode(types_);
  if (types_.empty() || storing_types_ || !election_.leading() ||
      (text == types_text_ && types_form_ == level.active))
    return;
  wire::Txn txn;
  txn.if_version(wire::kLeaderKey, election_.key_version());
  // A version from before levels that finds an empty list there is not healthy, and has no users to
  // tell 404 of what it does not know: it heeds no loss. One that runs reads it again within a
  // minute.
  if (level.active >= kMovedMachineTypesFeatureLevel)
    txn.put(kMovedTypesKey, text).put(kTypesKey, wire::encode(std::vector<wire::MachineType>{}));
  else
    txn.put(kTypesKey, text);
  if (level.active < kMovedMachineTypesFeatureLevel && level.high >= kMovedMachineTypesFeatureLevel)
    txn.drop(kMovedTypesKey);
  storing_types_ = true;
  store_.commit(
      now, Rank::leader, txn,
      [this, text, form = level.active, term = election_.term()](Ms, int status, std::string_view) {
        storing_types_ = false;
        if (status != 200 || term != election_.term()) return;  // again with the next look
        types_text_ = text;
        types_form_ = form;
      });
}

void Controller::use_types(Ms, std::vector<wire::MachineType> types) {
  types_ = std::move(types);
  job_api_.set_types(types_);
  if (leader_) leader_->set_types(types_);
}

void Controller::request(Ms now, std::int64_t wall_ms, std::uint64_t request, Method method,
                         std::string_view path, std::string_view body) {
  now_ = now;
  if (const auto q = path.find('?'); q != std::string_view::npos) path = path.substr(0, q);
  const auto allow = [&](Method m) {
    if (method == m) return true;
    out_.reply(request, 405, wire::error_body("method not allowed"));
    return false;
  };
  if (path == "/healthz") {
    if (!allow(Method::get)) return;
    if (alone(now)) return out_.reply(request, 503, wire::error_body("cut off"), kRetryAfterS);
    // A node that does not know the machine types yet can't take submissions.
    if (!job_api_.has_types() || !feature_levels_.serving())
      return out_.reply(request, 503, wire::error_body("starting"), kRetryAfterS);
    return out_.reply(request, 200, "{}");
  }
  if (path == kHeartbeatPath) {
    if (allow(Method::post)) heartbeat(now, request, body, now + kRelayTimeoutMs);
    return;
  }
  if (path.starts_with("/work") && (!feature_levels_.serving() || feature_levels_.lost()))
    return job_api_.refuse(request, telemetry::Refusal::level);
  if (path == "/work") {
    if (allow(Method::post)) job_api_.submit(now, wall_ms, request, body);
    return;
  }
  if (path.starts_with(kWork)) {
    auto rest = path.substr(kWork.size());
    if (rest.ends_with(kAbort)) {
      if (allow(Method::post))
        job_api_.cancel(now, request, std::string(rest.substr(0, rest.size() - kAbort.size())));
      return;
    }
    if (rest.find('/') == std::string_view::npos) {
      if (allow(Method::get)) job_api_.status(now, request, std::string(rest));
      return;
    }
  }
  out_.reply(request, 404, wire::error_body("no such path"));
}

// Reports that came without a leader are answered as soon as there is one. Sent away at once, a
// worker goes round the nodes, loses 4 s at each one that is down, and its lease runs out before it
// is back.
void Controller::retry_parked(Ms now) {
  if (parked_.empty()) return;
  const bool led = feature_levels_.serving() && !election_.leader().empty() &&
                   (election_.leading() || election_.leader() != platform_.node);
  auto waiting = std::exchange(parked_, {});
  for (auto& p : waiting) {
    if (led && now < p.until)
      heartbeat(now, p.request, p.body, p.until);
    else if (now >= p.until)
      out_.reply(p.request, 503, wire::error_body("no leader"));
    else
      parked_.push_back(std::move(p));
  }
}

void Controller::heartbeat(Ms now, std::uint64_t request, std::string_view body, Ms until) {
  // A process that has just started, and leads, reads what is cancelled before it answers.
  if (leader_ && election_.leading() && !election_.fenced(now)) {
    auto heartbeat = wire::parse_heartbeat(body);
    if (heartbeat) election_.note_term(heartbeat->fencing_token);
    if (!heartbeat) return out_.reply(request, 400, wire::error_body("not a report"));
    if (relay_.leader().redirect_home(now, request, *heartbeat)) return;
    return leader_->heartbeat(now, request, std::move(*heartbeat), HeartbeatRoute::direct);
  }
  // Without the right to act: name the leader, or send the worker on to the next node, at once
  // where this one reaches nobody: three seconds of waiting for a leader's answer at each heartbeat
  // were the worker's, not this node's.
  const bool cut_off = alone(now);
  if (!cut_off && feature_levels_.serving() && !election_.leader().empty() &&
      election_.leader() != platform_.node) {
    const auto heartbeat = wire::parse_heartbeat(body);
    if (!heartbeat) return out_.reply(request, 400, wire::error_body("not a report"));
    if (relay_.follower().pass_on(now, request, *heartbeat, body, until)) return;
    return out_.reply(request, 421, wire::redirect(relay_.routing().home(now, *heartbeat)));
  }
  if (feature_levels_.unsupported() || cut_off)
    return out_.reply(request, 503, wire::error_body("not this node"));
  if (parked_.size() >=
      std::max(kMinRelayCapacity, static_cast<std::size_t>(platform_.max_connections)))
    return out_.reply(request, 503, wire::error_body("no leader"));
  parked_.push_back({request, std::string(body), until});
}

// Answers to relayed reports leave by the way they came.
std::string Controller::page(Ms now, std::string_view path) {
  if (path != "/metrics") return {};
  if (exposition_.empty() || now - exposed_at_ >= kMetricsRefreshIntervalMs) {
    exposed_at_ = now;
    auto& f = out_.metrics();
    f.set(telemetry::Gauge::leading, leading() ? 1 : 0);
    f.set(telemetry::Gauge::term, static_cast<double>(election_.term()));
    feature_levels_.update_gauges(now);
    f.set(telemetry::Gauge::replica_bytes, static_cast<double>(replica_sync_.replica().bytes()));
    if (leader_) leader_->update_gauges(now);
    exposition_ = f.exposition();
  }
  return exposition_;
}

Effects Controller::take() {
  send_asked();
  auto e = out_.take();
  std::erase_if(e.replies,
                [this](const HttpReply& r) { return relay_.leader().take_response(now_, r); });
  auto more = out_.take();
  for (auto& c : more.calls) e.calls.push_back(std::move(c));
  for (auto& p : more.peer_messages) e.peer_messages.push_back(std::move(p));
  for (auto& l : more.logs) e.logs.push_back(std::move(l));
  for (auto& r : more.replies) e.replies.push_back(std::move(r));
  return e;
}

void Controller::response(Ms now, std::uint64_t call, int status, std::string_view body) {
  now_ = now;
  out_.complete(now, call, status, body);
}

void Controller::request_task_counts(Ms now, const std::string& id, OnTaskCounts done) {
  if (leader_ && election_.leading()) {
    auto c = leader_->counts(id);
    return done(now, c ? std::optional(TaskCounts{c->done, c->running}) : std::nullopt);
  }
  if (election_.leader().empty() || election_.leader() == platform_.node)
    return done(now, std::nullopt);
  // Polls answered by one read ask in one message, sent when this input has been dealt with.
  asking_.until = now + kAskMs;
  asking_.ids.push_back(id);
  asking_.done.push_back(std::move(done));
}

wire::PeerMessage Controller::peer_heartbeat() const {
  wire::PeerMessage heartbeat;
  heartbeat.kind = wire::PeerMessage::Kind::peer_heartbeat;
  heartbeat.a = election_.term();
  heartbeat.text = feature_levels_.member_status();
  heartbeat.b = feature_levels_.level_version();
  return heartbeat;
}

void Controller::send_asked() {
  if (asking_.ids.empty()) return;
  wire::PeerMessage m;
  m.kind = wire::PeerMessage::Kind::count_ask;
  m.id = next_ask_++;
  m.text = wire::encode_jobs(asking_.ids);
  out_.send_to_peer(election_.leader(), wire::encode(m));
  asked_[m.id] = std::exchange(asking_, {});
}

// No cancellation that was told before this is unknown here, but for those that are told later than
// it: docs/safety.md, "Every cancellation that was told". Whoever knows of a loss tells nobody
// anything, so that there the time does not run.
Ms Controller::cancellations_known_until() const {
  if (feature_levels_.lost()) return INT64_MAX;
  if (!read_all_) return 0;
  const Ms since = std::max(*read_all_, replication_tracker_.known_since());
  return since + cancellation_blind_ms(platform_);
}

// Less than a few ticks is what a process takes to read what is cancelled after its start.
void Controller::log_fencing(Ms now) {
  const bool fenced = election_.fenced(now);
  if (fenced && fenced_since_ == 0) {
    fenced_since_ = now;
    if (read_all_)
      out_.log(Event::leader_fenced, election_.term(),
               replication_tracker_.missing(now - cancellation_blind_ms(platform_)));
  } else if (!fenced && fenced_since_ != 0) {
    if (read_all_ && election_.leading())
      out_.log(Event::leader_unfenced, election_.term(),
               static_cast<double>(now - fenced_since_) / 1000);
    fenced_since_ = 0;
  }
}

void Controller::on_abstention_request(Ms now, const std::string& node,
                                       const wire::PeerMessage& m) {
  if (!election_.abstain(now, m.a)) return;
  wire::PeerMessage yes;
  yes.kind = wire::PeerMessage::Kind::abstention;
  yes.id = m.id;
  if (m.wants_cancellations) {
    const bool same = m.position.process == feature_levels_.process();
    cancellation_log_.acknowledge(m.a, same ? m.position.number : 0);
    auto batch = cancellation_log_.after(same ? m.position.number : 0, kMaxReplicaPartBytes);
    batch.process = feature_levels_.process();
    batch.read_all = read_all_.has_value();
    yes.text = wire::encode(batch);
  }
  out_.send_to_peer(node, wire::encode(yes));
}

// The abstention alone keeps the others from taking over; what it covers is what the right to act
// goes by.
void Controller::on_abstention(Ms now, const std::string& node, const wire::PeerMessage& m) {
  const auto abstention = election_.record_abstention(now, node, m.id);
  const auto batch = abstention ? wire::decode_cancellation_batch(m.text) : std::nullopt;
  if (!batch) return;
  for (const auto& job : batch->jobs)
    if (!replica_sync_.replica().outcome_of(job)) cancellation_log_.add(job);
  replication_tracker_.record_batch(now, abstention->requested_at, abstention->valid_until, node,
                                    *batch);
}

// Part 0 is the level as it was known, the others the copy.
void Controller::send_replica(const std::string& node, std::uint64_t round) {
  const auto parts = replica_sync_.replica().encode(kMaxReplicaPartBytes);
  wire::PeerMessage m;
  m.kind = wire::PeerMessage::Kind::replica_part;
  m.id = round;
  m.b = parts.size() + 1;
  m.text = wire::encode(feature_levels_.known_level());
  out_.send_to_peer(node, wire::encode(m));
  for (const auto& part : parts) {
    ++m.a;
    m.text = part;
    out_.send_to_peer(node, wire::encode(m));
  }
}

void Controller::peer(Ms now, const std::string& node, std::string_view bytes) {
  now_ = now;
  auto m = wire::decode_peer(bytes);
  if (!m) return;
  using Kind = wire::PeerMessage::Kind;
  if (m->kind == Kind::abstention_request ||
      m->kind == Kind::peer_heartbeat) {  // a peer heartbeat, either
    feature_levels_.on_peer_heartbeat(now, node, m->text);
    if (m->needs > 0) needs_[node] = {now, static_cast<double>(m->needs - 1) / 10};
    feature_levels_.on_peer_level_version(now, m->b);
    election_.on_term_heard(now, m->a);
  }
  if (m->kind == Kind::abstention_request) {
    on_abstention_request(now, node, *m);
  } else if (m->kind == Kind::abstention) {
    on_abstention(now, node, *m);
  } else if (m->kind == Kind::replica_request) {
    send_replica(node, m->id);
  } else if (m->kind == Kind::replica_part) {
    // Round 0: something that a user is being told there.
    if (m->id == 0)
      replica_sync_.replica().join(m->text);
    else if (recovery_)
      recovery_->on_replica_part(now, node, *m);
  } else if (m->kind == Kind::relay_ask) {
    if (leader_ && election_.leading()) relay_.leader().on_peer_request(now, node, *m);
  } else if (m->kind == Kind::relay_answer) {
    relay_.follower().on_peer_response(*m);
  } else if (m->kind == Kind::count_ask) {
    const auto ids = wire::decode_jobs(m->text);
    if (!leader_ || !ids) return;
    std::vector<wire::JobCounts> counts;
    for (const auto& id : *ids) {
      const auto c = leader_->counts(id);
      counts.push_back(c ? wire::JobCounts{true, c->done, c->running} : wire::JobCounts{});
    }
    wire::PeerMessage answer;
    answer.kind = Kind::count_answer;
    answer.id = m->id;
    answer.text = wire::encode_counts(counts);
    out_.send_to_peer(node, wire::encode(answer));
  } else if (m->kind == Kind::count_answer) {
    auto it = asked_.find(m->id);
    if (it == asked_.end()) return;
    const auto asked = std::move(it->second);
    asked_.erase(it);
    const auto counts = wire::decode_counts(m->text);
    for (std::size_t i = 0; i < asked.done.size(); ++i) {
      const bool known = counts && i < counts->size() && (*counts)[i].known;
      asked.done[i](now, known ? std::optional(TaskCounts{(*counts)[i].done, (*counts)[i].running})
                               : std::nullopt);
    }
  }
}

}  // namespace hitchfront::core
