// Durations derived from the platform's settings, in milliseconds of the steady clock.
#pragma once
#include <algorithm>
#include <cmath>

#include "core/effects.hpp"
#include "settings/constants.hpp"
#include "settings/platform.hpp"

namespace hitchfront::core {

// Upper bound on a worker's lease by a controller's clock, with drift and margin. Counted from any
// instant not before the heartbeat was sent: when it has passed, the lease has certainly expired.
inline Ms max_worker_lease_ms(const settings::Platform& platform) {
  return static_cast<Ms>(
             std::ceil(platform.lease_s * 1000 * (1 + 2 * settings::kMaxClockDriftShare))) +
         settings::kLeaseExpiryMarginMs;
}

inline Ms heartbeat_interval_ms(const settings::Platform& platform) {
  return static_cast<Ms>(platform.heartbeat_s * 1000);
}

// Time without a heartbeat after which a machine gets no new assignments. Scales with the heartbeat
// interval, so that a healthy machine stays usable between two heartbeats.
inline Ms silence_timeout_ms(const settings::Platform& platform) {
  return std::max(settings::kMinSilenceTimeoutMs,
                  static_cast<Ms>(static_cast<double>(heartbeat_interval_ms(platform)) *
                                  settings::kSilenceTimeoutHeartbeats) +
                      settings::kSilenceTimeoutMarginMs);
}

// Upper bound on how long the response to a heartbeat is deferred.
inline Ms max_response_deferral_ms(const settings::Platform& platform) {
  return std::clamp(static_cast<Ms>(static_cast<double>(heartbeat_interval_ms(platform)) *
                                    settings::kResponseDeferralShare),
                    settings::kMinResponseDeferralMs, settings::kMaxResponseDeferralMs);
}

}  // namespace hitchfront::core
