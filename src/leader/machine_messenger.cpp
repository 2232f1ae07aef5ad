#include "leader/machine_messenger.hpp"

#include <algorithm>
#include <utility>

#include "core/timing.hpp"
#include "election/fencing_token.hpp"
#include "settings/constants.hpp"

namespace hitchfront::core {
using namespace settings;
using portfolio::Resources;
namespace {

void ignore_response(Ms, int, std::string_view) {}

}  // namespace

MachineMessenger::MachineMessenger(LeaderContext& context, LeaderState& state, TaskLifecycle& tasks,
                                   const AllocationRecorder& recorder)
    : context_(context),
      state_(state),
      tasks_(tasks),
      direct_launches_enabled_(recorder.enabled() &&
                               context.operator_settings.get("direct", {}) != 0) {}

MachineMessenger::Recipient MachineMessenger::recipient(const Machine& machine,
                                                        std::uint64_t request) {
  return {request, machine.name, machine.addr, machine.incarnation, machine.command_epoch};
}

// --- responses ---

void MachineMessenger::refuse_deferred(Machine& machine, const char* reason) {
  if (!machine.deferred_request) return;
  context_.outbox.reply(*machine.deferred_request, 503, wire::error_body(reason));
  machine.deferred_request.reset();
}

bool MachineMessenger::respond_if_needed(Ms now, Machine& machine, bool force) {
  if (!machine.deferred_request) return false;
  // Checked right before responding: once this leader's lease has expired, a successor may have
  // launched the worker's tasks elsewhere.
  if (!context_.can_act(now)) {
    refuse_deferred(machine, "no leader");
    return true;
  }
  auto response = build_response(now, machine);
  if (state_.machines.usable(now, machine) && response.renews_lease(now))
    for (const auto& command :
         dispatch_launches(now, machine, response.remaining_commands(), LaunchRoute::response))
      response.launch({command.job, command.task, command.attempt});
  if (response.empty() && !force) return false;
  const auto request = *machine.deferred_request;
  machine.deferred_request.reset();
  if (!respond(now, recipient(machine, request), response)) return true;
  machine.last_response_at = now;
  // The worker's lease counts from when it sent this heartbeat, which was before it arrived here.
  machine.lease_expires_at = std::max(
      machine.lease_expires_at, machine.deferred_since + max_worker_lease_ms(context_.platform));
  return true;
}

heartbeat::Response MachineMessenger::build_response(Ms now, Machine& machine) {
  heartbeat::Response response(kMaxCommandsPerResponse);
  for (const auto& status : machine.task_statuses)
    respond_to_listed(now, machine, status, response);
  if (!machine.stopping && machine.direct_launches.empty()) return response;
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
    // The worker must list a completion until it is stored, unless the job is cancelled.
    const bool may_forget = !known || status.cause != wire::Cause::done || job->cancelled ||
                            job->completion_stored[status.task];
    if (may_forget && machine.fence(status.attempt)) response.forget(attempt);
    return;
  }
  if (!known || job->cancelled || job->phase[status.task] == TaskPhase::done) {
    response.terminate(attempt, known && job->cancelled ? job->renew_until : INT64_MAX);
    return;
  }
  const auto it = machine.tasks.find({job->index, status.task});
  if (it == machine.tasks.end() || !it->second.stopping || status.state == wire::TaskState::saving)
    return;
  response.stop(attempt, it->second.grace_s);
  it->second.stop_sent_at = now;
}

// A placement that the heartbeat does not list, and whose launch may still reach the machine.
void MachineMessenger::respond_to_unlisted(Ms now, Machine& machine, Placement& placement,
                                           heartbeat::Response& response) {
  const auto& job = *placement.job;
  const bool from_current_term = election::is_attempt_of(context_.term, placement.attempt);
  const heartbeat::Attempt attempt{job.spec.id, placement.task,
                                   from_current_term ? placement.attempt : 0};
  if (from_current_term && placement.in_flight && machine.fence(placement.attempt)) {
    // The machine executes this response's commands or none, and refuses the direct launch once it
    // has executed them. The next heartbeat shows whether the attempt is there.
    if (!placement.stopping && job.active() && job.phase[placement.task] != TaskPhase::done)
      response.launch(attempt);
    placement.command_seq = machine.seq;
    return;
  }
  if (!job.cancelled) return;
  // Launched by an earlier leader, or by a direct command without a response: the launch may still
  // arrive. Any other launch arrived after this heartbeat was sent, and the machine knows it.
  if (!from_current_term || placement.in_flight)
    response.terminate_unlisted(now, attempt, job.renew_until);
  else
    response.terminate(attempt, job.renew_until);
  if (placement.in_flight) placement.command_seq = machine.seq;
}

