#include "relay/heartbeat_routing.hpp"

#include <algorithm>

#include "settings/constants.hpp"

namespace hitchfront::core {
using namespace settings;

std::size_t machine_eviction_threshold(const Platform& platform) {
  return std::max(kMinRelayCapacity, static_cast<std::size_t>(platform.max_connections));
}

HeartbeatRouting::HeartbeatRouting(const LeaderElection& election, const Platform& platform,
                                   const membership::Members& members)
    : election_(election), platform_(platform), members_(members) {}

const std::string& HeartbeatRouting::zone_of(const std::string& node) const {
  for (const auto& peer : platform_.peers)
    if (peer.node == node) return peer.zone;
  return platform_.zone;
}

std::string HeartbeatRouting::preferred_controller(Ms now, const wire::Heartbeat& heartbeat) const {
  const auto& leader = election_.leader();
  if (heartbeat.zone == zone_of(leader)) return leader;
  if (heartbeat.zone == platform_.zone) return platform_.node;
  for (const auto& peer : platform_.peers)
    if (peer.zone == heartbeat.zone && members_.up(now, peer.node)) return peer.node;
  return leader;
}

bool HeartbeatRouting::leader_is_up(Ms now) const {
  // A newly observed leader may not have sent a peer heartbeat yet.
  const bool recently_observed = now - election_.observed_at() < kPeerSilenceTimeoutMs;
  return recently_observed || members_.up(now, election_.leader());
}

bool HeartbeatRouting::was_redirected(Ms now, const std::string& machine) const {
  const auto it = redirected_at_.find(machine);
  return it != redirected_at_.end() && now - it->second < kRedirectReturnWindowMs;
}

void HeartbeatRouting::record_redirect(Ms now, const std::string& machine) {
  redirected_at_[machine] = now;
}

void HeartbeatRouting::tick(Ms now) {
  if (redirected_at_.size() <= machine_eviction_threshold(platform_)) return;
  std::erase_if(redirected_at_,
                [&](const auto& entry) { return now - entry.second > kRedirectReturnWindowMs; });
}

}  // namespace hitchfront::core
