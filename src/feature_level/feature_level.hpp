// Feature levels: they determine when controllers, which are upgraded one at a time, may store
// values in a new format. Contains the table of features by level and the rules for switching from
// one level to the next. Does no I/O. The alternatives are discussed in docs/rollout.md, and safety
// in docs/safety.md, "Levels of the stored state".
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "membership/members.hpp"
#include "wire/feature_level.hpp"

namespace hitchfront::feature_level {

using membership::Ms;

// A change of the storage format.
struct Feature {
  const char* name;
  std::uint32_t level;  // the first level that uses the new format
  const char* keys;     // the keys whose values are affected
  const char* old_format;
  const char* new_format;
  bool reversible;
};
// All features, in ascending order of level.
[[nodiscard]] const std::vector<Feature>& features();

inline constexpr std::uint32_t kNewestLevel = 5;  // the highest level that this program supports

// The range of levels that a program version reads and writes. `announces` is false for versions
// without feature levels, which do not announce themselves and ignore the stored level.
struct Support {
  std::uint32_t from = 1, to = kNewestLevel;
  bool announces = true;
};

// Why the switch to the next level is blocked.
enum class BlockReason : std::uint8_t {
  none,
  operator_limit,  // level_most in the operators' settings
  irreversible,    // the active level has a feature that cannot be reverted
  migrating,       // some stored values are not in the active level's format yet
  settings,        // the settings do not list every controller, or list too many for a transaction
  silent,          // no recent peer heartbeat from a member
  unannounced,     // a member runs a version that does not announce itself
  absent,          // a member has no announcement in the store, or its lease has expired
  restarted,       // a member's process is not the one that stored the announcement
  old,             // a member does not support the level
};
// The value of the field `why` of the log event feature_level.held.
[[nodiscard]] const char* log_text(BlockReason reason);

// The next switch. `next` is empty if the target level is active (`reason` is then none or
// operator_limit), or if the switch is blocked (`reason` says why).
struct Step {
  std::optional<wire::FeatureLevel> next;
  BlockReason reason = BlockReason::none;
};
// Moves by one level at a time, and only when all values are in the active level's format.
// `max_level`: the operators' limit.
[[nodiscard]] Step next_step(const wire::FeatureLevel& current, std::uint32_t max_level,
                             const Support& support);

// What blocks a switch. `member` is empty if the reason does not concern a member.
struct Blocker {
  BlockReason reason = BlockReason::none;
  std::string member;
};
// The data that members are checked against.
enum class MemberCheck : std::uint8_t {
  heartbeats,            // a cheap check before announcements are read from the store
  heartbeats_and_store,  // also the announcements in the store; their versions then become the
                         // conditions of the switch
};
// The first member that blocks the switch to `next`, if any.
[[nodiscard]] Blocker find_blocker(Ms now, const wire::FeatureLevel& next,
                                   const membership::Members& members, MemberCheck check);

}  // namespace hitchfront::feature_level
