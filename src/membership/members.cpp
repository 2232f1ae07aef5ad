#include "membership/members.hpp"

#include <algorithm>

namespace hitchfront::membership {

Members::Members(const std::vector<std::string>& others, Ms silent_ms) : silent_ms_(silent_ms) {
  for (const auto& node : others) members_[node];
}

void Members::heard(Ms now, const std::string& node, std::optional<wire::Announcement> said) {
  const auto it = members_.find(node);
  if (it == members_.end()) return;
  it->second.heard_at = now;
  it->second.said = std::move(said);
}

void Members::begin_reading() {
  for (auto& [node, m] : members_) {
    m.stored.reset();
    m.stamp = 0;
  }
}

void Members::stored(wire::Announcement announced, std::uint64_t stamp) {
  const auto it = members_.find(announced.node);
  if (it == members_.end()) return;
  it->second.stored = std::move(announced);
  it->second.stamp = stamp;
}

bool Members::up(Ms now, const std::string& node) const {
  const auto* m = find(node);
  return m != nullptr && m->heard_at && now - *m->heard_at < silent_ms_;
}

std::size_t Members::up_now(Ms now) const {
  return static_cast<std::size_t>(std::count_if(members_.begin(), members_.end(),
                                                [&](const auto& m) { return up(now, m.first); }));
}

const Member* Members::find(const std::string& node) const {
  const auto it = members_.find(node);
  return it == members_.end() ? nullptr : &it->second;
}

}  // namespace hitchfront::membership
