// Whether commands reach a machine. docs/safety.md, "A machine that does not hear". No clock: time
// comes in.
#pragma once
#include <cstdint>
#include <utility>

#include "core/effects.hpp"
#include "machines/in_flight_launches.hpp"
#include "settings/constants.hpp"

namespace hitchfront::core {

// A machine whose heartbeats arrive may not get what it is sent: launches never show, its fencing
// token stays behind, its incarnation ends though its heartbeats were answered. A hint for
// placement; no proof of absence depends on it.
class CommandReachability {
 public:
  // Nothing came of so many responses in a row; true: it counts as unreachable from now on.
  bool command_missed(Ms now, std::uint32_t responses = 1) {
    missed_ += responses;
    if (unreachable_ || missed_ < settings::kUnreachableMissedResponses) return false;
    unreachable_ = true;
    since_ = now;
    probe_at_ = now + settings::kUnreachableProbeIntervalMs;
    return true;
  }
  // A command had an effect; true: the machine was unreachable until now.
  bool command_arrived() {
    missed_ = 0;
    return std::exchange(unreachable_, false);
  }
  bool unreachable() const { return unreachable_; }
  Ms unreachable_since() const { return since_; }
  bool has_missed_commands() const { return missed_ > 0; }

  // An unreachable machine is asked directly from time to time, once at a time.
  bool may_probe(Ms now) const { return unreachable_ && !probing_ && now >= probe_at_; }
  void probe() { probing_ = true; }
  // True: it answered, and was unreachable. A first launch shows whether responses reach it, too.
  bool probed(Ms now, bool answered) {
    probing_ = false;
    probe_at_ = now + settings::kUnreachableProbeIntervalMs;
    if (!answered) return false;
    const bool was_unreachable = command_arrived();
    missed_ = settings::kUnreachableMissedResponses - 1;
    return was_unreachable;
  }

 private:
  std::uint32_t missed_ = 0;  // responses in a row
  bool unreachable_ = false, probing_ = false;
  Ms since_ = 0, probe_at_ = 0;
};

}  // namespace hitchfront::core
