#include "net/replay_pacing.hpp"

#include <algorithm>

#include "settings/constants.hpp"

namespace hitchfront::net {
namespace {
// Slices with at most this many steps are too short for the resolution of the CPU clock.
constexpr std::uint64_t kMinMeasurableSteps = 100;
// Weight of the newest slice in the moving average of the rate.
constexpr double kRateSmoothingWeight = 0.1;
// A slice's rate is clamped to within this factor of the average, so that outliers count less.
constexpr double kMaxRateChangeFactor = 4;
}  // namespace

std::uint64_t ReplayPacing::slice_steps() const {
  return static_cast<std::uint64_t>(steps_per_ms_ * settings::kMaxReplaySliceMs);
}

bool ReplayPacing::record(std::uint64_t steps, double slice_cpu_ms) {
  if (steps <= kMinMeasurableSteps) return false;
  const double rate =
      std::clamp(static_cast<double>(steps) / slice_cpu_ms, steps_per_ms_ / kMaxRateChangeFactor,
                 steps_per_ms_ * kMaxRateChangeFactor);
  steps_per_ms_ = (1 - kRateSmoothingWeight) * steps_per_ms_ + kRateSmoothingWeight * rate;
  return true;
}

}  // namespace hitchfront::net
