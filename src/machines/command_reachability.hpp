// Two books that the leader keeps of each machine: whether what it is told reaches it, and which
// launches sent to it directly may still be carried out. docs/safety.md, "A machine that does not
// hear" and "Direct launches". No clock: time comes in.
#pragma once
#include <algorithm>
#include <cstdint>
#include <map>
#include <utility>

#include "core/effects.hpp"
#include "settings/constants.hpp"

namespace hitchfront::core {

// What it is told does not reach it, though its heartbeats arrive: launches that never show, a
// token that stays behind, an incarnation that ends though its heartbeats were answered. A hint for
// placement; no proof of absence hangs on it.
class CommandReachability {
 public:
  // Nothing came of so many answers in a row; true: it counts as unreachable from now on.
  bool command_missed(Ms now, std::uint32_t answers = 1) {
    unheard_ += answers;
    if (unreachable_ || unheard_ < settings::kUnreachableResponses) return false;
    unreachable_ = true;
    since_ = now;
    probe_at_ = now + settings::kUnreachableProbeMs;
    return true;
  }
  // Something came of it; true: it was unreachable until now.
  bool command_arrived() {
    unheard_ = 0;
    return std::exchange(unreachable_, false);
  }
  bool unreachable() const { return unreachable_; }
  Ms unreachable_since() const { return since_; }
  bool has_missed_commands() const { return unheard_ > 0; }

  // An unreachable machine is asked directly from time to time, once at a time.
  bool may_probe(Ms now) const { return unreachable_ && !probing_ && now >= probe_at_; }
  void probe() { probing_ = true; }
  // True: it answered, and was unreachable. A first launch shows whether answers reach it, too.
  bool probed(Ms now, bool answered) {
    probing_ = false;
    probe_at_ = now + settings::kUnreachableProbeMs;
    if (!answered) return false;
    const bool was = command_arrived();
    unheard_ = settings::kUnreachableResponses - 1;
    return was;
  }

 private:
  std::uint32_t unheard_ = 0;
  bool unreachable_ = false, probing_ = false;
  Ms since_ = 0, probe_at_ = 0;
};

// Attempts of a machine's incarnation whose direct launch may still be carried out: never cleared,
// nor replaced by another attempt of the same task, or it would start them again.
class InFlightLaunches {
 public:
  using TaskKey = std::pair<std::uint64_t, std::uint32_t>;  // job index, task
  void add(std::uint64_t attempt, TaskKey key) { launched_.emplace(attempt, key); }
  void resolve(std::uint64_t attempt) { launched_.erase(attempt); }
  void end_incarnation() { launched_.clear(); }
  bool empty() const { return launched_.empty(); }
  bool contains(std::uint64_t attempt) const { return launched_.contains(attempt); }
  bool of_task(TaskKey key) const {
    return std::any_of(launched_.begin(), launched_.end(),
                       [&](const auto& u) { return u.second == key; });
  }

 private:
  std::map<std::uint64_t, TaskKey> launched_;  // by attempt
};

}  // namespace hitchfront::core
