#include "feature_level/feature_level.hpp"

#include <algorithm>

namespace hitchfront::feature_level {

const std::vector<Feature>& features() {
  static const std::vector<Feature> table = {
      {"run-length encoding of progress", 2, "prog/<job>/<chunk>", "hexadecimal bitmap",
       "run lengths as varints, in base64", true},
      {"identity of the stored state", 3, "level", "none",
       "lineage and generation, so that each data loss is recovered once", true},
      {"machine types hidden from versions without feature levels", 4, "flavors, rigs",
       "the types under `flavors`", "the types under `rigs`, an empty list under `flavors`", true},
      {"job dependencies", 5, "live/<job>", "no `Awaits`",
       "`Awaits` in the description; refused with 503 below this level", true},
      {"shortest encoding of progress", 5, "prog/<job>/<chunk>",
       "run lengths as varints, in base64", "the same, or a bitmap in base64 if that is shorter",
       true},
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
