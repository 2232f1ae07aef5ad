#include "feature_level/feature_level.hpp"

#include <algorithm>

namespace hitchfront::feature_level {

const std::vector<Feature>& features() {
  static const std::vector<Feature> table = {
      {"progress in runs", 2, "prog/<job>/<chunk>", "a bitmap in hex",
       "runs in varints, base64 coded", true},
      {"identity of the stored state", 3, "level", "none",
       "lineage and generation, by which a loss is rebuilt once", true},
      {"machine types where versions from before levels don't look", 4, "flavors, rigs",
       "the types under `flavors`", "the types under `rigs`, an empty list under `flavors`", true},
      {"jobs that await others", 5, "live/<job>", "no `Awaits`",
       "`Awaits` in the description; refused with 503 below this level", true},
      {"progress in the shortest form", 5, "prog/<job>/<chunk>", "runs in varints, base64 coded",
       "the same, or the bits, base64 coded, where that is shorter", true},
  };
  return table;
}

const char* log_text(HoldReason reason) {
  switch (reason) {
    case HoldReason::none:
      return "nothing";
    case HoldReason::operators:
      return "operators";
    case HoldReason::for_good:
      return "for_good";
    case HoldReason::settling:
      return "settling";
    case HoldReason::settings:
      return "settings";
    case HoldReason::silent:
      return "silent";
    case HoldReason::unannounced:
      return "unannounced";
    case HoldReason::absent:
      return "absent";
    case HoldReason::restarted:
      return "restarted";
    case HoldReason::old:
      return "old";
  }
  return "";
}

Step next_step(const wire::FeatureLevel& now, std::uint32_t most, const Support& mine) {
  const auto wanted = std::max<std::uint32_t>(1, std::min(most, mine.to));
  if (wanted == now.active)
    return {std::nullopt, most < mine.to ? HoldReason::operators : HoldReason::none};
  if (now.low != now.high) return {std::nullopt, HoldReason::settling};
  wire::FeatureLevel next = now;
  if (wanted > now.active) {
    next.high = next.active = now.active + 1;
    return {next, HoldReason::none};
  }
  for (const auto& feature : features())
    if (feature.level == now.active && !feature.can_be_undone)
      return {std::nullopt, HoldReason::for_good};
  next.low = next.active = now.active - 1;
  return {next, HoldReason::none};
}

Held held_by(Ms now, const wire::FeatureLevel& next, const membership::Members& members,
             MemberCheck check) {
  for (const auto& [node, member] : members.all()) {
    if (!members.up(now, node)) return {HoldReason::silent, node};
    if (!member.announced) return {HoldReason::unannounced, node};
    if (!member.announced->supports(next)) return {HoldReason::old, node};
    if (check == MemberCheck::heartbeats) continue;
    if (!member.stored) return {HoldReason::absent, node};
    if (member.stored->process != member.announced->process) return {HoldReason::restarted, node};
    if (!member.stored->supports(next)) return {HoldReason::old, node};
  }
  return {};
}

}  // namespace hitchfront::feature_level
