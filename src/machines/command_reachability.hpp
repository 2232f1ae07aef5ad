// Tracks whether commands reach a machine. docs/safety.md, "A machine that does not hear". Does no
// I/O: the time is passed in.
#pragma once
#include <cstdint>
#include <utility>

#include "core/effects.hpp"
#include "settings/constants.hpp"

namespace hitchfront::core {

// A machine whose heartbeats arrive may still not receive responses: its launches never appear, its
// fencing token stays behind, or its incarnation ends although its heartbeats were answered. This
// only guides placement and scaling; it is never taken as proof that a task is not on the machine.
class CommandReachability {
 public:
  // Records that this many responses in a row had no effect. Returns true if the machine has just
  // become unreachable.
  bool command_missed(Ms now, std::uint32_t responses = 1) {
    missed_responses_ += responses;
    if (unreachable_ || missed_responses_ < settings::kUnreachableMissedResponses) return false;
    unreachable_ = true;
    unreachable_since_ = now;
    next_probe_at_ = now + settings::kUnreachableProbeIntervalMs;
    return true;
  }
  // Records that a command had an effect. Returns true if the machine was unreachable until now.
  bool command_arrived() {
    missed_responses_ = 0;
    return std::exchange(unreachable_, false);
  }
  bool unreachable() const { return unreachable_; }
  Ms unreachable_since() const { return unreachable_since_; }
  bool has_missed_commands() const { return missed_responses_ > 0; }

  // An unreachable machine is probed with direct calls, one at a time.
  bool may_probe(Ms now) const { return unreachable_ && !probing_ && now >= next_probe_at_; }
  // Called when a probe is sent.
  void probe() { probing_ = true; }
  // Called with the result of a probe. Returns true if the machine was unreachable and is reachable
  // again. That it answers a direct call does not show that responses reach it: one more missed
  // response makes it unreachable again.
  bool probed(Ms now, bool answered) {
    probing_ = false;
    next_probe_at_ = now + settings::kUnreachableProbeIntervalMs;
    if (!answered) return false;
    const bool was_unreachable = command_arrived();
    missed_responses_ = settings::kUnreachableMissedResponses - 1;
    return was_unreachable;
  }

 private:
  std::uint32_t missed_responses_ = 0;  // in a row
  bool unreachable_ = false, probing_ = false;
  Ms unreachable_since_ = 0, next_probe_at_ = 0;
};

}  // namespace hitchfront::core
