// Feature levels: when the controllers, which are replaced one by one, may store something in a new
// form. A table of what each level brings, and the rule by which the leader goes from one level to
// the next. Pure; docs/rollout.md has the ways weighed, and docs/safety.md, "Levels of the stored
// state", the argument.
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

// A change of the stored form.
struct Feature {
  const char* name;
  std::uint32_t level;  // from which on it is used
  const char* keys;     // whose form changes
  const char* before;   // the form below that level
  const char* after;
  bool can_be_undone;
};
// All of them, the lowest level first.
[[nodiscard]] const std::vector<Feature>& features();

inline constexpr std::uint32_t kNewest = 5;  // the highest level that this program knows

// What this process can read and write. `announces` is false for versions from before feature
// levels, which say nothing of themselves and regard no level.
struct Support {
  std::uint32_t from = 1, to = kNewest;
  bool announces = true;
};

// Why the next level has to wait.
enum class HoldReason : std::uint8_t {
  none,         // it does not
  operators,    // level_most in the operators' settings
  for_good,     // the active level has something that can't be undone
  settling,     // values of another form than the active one still stand
  settings,     // they don't name every controller
  silent,       // a member gives no peer heartbeat
  unannounced,  // a member of a version that announces nothing
  absent,       // a member has announced nothing in the store, or its lease there has ended
  restarted,    // a member's process is another than the one that announced
  old,          // a member does not support the level
};
// Field `why` of the log event level.held.
[[nodiscard]] const char* log_text(HoldReason reason);

// What the leader should bring the store to next; nothing where it is as wanted, or `why` it can't
// be.
struct Step {
  std::optional<wire::FeatureLevel> next;
  HoldReason why = HoldReason::none;
};
// `most`: the operators' limit. One level at a time, and the next only when all values are of the
// active form.
[[nodiscard]] Step next_step(const wire::FeatureLevel& now, std::uint32_t most,
                             const Support& mine);

// The member that holds a level back; `member` is empty where it is none of them.
struct Held {
  HoldReason why = HoldReason::none;
  std::string member;
};
// What the members are judged by.
enum class MemberCheck : std::uint8_t {
  heartbeats,            // a cheap look, before the store is asked
  heartbeats_and_store,  // by what they have announced in the store as well; the conditions of the
                         // switch are then the versions of just these announcements
};
// Who holds `next` back, and why.
[[nodiscard]] Held held_by(Ms now, const wire::FeatureLevel& next,
                           const membership::Members& members, MemberCheck check);

}  // namespace hitchfront::feature_level
