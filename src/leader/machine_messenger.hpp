// Messages from the leader to machines: responses to heartbeats, which renew the machines' leases,
// and commands sent directly, which do not.
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

  // Sends the deferred response, if there is one; without `force` only if it is not empty.
  // Returns whether the heartbeat was responded to or refused.
  bool respond_if_needed(Ms now, Machine& machine, bool force);
  // Builds the response to the newest heartbeat, without new launches.
  heartbeat::Response build_response(Ms now, Machine& machine);
  // The addressee of a response or command: the machine, and the request to reply to.
  struct Recipient {
    std::uint64_t request = 0;  // 0 for a command
    std::string machine, addr;
    std::uint64_t incarnation = 0;
    CommandEpoch epoch = 0;
  };
  static Recipient recipient(const Machine& machine, std::uint64_t request = 0);
  // Replies to a heartbeat; the only function that renews a worker's lease. Terminations that the
  // response has no room for are sent to the machine directly. Returns false if the heartbeat was
  // refused, because with its lease renewed a task of a cancelled job could run for too long.
  bool respond(Ms now, const Recipient& recipient, const heartbeat::Response& response);
  // Refuses the heartbeat whose response is deferred, if there is one.
  void refuse_deferred(Machine& machine, const char* reason);

  // Stops the placements that are marked as stopping, by the deferred response if there is one,
  // else directly.
  void deliver_stops(Ms now, Machine& machine);
  // Sends stop commands to the machine. Called repeatedly: a command is sent again at an interval
  // until its task has ended.
  void stop_directly(Ms now, Machine& machine);
  // Sends recorded launches to the machine without waiting for its next heartbeat, if that is not
  // due soon. The machine may execute them late and several times, as long as its fencing token and
  // incarnation are unchanged: docs/safety.md, "Direct launches", says why that is safe.
  void launch_directly(Ms now, Machine& machine);

  // Record whether the machine receives responses and commands: `times` in a row had no effect, or
  // one had an effect.
  void command_missed(Ms now, Machine& machine, std::uint32_t times = 1);
  void command_arrived(Machine& machine);
  // Checks at an interval whether an unreachable machine can be reached again.
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
  // How launch commands are sent: in the response to a heartbeat, or to the machine directly.
  enum class LaunchRoute : std::uint8_t { response, direct };
  // Marks the assignments that may be launched now as sent, and returns their launch commands.
  std::vector<wire::Command> dispatch_launches(Ms now, Machine& machine, std::size_t max_launches,
                                               LaunchRoute route);
  void launch(Ms now, Machine& machine, Placement& placement);
  // Marks the placements of direct launch commands as in flight.
  std::vector<DirectLaunch> mark_in_flight(Ms now, Machine& machine,
                                           const std::vector<wire::Command>& commands);
  void on_direct_launch_response(Ms now, const std::string& name, std::uint64_t incarnation,
                                 const std::vector<DirectLaunch>& launched, int status,
                                 std::string_view body);
  // Handles the attempts of an answered direct launch. `heartbeat`: null if it was refused.
  void resolve_direct_launches(Ms now, Machine& machine, const std::vector<DirectLaunch>& launched,
                               const wire::Heartbeat* heartbeat);
  HttpCall build_command_call(const Recipient& recipient,
                              const std::vector<wire::Command>& commands) const;

  LeaderContext& context_;
  LeaderState& state_;
  TaskLifecycle& tasks_;
  const bool direct_launches_enabled_;
  std::uint64_t next_attempt_ = 1;
};

}  // namespace hitchfront::core
