// What several of the leader's concerns use.
#pragma once
#include <algorithm>
#include <cmath>
#include <string>

#include "leader/leader.hpp"
#include "settings/constants.hpp"

namespace hitchfront::core {

inline constexpr const char* kUnfinishedPrefix = "live/";
inline constexpr const char* kProgressPrefix = "prog/";

inline portfolio::Size size_of(const wire::Job& j) {
  return {j.cpus, j.gpus, j.memory_gb};
}

// Whose last two jobs predict the next: a team's jobs of one class. Averaged over all of a team's
// classes, as the design has it, a prediction mixes runs of 18 s with runs of 100 s.
inline std::string owner_of(const wire::Job& j) {
  return j.team + "/" + j.job_class;
}

inline telemetry::ServedShare::Who who(const JobState& job) {
  return {job.spec.job_class, job.spec.team, job.large};
}

// The longest that a worker's lease can last from an instant not before the sending of the
// heartbeat.
inline Ms lease_ms(const settings::Platform& p) {
  return static_cast<Ms>(std::ceil(p.lease_s * 1000 * (1 + 2 * settings::kDrift))) +
         settings::kLeaseMarginMs;
}

inline Ms heartbeat_ms(const settings::Platform& p) {
  return static_cast<Ms>(p.heartbeat_s * 1000);
}

// Silence after which a machine is not counted on. A constant of 4 s, right for heartbeats every 2
// s, made a sixth of the fleet unusable at any moment where they come every 5 s, and took back
// assignments just before they could be launched.
inline Ms silent_ms(const settings::Platform& p) {
  return std::max(settings::kSilentLeastMs, static_cast<Ms>(static_cast<double>(heartbeat_ms(p)) *
                                                            settings::kSilentHeartbeats) +
                                                settings::kSilentSpareMs);
}

// Tasks on one machine past which nothing more is placed there.
inline std::size_t machine_tasks_most(const settings::Platform& p) {
  const auto free_capacity = static_cast<std::size_t>(static_cast<double>(p.store.value_bytes()) *
                                                      settings::kAllocationChunkShare);
  return std::min(settings::kMachineTasksMost, free_capacity / settings::kAllocationTaskBytes);
}

inline Ms hold_ms(const settings::Platform& p) {
  return std::clamp(static_cast<Ms>(static_cast<double>(heartbeat_ms(p)) * settings::kHoldShare),
                    settings::kHoldLeastMs, settings::kHoldMostMs);
}

}  // namespace hitchfront::core
