#include "relay/leader_relay.hpp"

#include <utility>

#include "relay/relay_value_limit.hpp"
#include "settings/constants.hpp"
#include "wire/election_record.hpp"
#include "wire/http_status.hpp"

namespace hitchfront::core {
using namespace settings;
using Rank = StoreClient::Rank;
using wire::http_status::kGone;
using wire::http_status::kMisdirected;
using wire::http_status::kOk;

LeaderRelay::LeaderRelay(Outbox& outbox, StoreClient& store, const LeaderElection& election,
                         const Platform& platform, HeartbeatRouting& routing, Handler handler)
    : outbox_(outbox),
      store_(store),
      election_(election),
      platform_(platform),
      routing_(routing),
      handler_(std::move(handler)) {}

void LeaderRelay::start(Ms now) {
  running_ = true;
  ++watch_epoch_;
  requests_revision_ = election_.key_version();
  batches_.clear();
  origins_.clear();
  watch_requests(now);
}

void LeaderRelay::stop() {
  running_ = false;
  ++watch_epoch_;
}

void LeaderRelay::tick(Ms now) {
  if (!running_ || retry_watch_at_ == 0 || now < retry_watch_at_) return;
  retry_watch_at_ = 0;
  watch_requests(now);
}

bool LeaderRelay::redirect_to_preferred(Ms now, std::uint64_t request,
                                        const wire::Heartbeat& heartbeat) {
  if (platform_.zones.size() < 2) return false;
  const auto preferred_controller = routing_.preferred_controller(now, heartbeat);
  if (preferred_controller == platform_.node) return false;
  // It has returned after a recent redirect, so it cannot reach that node.
  if (routing_.was_redirected(now, heartbeat.machine)) return false;
  routing_.record_redirect(now, heartbeat.machine);
  outbox_.reply(request, kMisdirected, wire::redirect_body(preferred_controller));
  return true;
}

// --- heartbeats ---

std::uint64_t LeaderRelay::add_request(Origin origin) {
  const auto request = next_request_id_++;
  origins_[request] = std::move(origin);
  return request;
}

void LeaderRelay::on_peer_request(Ms now, const std::string& node,
                                  const wire::PeerMessage& message) {
  auto heartbeat = wire::parse_heartbeat(message.text);
  // The follower could parse it, so it is in a newer version's format. The worker will retry at
  // another node.
  if (!heartbeat) return;
  const auto request = add_request({node, message.id, Route::peer});
  handler_(now, request, std::move(*heartbeat), Route::peer);
}

void LeaderRelay::watch_requests(Ms now) {
  store_.watch(now, wire::kRelayRequestPrefix, requests_revision_,
               [this, epoch = watch_epoch_](Ms received_at, int status, std::string_view body) {
                 if (!running_ || epoch != watch_epoch_) return;
                 const auto page = status == kOk ? wire::parse_watch(body) : std::nullopt;
                 if (page) return on_watch_response(received_at, *page);
                 if (status == kGone) requests_revision_ = election_.revision();
                 retry_watch_at_ = received_at + kStoreRetryDelayMs;
               });
}

void LeaderRelay::on_watch_response(Ms now, const wire::WatchPage& page) {
  requests_revision_ = std::max(requests_revision_, page.revision);
  // Only the newest batch of each node is processed: a follower sends the next one only after
  // receiving the responses or giving up on them.
  std::map<std::string, const nlohmann::json*> newest;
  for (const auto& event : page.events) {
    if (event.deleted || !event.value.is_object()) continue;
    newest[event.key.substr(wire::kRelayRequestPrefix.size())] = &event.value;
  }
  for (const auto& [node, value] : newest)
    if (const auto batch = wire::decode_relay_value(*value)) process_batch(now, node, *batch);
  watch_requests(now);
}

void LeaderRelay::process_batch(Ms now, const std::string& node, const wire::RelayValue& value) {
  auto heartbeats = wire::decode_heartbeats(value.items);
  if (!heartbeats) return;
  batches_[node] = {value.sequence, heartbeats->size(), {}};
  for (auto& [id, heartbeat] : *heartbeats) {
    const auto request = add_request({node, id, Route::store});
    handler_(now, request, std::move(heartbeat), Route::store);
  }
}

// --- responses ---

bool LeaderRelay::try_relay_response(Ms now, const HttpReply& reply) {
  if (reply.request < kFirstRequestId) return false;
  const auto it = origins_.find(reply.request);
  if (it == origins_.end()) return true;  // of an earlier leadership
  const Origin origin = std::move(it->second);
  origins_.erase(it);
  if (origin.route == Route::peer)
    send_to_peer(origin, reply);
  else
    add_to_batch(now, origin, reply);
  return true;
}

void LeaderRelay::send_to_peer(const Origin& origin, const HttpReply& reply) {
  wire::PeerMessage message;
  message.kind = wire::PeerMessage::Kind::relay_response;
  message.id = origin.id;
  message.a = static_cast<std::uint64_t>(reply.status);
  message.text = reply.body;
  outbox_.send_to_peer(origin.node, wire::encode(message));
}

void LeaderRelay::add_to_batch(Ms now, const Origin& origin, const HttpReply& reply) {
  wire::RelayedResponse response{origin.id, reply.status, {}, {}};
  if (reply.status == kOk) {
    if (auto commands = wire::parse_heartbeat_response(reply.body))
      response.commands = std::move(*commands);
  } else {
    response.body = reply.body;
  }
  auto& batch = batches_[origin.node];
  batch.responses.push_back(std::move(response));
  if (batch.responses.size() >= batch.heartbeat_count) write_responses(now, origin.node);
}

// Writes as many values as the responses need. Each overwrites the previous one, but the follower's
// watch delivers all of them.
void LeaderRelay::write_responses(Ms now, const std::string& node) {
  auto& batch = batches_[node];
  while (!batch.responses.empty()) {
    auto items = wire::encode_responses(batch.responses, relay_value_limit(platform_));
    wire::Txn txn;
    txn.if_version(wire::kLeaderKey, election_.key_version())
        .put(wire::relay_response_key(node),
             wire::encode(wire::RelayValue{batch.sequence, std::move(items)}));
    store_.commit(now, Rank::lease, txn, [](Ms, int, std::string_view) {});
  }
}

}  // namespace hitchfront::core