bool MachineMessenger::respond(Ms now, const Recipient& recipient,
                               const heartbeat::Response& response) {
  const bool renews_lease = response.renews_lease(now);
  for (const auto& commands : response.direct_commands(renews_lease))
    if (!recipient.addr.empty())
      context_.outbox.call(build_command_call(recipient, commands), ignore_response);
  if (renews_lease) {
    const auto token = election::fencing_token(context_.term, recipient.epoch);
    context_.outbox.reply(recipient.request, 200,
                          wire::encode_heartbeat_response(token, response.commands()));
  } else {
    context_.log(Event::machine_lease_refused, recipient.machine);
    context_.metrics().add(telemetry::Count::lease_renewals_refused);
    context_.outbox.reply(recipient.request, 503,
                          wire::error_body("a task of a cancelled job can't be ended"));
  }
  return renews_lease;
}

// --- launches ---

std::vector<wire::Command> MachineMessenger::dispatch_launches(Ms now, Machine& machine,
                                                               std::size_t max_launches,
                                                               LaunchRoute route) {
  std::vector<wire::Command> commands;
  if (machine.assigned == 0) return commands;
  // Capacity that launched tasks leave, those being stopped included: an assignment may have to
  // wait until they have ended.
  Resources free_capacity = machine.capacity;
  for (const auto& [key, placement] : machine.tasks)
    if (placement.stage != PlacementStage::assigned)
      free_capacity.add(size_of(placement.job->spec), -1);
  for (auto& [key, placement] : machine.tasks) {
    if (commands.size() >= max_launches) break;
    const auto size = size_of(placement.job->spec);
    if (!size.fits(free_capacity)) continue;
    // Checked right before the launch: the job may have been cancelled since the assignment.
    if (placement.stage != PlacementStage::assigned || !placement.recorded ||
        !placement.job->active() || placement.task >= placement.job->launch_watermark)
      continue;
    launch(now, machine, placement);
    free_capacity.add(size, -1);
    commands.push_back(
        {wire::Command::Op::start, placement.job->spec.id, placement.task, placement.attempt, 0});
    context_.metrics().add(telemetry::Count::launches);
    context_.log(Event::task_launched, placement.job->spec.id, placement.task, machine.name,
                 placement.attempt, election::fencing_token(context_.term, machine.command_epoch),
                 route == LaunchRoute::direct ? "direct" : "response");
  }
  return commands;
}

void MachineMessenger::launch(Ms now, Machine& machine, Placement& placement) {
  placement.stage = PlacementStage::sent;
  --machine.assigned;
  placement.attempt = election::attempt_number(context_.term, next_attempt_++);
  placement.command_seq = machine.seq;
  placement.incarnation = machine.incarnation;
  placement.placed_at = now;
}

HttpCall MachineMessenger::build_command_call(const Recipient& recipient,
                                              const std::vector<wire::Command>& commands) const {
  HttpCall call;
  call.target = Target::worker;
  call.addr = recipient.addr;
  call.method = Method::post;
  call.path = "/commands";
  call.body = wire::direct_commands_body(election::fencing_token(context_.term, recipient.epoch),
                                         recipient.incarnation, commands);
  call.timeout_ms = kWorkerCallTimeoutMs;
  return call;
}

void MachineMessenger::launch_directly(Ms now, Machine& machine) {
  if (!direct_launches_enabled_ || machine.deferred_request || !machine.can_raise_epoch() ||
      machine.reachability.has_missed_commands() || machine.assigned == 0 || machine.addr.empty() ||
      !state_.machines.usable(now, machine) || !context_.can_act(now))
    return;
  if (machine.last_heartbeat_at + heartbeat_interval_ms(context_.platform) - now <
      kMinWaitForDirectLaunchMs)
    return;
  const auto commands =
      dispatch_launches(now, machine, kMaxCommandsPerResponse, LaunchRoute::direct);
  if (commands.empty()) return;
  auto launched = mark_in_flight(now, machine, commands);
  machine.direct_launch_pending = true;
  context_.metrics().add(telemetry::Count::direct_launches, static_cast<double>(commands.size()));
  context_.outbox.call(
      build_command_call(recipient(machine), commands),
      context_.guarded(
          [this, name = machine.name, incarnation = machine.incarnation,
           launched = std::move(launched)](Ms responded_at, int status, std::string_view body) {
            on_direct_launch_response(responded_at, name, incarnation, launched, status, body);
          }));
}

