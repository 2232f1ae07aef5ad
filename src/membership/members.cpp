#include "membership/members.hpp"

#include <algorithm>

namespace hitchfront::membership {

Members::Members(const std::vector<std::string>& peers, Ms silence_timeout_ms)
    : silence_timeout_ms_(silence_timeout_ms) {
  for (const auto& node : peers) members_[node];
}

void Members::record_heartbeat(Ms now, const std::string& node,
                               std::optional<wire::Announcement> announced) {
  const auto it = members_.find(node);
  if (it == members_.end()) return;
  it->second.last_heartbeat_at = now;
  it->second.announced = std::move(announced);
}

void Members::begin_reading() {
  for (auto& [node, member] : members_) {
    member.stored.reset();
    member.stored_version = 0;
  }
}

void Members::record_stored(wire::Announcement announced, std::uint64_t version) {
  const auto it = members_.find(announced.node);
  if (it == members_.end()) return;
  it->second.stored = std::move(announced);
  it->second.stored_version = version;
}

bool Members::up(Ms now, const std::string& node) const {
  const auto* member = find(node);
  return member != nullptr && member->last_heartbeat_at &&
         now - *member->last_heartbeat_at < silence_timeout_ms_;
}

std::size_t Members::up_count(Ms now) const {
  return static_cast<std::size_t>(std::count_if(
      members_.begin(), members_.end(), [&](const auto& member) { return up(now, member.first); }));
}

const Member* Members::find(const std::string& node) const {
  const auto it = members_.find(node);
  return it == members_.end() ? nullptr : &it->second;
}

}  // namespace hitchfront::membership
