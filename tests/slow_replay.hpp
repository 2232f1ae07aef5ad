#pragma once
#include "portfolio/replay.hpp"

namespace hitchfront::portfolio {

Outcome slow_replay(const Snapshot& snapshot, const Policy& policy, const PolicyParams& params);

}  // namespace hitchfront::portfolio
