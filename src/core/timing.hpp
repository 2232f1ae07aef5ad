// Durations that follow from the platform's settings, in milliseconds of the steady clock.
#pragma once
#include <algorithm>
#include <cmath>

#include "core/effects.hpp"
#include "settings/constants.hpp"
#include "settings/platform.hpp"

namespace hitchfront::core {

// The longest that a worker's lease can last from an instant not before the sending of the
// heartbeat.
inline Ms lease_ms(const settings::Platform& platform) {
  return static_cast<Ms>(std::ceil(platform.lease_s * 1000 * (1 + 2 * settings::kDrift))) +
         settings::kLeaseMarginMs;
}

// Between two heartbeats of a worker.
inline Ms heartbeat_ms(const settings::Platform& platform) {
  return static_cast<Ms>(platform.heartbeat_s * 1000);
}

// Silence after which a machine is not counted on. A constant of 4 s, right for heartbeats every
// 2 s, made a sixth of the fleet unusable at any moment where they come every 5 s, and took back
// assignments just before they could be launched.
inline Ms silent_ms(const settings::Platform& platform) {
  return std::max(
      settings::kSilentLeastMs,
      static_cast<Ms>(static_cast<double>(heartbeat_ms(platform)) * settings::kSilentHeartbeats) +
          settings::kSilentSpareMs);
}

// The longest that a heartbeat's response is deferred.
inline Ms hold_ms(const settings::Platform& platform) {
  return std::clamp(
      static_cast<Ms>(static_cast<double>(heartbeat_ms(platform)) * settings::kHoldShare),
      settings::kHoldLeastMs, settings::kHoldMostMs);
}

}  // namespace hitchfront::core
