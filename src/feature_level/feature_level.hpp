// When the controllers, replaced one by one, may store something in a new form: a table of what
// each level brings, and the rule by which the leader goes from one level to the next. Pure;
// docs/rollout.md has the ways weighed, and docs/safety.md, "Levels of the stored state", the
// argument.
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

struct Feature {
  const char* name;
  std::uint32_t level;  // from which on it is used
  const char* keys;     // whose form changes
  const char* before;   // the form below that level
  const char* after;
  bool can_be_undone;
};
const std::vector<Feature>& features();

inline constexpr std::uint32_t kNewest = 5;  // the highest level that this program knows

// What this process can read and write. `announces` is false for versions from before levels, which
// say nothing and heed none.
struct Support {
  std::uint32_t from = 1, to = kNewest;
  bool announces = true;
};

enum class Hold : std::uint8_t {
  none,
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
const char* word(Hold hold);

// What the leader should bring the store to next; nothing where it is as wanted, or `why` it can't
// be.
struct Step {
  std::optional<wire::FeatureLevel> next;
  Hold why = Hold::none;
};
// `most`: the operators' limit. One level at a time, and the next only when all values are of the
// active form.
Step next_step(const wire::FeatureLevel& now, std::uint32_t most, const Support& mine);

// Who holds `next` back, and why. A cheap look by the peer heartbeats alone, before the store is
// asked; with `stored`, by what stands there as well. The conditions of the switch are then every
// member's stamp.
struct Held {
  Hold why = Hold::none;
  std::string member;
};
Held held_by(Ms now, const wire::FeatureLevel& next, const membership::Members& members,
             bool stored);

}  // namespace hitchfront::feature_level
