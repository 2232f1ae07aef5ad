#include "core/controller.hpp"

#include <cmath>

#include "settings/constants.hpp"
#include "wire/cancellation_batch.hpp"
#include "wire/peer.hpp"

namespace hitchfront::core {
using namespace settings;
using Rank = StoreClient::Rank;
namespace {
constexpr const char* kMachineTypesKey = "flavors";
constexpr const char* kMovedMachineTypesKey = "rigs";
constexpr Ms kTypesRetryDelayMs = 1000;
constexpr std::string_view kJobPathPrefix = "/work/";
constexpr std::string_view kCancelSuffix = "/abort";

// Names of all other controllers, or none if the settings do not name them all: vote abstentions
// count only if every controller that could take over has abstained.
std::vector<std::string> all_peers(const Platform& platform) {
  std::vector<std::string> names;
  if (static_cast<int>(platform.peers.size()) + 1 == platform.nodes)
    for (const auto& peer : platform.peers) names.push_back(peer.node);
  return names;
}
}  // namespace

Controller::Controller(Platform platform, std::uint64_t seed, OperatorSettings operator_settings,
                       feature_level::Support support)
    : platform_(std::move(platform)),
      operator_settings_(std::move(operator_settings)),
      process_(std::mt19937_64(seed + 29)()),
      request_ids_(process_),
      store_(outbox_, platform_.store.requests_per_s, platform_.store.writes_per_s,
             platform_.nodes),
      feature_levels_(outbox_, store_, platform_, support,
                      static_cast<std::uint32_t>(operator_settings_.get("level_most", {})),
                      process_, *this),
      replica_sync_(store_),
      replication_tracker_(all_peers(platform_)),
      election_(
          outbox_, store_,
          {platform_.node, seed, all_peers(platform_), operator_settings_.get("roster", {}) != 0,
           support.announces ? &feature_levels_.level() : nullptr},
          request_ids_, *this),
      job_api_(outbox_, store_, platform_, *this, replica_sync_.replica()),
      relay_(
          outbox_, store_, election_, platform_, feature_levels_.members(), request_ids_,
          [this](Ms now, std::uint64_t request, wire::Heartbeat heartbeat,
                 telemetry::HeartbeatRoute route) {
            if (leader_ && election_.leading())
              return leader_->process_heartbeat(now, request, std::move(heartbeat), route);
            outbox_.reply(request, 503, wire::error_body("no leader"));
          },
          [this](Ms now, std::uint64_t request, std::string_view body, Ms deadline) {
            process_heartbeat(now, request, body, deadline);
          }),
      random_(seed + 17),
      task_count_requests_(outbox_, request_ids_) {
  cancellation_log_.on_added = [this](const std::string& job) {
    if (leader_) leader_->on_job_cancelled(now_, job);
  };
  replica_sync_.replica().on_cancelled = [this](const std::string& job) {
    cancellation_log_.add(job);
  };
  job_api_.cache().on_refreshed = [this](Ms requested_at) { on_jobs_read(requested_at); };
  // Another controller may report a job's cancellation after the job's record has been removed and
  // before its final state is read here.
  job_api_.cache().on_outcome = replica_sync_.replica().on_outcome =
      [this](const std::string& job) { cancellation_log_.remove(job); };
  replica_sync_.on_data_loss_detected = [this](Ms now) { report_data_loss_evidence(now); };
}

bool Controller::may_report_unknown(Ms now) const {
  return feature_levels_.heard_from_all_peers(now);
}

bool Controller::may_accept(Ms now) const {
  return feature_levels_.heard_any_peer(now);
}

// While an abstention of this node may be valid, the leader may act without reading the store, so
// it must have received the cancellation first. A job that is not in the log has ended.
bool Controller::may_acknowledge_cancellation(Ms now, const std::string& job) const {
  return now >= election_.latest_abstention_expiry() || !cancellation_log_.contains(job) ||
         cancellation_log_.is_acknowledged(job);
}

bool Controller::supports_dependencies() const {
  return feature_levels_.level().active >= kDependenciesFeatureLevel;
}

void Controller::on_record_read(const std::string& key, std::uint64_t stamp) {
  replica_sync_.record_version(key, stamp);
}

void Controller::publish(const recovery::StateReplica& published) {
  if (!feature_levels_.detects_data_loss()) return;
  wire::PeerMessage message;
  message.kind = wire::PeerMessage::Kind::replica_part;
  message.text = published.encode(kMaxReplicaPartBytes).front();
  const auto bytes = wire::encode(message);
  for (const auto& [node, member] : feature_levels_.members().all())
    if (member.announced && member.announced->to >= kDataLossDetectionFeatureLevel)
      outbox_.send_to_peer(node, bytes);
}

void Controller::report_data_loss_evidence(Ms now) {
  feature_levels_.report_data_loss(now, feature_level::DataLossEvidence::record);
}

std::optional<wire::JobOutcome> Controller::outcome_of(const std::string& job) const {
  return replica_sync_.replica().outcome_of(job);
}

void Controller::on_jobs_read(Ms requested_at) {
  jobs_read_as_of_ = std::max(jobs_read_as_of_.value_or(requested_at), requested_at);
}

void Controller::on_launch_watermark_stored(const wire::UnfinishedJob& record) {
  if (feature_levels_.detects_data_loss()) job_api_.publish_launch_watermark(record.job.id, record);
}

std::size_t Controller::values_in_other_formats() const {
  return stored_types_level_ == feature_levels_.level().active ? 0U : 1U;
}

void Controller::on_leadership_gained(Ms now) {
  replication_tracker_.begin();
  leader_ =
      std::make_unique<Leader>(Leader::Dependencies{outbox_, store_, election_, feature_levels_,
                                                    platform_, operator_settings_, *this},
                               random_(), wall_minus_steady_);
  leader_->set_step_rate(replay_steps_per_ms_);
  leader_->set_defer_responses(!near_connection_limit_);
  stored_types_level_ = 0;
  if (!types_.empty()) leader_->set_types(now, types_);
  leader_->begin(now, feature_levels_.lost());
  if (feature_levels_.lost()) {
    recovery_ = std::make_unique<StateRecovery>(
        outbox_, store_, feature_levels_, replica_sync_.replica(), platform_, election_.term(),
        election_.key_version(), [this](Ms t) {
          former_recovery_ = std::move(recovery_);
          outbox_.metrics().add(telemetry::Count::recoveries);
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
  next_types_fetch_ = now;
}

void Controller::on_leadership_lost(Ms) {
  if (leader_) leader_->resign();
  relay_.leader().stop();
  former_recovery_ = std::move(recovery_);
  former_leader_ = std::move(leader_);
}

void Controller::on_stale_term_stored(Ms now) {
  feature_levels_.report_data_loss(now, feature_level::DataLossEvidence::term);
}

bool Controller::ignores_data_loss(const std::string& node) const {
  return feature_levels_.ignores_data_loss(node);
}

bool Controller::heard_from_all_peers(Ms now) const {
  return feature_levels_.heard_from_all_peers(now);
}

void Controller::on_ready_to_serve(Ms now) {
  start_serving(now);
}

void Controller::on_unsupported_level(Ms now) {
  election_.resign(now, election::StepDownReason::unsupported_feature_level);
}

void Controller::on_data_loss(Ms now) {
  election_.state_lost(now);
  job_api_.state_lost();
  relay_.follower().state_lost();
  replica_sync_.restart();
}

void Controller::on_data_recovered(Ms) {
  stored_types_level_ = 0;
  election_.state_restored();
  job_api_.state_lost();
  replica_sync_.restart();
}

// The new process has to hear from the other controllers before it may answer all user requests.
void Controller::on_peer_process_started(const std::string& node) {
  if (feature_levels_.serving()) outbox_.send_to_peer(node, wire::encode(peer_heartbeat()));
}

void Controller::start(Ms now, std::int64_t wall_ms) {
  wall_minus_steady_ = wall_ms - now;
  outbox_.log(Event::node_started, platform_.zone, HITCHFRONT_VERSION);
  feature_levels_.start(now, wall_ms);
}

void Controller::set_near_connection_limit(bool on) {
  if (std::exchange(near_connection_limit_, on) == on) return;
  if (leader_) leader_->set_defer_responses(!on);
}

bool Controller::is_isolated(Ms now) const {
  return !platform_.peers.empty() && store_.unreachable(now) &&
         feature_levels_.members().up_count(now) == 0;
}

// Passes the other controllers' write demand to the store client, which lets the leader use the
// rest of the store's write rate. While the demand of any of them is not known, fixed shares apply.
// With a quarter of the rate fixed for each of two followers that used a twentieth, the leader's
// writes waited for half a minute.
void Controller::update_write_demand(Ms now) {
  if (!election_.leading()) return;
  std::optional<double> total_writes_per_s = 0;
  for (const auto& peer : platform_.peers) {
    const auto demand = peer_write_demands_.find(peer.node);
    if (demand == peer_write_demands_.end() || now - demand->second.at > kPeerSilenceTimeoutMs)
      total_writes_per_s.reset();
    if (!total_writes_per_s) break;
    *total_writes_per_s += demand->second.writes_per_s;
  }
  if (static_cast<int>(platform_.peers.size()) + 1 != platform_.nodes) total_writes_per_s.reset();
  store_.set_follower_write_demand(total_writes_per_s);
}

void Controller::start_serving(Ms now) {
  if (std::exchange(started_serving_, true)) return;
  election_.start(now);
  fetch_types(now);
}

void Controller::set_step_rate(double steps_per_ms) {
  replay_steps_per_ms_ = steps_per_ms;
  if (leader_) leader_->set_step_rate(steps_per_ms);
}

std::pair<std::uint64_t, std::uint64_t> Controller::work_counters() const {
  return leader_ ? std::pair{leader_->placement_work(), leader_->processed_heartbeats()}
                 : std::pair<std::uint64_t, std::uint64_t>{};
}

void Controller::tick(Ms now, std::int64_t wall_ms) {
  now_ = now;
  wall_minus_steady_ = wall_ms - now;
  former_leader_.reset();
  former_recovery_.reset();
  store_.send_queued(now);
  feature_levels_.tick(now);
  retry_pending_heartbeats(now);
  // While not serving, the node sends no peer heartbeats, by which others would redirect workers to
  // it, and does not contend for the leadership.
  if (!feature_levels_.serving()) {
    if (started_serving_) relay_.tick(now);
    return;
  }
  election_.tick(now);
  if (recovery_) recovery_->tick(now);
  feature_levels_.log_recovery_wait(now, election_.leader());
  if (!feature_levels_.lost()) {
    if (now >= next_types_fetch_) fetch_types(now);
    if (leader_ && stored_types_level_ != feature_levels_.level().active &&
        now >= next_types_store_) {
      next_types_store_ = now + kTypesRetryDelayMs;
      store_types(now);
    }
    job_api_.tick(now);
    if (feature_levels_.detects_data_loss()) replica_sync_.tick(now);
    if (now >= next_job_refresh_) {
      next_job_refresh_ = now + kReplicaSyncIntervalMs;
      job_api_.refresh_cache(now);
    }
  }
  relay_.tick(now);
  log_fencing(now);
  if (leader_) {
    leader_->tick(now);
    // Workers reach the other nodes but not this one, so one of the others should lead.
    if (leader_ && leader_->last_relayed() > now - kPeerSilenceTimeoutMs &&
        now - leader_->last_direct() > kDirectHeartbeatTimeoutMs)
      election_.resign(now, election::StepDownReason::unreachable_by_workers);
  }
  if (now >= next_peer_heartbeat_) {
    next_peer_heartbeat_ = now + kPeerHeartbeatIntervalMs;
    update_write_demand(now);
    auto heartbeat = peer_heartbeat();
    // PeerMessage::write_demand describes the encoding.
    heartbeat.write_demand =
        1 + static_cast<std::uint64_t>(std::ceil(store_.write_demand_per_s(now) * 10));
    if (election_.should_request_abstentions(now)) {
      heartbeat.kind = wire::PeerMessage::Kind::abstention_request;
      heartbeat.id = election_.begin_abstention_round(now);
    }
    for (const auto& peer : platform_.peers) {
      heartbeat.wants_cancellations = heartbeat.kind == wire::PeerMessage::Kind::abstention_request;
      heartbeat.position = replication_tracker_.position(peer.node);
      outbox_.send_to_peer(peer.node, wire::encode(heartbeat));
    }
  }
  task_count_requests_.tick(now);
}

// The leader reads the machine types from the cloud and stores them. The other nodes read them from
// the store, so that a node started while the cloud is down can still validate submissions.
void Controller::fetch_types(Ms now) {
  next_types_fetch_ = now + (types_.empty() ? kTypesRetryDelayMs : kMachineTypesReadIntervalMs);
  if (fetching_types_) return;
  fetching_types_ = true;
  if (!election_.leading()) return read_stored_types(now);
  HttpCall call;
  call.target = Target::cloud;
  call.path = "/flavors";
  call.timeout_ms = kCloudCallTimeoutMs;
  outbox_.call(std::move(call), [this](Ms t, int status, std::string_view body) {
    auto json = nlohmann::json::parse(body, nullptr, false);
    auto types = status == 200 && json.is_object() ? wire::parse_machine_types(json) : std::nullopt;
    if (!types && types_.empty()) return read_stored_types(t);
    fetching_types_ = false;
    if (!types) return;
    apply_types(t, std::move(*types));
    store_types(t);
  });
}

// Tries the active level's key first. Right after a level switch the types may still be stored
// under the other key.
void Controller::read_stored_types(Ms now) {
  const bool moved = feature_levels_.level().active >= kMovedMachineTypesFeatureLevel;
  const auto read = [this](Ms t, const char* key, std::function<void(Ms)> on_missing) {
    store_.get(
        t, Rank::low, key,
        [this, on_missing = std::move(on_missing)](Ms read_at, int status, std::string_view body) {
          const auto item = status == 200 ? wire::parse_item(body) : std::nullopt;
          auto types = item ? wire::parse_machine_types(item->value) : std::nullopt;
          if (types && !types->empty()) {
            fetching_types_ = false;
            return apply_types(read_at, std::move(*types));
          }
          on_missing(read_at);
        });
  };
  const auto give_up = [this](Ms) { fetching_types_ = false; };
  if (!feature_levels_.detects_data_loss()) return read(now, kMachineTypesKey, give_up);
  read(now, moved ? kMovedMachineTypesKey : kMachineTypesKey, [read, moved, give_up](Ms t) {
    read(t, moved ? kMachineTypesKey : kMovedMachineTypesKey, give_up);
  });
}

void Controller::store_types(Ms now) {
  const auto& level = feature_levels_.level();
  const auto text = wire::encode(types_);
  if (types_.empty() || storing_types_ || !election_.leading() ||
      (text == stored_types_text_ && stored_types_level_ == level.active))
    return;
  wire::Txn txn;
  txn.if_version(wire::kLeaderKey, election_.key_version());
  // Versions without feature levels do not detect data loss and would answer 404 for lost jobs. The
  // empty list under the old key keeps them from becoming healthy, so they get no user requests;
  // one that is already running rereads the key within a minute.
  if (level.active >= kMovedMachineTypesFeatureLevel)
    txn.put(kMovedMachineTypesKey, text)
        .put(kMachineTypesKey, wire::encode(std::vector<wire::MachineType>{}));
  else
    txn.put(kMachineTypesKey, text);
  if (level.active < kMovedMachineTypesFeatureLevel && level.high >= kMovedMachineTypesFeatureLevel)
    txn.drop(kMovedMachineTypesKey);
  storing_types_ = true;
  store_.commit(now, Rank::leader, txn,
                [this, text, active_level = level.active, term = election_.term()](
                    Ms, int status, std::string_view) {
                  storing_types_ = false;
                  if (status != 200 || term != election_.term()) return;  // stored again later
                  stored_types_text_ = text;
                  stored_types_level_ = active_level;
                });
}

void Controller::apply_types(Ms now, std::vector<wire::MachineType> types) {
  types_ = std::move(types);
  job_api_.set_types(types_);
  if (leader_) leader_->set_types(now, types_);
}

void Controller::request(Ms now, std::int64_t wall_ms, std::uint64_t request, Method method,
                         std::string_view path, std::string_view body) {
  now_ = now;
  if (const auto query = path.find('?'); query != std::string_view::npos)
    path = path.substr(0, query);
  const auto allow = [&](Method allowed) {
    if (method == allowed) return true;
    outbox_.reply(request, 405, wire::error_body("method not allowed"));
    return false;
  };
  if (path == "/healthz") {
    if (!allow(Method::get)) return;
    if (is_isolated(now))
      return outbox_.reply(request, 503, wire::error_body("cut off"), kRetryAfterS);
    // Submissions can't be validated before the machine types are known.
    if (!job_api_.has_types() || !feature_levels_.serving())
      return outbox_.reply(request, 503, wire::error_body("starting"), kRetryAfterS);
    return outbox_.reply(request, 200, "{}");
  }
  if (path == kHeartbeatPath) {
    if (allow(Method::post)) process_heartbeat(now, request, body, now + kRelayTimeoutMs);
    return;
  }
  if (path.starts_with("/work") && (!feature_levels_.serving() || feature_levels_.lost()))
    return job_api_.refuse(request, telemetry::Refusal::level);
  if (path == "/work") {
    if (allow(Method::post)) job_api_.submit(now, wall_ms, request, body);
    return;
  }
  if (path.starts_with(kJobPathPrefix)) {
    auto job_path = path.substr(kJobPathPrefix.size());
    if (job_path.ends_with(kCancelSuffix)) {
      if (allow(Method::post))
        job_api_.cancel(now, request,
                        std::string(job_path.substr(0, job_path.size() - kCancelSuffix.size())));
      return;
    }
    if (job_path.find('/') == std::string_view::npos) {
      if (allow(Method::get)) job_api_.status(now, request, std::string(job_path));
      return;
    }
  }
  outbox_.reply(request, 404, wire::error_body("no such path"));
}

// Heartbeats that arrived without a leader are processed as soon as there is one. A worker that was
// refused at once would try all nodes in turn and wait 4 s for each that is down, and its lease
// could expire meanwhile.
void Controller::retry_pending_heartbeats(Ms now) {
  if (pending_heartbeats_.empty()) return;
  const bool leader_known = feature_levels_.serving() && !election_.leader().empty() &&
                            (election_.leading() || election_.leader() != platform_.node);
  auto waiting = std::exchange(pending_heartbeats_, {});
  for (auto& pending : waiting) {
    if (leader_known && now < pending.deadline)
      process_heartbeat(now, pending.request, pending.body, pending.deadline);
    else if (now >= pending.deadline)
      outbox_.reply(pending.request, 503, wire::error_body("no leader"));
    else
      pending_heartbeats_.push_back(std::move(pending));
  }
}

void Controller::process_heartbeat(Ms now, std::uint64_t request, std::string_view body,
                                   Ms deadline) {
  // A fenced leader does not answer: it may lack cancellations, as it does right after its start.
  if (leader_ && election_.leading() && !election_.fenced(now)) {
    auto heartbeat = wire::parse_heartbeat(body);
    if (heartbeat) election_.record_known_term(heartbeat->fencing_token);
    if (!heartbeat) return outbox_.reply(request, 400, wire::error_body("not a report"));
    if (relay_.leader().redirect_to_preferred(now, request, *heartbeat)) return;
    return leader_->process_heartbeat(now, request, std::move(*heartbeat), HeartbeatRoute::direct);
  }
  // A node that does not lead relays the heartbeat or redirects the worker. An isolated node
  // refuses at once, so that the worker goes to the next node instead of waiting for a timeout.
  const bool cut_off = is_isolated(now);
  if (!cut_off && feature_levels_.serving() && !election_.leader().empty() &&
      election_.leader() != platform_.node) {
    const auto heartbeat = wire::parse_heartbeat(body);
    if (!heartbeat) return outbox_.reply(request, 400, wire::error_body("not a report"));
    if (relay_.follower().try_relay(now, request, *heartbeat, body, deadline)) return;
    return outbox_.reply(
        request, 421, wire::redirect_body(relay_.routing().preferred_controller(now, *heartbeat)));
  }
  if (feature_levels_.unsupported() || cut_off)
    return outbox_.reply(request, 503, wire::error_body("not this node"));
  if (pending_heartbeats_.size() >=
      std::max(kMinRelayCapacity, static_cast<std::size_t>(platform_.max_connections)))
    return outbox_.reply(request, 503, wire::error_body("no leader"));
  pending_heartbeats_.push_back({request, std::string(body), deadline});
}

std::string Controller::page(Ms now, std::string_view path) {
  if (path != "/metrics") return {};
  if (exposition_.empty() || now - exposition_built_at_ >= kMetricsRefreshIntervalMs) {
    exposition_built_at_ = now;
    auto& metrics = outbox_.metrics();
    metrics.set(telemetry::Gauge::leading, leading() ? 1 : 0);
    metrics.set(telemetry::Gauge::term, static_cast<double>(election_.term()));
    feature_levels_.update_gauges(now);
    metrics.set(telemetry::Gauge::replica_bytes,
                static_cast<double>(replica_sync_.replica().bytes()));
    if (leader_) leader_->update_gauges(now);
    exposition_ = metrics.exposition();
  }
  return exposition_;
}

// Replies to relayed heartbeats go back through the relay, which adds effects of its own.
Effects Controller::take() {
  task_count_requests_.send(election_.leader());
  auto effects = outbox_.take();
  std::erase_if(effects.replies, [this](const HttpReply& reply) {
    return relay_.leader().try_relay_response(now_, reply);
  });
  auto relay_effects = outbox_.take();
  for (auto& call : relay_effects.calls) effects.calls.push_back(std::move(call));
  for (auto& message : relay_effects.peer_messages)
    effects.peer_messages.push_back(std::move(message));
  for (auto& line : relay_effects.logs) effects.logs.push_back(std::move(line));
  for (auto& reply : relay_effects.replies) effects.replies.push_back(std::move(reply));
  return effects;
}

void Controller::response(Ms now, std::uint64_t call, int status, std::string_view body) {
  now_ = now;
  outbox_.complete(now, call, status, body);
}

void Controller::request_task_counts(Ms now, const std::string& job, OnTaskCounts on_counts) {
  if (leader_ && election_.leading()) {
    auto counts = leader_->task_counts(job);
    return on_counts(
        now, counts ? std::optional(TaskCounts{counts->done, counts->running}) : std::nullopt);
  }
  if (election_.leader().empty() || election_.leader() == platform_.node)
    return on_counts(now, std::nullopt);
  task_count_requests_.add(now, job, std::move(on_counts));  // sent by take()
}

wire::PeerMessage Controller::peer_heartbeat() const {
  wire::PeerMessage heartbeat;
  heartbeat.kind = wire::PeerMessage::Kind::peer_heartbeat;
  heartbeat.a = election_.term();
  heartbeat.text = feature_levels_.member_status();
  heartbeat.b = feature_levels_.level_version();
  return heartbeat;
}

// Every cancellation that any controller acknowledged to a user before `known_as_of` is known here
// (docs/safety.md, "Every cancellation that was told"), and workers may be answered for a limited
// time after it. There is no limit while stored data is lost: controllers that know of a data loss
// acknowledge nothing to users.
Ms Controller::cancellations_known_until() const {
  if (feature_levels_.lost()) return INT64_MAX;
  if (!jobs_read_as_of_) return 0;
  const Ms known_as_of = std::max(*jobs_read_as_of_, replication_tracker_.known_as_of());
  return known_as_of + max_cancellation_staleness_ms(platform_);
}

// Logs transitions. A leader that has not read the unfinished jobs since its start is fenced as
// well, which is expected and not logged.
void Controller::log_fencing(Ms now) {
  const bool fenced = election_.fenced(now);
  if (fenced && fenced_since_ == 0) {
    fenced_since_ = now;
    if (jobs_read_as_of_)
      outbox_.log(
          Event::leader_fenced, election_.term(),
          replication_tracker_.lagging_peers(now - max_cancellation_staleness_ms(platform_)));
  } else if (!fenced && fenced_since_ != 0) {
    if (jobs_read_as_of_ && election_.leading())
      outbox_.log(Event::leader_unfenced, election_.term(),
                  static_cast<double>(now - fenced_since_) / 1000);
    fenced_since_ = 0;
  }
}

void Controller::on_abstention_request(Ms now, const std::string& node,
                                       const wire::PeerMessage& request) {
  if (!election_.abstain(now, request.a)) return;
  wire::PeerMessage abstention;
  abstention.kind = wire::PeerMessage::Kind::abstention;
  abstention.id = request.id;
  if (request.wants_cancellations) {
    const bool same_process = request.position.process == feature_levels_.process();
    cancellation_log_.acknowledge(request.a, same_process ? request.position.sequence_number : 0);
    auto batch = cancellation_log_.batch_after(same_process ? request.position.sequence_number : 0,
                                               kMaxReplicaPartBytes);
    batch.process = feature_levels_.process();
    batch.read_all = jobs_read_as_of_.has_value();
    abstention.text = wire::encode(batch);
  }
  outbox_.send_to_peer(node, wire::encode(abstention));
}

// The abstention keeps the sender from taking over even if it carries no cancellations; without
// them it does not extend the time for which this leader may answer workers.
void Controller::on_abstention(Ms now, const std::string& node, const wire::PeerMessage& response) {
  const auto abstention = election_.record_abstention(now, node, response.id);
  const auto batch = abstention ? wire::decode_cancellation_batch(response.text) : std::nullopt;
  if (!batch) return;
  for (const auto& job : batch->jobs)
    if (!replica_sync_.replica().outcome_of(job)) cancellation_log_.add(job);
  replication_tracker_.record_batch(now, abstention->requested_at, abstention->valid_until, node,
                                    *batch);
}

// Part 0 is the feature level as last known to this node, the other parts are its replica.
void Controller::send_replica(const std::string& node, std::uint64_t round) {
  const auto parts = replica_sync_.replica().encode(kMaxReplicaPartBytes);
  wire::PeerMessage message;
  message.kind = wire::PeerMessage::Kind::replica_part;
  message.id = round;
  message.b = parts.size() + 1;
  message.text = wire::encode(feature_levels_.known_level());
  outbox_.send_to_peer(node, wire::encode(message));
  for (const auto& part : parts) {
    ++message.a;
    message.text = part;
    outbox_.send_to_peer(node, wire::encode(message));
  }
}

void Controller::send_task_counts(const std::string& node, const wire::PeerMessage& request) {
  const auto jobs = wire::decode_jobs(request.text);
  if (!leader_ || !jobs) return;
  std::vector<wire::JobCounts> counts;
  for (const auto& job : *jobs) {
    const auto job_counts = leader_->task_counts(job);
    counts.push_back(job_counts ? wire::JobCounts{true, job_counts->done, job_counts->running}
                                : wire::JobCounts{});
  }
  wire::PeerMessage response;
  response.kind = wire::PeerMessage::Kind::job_counts_response;
  response.id = request.id;
  response.text = wire::encode_counts(counts);
  outbox_.send_to_peer(node, wire::encode(response));
}

void Controller::peer_message(Ms now, const std::string& node, std::string_view bytes) {
  now_ = now;
  auto message = wire::decode_peer(bytes);
  if (!message) return;
  using Kind = wire::PeerMessage::Kind;
  // An abstention request is a peer heartbeat as well.
  if (message->kind == Kind::abstention_request || message->kind == Kind::peer_heartbeat) {
    feature_levels_.on_peer_heartbeat(now, node, message->text);
    if (message->write_demand > 0)
      peer_write_demands_[node] = {now, static_cast<double>(message->write_demand - 1) / 10};
    feature_levels_.on_peer_level_version(now, message->b);
    election_.on_peer_term(now, message->a);
  }
  if (message->kind == Kind::abstention_request) {
    on_abstention_request(now, node, *message);
  } else if (message->kind == Kind::abstention) {
    on_abstention(now, node, *message);
  } else if (message->kind == Kind::replica_request) {
    send_replica(node, message->id);
  } else if (message->kind == Kind::replica_part) {
    // Round 0: state that the sender is about to answer a user from, sent without a request.
    if (message->id == 0)
      replica_sync_.replica().merge(message->text);
    else if (recovery_)
      recovery_->on_replica_part(now, node, *message);
  } else if (message->kind == Kind::relay_request) {
    if (leader_ && election_.leading()) relay_.leader().on_peer_request(now, node, *message);
  } else if (message->kind == Kind::relay_response) {
    relay_.follower().on_peer_response(*message);
  } else if (message->kind == Kind::job_counts_request) {
    send_task_counts(node, *message);
  } else if (message->kind == Kind::job_counts_response) {
    task_count_requests_.on_response(now, *message);
  }
}

}  // namespace hitchfront::core