std::vector<MachineMessenger::DirectLaunch> MachineMessenger::mark_in_flight(
    Ms now, Machine& machine, const std::vector<wire::Command>& commands) {
  std::vector<DirectLaunch> launched;
  for (auto& [key, placement] : machine.tasks) {
    const auto launches_placement = [&placement = placement](const wire::Command& command) {
      return command.attempt == placement.attempt;
    };
    if (placement.stage != PlacementStage::sent ||
        std::none_of(commands.begin(), commands.end(), launches_placement))
      continue;
    PlacementLedger::set_in_flight(placement, true);
    machine.direct_launches.add(placement.attempt, {key, machine.command_epoch, now, 0});
    launched.push_back({key, placement.attempt});
  }
  return launched;
}

void MachineMessenger::on_direct_launch_response(Ms now, const std::string& name,
                                                 std::uint64_t incarnation,
                                                 const std::vector<DirectLaunch>& launched,
                                                 int status, std::string_view body) {
  auto* machine = state_.machines.find(name);
  if (machine == nullptr) return;
  machine->direct_launch_pending = false;
  if (machine->incarnation != incarnation) return;  // that incarnation's launches are void
  const auto heartbeat = status == 200 ? wire::parse_heartbeat(body) : std::nullopt;
  const bool refused = status == 409 || status == 400;
  if (!heartbeat && !refused) {
    // The machine may still execute the launches. The next heartbeat response repeats them.
    command_missed(now, *machine);
    return;
  }
  resolve_direct_launches(now, *machine, launched, heartbeat ? &*heartbeat : nullptr);
  if (machine->assigned > 0) launch_directly(now, *machine);
}

void MachineMessenger::resolve_direct_launches(Ms now, Machine& machine,
                                               const std::vector<DirectLaunch>& launched,
                                               const wire::Heartbeat* heartbeat) {
  for (const auto& [key, attempt] : launched) {
    if (heartbeat == nullptr)
      machine.direct_launches.refused(attempt);
    else
      machine.direct_launches.answered(now, attempt);
    const auto entry = machine.tasks.find(key);
    if (entry == machine.tasks.end() || entry->second.attempt != attempt ||
        entry->second.stage != PlacementStage::sent)
      continue;
    PlacementLedger::set_in_flight(entry->second, false);
    if (heartbeat == nullptr)
      tasks_.confirm_terminated(now, machine, key);
    else if (heartbeat->incarnation == machine.incarnation)
      entry->second.command_seq = heartbeat->seq;  // every later heartbeat lists the task
  }
}

// --- stops ---

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
    // A checkpoint in progress may complete, unless the job is cancelled.
    if (placement.stage == PlacementStage::saving && !placement.job->cancelled) continue;
    if (placement.stop_sent_at != 0 && now - placement.stop_sent_at < kStopRetryIntervalMs)
      continue;
    placement.stop_sent_at = now;
    commands.push_back({wire::Command::Op::stop, placement.job->spec.id, placement.task,
                        placement.attempt, placement.grace_s});
  }
  if (commands.empty()) return;
  // The next heartbeat shows the effect.
  context_.outbox.call(build_command_call(recipient(machine), commands), ignore_response);
}

// --- reachability ---

// An unreachable machine gets no new assignments, counts as missing, so that a replacement is
// rented, and is probed at an interval. Its tasks still count as running until they are proved to
// have ended, by the expiry of its lease or by a later heartbeat.
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
  context_.outbox.call(
      std::move(call),
      context_.guarded([this, name = machine.name](Ms responded_at, int status, std::string_view) {
        auto* probed = state_.machines.find(name);
        if (probed == nullptr) return;
        if (probed->reachability.probed(responded_at, status == 200))
          context_.log(Event::machine_reachable, name);
        if (status == 200) state_.placement_needed = true;
      }));
}

}  // namespace hitchfront::core
