// The response to a worker's heartbeat, and whether it may renew the worker's lease:
// docs/safety.md, "A leader that knows". Reads no clock: the caller passes the time.
#pragma once
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "wire/worker.hpp"

namespace hitchfront::heartbeat {

using Ms = std::int64_t;  // steady time in milliseconds

// An attempt of a task, as commands identify it.
struct Attempt {
  std::string job;
  std::uint32_t task = 0;
  std::uint64_t number = 0;  // 0: unknown, because an earlier leader launched it
};

// Collects the commands of the response to one heartbeat. A worker either executes all commands of
// a response and renews its lease, or does neither: a renewed lease never covers an attempt that
// the response terminates.
class Response {
 public:
  explicit Response(std::size_t max_commands) : max_commands_(max_commands) {}

  // Terminates an attempt at once, without time to save a checkpoint. Until `renewable_until` a
  // response may renew the lease of a machine on which the attempt keeps running; INT64_MAX: any
  // response may.
  void terminate(const Attempt& attempt, Ms renewable_until);
  // Terminates an attempt that the heartbeat does not list but whose launch may still reach the
  // machine. Before `renewable_until` the response, if it has room, launches and stops the attempt,
  // so that the machine knows it and a late launch has no effect. After that no task of a cancelled
  // job may be launched for any reason, and the response does not renew the lease.
  void terminate_unlisted(Ms now, const Attempt& attempt, Ms renewable_until);
  // Stops an attempt after `grace_s` seconds to save a checkpoint.
  void stop(const Attempt& attempt, double grace_s);
  // Lets the machine drop its record of an ended attempt.
  void forget(const Attempt& attempt);
  void launch(const Attempt& attempt);
  // Number of commands that can still be added.
  std::size_t remaining_commands() const;

  bool empty() const {
    return terminations_.empty() && other_commands_.empty() && launch_and_stop_pairs_.empty() &&
           !late_launch_possible_;
  }
  // Whether the response may renew the lease: not if an attempt that it leaves running, or whose
  // launch may still arrive, is past its `renewable_until`.
  bool renews_lease(Ms now) const;
  // In the order in which the worker executes them: terminations come first.
  std::vector<wire::Command> commands() const;
  // Batches of commands to send to the machine directly, which renews no lease: the terminations
  // that commands() has no room for, or all of them if the lease is not renewed. In that case there
  // is at least one batch, possibly empty, because it carries the fencing token.
  std::vector<std::vector<wire::Command>> direct_commands(bool lease_renewed) const;

 private:
  struct Termination {
    wire::Command command;
    Ms renewable_until = 0;
  };
  std::size_t max_commands_;
  std::vector<Termination> terminations_;
  std::vector<Attempt> launch_and_stop_pairs_;  // both commands of a pair are sent, or neither
  std::vector<wire::Command> other_commands_;
  // The launch of an attempt that is past its `renewable_until` may still reach the machine.
  bool late_launch_possible_ = false;
};

}  // namespace hitchfront::heartbeat
