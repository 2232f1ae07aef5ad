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
// A batch's sequence begins with the time of the first one: batches of earlier processes of this
// node have lower ones, and there are fewer than this many in a millisecond.
constexpr int kSequenceTimeShift = 16;
}  // namespace

FollowerRelay::FollowerRelay(Outbox& out, StoreClient& store, const LeaderElection& election,
                             const Platform& platform, HeartbeatRouting& routing, Retry retry)
    : out_(out),
      store_(store),
      election_(election),
      platform_(platform),
      routing_(routing),
      retry_(std::move(retry)) {}

// ---- which heartbeats are passed on

bool FollowerRelay::pass_on(Ms now, std::uint64_t request, const wire::Heartbeat& heartbeat,
                            std::string_view body, Ms until) {
  const auto& machine = heartbeat.machine;
  const auto route = routing_.leader_is_up(now) ? Route::peer : Route::store;
  const bool at_home = routing_.home(now, heartbeat) == platform_.node;
  auto& relayed_since = relayed_since_[machine];
  const bool relayed_lately = relayed_since != 0 && now - relayed_since < kRelayPeriodMs;
  if (!at_home && route == Route::peer && !relayed_lately) {
    if (is_newcomer(now, machine)) {
      send_to_leader(now, request, body, until, route);
      return true;
    }
    relayed_since = 0;
    // Redirected a moment ago and here again: it can't reach the leader, though this node can.
    const bool bounced = routing_.was_redirected(now, machine);
    routing_.record_redirect(now, machine);
    if (!bounced) return false;
  }
  if (relayed_since == 0) {
    // Only a worker that bounced off a leader which this node reaches stays here: once a leader is
    // heard again, the others go back to it.
    if (!at_home && route == Route::peer) relayed_since = now;
    if (!at_home) out_.log(Event::relay_passing, machine, route == Route::peer ? "peer" : "store");
  }
  send_to_leader(now, request, body, until, route);
  return true;
}

// A worker that has just come may have lost 5 s at a silent node, which may well be the leader. Its
// first heartbeat is passed on, so that it goes back there with a fresh lease. Redirected at once,
// it was back after 10 s of its 12 s, and a leader cut off from its workers cost 900 tasks
// (incident inc-a269).
bool FollowerRelay::is_newcomer(Ms now, const std::string& machine) {
  auto& since = newcomer_since_[machine];
  if (since != 0 && now - since <= kRedirectReturnWindowMs) return false;
  since = now;
  return true;
}

void FollowerRelay::send_to_leader(Ms now, std::uint64_t request, std::string_view body, Ms until,
                                   Route route) {
  const auto id = next_id_++;
  pending_[id] = {request, until, std::string(body), route};
  out_.metrics().add(telemetry::Count::relayed, route);
  if (route == Route::store) {
    unsent_.push_back(id);
    return send_batch(now);
  }
  wire::PeerMessage message;
  message.kind = wire::PeerMessage::Kind::relay_ask;
  message.id = id;
  message.text = body;
  out_.send_to_peer(election_.leader(), wire::encode(message));
}

void FollowerRelay::answer(std::uint64_t id, int status, std::string body) {
  const auto it = pending_.find(id);
  if (it == pending_.end()) return;
  out_.reply(it->second.request, status, std::move(body));
  pending_.erase(it);
}

void FollowerRelay::on_peer_response(const wire::PeerMessage& message) {
  answer(message.id, static_cast<int>(message.a), message.text);
}

// ---- through the store

// One batch at a time: the next is written when the leader's responses are there, or given up.
void FollowerRelay::send_batch(Ms now) {
  if (batch_open_ && now < batch_sent_at_ + kRelayTimeoutMs) return;
  batch_open_ = false;
  auto batch = take_batch();
  if (batch.ids.empty()) return;
  batch_open_ = true;
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
                  on_batch_written(status, ids);
                });
}

// As many of the unsent heartbeats as fit a value; the others stay for the next batch.
FollowerRelay::Batch FollowerRelay::take_batch() {
  std::vector<std::pair<std::uint64_t, wire::Heartbeat>> heartbeats;
  Batch batch;
  for (const auto id : unsent_) {
    const auto it = pending_.find(id);
    if (it == pending_.end()) continue;
    if (auto heartbeat = wire::parse_heartbeat(it->second.body)) {
      heartbeats.emplace_back(id, std::move(*heartbeat));
      batch.ids.push_back(id);
    }
  }
  unsent_.clear();
  if (heartbeats.empty()) return batch;
  batch.items = wire::encode_heartbeats(heartbeats, relay_value_limit(platform_));
  for (const auto& [id, heartbeat] : heartbeats) unsent_.push_back(id);
  batch.ids.resize(batch.ids.size() - heartbeats.size());  // what does not fit is at the end
  return batch;
}

