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

const char* word(Hold hold) {
  switch (hold) {
    case Hold::none:
      return "nothing";
    case Hold::operators:
      return "operators";
    case Hold::for_good:
      return "for_good";
    case Hold::settling:
      return "settling";
    case Hold::settings:
      return "settings";
    case Hold::silent:
      return "silent";
    case Hold::unannounced:
      return "unannounced";
    case Hold::absent:
      return "absent";
    case Hold::restarted:
      return "restarted";
    case Hold::old:
      return "old";
  }
  return "";
}

Step next_step(const wire::FeatureLevel& now, std::uint32_t most, const Support& mine) {
  const auto wanted = std::max<std::uint32_t>(1, std::min(most, mine.to));
  if (wanted == now.active) return {std::nullopt, most < mine.to ? Hold::operators : Hold::none};
  if (now.low != now.high) return {std::nullopt, Hold::settling};
  wire::FeatureLevel next = now;
  if (wanted > now.active) {
    next.high = next.active = now.active + 1;
    return {next, Hold::none};
  }
  for (const auto& f : features())
    if (f.level == now.active && !f.can_be_undone) return {std::nullopt, Hold::for_good};
  next.low = next.active = now.active - 1;
  return {next, Hold::none};
}

Held held_by(Ms now, const wire::FeatureLevel& next, const membership::Members& members,
             bool stored) {
  for (const auto& [node, m] : members.all()) {
    if (!members.up(now, node)) return {Hold::silent, node};
    if (!m.said) return {Hold::unannounced, node};
    if (!m.said->supports(next)) return {Hold::old, node};
    if (!stored) continue;
    if (!m.stored) return {Hold::absent, node};
    if (m.stored->process != m.said->process) return {Hold::restarted, node};
    if (!m.stored->supports(next)) return {Hold::old, node};
  }
  return {};
}

}  // namespace hitchfront::feature_level
