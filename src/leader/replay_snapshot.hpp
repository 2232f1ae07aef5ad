// The queue and the fleet as the portfolio replays them.
#pragma once
#include "autoscaling/scale_out_queue.hpp"
#include "leader/leader_state.hpp"
#include "portfolio/replay.hpp"
#include "settings/platform.hpp"

namespace hitchfront::core {

// Machines that one round of cloud calls may ask for of each offer.
std::uint32_t scale_out_calls(const settings::Platform& platform);

// Also brings JobState::within_guarantee up to date.
portfolio::Snapshot replay_snapshot(Ms now, LeaderState& state, const ScaleOutQueue& requested,
                                    const settings::Platform& platform);

}  // namespace hitchfront::core
