// Who is there: every other controller that the settings name, what is known of each, and how old
// that is. One that isn't heard is still a member. Pure: time comes in.
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
  std::optional<Ms> heard_at;              // its last peer heartbeat
  std::optional<wire::Announcement> said;  // with that sign; nothing: a version that makes none
  // By the last reading of the store: what it has announced there, and that key's stamp. Nothing:
  // it never did, or its lease there has ended.
  std::optional<wire::Announcement> stored;
  std::uint64_t stamp = 0;
};

class Members {
 public:
  // `silent_ms`: several missed peer heartbeats, after which a member is taken for unreachable.
  Members(const std::vector<std::string>& others, Ms silent_ms);

  // Whoever the settings don't name is no controller, and nothing is kept of it.
  void heard(Ms now, const std::string& node, std::optional<wire::Announcement> said);
  // One reading of all that stands in the store; whoever is not in it has announced nothing.
  void begin_reading();
  void stored(wire::Announcement announced, std::uint64_t stamp);

  bool up(Ms now, const std::string& node) const;
  std::size_t up_now(Ms now) const;
  const std::map<std::string, Member>& all() const { return members_; }
  const Member* find(const std::string& node) const;

 private:
  std::map<std::string, Member> members_;
  Ms silent_ms_;
};

}  // namespace hitchfront::membership