void FollowerRelay::on_batch_written(int status, const std::vector<std::uint64_t>& ids) {
  if (status == kOk) return;
  batch_open_ = false;
  // Refused for the feature level it was formed under, and not carried out: once more, under the
  // new one. Left to time out, two zones apart whose relays learned of a switch by their first
  // write lost 52 leases.
  if (status == kConflict) unsent_.insert(unsent_.begin(), ids.begin(), ids.end());
}

void FollowerRelay::watch_responses(Ms now) {
  watching_responses_ = true;
  store_.watch(now, wire::relay_response_key(platform_.node), responses_revision_,
               [this](Ms t, int status, std::string_view body) {
                 watching_responses_ = false;
                 on_responses_watched(t, status, body);
               });
}

void FollowerRelay::on_responses_watched(Ms now, int status, std::string_view body) {
  const auto page = status == kOk ? wire::parse_watch(body) : std::nullopt;
  if (!page) {
    if (status == kGone) responses_revision_ = election_.revision();
    return;  // the next tick tries again, if anybody waits
  }
  responses_revision_ = std::max(responses_revision_, page->revision);
  for (const auto& event : page->events) on_responses(event);
  if (pending_.empty()) return;
  watch_responses(now);
  send_batch(now);
}

void FollowerRelay::on_responses(const wire::Event& event) {
  const auto value = event.deleted ? std::nullopt : wire::decode_relay_value(event.value);
  if (!value) return;
  // Responses may take more than one value, and the later one may come after the next batch has
  // left. Those to an earlier process of this node don't count.
  if (value->sequence < first_sequence_ || value->sequence > batch_sequence_) return;
  const auto responses = wire::decode_responses(value->items);
  if (!responses) return;
  for (const auto& response : *responses)
    answer(response.id, response.status,
           response.status == kOk ? wire::encode_heartbeat_response(response.commands.fencing_token,
                                                                    response.commands.commands)
                                  : response.body);
  if (value->sequence == batch_sequence_) batch_open_ = false;
}

// ---- time

void FollowerRelay::tick(Ms now) {
  retry_if_leader_changed(now);
  refuse_overdue(now);
  move_to_store_if_leader_is_silent(now);
  if (!pending_.empty() && !unsent_.empty()) send_batch(now);
  if (!pending_.empty() && batch_open_ && !watching_responses_) watch_responses(now);
  forget_old_machines(now);
}

// What waited for the former leader's response starts over.
void FollowerRelay::retry_if_leader_changed(Ms now) {
  if (sent_to_leader_ == election_.leader() && sent_in_term_ == election_.term()) return;
  sent_to_leader_ = election_.leader();
  sent_in_term_ = election_.term();
  const auto waiting = std::exchange(pending_, {});
  unsent_.clear();
  batch_open_ = false;
  for (const auto& [id, pending] : waiting)
    retry_(now, pending.request, pending.body, pending.until);
}

void FollowerRelay::refuse_overdue(Ms now) {
  for (auto it = pending_.begin(); it != pending_.end();) {
    if (now < it->second.until) {
      ++it;
      continue;
    }
    out_.reply(it->second.request, kUnavailable, wire::error_body("the leader can't be asked"));
    it = pending_.erase(it);
  }
}

// What was sent to a peer that has fallen silent goes through the store instead: refused, its
// worker would try the nodes beyond the cut one after the other, for longer than its lease.
void FollowerRelay::move_to_store_if_leader_is_silent(Ms now) {
  if (pending_.empty() || election_.leading() || election_.leader().empty()) return;
  if (routing_.leader_is_up(now)) return;
  for (auto& [id, pending] : pending_)
    if (std::exchange(pending.route, Route::store) == Route::peer) unsent_.push_back(id);
}

void FollowerRelay::forget_old_machines(Ms now) {
  const auto most = remembered_machines(platform_);
  if (newcomer_since_.size() > most)
    std::erase_if(newcomer_since_,
                  [&](const auto& entry) { return now - entry.second > kRedirectReturnWindowMs; });
  if (relayed_since_.size() > most)
    std::erase_if(relayed_since_,
                  [&](const auto& entry) { return now - entry.second > kRelayPeriodMs; });
}

}  // namespace hitchfront::core
