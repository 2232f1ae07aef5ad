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

const char* log_text(BlockReason reason) {
  switch (reason) {
    case BlockReason::none:
      return "nothing";
    case BlockReason::operator_limit:
      return "operators";
    case BlockReason::irreversible:
      return "for_good";
    case BlockReason::migrating:
      return "settling";
    case BlockReason::settings:
      return "settings";
    case BlockReason::silent:
      return "silent";
    case BlockReason::unannounced:
      return "unannounced";
    case BlockReason::absent:
      return "absent";
    case BlockReason::restarted:
      return "restarted";
    case BlockReason::old:
      return "old";
  }
  return "";
}

Step next_step(const wire::FeatureLevel& current, std::uint32_t max_level, const Support& support) {
  const auto target = std::max<std::uint32_t>(1, std::min(max_level, support.to));
  if (target == current.active)
    return {std::nullopt, max_level < support.to ? BlockReason::operator_limit : BlockReason::none};
  if (current.low != current.high) return {std::nullopt, BlockReason::migrating};
  wire::FeatureLevel next = current;
  if (target > current.active) {
    next.high = next.active = current.active + 1;
    return {next, BlockReason::none};
  }
  for (const auto& feature : features())
    if (feature.level == current.active && !feature.reversible)
      return {std::nullopt, BlockReason::irreversible};
  next.low = next.active = current.active - 1;
  return {next, BlockReason::none};
}

Blocker find_blocker(Ms now, const wire::FeatureLevel& next, const membership::Members& members,
                     MemberCheck check) {
  for (const auto& [node, member] : members.all()) {
    if (!members.up(now, node)) return {BlockReason::silent, node};
    if (!member.announced) return {BlockReason::unannounced, node};
    if (!member.announced->supports(next)) return {BlockReason::old, node};
    if (check == MemberCheck::heartbeats) continue;
    if (!member.stored) return {BlockReason::absent, node};
    if (member.stored->process != member.announced->process) return {BlockReason::restarted, node};
    if (!member.stored->supports(next)) return {BlockReason::old, node};
  }
  return {};
}

}  // namespace hitchfront::feature_level
