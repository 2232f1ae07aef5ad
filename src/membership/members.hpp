// The other controllers named in the settings, with the last known state of each. A member that is
// unreachable remains a member. No I/O; time is passed in.
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
  std::optional<Ms> last_heartbeat_at;
  // From its last heartbeat; empty if that carried none, as in older versions.
  std::optional<wire::Announcement> announced;
  // Its announcement in the store and the version of that key, as of the last read. Empty and 0 if
  // it has not stored any, or the lease of the key has expired.
  std::optional<wire::Announcement> stored;
  std::uint64_t stored_version = 0;
};

class Members {
 public:
  // `silence_timeout_ms`: time without a heartbeat after which a member counts as unreachable.
  Members(const std::vector<std::string>& peers, Ms silence_timeout_ms);

  // Records a peer heartbeat and its announcement. Ignored if `node` is not a member.
  void record_heartbeat(Ms now, const std::string& node,
                        std::optional<wire::Announcement> announced);
  // Called at the start of each read of all announcements in the store. Clears the stored
  // announcements; record_stored() is then called for each one read.
  void begin_reading();
  void record_stored(wire::Announcement announced, std::uint64_t version);

  // Whether the member has sent a heartbeat within the silence timeout.
  [[nodiscard]] bool up(Ms now, const std::string& node) const;
  [[nodiscard]] std::size_t up_count(Ms now) const;
  [[nodiscard]] const std::map<std::string, Member>& all() const { return members_; }  // by node
  [[nodiscard]] const Member* find(const std::string& node) const;  // null: not a member

 private:
  std::map<std::string, Member> members_;
  Ms silence_timeout_ms_;
};

}  // namespace hitchfront::membership
