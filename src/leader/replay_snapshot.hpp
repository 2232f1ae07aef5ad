// The snapshot of the queue and the fleet that the portfolio's replay starts from.
#pragma once
#include "autoscaling/scale_out_queue.hpp"
#include "leader/leader_state.hpp"
#include "portfolio/replay.hpp"
#include "settings/platform.hpp"

namespace hitchfront::core {

// Scale-out requests that may be sent in one round of cloud calls.
std::uint32_t scale_out_calls_per_round(const settings::Platform& platform);

// Takes the snapshot. Machines that have been requested but not yet confirmed by the cloud count as
// booting. Also updates JobState::within_guarantee.
portfolio::Snapshot replay_snapshot(Ms now, LeaderState& state,
                                    const ScaleOutQueue& scale_out_requests,
                                    const settings::Platform& platform);

}  // namespace hitchfront::core
