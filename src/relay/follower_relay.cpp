#include "relay/follower_relay.hpp"

#include <utility>

#include "relay/relay_value_limit.hpp"
#include "settings/constants.hpp"
#include "wire/http_status.hpp"
#include "wire/job.hpp"

namespace hitchfront::core {
using namespace settings;
using Rank = StoreClient::Rank;
using wire::http_status::kConflict;
using wire::http_status::kGone;
using wire::http_status::kOk;
using wire::http_status::kUnavailable;
namespace {
// Sequence numbers begin at the time in milliseconds, shifted by this many bits. They exceed those
// of earlier processes on this node, which sent fewer than 2^16 batches per millisecond, unless the
// machine was restarted. Whose a response is does not depend on them: heartbeats have ids.
constexpr int kSequenceTimeShift = 16;
}  // namespace

FollowerRelay::FollowerRelay(Outbox& outbox, StoreClient& store, const LeaderElection& election,
                             const Platform& platform, HeartbeatRouting& routing,
                             membership::RequestIds& request_ids, Retry retry)
    : outbox_(outbox),
      store_(store),
      election_(election),
      platform_(platform),
      routing_(routing),
      request_ids_(request_ids),
      retry_(std::move(retry)) {}

// --- which heartbeats are relayed ---

bool FollowerRelay::try_relay(Ms now, std::uint64_t request, const wire::Heartbeat& heartbeat,
                              std::string_view body, Ms deadline) {
  const auto& machine = heartbeat.machine;
  const auto route = routing_.leader_is_up(now) ? Route::peer : Route::store;
  const bool is_preferred = routing_.preferred_controller(now, heartbeat) == platform_.node;
  auto& relayed_since = relayed_since_[machine];
  const bool recently_relayed = relayed_since != 0 && now - relayed_since < kRelayPeriodMs;
  if (!is_preferred && route == Route::peer && !recently_relayed) {
    if (record_arrival(now, machine)) {
      send_to_leader(now, request, body, deadline, route);
      return true;
    }
    relayed_since = 0;
    // A worker that returns after a recent redirect cannot reach the leader, although this node
    // can.
    const bool returned = routing_.was_redirected(now, machine);
    routing_.record_redirect(now, machine);
    if (!returned) return false;
  }
  if (relayed_since == 0) {
    // Only a worker that has returned from a redirect to a reachable leader is relayed for
    // kRelayPeriodMs. Those relayed through the store are redirected once the leader is up again.
    if (!is_preferred && route == Route::peer) relayed_since = now;
    if (!is_preferred)
      outbox_.log(Event::relay_passing, machine, route == Route::peer ? "peer" : "store");
  }
  send_to_leader(now, request, body, deadline, route);
  return true;
}

// The first heartbeat of a new worker is relayed, not redirected: it may have come here after a
// timeout at an unreachable leader, and its lease might expire if a redirect sent it back there
// without a renewal (docs/incidents/inc-a269.md).
bool FollowerRelay::record_arrival(Ms now, const std::string& machine) {
  auto& since = arrived_at_[machine];
  if (since != 0 && now - since <= kRedirectReturnWindowMs) return false;
  since = now;
  return true;
}

void FollowerRelay::send_to_leader(Ms now, std::uint64_t request, std::string_view body,
                                   Ms deadline, Route route) {
  const auto id = request_ids_.next();
  pending_[id] = {request, deadline, std::string(body), route};
  outbox_.metrics().add(telemetry::Count::relayed, route);
  if (route == Route::store) {
    unsent_ids_.push_back(id);
    return send_batch(now);
  }
  wire::PeerMessage message;
  message.kind = wire::PeerMessage::Kind::relay_request;
  message.id = id;
  message.text = body;
  outbox_.send_to_peer(election_.leader(), wire::encode(message));
}

void FollowerRelay::reply_to_worker(std::uint64_t id, int status, std::string body) {
  const auto it = pending_.find(id);
  if (it == pending_.end()) return;
  outbox_.reply(it->second.request, status, std::move(body));
  pending_.erase(it);
}

void FollowerRelay::on_peer_response(const wire::PeerMessage& message) {
  reply_to_worker(message.id, static_cast<int>(message.a), message.text);
}

// --- route through the store ---

// Sends the next batch unless one is in flight. A batch without responses is abandoned after
// kRelayTimeoutMs.
void FollowerRelay::send_batch(Ms now) {
  if (batch_in_flight_ && now < batch_sent_at_ + kRelayTimeoutMs) return;
  batch_in_flight_ = false;
  auto batch = build_batch();
  if (batch.ids.empty()) return;
  batch_in_flight_ = true;
  batch_sent_at_ = now;
  if (batch_sequence_ == 0)
    first_sequence_ = batch_sequence_ = static_cast<std::uint64_t>(now) << kSequenceTimeShift;
  ++batch_sequence_;
  if (!watching_responses_) watch_responses(now);
  wire::Txn txn;
  txn.put(wire::relay_request_key(platform_.node),
          wire::encode(wire::RelayValue{batch_sequence_, std::move(batch.items)}));
  store_.commit(now, Rank::leader, txn,
                [this, ids = std::move(batch.ids)](Ms, int status, std::string_view) {
                  on_batch_committed(status, ids);
                });
}

// Takes as many unsent heartbeats as fit into one value; the others stay for the next batch.
FollowerRelay::Batch FollowerRelay::build_batch() {
  std::vector<std::pair<std::uint64_t, wire::Heartbeat>> heartbeats;
  Batch batch;
  for (const auto id : unsent_ids_) {
    const auto it = pending_.find(id);
    if (it == pending_.end()) continue;
    if (auto heartbeat = wire::parse_heartbeat(it->second.body)) {
      heartbeats.emplace_back(id, std::move(*heartbeat));
      batch.ids.push_back(id);
    }
  }
  unsent_ids_.clear();
  if (heartbeats.empty()) return batch;
  batch.items = wire::encode_heartbeats(heartbeats, relay_value_limit(platform_));
  for (const auto& [id, heartbeat] : heartbeats) unsent_ids_.push_back(id);
  batch.ids.resize(batch.ids.size() - heartbeats.size());  // those that did not fit are at the end
  return batch;
}

void FollowerRelay::on_batch_committed(int status, const std::vector<std::uint64_t>& ids) {
  if (status == kOk) return;
  batch_in_flight_ = false;
  // The store rejected the batch because it was built for an earlier feature level. Send the
  // heartbeats again: waiting for the timeout could let the workers' leases expire. Found with two
  // zones apart, as 52 lost leases.
  if (status == kConflict) unsent_ids_.insert(unsent_ids_.begin(), ids.begin(), ids.end());
}

void FollowerRelay::watch_responses(Ms now) {
  watching_responses_ = true;
  store_.watch(now, wire::relay_response_key(platform_.node), responses_revision_,
               [this](Ms received_at, int status, std::string_view body) {
                 watching_responses_ = false;
                 on_watch_response(received_at, status, body);
               });
}

void FollowerRelay::on_watch_response(Ms now, int status, std::string_view body) {
  const auto page = status == kOk ? wire::parse_watch(body) : std::nullopt;
  if (!page) {
    if (status == kGone) responses_revision_ = election_.revision();
    return;  // the next tick retries if heartbeats are pending
  }
  responses_revision_ = std::max(responses_revision_, page->revision);
  for (const auto& event : page->events) process_responses(event);
  if (pending_.empty()) return;
  watch_responses(now);
  send_batch(now);
}

void FollowerRelay::process_responses(const wire::Event& event) {
  const auto value = event.deleted ? std::nullopt : wire::decode_relay_value(event.value);
  if (!value) return;
  // Responses may take several values, and the last may arrive after the next batch was sent.
  // Ignore responses to an earlier process on this node.
  if (value->sequence < first_sequence_ || value->sequence > batch_sequence_) return;
  const auto responses = wire::decode_responses(value->items);
  if (!responses) return;
  for (const auto& response : *responses)
    reply_to_worker(response.id, response.status,
                    response.status == kOk
                        ? wire::encode_heartbeat_response(response.commands.fencing_token,
                                                          response.commands.commands)
                        : response.body);
  if (value->sequence == batch_sequence_) batch_in_flight_ = false;
}

// --- periodic work ---

void FollowerRelay::tick(Ms now) {
  retry_if_leader_changed(now);
  refuse_expired(now);
  reroute_if_leader_unreachable(now);
  if (!pending_.empty() && !unsent_ids_.empty()) send_batch(now);
  if (!pending_.empty() && batch_in_flight_ && !watching_responses_) watch_responses(now);
  evict_old_machines(now);
}

// Heartbeats that await a former leader's response are processed again.
void FollowerRelay::retry_if_leader_changed(Ms now) {
  if (sent_to_leader_ == election_.leader() && sent_in_term_ == election_.term()) return;
  sent_to_leader_ = election_.leader();
  sent_in_term_ = election_.term();
  const auto waiting = std::exchange(pending_, {});
  unsent_ids_.clear();
  batch_in_flight_ = false;
  for (const auto& [id, pending] : waiting)
    retry_(now, pending.request, pending.body, pending.deadline);
}

void FollowerRelay::refuse_expired(Ms now) {
  for (auto it = pending_.begin(); it != pending_.end();) {
    if (now < it->second.deadline) {
      ++it;
      continue;
    }
    outbox_.reply(it->second.request, kUnavailable, wire::error_body("the leader can't be asked"));
    it = pending_.erase(it);
  }
}

// Heartbeats sent to a leader that has become unreachable are sent through the store instead. If
// they were refused, the workers would try the unreachable nodes one after another, and their
// leases could expire.
void FollowerRelay::reroute_if_leader_unreachable(Ms now) {
  if (pending_.empty() || election_.leading() || election_.leader().empty()) return;
  if (routing_.leader_is_up(now)) return;
  for (auto& [id, pending] : pending_)
    if (std::exchange(pending.route, Route::store) == Route::peer) unsent_ids_.push_back(id);
}

void FollowerRelay::evict_old_machines(Ms now) {
  const auto threshold = machine_eviction_threshold(platform_);
  if (arrived_at_.size() > threshold)
    std::erase_if(arrived_at_,
                  [&](const auto& entry) { return now - entry.second > kRedirectReturnWindowMs; });
  if (relayed_since_.size() > threshold)
    std::erase_if(relayed_since_,
                  [&](const auto& entry) { return now - entry.second > kRelayPeriodMs; });
}

}  // namespace hitchfront::core
