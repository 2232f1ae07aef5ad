// Drives the core: clocks, sockets and replay slices.
#pragma once
#include "settings/operator_settings.hpp"
#include "settings/platform.hpp"

namespace hitchfront::net {

// Serves until the process is killed. Returns an exit status if it can't start.
int serve(const settings::Platform& platform, const settings::OperatorSettings& op);

}  // namespace hitchfront::net
