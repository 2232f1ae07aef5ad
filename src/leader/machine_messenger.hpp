// What the leader says to machines: responses to their heartbeats, which renew their leases, and
// commands sent to them directly, which don't.
#pragma once
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "heartbeat/response.hpp"
#include "leader/leader_context.hpp"
#include "leader/leader_state.hpp"
#include "leader/task_lifecycle.hpp"
#include "wire/worker.hpp"

namespace hitchfront::core {

class MachineMessenger {
 public:
  MachineMessenger(LeaderContext& context, LeaderState& state, TaskLifecycle& tasks,
                   const AllocationRecorder& recorder);

  // Responds to the deferred heartbeat, if there is one; without `force` only when there is
  // something to say. True: it was responded to, or refused.
  bool respond_if_needed(Ms now, Machine& machine, bool force);
  // The response to the newest heartbeat, launches aside.
  heartbeat::Response build_response(Ms now, Machine& machine);
  // To whom a response goes.
  struct Recipient {
    std::uint64_t request = 0;
    std::string machine, addr;
    std::uint64_t incarnation = 0;
  };
  // The one place from which a lease is renewed. What the response can't end goes to the machine
  // itself. False: the response would have left something going on past its time, and the heartbeat
  // was refused.
  bool respond(Ms now, const Recipient& recipient, const heartbeat::Response& response);
  // Refuses a heartbeat that is deferred.
  void refuse_held(Machine& machine, const char* reason);

  // Placements are to be stopped: said in the deferred response, or by a command.
  void deliver_stops(Ms now, Machine& machine);
  void stop_directly(Ms now, Machine& machine);
  // Where the next heartbeat is seconds away, a launch that is recorded goes to the machine itself.
  // It may be carried out late, as long as token and incarnation are the same: docs/safety.md,
  // "Direct launches", says why that breaks nothing.
  void launch_directly(Ms now, Machine& machine);

  // Nothing came of so many responses or commands; or something did.
  void command_missed(Ms now, Machine& machine, std::uint32_t times = 1);
  void command_arrived(Machine& machine);
  // Asks an unreachable machine from time to time whether it can be reached again.
  void probe(Ms now, Machine& machine);

 private:
  struct DirectLaunch {
    TaskKey key;
    std::uint64_t attempt = 0;
  };
  void respond_to_listed(Ms now, Machine& machine, const wire::TaskStatus& status,
                         heartbeat::Response& response);
  void respond_to_unlisted(Ms now, Machine& machine, Placement& placement,
                           heartbeat::Response& response);
  std::vector<wire::Command> take_launches(Ms now, Machine& machine, std::size_t most);
  void launch(Ms now, Machine& machine, Placement& placement);
  std::vector<DirectLaunch> mark_in_flight(Machine& machine,
                                           const std::vector<wire::Command>& commands);
  void on_direct_answer(Ms now, const std::string& name, std::uint64_t incarnation,
                        const std::vector<DirectLaunch>& launched, int status,
                        std::string_view body);
  HttpCall command_call(const std::string& addr, std::uint64_t incarnation,
                        const std::vector<wire::Command>& commands) const;
  bool is_ours(std::uint64_t attempt) const;

  LeaderContext& context_;
  LeaderState& state_;
  TaskLifecycle& tasks_;
  const bool direct_launches_;  // the operators may switch them off
  std::uint64_t next_attempt_ = 1;
};

}  // namespace hitchfront::core
