#include "relay/relay.hpp"

#include <nlohmann/json.hpp>

#include "settings/constants.hpp"
#include "wire/job.hpp"
#include "wire/worker.hpp"

namespace hitchfront::core {
using namespace settings;
using nlohmann::json;
using Rank = StoreClient::Rank;
using Kind = wire::PeerMessage::Kind;
namespace {
constexpr const char* kAskPrefix = "relay/";
constexpr const char* kReplyPrefix = "reply/";

std::size_t value_most(const Platform& platform) {
  return std::min(kRelayValueMost, platform.store.value_bytes() - kRelayValueFrame);
}
}  // namespace

Relay::Relay(Outbox& out, StoreClient& store, LeaderElection& election, const Platform& platform,
             const membership::Members& members, Handle handle)
    : out_(out),
      store_(store),
      election_(election),
      platform_(platform),
      members_(members),
      node_(platform.node),
      handle_(std::move(handle)),
      next_id_(1) {}

// ---- follower
// -------------------------------------------------------------------------------------

const std::string& Relay::zone_of(const std::string& node) const {
  for (const auto& p : platform_.peers)
    if (p.node == node) return p.zone;
  return platform_.zone;
}

std::string Relay::home(Ms now, const wire::Heartbeat& heartbeat) const {
  const auto& leader = election_.leader();
  if (heartbeat.zone == zone_of(leader)) return leader;
  if (heartbeat.zone == platform_.zone) return node_;
  for (const auto& p : platform_.peers)
    if (p.zone == heartbeat.zone && members_.up(now, p.node)) return p.node;
  return leader;
}

bool Relay::send_home(Ms now, std::uint64_t request, const wire::Heartbeat& heartbeat) {
  if (platform_.zones.size() < 2) return false;
  const auto to = home(now, heartbeat);
  if (to == node_) return false;
  auto& last = redirected_[heartbeat.machine];
  // Sent there a moment ago and here again: it can't reach that node.
  if (last != 0 && now - last < kBouncedMs) return false;
  last = now;
  out_.reply(request, 421, wire::redirect(to));
  return true;
}

bool Relay::reachable(Ms now) const {
  // A leader that has just been observed has had no time to be heard of.
  const bool fresh = now - election_.observed_at() < kPeerSilentMs;
  return fresh || members_.up(now, election_.leader());
}

bool Relay::pass_on(Ms now, std::uint64_t request, const wire::Heartbeat& heartbeat,
                    std::string_view body, Ms until) {
  const bool near = reachable(now);
  auto& since = relaying_[heartbeat.machine];
  const bool ours = home(now, heartbeat) == node_;
  bool relay = ours || !near || (since != 0 && now - since < kRelayMs);
  if (!relay) {
    // A worker that has just come may have lost 5 s at a silent node, which may well be the leader.
    // Its first heartbeat is passed on, so that it goes back there with a fresh lease. Redirected
    // at once, it was back after 10 s of its 12 s, and a leader cut off from its workers cost 900
    // tasks (incident inc-a269).
    auto& welcomed = welcomed_[heartbeat.machine];
    if (welcomed == 0 || now - welcomed > kBouncedMs) {
      welcomed = now;
      send_to_leader(now, request, body, until, near);
      return true;
    }
  }
  if (!relay) {
    since = 0;
    auto& last = redirected_[heartbeat.machine];
    // Redirected a moment ago and here again: it can't reach the leader, though this node can.
    relay = last != 0 && now - last < kBouncedMs;
    last = now;
  }
  if (!relay) return false;
  if (since == 0) {
    // Only a worker that bounced off a leader which this node reaches stays here: once a leader is
    // heard again, the others go back to it.
    since = ours || !near ? 0 : now;
    if (!ours) out_.log(Event::relay_passing, heartbeat.machine, near ? "peer" : "store");
  }
  send_to_leader(now, request, body, until, near);
  return true;
}

void Relay::send_to_leader(Ms now, std::uint64_t request, std::string_view body, Ms until,
                           bool near) {
  const auto id = next_id_++;
  pending_[id] = {request, until, std::string(body), near};
  out_.metrics().add(telemetry::Count::relayed,
                     near ? telemetry::HeartbeatRoute::peer : telemetry::HeartbeatRoute::store);
  if (near) {
    wire::PeerMessage m;
    m.kind = Kind::relay_ask;
    m.id = id;
    m.text = body;
    out_.peer(election_.leader(), wire::encode(m));
  } else {
    unsent_.push_back(id);
    flush_store(now);
  }
}

void Relay::peer_answer(Ms, const wire::PeerMessage& m) {
  auto it = pending_.find(m.id);
  if (it == pending_.end()) return;
  out_.reply(it->second.request, static_cast<int>(m.a), m.text);
  pending_.erase(it);
}

// One batch at a time: the next is written when the leader's answers are there, or given up. So the
// store sees a few writes a second however many workers there are.
void Relay::flush_store(Ms now) {
  if (batch_open_ && now < batch_at_ + kRelayTimeoutMs) return;
  batch_open_ = false;
  std::vector<std::pair<std::uint64_t, wire::Heartbeat>> heartbeats;
  std::vector<std::uint64_t> sent;
  for (const auto id : unsent_) {
    auto it = pending_.find(id);
    if (it == pending_.end()) continue;
    if (auto heartbeat = wire::parse_heartbeat(it->second.body)) {
      heartbeats.emplace_back(id, std::move(*heartbeat));
      sent.push_back(id);
    }
  }
  unsent_.clear();
  if (heartbeats.empty()) return;
  // Values are bounded; what does not fit goes with the next batch.
  const auto text = wire::encode_heartbeats(heartbeats, value_most(platform_));
  for (const auto& [id, heartbeat] : heartbeats) unsent_.push_back(id);
  sent.resize(sent.size() - heartbeats.size());  // what does not fit is at the end
  batch_open_ = true;
  batch_at_ = now;
  // The wall of a former life of this node must not answer this one's batches.
  if (batch_seq_ == 0) first_seq_ = batch_seq_ = static_cast<std::uint64_t>(now) << 16;
  ++batch_seq_;
  if (!watching_replies_) watch_replies(now);
  wire::Txn txn;
  txn.put(kAskPrefix + node_, json{{"seq", batch_seq_}, {"items", text}}.dump());
  store_.commit(now, Rank::leader, txn,
                [this, sent = std::move(sent)](Ms, int status, std::string_view) {
                  if (status == 200) return;
                  batch_open_ = false;
                  // Refused for the level it was formed under, and not carried out: once more,
                  // under the new one. Left to time out, two zones apart whose relays learned of a
                  // switch by their first write lost 52 leases.
                  if (status == 409) unsent_.insert(unsent_.begin(), sent.begin(), sent.end());
                });
}

void Relay::watch_replies(Ms now) {
  watching_replies_ = true;
  const auto key = kReplyPrefix + node_;
  store_.watch(now, key, replies_revision_, [this](Ms t, int status, std::string_view body) {
    watching_replies_ = false;
    auto page = status == 200 ? wire::parse_watch(body) : std::nullopt;
    if (page) {
      replies_revision_ = std::max(replies_revision_, page->revision);
      for (const auto& e : page->events) {
        if (e.deleted || !e.value.is_object()) continue;
        // Answers may take more than one value, and the later one may come after the next batch has
        // left.
        const auto seq = e.value.value("seq", std::uint64_t{0});
        if (seq < first_seq_ || seq > batch_seq_) continue;
        const auto items = e.value.find("items");
        if (items == e.value.end() || !items->is_string()) continue;
        const auto answers = wire::decode_responses(items->get_ref<const std::string&>());
        if (!answers) continue;
        for (const auto& a : *answers) {
          auto it = pending_.find(a.id);
          if (it == pending_.end()) continue;
          out_.reply(it->second.request, a.status,
                     a.status == 200 ? wire::encode_heartbeat_response(a.commands.fencing_token,
                                                                       a.commands.commands)
                                     : a.body);
          pending_.erase(it);
        }
        if (seq == batch_seq_) batch_open_ = false;
      }
    } else if (status == 410) {
      replies_revision_ = election_.revision();
    }
    if (!pending_.empty()) {
      if (page) {
        watch_replies(t);
        flush_store(t);
      }
      // Otherwise the next tick tries again.
    }
  });
}

// ---- leader
// -----------------------------------------------------------------------------------------

void Relay::lead(Ms now) {
  leading_ = true;
  ++watch_epoch_;
  asks_revision_ = election_.key_version();
  batches_.clear();
  asked_.clear();
  watch_asks(now);
}

void Relay::stop_leading() {
  leading_ = false;
  ++watch_epoch_;
}

void Relay::peer_ask(Ms now, const std::string& node, const wire::PeerMessage& m) {
  auto heartbeat = wire::parse_heartbeat(m.text);
  if (!heartbeat)
    return;  // its relay took it for one: a newer version's, which its worker repeats elsewhere
  const auto request = next_request_++;
  asked_[request] = {node, m.id, false};
  handle_(now, request, std::move(*heartbeat), false);
}

void Relay::watch_asks(Ms now) {
  store_.watch(now, kAskPrefix, asks_revision_,
               [this, epoch = watch_epoch_](Ms t, int status, std::string_view body) {
                 if (!leading_ || epoch != watch_epoch_) return;
                 auto page = status == 200 ? wire::parse_watch(body) : std::nullopt;
                 if (page) {
                   asks_revision_ = std::max(asks_revision_, page->revision);
                   // Only the newest batch of each node: nobody waits for the older ones.
                   std::map<std::string, const json*> newest;
                   for (const auto& e : page->events)
                     if (!e.deleted && e.value.is_object()) newest[e.key.substr(6)] = &e.value;
                   for (const auto& [node, value] : newest) take_asks(t, node, *value);
                   return watch_asks(t);
                 }
                 if (status == 410) asks_revision_ = election_.revision();
                 retry_watch_at_ = t + kStoreRetryMs;
               });
}

void Relay::take_asks(Ms now, const std::string& node, const json& value) {
  auto& batch = batches_[node];
  const auto items = value.find("items");
  if (items == value.end() || !items->is_string()) return;
  auto heartbeats = wire::decode_heartbeats(items->get_ref<const std::string&>());
  if (!heartbeats) return;
  batch.seq = value.value("seq", std::uint64_t{0});
  batch.answers.clear();
  batch.open = heartbeats->size();
  for (auto& [id, heartbeat] : *heartbeats) {
    const auto request = next_request_++;
    asked_[request] = {node, id, true};
    handle_(now, request, std::move(heartbeat), true);
  }
}

bool Relay::answered(Ms now, const HttpReply& reply) {
  if (reply.request < kFirstRequest) return false;
  auto it = asked_.find(reply.request);
  if (it == asked_.end()) return true;
  const Asked to = it->second;
  asked_.erase(it);
  if (!to.by_store) {
    wire::PeerMessage m;
    m.kind = Kind::relay_answer;
    m.id = to.id;
    m.a = static_cast<std::uint64_t>(reply.status);
    m.text = reply.body;
    out_.peer(to.node, wire::encode(m));
    return true;
  }
  auto& batch = batches_[to.node];
  wire::RelayedResponse answer{to.id, reply.status, {}, {}};
  if (reply.status == 200) {
    if (auto commands = wire::parse_heartbeat_response(reply.body))
      answer.commands = std::move(*commands);
  } else {
    answer.body = reply.body;
  }
  batch.answers.push_back(std::move(answer));
  if (batch.answers.size() >= batch.open) write_answers(now, to.node);
  return true;
}

void Relay::write_answers(Ms now, const std::string& node) {
  auto& batch = batches_[node];
  // More than one value where many launches go out at once; each takes the place of the one before,
  // and the watch shows both.
  while (!batch.answers.empty()) {
    const auto text = wire::encode_responses(batch.answers, value_most(platform_));
    wire::Txn txn;
    txn.if_version("leader", election_.key_version())
        .put(kReplyPrefix + node, json{{"seq", batch.seq}, {"items", text}}.dump());
    store_.commit(now, Rank::lease, txn, [](Ms, int, std::string_view) {});
  }
}

void Relay::tick(Ms now) {
  if (leading_ && retry_watch_at_ != 0 && now >= retry_watch_at_) {
    retry_watch_at_ = 0;
    watch_asks(now);
  }
  if (asked_leader_ != election_.leader() || asked_term_ != election_.term()) {
    asked_leader_ = election_.leader();
    asked_term_ = election_.term();
    auto waiting = std::exchange(pending_, {});
    unsent_.clear();
    batch_open_ = false;
    for (auto& [id, p] : waiting) again(now, p.request, p.body, p.until);
  }
  for (auto it = pending_.begin(); it != pending_.end();) {
    if (now < it->second.until) {
      ++it;
      continue;
    }
    out_.reply(it->second.request, 503, wire::error_body("the leader can't be asked"));
    it = pending_.erase(it);
  }
  // What was sent to a peer that has fallen silent goes through the store instead: refused, its
  // worker would try the nodes beyond the cut one after the other, for longer than its lease.
  if (!pending_.empty() && !leading_ && !election_.leader().empty() && !reachable(now))
    for (auto& [id, p] : pending_)
      if (std::exchange(p.by_peer, false)) unsent_.push_back(id);
  if (!pending_.empty() && !unsent_.empty()) flush_store(now);
  if (!pending_.empty() && batch_open_ && !watching_replies_) watch_replies(now);
  // Machines come and go; only recent ones matter.
  const auto many = std::max(kRelayMachines, static_cast<std::size_t>(platform_.max_connections));
  if (redirected_.size() > many)
    std::erase_if(redirected_, [&](const auto& x) { return now - x.second > kBouncedMs; });
  if (welcomed_.size() > many)
    std::erase_if(welcomed_, [&](const auto& x) { return now - x.second > kBouncedMs; });
  if (relaying_.size() > many)
    std::erase_if(relaying_, [&](const auto& x) { return now - x.second > kRelayMs; });
}

}  // namespace hitchfront::core
