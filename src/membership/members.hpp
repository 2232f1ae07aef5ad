// The other controllers: everyone that the settings name, what is known of each, and how old that
// is. One that isn't heard is still a member. Pure: time comes in.
#pragma once
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "wire/feature_level.hpp"

namespace hitchfront::membership {

using Ms = std::int64_t;  // steady time in milliseconds

struct Member {
  std::optional<Ms> last_heartbeat_at;  // its last peer heartbeat
  // What it announced with that heartbeat; nothing: a version that announces nothing.
  std::optional<wire::Announcement> announced;
  // By the last reading of the store: what it has announced there, and the version of that key.
  // Nothing: it never did, or its lease there has ended.
  std::optional<wire::Announcement> stored;
  std::uint64_t stored_version = 0;
};

class Members {
 public:
  // `silence_timeout_ms`: several missed peer heartbeats, after which a member is taken for
  // unreachable.
  Members(const std::vector<std::string>& peers, Ms silence_timeout_ms);

  // A peer heartbeat, and what it announced. Whoever the settings don't name is no controller, and
  // nothing is kept of it.
  void record_heartbeat(Ms now, const std::string& node,
                        std::optional<wire::Announcement> announced);
  // One reading of all announcements in the store: begin_reading(), and then each that stands
  // there. Whoever is not among them has announced nothing.
  void begin_reading();
  void record_stored(wire::Announcement announced, std::uint64_t version);

  // It was heard within the last `silence_timeout_ms`.
  [[nodiscard]] bool up(Ms now, const std::string& node) const;
  [[nodiscard]] std::size_t up_count(Ms now) const;  // how many are
  [[nodiscard]] const std::map<std::string, Member>& all() const { return members_; }  // by node
  [[nodiscard]] const Member* find(const std::string& node) const;  // null: no member

 private:
  std::map<std::string, Member> members_;
  Ms silence_timeout_ms_;
};

}  // namespace hitchfront::membership
