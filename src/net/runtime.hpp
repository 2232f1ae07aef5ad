// Runs a controller on an event loop: connects the core to clocks, sockets and the log.
#pragma once
#include "settings/operator_settings.hpp"
#include "settings/platform.hpp"

namespace hitchfront::net {

// Serves until the process is killed. Returns an exit status if startup or the event loop fails.
int serve(const settings::Platform& platform, const settings::OperatorSettings& operator_settings);

}  // namespace hitchfront::net
