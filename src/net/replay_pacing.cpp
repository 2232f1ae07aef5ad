#include "net/replay_pacing.hpp"

#include <algorithm>

#include "settings/constants.hpp"

namespace hitchfront::net {
namespace {
constexpr std::uint64_t kMeasurableSteps = 100;  // fewer are lost in the clock's steps
constexpr double kNewest = 0.1;                  // weight of the newest slice in the rate
constexpr double kJump = 4;                      // times the rate that one slice may seem to have
}  // namespace

std::uint64_t ReplayPacing::slice_steps() const {
  return static_cast<std::uint64_t>(steps_per_ms_ * settings::kMaxReplaySliceMs);
}

bool ReplayPacing::record(std::uint64_t steps, double took_ms) {
  if (steps <= kMeasurableSteps) return false;
  const double rate = std::clamp(static_cast<double>(steps) / took_ms, steps_per_ms_ / kJump,
                                 steps_per_ms_ * kJump);
  steps_per_ms_ = (1 - kNewest) * steps_per_ms_ + kNewest * rate;
  return true;
}

}  // namespace hitchfront::net
