#include "simulation/feature_level_check.hpp"

#include <algorithm>

#include "wire/progress.hpp"

namespace hitchfront::testing {
namespace {

// A program from before levels has its lease to notice a switch.
constexpr std::int64_t kMaxUnsupportedMs = 6000;
constexpr std::uint32_t kMaxTasks = 1'000'000;

bool supports(const feature_level::Support& support, const wire::FeatureLevel& level) {
  if (!support.announces) return level.high == 1;
  return support.from <= level.low && level.high <= support.to;
}

}  // namespace

wire::FeatureLevel stored_level(const simulators::Store& store) {
  const auto* value = store.value("level");
  const auto level = value != nullptr ? wire::decode_level(*value) : std::nullopt;
  return level.value_or(wire::FeatureLevel{});
}

void FeatureLevelCheck::run(SimulationContext& context, const ControllerCluster& controllers,
                            const simulators::Store& store) {
  const auto level = stored_level(store);
  for (const auto& controller : controllers.all())
    if (controller->core) check_controller(context, *controller, level);
  store.each("prog/", [&](const std::string& key, const nlohmann::json& value) {
    const auto progress = wire::decode_progress(value.get_ref<const std::string&>(), kMaxTasks);
    const auto form = progress ? static_cast<std::uint32_t>(progress->form) : 0;
    if (form < std::min(level.low, 2U) || form > level.high)
      context.observed.checker.violation("level", key + " is of form " + std::to_string(form));
  });
}

void FeatureLevelCheck::check_controller(SimulationContext& context,
                                         const SimulatedController& controller,
                                         const wire::FeatureLevel& level) {
  auto& checker = context.observed.checker;
  const bool supported = supports(controller.support, level);
  // Exact, for what announces itself: no switch passes a process by that serves.
  if (controller.support.announces && !supported && controller.core->serving() &&
      !context.store_has_lost)
    checker.violation("level", controller.name + " serves at level " + std::to_string(level.high));
  auto& unsupported_ms = unsupported_ms_[controller.name];
  unsupported_ms = !supported && controller.core->leading() ? unsupported_ms + kEveryMs : 0;
  if (unsupported_ms > kMaxUnsupportedMs)
    checker.violation("level",
                      controller.name + " leads a store of level " + std::to_string(level.high));
}

}  // namespace hitchfront::testing
