#include "leader/machine_messenger.hpp"

#include <algorithm>
#include <utility>

#include "core/timing.hpp"
#include "settings/constants.hpp"

namespace hitchfront::core {
using namespace settings;
using portfolio::Size;
namespace {

void ignore_answer(Ms, int, std::string_view) {}

}  // namespace

MachineMessenger::MachineMessenger(LeaderContext& context, LeaderState& state, TaskLifecycle& tasks,
                                   const AllocationRecorder& recorder)
    : context_(context),
      state_(state),
      tasks_(tasks),
      direct_launches_(recorder.enabled() && context.operator_settings.get("direct", {}) != 0) {}

bool MachineMessenger::is_ours(std::uint64_t attempt) const {
  return attempt >> kAttemptSequenceBits == context_.term;
}

// ---- responses ----------------------------------------------------------------------------------

void MachineMessenger::refuse_held(Machine& machine, const char* reason) {
  if (!machine.deferred_request) return;
  context_.out.reply(*machine.deferred_request, 503, wire::error_body(reason));
  machine.deferred_request.reset();
}

bool MachineMessenger::respond_if_needed(Ms now, Machine& machine, bool force) {
  if (!machine.deferred_request) return false;
  // Right before the response: past our lease another leader may have told the worker's tasks to
  // run elsewhere.
  if (!context_.can_act(now)) {
    refuse_held(machine, "no leader");
    return true;
  }
  auto response = build_response(now, machine);
  if (state_.machines.usable(now, machine) && response.renews_lease(now))
    for (const auto& command : take_launches(now, machine, response.remaining_commands()))
      response.launch({command.job, command.task, command.attempt});
  if (response.empty() && !force) return false;
  const auto request = *machine.deferred_request;
  machine.deferred_request.reset();
  if (!respond(now, {request, machine.name, machine.addr, machine.incarnation}, response))
    return true;
  machine.last_response_at = now;
  // The worker counts its lease from when it sent this heartbeat, which was before we received it.
  machine.lease_expires_at = std::max(
      machine.lease_expires_at, machine.deferred_since + max_worker_lease_ms(context_.platform));
  return true;
}

heartbeat::Response MachineMessenger::build_response(Ms now, Machine& machine) {
  heartbeat::Response response(kMaxCommandsPerResponse);
  for (const auto& status : machine.task_statuses)
    respond_to_listed(now, machine, status, response);
  if (!machine.stopping && machine.in_flight.empty()) return response;
  for (auto& [key, placement] : machine.tasks)
    if (placement.stage != PlacementStage::assigned &&
        placement.last_listing != machine.last_listing)
      respond_to_unlisted(now, machine, placement, response);
  return response;
}

void MachineMessenger::respond_to_listed(Ms now, Machine& machine, const wire::TaskStatus& status,
                                         heartbeat::Response& response) {
  const heartbeat::Attempt attempt{status.job, status.task, status.attempt};
  auto* job = state_.jobs.find(status.job);
  const bool known = job != nullptr && status.task < job->spec.tasks;
  if (status.state == wire::TaskState::ended) {
    // A completion is stored before the worker may forget it, unless its job is cancelled.
    const bool may_forget = !known || status.cause != wire::Cause::done || job->cancelled ||
                            job->completion_stored[status.task];
    if (!machine.in_flight.contains(status.attempt) && may_forget) response.clear(attempt);
    return;
  }
  if (!known || job->cancelled || job->phase[status.task] == TaskPhase::done) {
    response.end(attempt, known && job->cancelled ? job->renew_until : INT64_MAX);
    return;
  }
  const auto it = machine.tasks.find({job->index, status.task});
  if (it == machine.tasks.end() || !it->second.stopping || status.state == wire::TaskState::saving)
    return;
  response.stop(attempt, it->second.grace_s);
  it->second.stop_sent_at = now;
}

// What the heartbeat does not list and may come to the machine yet.
void MachineMessenger::respond_to_unlisted(Ms now, Machine& machine, Placement& placement,
                                           heartbeat::Response& response) {
  const auto& job = *placement.job;
  const bool ours = is_ours(placement.attempt);
  const heartbeat::Attempt attempt{job.spec.id, placement.task, ours ? placement.attempt : 0};
  if (job.cancelled) {
    // Launched by an earlier leader, or by a command to the machine without an answer: it may come
    // yet. Else it came after this heartbeat was sent, and is known there.
    if (!ours || placement.in_flight)
      response.end_unlisted(now, attempt, job.renew_until);
    else
      response.end(attempt, job.renew_until);
    if (placement.in_flight) placement.command_seq = machine.seq;
    return;
  }
  if (!placement.in_flight || !ours || machine.direct_launch_pending ||
      response.remaining_commands() < 2)
    return;
  // A direct launch that was not answered, and does not show: the same attempt once more, which has
  // no effect where it was carried out meanwhile.
  if (placement.stopping || !job.active() || job.phase[placement.task] == TaskPhase::done)
    response.end_unlisted(now, attempt, INT64_MAX);
  else
    response.launch(attempt);
  placement.command_seq = machine.seq;
}

bool MachineMessenger::respond(Ms now, const Recipient& recipient,
                               const heartbeat::Response& response) {
  const bool renews_lease = response.renews_lease(now);
  for (const auto& commands : response.direct(renews_lease))
    if (!recipient.addr.empty())
      context_.out.call(command_call(recipient.addr, recipient.incarnation, commands),
                        ignore_answer);
  if (renews_lease) {
    context_.out.reply(recipient.request, 200,
                       wire::encode_heartbeat_response(context_.term, response.commands()));
  } else {
    context_.log(Event::machine_lease_refused, recipient.machine);
    context_.metrics().add(telemetry::Count::lease_renewals_refused);
    context_.out.reply(recipient.request, 503,
                       wire::error_body("a task of a cancelled job can't be ended"));
  }
  return renews_lease;
}

// ---- launches -----------------------------------------------------------------------------------

// The launches that may go out now; marked as sent.
std::vector<wire::Command> MachineMessenger::take_launches(Ms now, Machine& machine,
                                                           std::size_t most) {
  std::vector<wire::Command> commands;
  if (machine.assigned == 0) return commands;
  // Capacity as it is, tasks being stopped included: an assignment may be waiting for them to go.
  Size free_capacity = machine.capacity;
  for (const auto& [key, placement] : machine.tasks)
    if (placement.stage != PlacementStage::assigned)
      free_capacity.add(size_of(placement.job->spec), -1);
  for (auto& [key, placement] : machine.tasks) {
    if (commands.size() >= most) break;
    const auto size = size_of(placement.job->spec);
    if (!size.fits(free_capacity)) continue;
    // Dropped as late as possible: a job cancelled meanwhile starts nothing.
    if (placement.stage != PlacementStage::assigned || !placement.recorded ||
        !placement.job->active() || placement.task >= placement.job->launch_watermark)
      continue;
    launch(now, machine, placement);
    free_capacity.add(size, -1);
    commands.push_back(
        {wire::Command::Op::start, placement.job->spec.id, placement.task, placement.attempt, 0});
    context_.metrics().add(telemetry::Count::launches);
  }
  return commands;
}

void MachineMessenger::launch(Ms now, Machine& machine, Placement& placement) {
  placement.stage = PlacementStage::sent;
  --machine.assigned;
  placement.attempt = (context_.term << kAttemptSequenceBits) | next_attempt_++;
  placement.command_seq = machine.seq;
  placement.incarnation = machine.incarnation;
  placement.placed_at = now;
}

HttpCall MachineMessenger::command_call(const std::string& addr, std::uint64_t incarnation,
                                        const std::vector<wire::Command>& commands) const {
  HttpCall call;
  call.target = Target::worker;
  call.addr = addr;
  call.method = Method::post;
  call.path = "/commands";
  call.body = wire::direct_commands(context_.term, incarnation, commands);
  call.timeout_ms = kWorkerCallTimeoutMs;
  return call;
}

void MachineMessenger::launch_directly(Ms now, Machine& machine) {
  if (!direct_launches_ || machine.deferred_request || machine.direct_launch_pending ||
      machine.reachability.has_missed_commands() || machine.assigned == 0 || machine.addr.empty() ||
      !state_.machines.usable(now, machine) || !context_.can_act(now))
    return;
  if (machine.last_heartbeat_at + heartbeat_interval_ms(context_.platform) - now <
      kMinWaitForDirectLaunchMs)
    return;
  const auto commands = take_launches(now, machine, kMaxCommandsPerResponse);
  if (commands.empty()) return;
  auto launched = mark_in_flight(machine, commands);
  machine.direct_launch_pending = true;
  context_.metrics().add(telemetry::Count::direct_launches, static_cast<double>(commands.size()));
  context_.out.call(
      command_call(machine.addr, machine.incarnation, commands),
      context_.guarded([this, name = machine.name, incarnation = machine.incarnation,
                        launched = std::move(launched)](Ms t, int status, std::string_view body) {
        on_direct_answer(t, name, incarnation, launched, status, body);
      }));
}

std::vector<MachineMessenger::DirectLaunch> MachineMessenger::mark_in_flight(
    Machine& machine, const std::vector<wire::Command>& commands) {
  std::vector<DirectLaunch> launched;
  for (auto& [key, placement] : machine.tasks) {
    const auto is_its = [&placement = placement](const wire::Command& command) {
      return command.attempt == placement.attempt;
    };
    if (placement.stage != PlacementStage::sent ||
        std::none_of(commands.begin(), commands.end(), is_its))
      continue;
    PlacementLedger::set_in_flight(placement, true);
    machine.in_flight.add(placement.attempt, key);
    launched.push_back({key, placement.attempt});
  }
  return launched;
}

void MachineMessenger::on_direct_answer(Ms now, const std::string& name, std::uint64_t incarnation,
                                        const std::vector<DirectLaunch>& launched, int status,
                                        std::string_view body) {
  auto* machine = state_.machines.find(name);
  if (machine == nullptr) return;
  machine->direct_launch_pending = false;
  if (machine->incarnation != incarnation) return;  // nothing of it is left, nor will be
  const auto heartbeat = status == 200 ? wire::parse_heartbeat(body) : std::nullopt;
  const bool refused = status == 409 || status == 400;
  if (!heartbeat && !refused) {
    // It may be carried out yet. The next response says it again.
    command_missed(now, *machine);
    return;
  }
  for (const auto& [key, attempt] : launched) {
    machine->in_flight.resolve(attempt);
    const auto it = machine->tasks.find(key);
    if (it == machine->tasks.end() || it->second.attempt != attempt ||
        it->second.stage != PlacementStage::sent)
      continue;
    PlacementLedger::set_in_flight(it->second, false);
    if (refused)
      tasks_.confirm_terminated(now, *machine, key);
    else if (heartbeat->incarnation == incarnation)
      it->second.command_seq = heartbeat->seq;  // what was sent after this one lists it
  }
  if (machine->assigned > 0) launch_directly(now, *machine);
}

// ---- stops --------------------------------------------------------------------------------------

void MachineMessenger::deliver_stops(Ms now, Machine& machine) {
  if (!respond_if_needed(now, machine, false)) stop_directly(now, machine);
}

void MachineMessenger::stop_directly(Ms now, Machine& machine) {
  if (machine.addr.empty() || !context_.can_act(now)) return;
  std::vector<wire::Command> commands;
  machine.stopping = false;
  for (auto& [key, placement] : machine.tasks) {
    if (!placement.stopping || placement.stage == PlacementStage::assigned) continue;
    machine.stopping = true;
    // Nobody has any use for what a cancelled one saves.
    if (placement.stage == PlacementStage::saving && !placement.job->cancelled) continue;
    if (placement.stop_sent_at != 0 && now - placement.stop_sent_at < kStopRetryIntervalMs)
      continue;
    placement.stop_sent_at = now;
    commands.push_back({wire::Command::Op::stop, placement.job->spec.id, placement.task,
                        placement.attempt, placement.grace_s});
  }
  if (commands.empty()) return;
  // What comes of it shows in the worker's next heartbeat.
  context_.out.call(command_call(machine.addr, machine.incarnation, commands), ignore_answer);
}

// ---- reachability -------------------------------------------------------------------------------

// An unreachable machine gets nothing more, counts as missing, so that what replaces it is rented,
// and is asked directly from time to time whether it can be reached again. Its tasks count as there
// until they are proved gone, like anybody's: a lease that no response renews is over by itself,
// and its next heartbeat tells.
void MachineMessenger::command_missed(Ms now, Machine& machine, std::uint32_t times) {
  if (machine.reachability.command_missed(now, times))
    context_.log(Event::machine_unreachable, machine.name, machine.tasks.size());
}

void MachineMessenger::command_arrived(Machine& machine) {
  if (machine.reachability.command_arrived()) context_.log(Event::machine_reachable, machine.name);
}

void MachineMessenger::probe(Ms now, Machine& machine) {
  if (!machine.reachability.may_probe(now) || machine.addr.empty() || !context_.can_act(now))
    return;
  machine.reachability.probe();
  HttpCall call;
  call.target = Target::worker;
  call.addr = machine.addr;
  call.path = "/status";
  call.timeout_ms = kWorkerCallTimeoutMs;
  context_.out.call(std::move(call), context_.guarded([this, name = machine.name](
                                                          Ms t, int status, std::string_view) {
    auto* probed = state_.machines.find(name);
    if (probed == nullptr) return;
    if (probed->reachability.probed(t, status == 200)) context_.log(Event::machine_reachable, name);
    if (status == 200) state_.placement_needed = true;
  }));
}

}  // namespace hitchfront::core
