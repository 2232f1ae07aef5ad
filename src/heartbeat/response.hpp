// What a worker's heartbeat is answered with, and whether the answer may renew the worker's lease:
// docs/safety.md, "A leader that knows". Pure: time comes in.
#pragma once
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "wire/worker.hpp"

namespace hitchfront::heartbeat {

using Ms = std::int64_t;  // steady time in milliseconds

// An attempt of a task as commands name it.
struct Attempt {
  std::string job;
  std::uint32_t task = 0;
  std::uint64_t number = 0;  // 0: not known, as of what an earlier leader launched
};

// The answer to one heartbeat. A worker that takes it carries out its commands and renews its
// lease, or neither: what the answer ends can't outlive it.
class Response {
 public:
  // `most`: commands that an answer may hold.
  explicit Response(std::size_t most) : most_(most) {}

  // An attempt that is to end at once. `until`: up to this instant an answer may renew the lease of
  // a machine on which it goes on; INT64_MAX: any may.
  void end(const Attempt& a, Ms until);
  // The same of an attempt which the heartbeat does not list, and whose launch may still come to
  // the machine. Up to `until` it is launched once more and ended, so that the machine knows it and
  // the late launch starts nothing. After that nothing of a cancelled job is launched, whatever
  // for: such an answer renews no lease.
  void end_unlisted(Ms now, const Attempt& a, Ms until);
  // An attempt that may save for so many seconds.
  void stop(const Attempt& a, double grace_s);
  void clear(const Attempt& a);
  void launch(const Attempt& a);
  // Commands that can still be added.
  std::size_t remaining_commands() const;

  bool empty() const { return ends_.empty() && others_.empty() && pairs_.empty() && !may_come_; }
  // Whether a lease may be renewed by it: not where it leaves something going on past its time.
  bool renews_lease(Ms now) const;
  // The commands, in the order in which they are carried out: what has to end comes first.
  std::vector<wire::Command> commands() const;
  // What has to end and is not among these, or all that has to end, by so many in a message: for a
  // command to the machine itself, which renews no lease. Where nothing can be named a message
  // without commands tells the token.
  std::vector<std::vector<wire::Command>> direct(bool renewed) const;

 private:
  struct End {
    wire::Command command;
    Ms until = 0;
  };
  std::size_t most_;
  std::vector<End> ends_;
  std::vector<Attempt> pairs_;  // launched and stopped, whole or not at all
  std::vector<wire::Command> others_;
  bool may_come_ =
      false;  // something that can't be ended by this answer may still come, past its time
};

}  // namespace hitchfront::heartbeat
