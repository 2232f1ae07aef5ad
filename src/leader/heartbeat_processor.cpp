#include "leader/heartbeat_processor.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

#include "core/timing.hpp"
#include "election/fencing_token.hpp"
#include "settings/constants.hpp"

namespace hitchfront::core {
using namespace settings;
namespace {

PlacementStage stage_of(wire::TaskState state) {
  return state == wire::TaskState::fetching ? PlacementStage::fetching
         : state == wire::TaskState::saving ? PlacementStage::saving
                                            : PlacementStage::running;
}

}  // namespace

void HeartbeatProcessor::process(Ms now, std::uint64_t request, wire::Heartbeat heartbeat,
                                 HeartbeatRoute route) {
  const auto refuse = [&](const char* reason) {
    context_.outbox.reply(request, 503, wire::error_body(reason));
  };
  if (!context_.can_act(now)) return refuse("no leader");
  record_route(now, heartbeat, route);
  if (state_.machines.was_returned(heartbeat.machine)) return refuse("machine returned");
  if (!state_.loaded) return respond_before_loading(now, request, heartbeat);
  auto* machine = find_or_register(now, heartbeat);
  if (machine == nullptr) return refuse("machine type not known yet");
  if (is_retransmission(*machine, heartbeat, route))
    return respond_to_retransmission(now, request, *machine);
  if (const char* reason = refusal_reason(*machine, heartbeat)) return refuse(reason);

  messenger_.refuse_deferred(*machine, "superseded");
  if (heartbeat.incarnation > machine->incarnation && machine->incarnation != 0)
    begin_incarnation(now, *machine, heartbeat.incarnation);
  update_machine(now, *machine, heartbeat);
  if (heartbeat.notice_s && machine->termination_at == 0)
    process_termination_notice(now, *machine, *heartbeat.notice_s);
  process_tasks(now, *machine, heartbeat);
  machine->task_statuses = std::move(heartbeat.tasks);
  machine->deferred_request = request;
  machine->deferred_since = now;
  state_.placement_needed = true;
  listener_.on_heartbeat_processed(now);
  // A scheduling pass may have sent the response already.
  if (machine->deferred_request) defer_or_respond(now, *machine, route);
}

void HeartbeatProcessor::record_route(Ms now, const wire::Heartbeat& heartbeat,
                                      HeartbeatRoute route) {
  context_.metrics().add(telemetry::Count::heartbeats, route);
  if (route == HeartbeatRoute::direct)
    last_direct_ = now;
  else if (heartbeat.zone == context_.platform.zone)
    last_relayed_ = now;
}

// Renews the worker's lease while the stored state is not loaded yet. The worker's tasks stay
// unknown until its next heartbeat and may run until the renewed lease expires, so reconciliation
// has to last as long.
void HeartbeatProcessor::respond_before_loading(Ms now, std::uint64_t request,
                                                const wire::Heartbeat& heartbeat) {
  reconciliation_.extend_to(now + max_worker_lease_ms(context_.platform));
  // Cancellations are known before loading, and the renewed lease must not keep cancelled tasks
  // running. The time at which a cancellation was acknowledged is not known here, so the lease is
  // renewed only if the response terminates all of these tasks.
  heartbeat::Response response(kMaxCommandsPerResponse);
  for (const auto& status : heartbeat.tasks) {
    const auto* job = state_.jobs.find(status.job);
    const bool cancelled =
        job != nullptr ? job->cancelled : context_.environment.is_cancelled(status.job);
    if (cancelled && status.state != wire::TaskState::ended)
      response.terminate({status.job, status.task, status.attempt}, 0);
  }
  // No machine has an epoch above 0 yet.
  messenger_.respond(now, {request, heartbeat.machine, heartbeat.addr, heartbeat.incarnation, 0},
                     response);
}

bool HeartbeatProcessor::is_from_current_term(const wire::Heartbeat& heartbeat) const {
  return election::is_token_of(context_.term, heartbeat.fencing_token);
}

Machine* HeartbeatProcessor::find_or_register(Ms now, const wire::Heartbeat& heartbeat) {
  if (auto* known = state_.machines.find(heartbeat.machine)) return known;
  auto* machine =
      registry_.add(now, heartbeat.machine, heartbeat.type, heartbeat.zone, heartbeat.spot);
  if (machine == nullptr) return nullptr;
  machine->billed_since = now;
  context_.log(Event::machine_registered, heartbeat.machine,
               state_.catalog.describe(machine->type, machine->zone, heartbeat.spot),
               heartbeat.incarnation);
  return machine;
}

// Whether this is another copy of the machine's newest heartbeat, relayed through the store because
// the worker did not receive the response to the first copy.
bool HeartbeatProcessor::is_retransmission(const Machine& machine, const wire::Heartbeat& heartbeat,
                                           HeartbeatRoute route) {
  return route == HeartbeatRoute::store && heartbeat.incarnation == machine.incarnation &&
         heartbeat.seq == machine.seq && !machine.lost &&
         machine.expired_incarnation < heartbeat.incarnation;
}

// This response renews the lease like the first one, so it has to contain the terminations again. A
// launch in the lost response is absent from the next heartbeat.
void HeartbeatProcessor::respond_to_retransmission(Ms now, std::uint64_t request,
                                                   Machine& machine) {
  const auto response = messenger_.build_response(now, machine);
  if (messenger_.respond(now, MachineMessenger::recipient(machine, request), response))
    machine.lease_expires_at =
        std::max(machine.lease_expires_at,
                 machine.last_heartbeat_at + max_worker_lease_ms(context_.platform));
}

const char* HeartbeatProcessor::refusal_reason(const Machine& machine,
                                               const wire::Heartbeat& heartbeat) {
  // Delayed in the network: the task list is out of date, and the worker no longer waits for the
  // response.
  if (heartbeat.incarnation < machine.incarnation ||
      (heartbeat.incarnation == machine.incarnation && heartbeat.seq <= machine.seq))
    return "stale report";
  // The lease was declared expired, and its tasks may have been launched elsewhere: a response must
  // not renew it.
  if (machine.expired_incarnation != 0 && heartbeat.incarnation <= machine.expired_incarnation)
    return "lease over";
  return nullptr;
}

// --- machine ---

// A new incarnation starts without tasks, so tasks known to belong to an earlier one have ended.
// Tasks restored from the allocation log have no known incarnation and are kept: the first
// heartbeat of a term may be a delayed one of an old incarnation, while the task runs in a newer
// one. Found as a task that was started elsewhere while it ran.
void HeartbeatProcessor::begin_incarnation(Ms now, Machine& machine, std::uint64_t incarnation) {
  for (auto it = machine.tasks.begin(); it != machine.tasks.end();) {
    const auto key = it->first;
    const auto& placement = it->second;
    const bool ended = placement.stage != PlacementStage::assigned && placement.incarnation != 0 &&
                       placement.incarnation < incarnation;
    ++it;
    if (ended) tasks_.confirm_terminated(now, machine, key);
  }
  context_.log(Event::machine_restarted, machine.name, incarnation);
  machine.direct_launches.end_incarnation();
  // A new incarnation soon after a response was sent means that the responses do not arrive. A
  // machine that hung or was disconnected has sent no heartbeat recently, and got no response.
  if (machine.confirmed && machine.last_response_at != 0 &&
      now - machine.last_response_at < max_worker_lease_ms(context_.platform) / 2)
    messenger_.command_missed(now, machine, kUnreachableMissedResponses);
}

void HeartbeatProcessor::update_machine(Ms now, Machine& machine,
                                        const wire::Heartbeat& heartbeat) {
  if (!machine.up) machine.idle_since = now;
  machine.up = true;
  machine.lost = false;
  if (!machine.releasing) machine.vanished = false;
  machine.addr = heartbeat.addr;
  // The first heartbeat of this incarnation that is processed in this term. An earlier leader, or
  // this one before loading, may have renewed the lease, but not beyond the end of reconciliation.
  if (heartbeat.incarnation > machine.incarnation || machine.lease_expires_at == 0)
    machine.lease_expires_at = std::max({machine.lease_expires_at, reconciliation_.ends_at(),
                                         now + max_worker_lease_ms(context_.platform)});
  machine.incarnation = heartbeat.incarnation;
  machine.seq = heartbeat.seq;
  machine.last_heartbeat_at = now;
  update_confirmation(now, machine, heartbeat);
}

void HeartbeatProcessor::update_confirmation(Ms now, Machine& machine,
                                             const wire::Heartbeat& heartbeat) {
  const bool in_current_term = is_from_current_term(heartbeat);
  if (in_current_term) {
    const auto epoch = election::epoch_of(context_.term, heartbeat.fencing_token);
    if (epoch > machine.reported_epoch) context_.metrics().add(telemetry::Count::command_epochs);
    machine.reported_epoch = epoch;
    machine.command_epoch = std::max(machine.command_epoch, epoch);
    machine.direct_launches.epoch_reported(epoch);
    machine.recovered = false;
  }
  if (in_current_term && !machine.confirmed) {
    context_.metrics().observe(telemetry::Histogram::confirmation_seconds,
                               static_cast<double>(now - reconciliation_.began_at()) / 1000);
    messenger_.command_arrived(machine);
  } else if (!in_current_term && machine.last_response_at != 0) {
    messenger_.command_missed(now, machine);
  }
  machine.confirmed = in_current_term;
}

void HeartbeatProcessor::process_termination_notice(Ms now, Machine& machine, double notice_s) {
  // The machine may be terminated after half of the announced time.
  machine.termination_at = now + static_cast<Ms>(notice_s * 500);
  context_.log(Event::machine_termination_notice, machine.name, notice_s);
  for (auto it = machine.tasks.begin(); it != machine.tasks.end();) {
    const auto next = std::next(it);
    if (it->second.stage == PlacementStage::assigned)
      state_.placements.remove_placement(machine, it);
    else
      stop_for_termination(now, machine, it->second, notice_s);
    it = next;
  }
}

void HeartbeatProcessor::stop_for_termination(Ms now, Machine& machine, Placement& placement,
                                              double notice_s) {
  const auto& job = *placement.job;
  const bool can_save = job.spec.checkpoint_s > 0;
  // A task that can neither save a checkpoint nor complete in time is stopped at once, so that it
  // can restart elsewhere.
  const bool stop =
      can_save || state_.run_times.run_time_s(job) - placement.elapsed_s(now) > notice_s;
  const bool count_stop = stop && !(can_save && placement.stopping);
  if (count_stop)
    context_.metrics().add(telemetry::Count::stops, telemetry::StopReason::termination_notice);
  placement.stopping = stop;
  if (can_save) placement.grace_s = job.spec.save_s + kStopGraceMarginS;
  machine.stopping = machine.stopping || stop;
}

// Defers the response while it may still get launches, of assignments to be recorded or of new ones
// on free capacity: launches that miss it wait for the next heartbeat.
void HeartbeatProcessor::defer_or_respond(Ms now, Machine& machine, HeartbeatRoute route) {
  const bool via_store = route == HeartbeatRoute::store;
  const bool has_assignments = machine.assigned > 0;
  const bool has_capacity = machine.free_capacity.cpus >= 1 && machine.free_capacity.memory_gb > 0;
  const bool defer =
      defer_responses_ && state_.machines.usable(now, machine) && (has_assignments || has_capacity);
  // The relay through the store already adds latency.
  machine.max_deferral_ms =
      via_store ? kMaxRelayedResponseDeferralMs : max_response_deferral_ms(context_.platform);
  messenger_.respond_if_needed(now, machine, !defer || (via_store && !has_assignments));
}

// --- tasks ---

void HeartbeatProcessor::process_tasks(Ms now, Machine& machine, const wire::Heartbeat& heartbeat) {
  machine.last_listing = ++processed_;
  // A heartbeat sent before the worker knew of this term may be older than the launch that the
  // allocation log names: a task that it lists as ended may be an earlier attempt, and accepting
  // its end would let the task run twice.
  const bool in_current_term = is_from_current_term(heartbeat);
  CommandEvidence evidence;
  for (const auto& status : heartbeat.tasks) {
    auto* job = state_.jobs.find(status.job);
    if (job == nullptr || status.task >= job->spec.tasks) continue;
    if (status.state == wire::TaskState::ended)
      process_ended(now, machine, *job, status, in_current_term, evidence);
    else
      process_present(now, machine, *job, status, heartbeat, evidence);
  }
  // Absence proves that a task has ended only if the worker sent the heartbeat after it received a
  // response of this term and processed the response that contained the launch.
  if (!in_current_term) return;
  process_absent(now, machine, heartbeat.seq, evidence);
  if (evidence.arrived)
    messenger_.command_arrived(machine);
  else if (evidence.missed)
    messenger_.command_missed(now, machine);
}

void HeartbeatProcessor::process_ended(Ms now, Machine& machine, JobState& job,
                                       const wire::TaskStatus& status, bool in_current_term,
                                       CommandEvidence& evidence) {
  if (status.cause == wire::Cause::done)
    return process_completed(now, machine, job, status.task, in_current_term);
  const auto entry = machine.tasks.find({job.index, status.task});
  if (!in_current_term || entry == machine.tasks.end() || entry->second.attempt != status.attempt ||
      entry->second.stage == PlacementStage::assigned)
    return;
  evidence.arrived = evidence.arrived || entry->second.stage == PlacementStage::sent;
  context_.log(Event::task_ended, status.job, status.task, machine.name, wire::name(status.cause),
               entry->second.elapsed_s(now));
  process_failed(now, machine, job, status);
}

// Cause `busy` means that another attempt of the task is on this machine. The heartbeat lists that
// attempt too, and process_present() adds its placement.
void HeartbeatProcessor::process_failed(Ms now, Machine& machine, JobState& job,
                                        const wire::TaskStatus& status) {
  tasks_.confirm_terminated(now, machine, {job.index, status.task});
  if (status.cause == wire::Cause::error) {
    context_.metrics().add(telemetry::Count::failures);
    tasks_.fail(now, machine, job);
  }
  if (status.cause == wire::Cause::unknown) job.backoff_until = now + kInitialFailureBackoffMs;
}

void HeartbeatProcessor::process_completed(Ms now, Machine& machine, JobState& job,
                                           std::uint32_t task, bool in_current_term) {
  const TaskKey key{job.index, task};
  const auto entry = machine.tasks.find(key);
  const bool placed = entry != machine.tasks.end();
  if (placed && entry->second.running_since != 0)
    observe_run_time(now, machine, job, entry->second);
  const bool end_confirmed =
      in_current_term || !placed || entry->second.stage == PlacementStage::assigned;
  // The task is complete, but another attempt of it may still be on the machine.
  if (!end_confirmed) PlacementLedger::set_in_flight(entry->second, true);
  const auto id = job.spec.id;
  tasks_.complete(now, machine, job, task);
  if (state_.jobs.find(id) != &job) return;  // the job was removed with its last task
  if (end_confirmed && machine.tasks.contains(key)) tasks_.confirm_terminated(now, machine, key);
}

void HeartbeatProcessor::observe_run_time(Ms now, Machine& machine, JobState& job,
                                          const Placement& placement) {
  const double elapsed_s = placement.elapsed_s(now);
  if (job.run_time_count >= kMinCompletedTasksForPace && job.run_time_sum_s > 0) {
    machine.pace +=
        kPaceSmoothingWeight * (elapsed_s * job.run_time_count / job.run_time_sum_s - machine.pace);
    if (machine.pace > kFaultyMachinePace && !machine.cordoned) {
      machine.cordoned = true;
      context_.log(Event::machine_slow, machine.name, machine.pace);
    }
  }
  job.run_time_sum_s += elapsed_s;
  ++job.run_time_count;
}

void HeartbeatProcessor::process_present(Ms now, Machine& machine, JobState& job,
                                         const wire::TaskStatus& status,
                                         const wire::Heartbeat& heartbeat,
                                         CommandEvidence& evidence) {
  if (job.phase[status.task] == TaskPhase::done) {  // the response terminates it
    const auto it = machine.tasks.find({job.index, status.task});
    if (it != machine.tasks.end()) it->second.last_listing = machine.last_listing;
    return;
  }
  auto* placement = find_or_add_placement(now, machine, job, status, heartbeat);
  if (placement == nullptr) return;
  evidence.arrived =
      evidence.arrived || (placement->stage == PlacementStage::sent &&
                           placement->command_seq != 0 && placement->attempt == status.attempt);
  placement->attempt = status.attempt;
  placement->last_listing = machine.last_listing;
  if (is_from_current_term(heartbeat)) placement->incarnation = heartbeat.incarnation;
  // The machine knows the attempt, so a launch that arrives late has no effect.
  PlacementLedger::set_in_flight(*placement, false);
  const auto stage = stage_of(status.state);
  if (stage == PlacementStage::running && placement->running_since == 0 &&
      placement->stage != PlacementStage::assigned)
    record_running(now, *placement);
  if (placement->stage == PlacementStage::assigned) --machine.assigned;
  PlacementLedger::set_stage(*placement, stage);
}

// Returns null if the heartbeat is no evidence that the task is on the machine.
Placement* HeartbeatProcessor::find_or_add_placement(Ms now, Machine& machine, JobState& job,
                                                     const wire::TaskStatus& status,
                                                     const wire::Heartbeat& heartbeat) {
  const auto it = machine.tasks.find({job.index, status.task});
  if (it != machine.tasks.end()) return &it->second;
  // The allocation log inherited from earlier leaders names every launch of theirs that may still
  // be running. A heartbeat from before this term that lists any other attempt of theirs is out of
  // date: accepting it would block the task's placement until the machine's lease has expired.
  if (reconciliation_.inherited_complete_log() && !is_from_current_term(heartbeat) &&
      !election::is_attempt_of(context_.term, status.attempt))
    return nullptr;
  // Launched by an earlier leader, or wrongly considered ended. Otherwise any heartbeat is evidence
  // that a task is present.
  const bool unexpected =
      is_from_current_term(heartbeat) && election::is_attempt_of(context_.term, status.attempt);
  const bool surplus = unexpected && job.placement_counts[status.task] > 0;
  if (unexpected) log_unexpected(now, machine, status, heartbeat, surplus);
  Placement placement;
  placement.placed_at = now;
  placement.attempt = status.attempt;
  placement.stage = PlacementStage::sent;
  placement.stopping = job.cancelled || surplus;
  auto& placed = state_.placements.add_placement(machine, job, status.task, placement);
  machine.record_image(job.image);
  return &placed;
}

void HeartbeatProcessor::log_unexpected(Ms now, const Machine& machine,
                                        const wire::TaskStatus& status,
                                        const wire::Heartbeat& heartbeat, bool stopped) {
  const auto seconds_since = [now](Ms then) {
    return then == 0 ? -1.0 : static_cast<double>(now - then) / 1000;
  };
  const auto* launch = machine.direct_launches.find(status.attempt);
  context_.metrics().add(telemetry::Count::unexpected_tasks);
  context_.log(Event::task_unexpected, status.job, status.task, machine.name, status.attempt,
               heartbeat.fencing_token, seconds_since(launch == nullptr ? 0 : launch->sent_at),
               seconds_since(launch == nullptr ? 0 : launch->answered_at), stopped);
}

void HeartbeatProcessor::record_running(Ms now, Placement& placement) {
  auto& job = *placement.job;
  placement.running_since = now;
  state_.record_started(job);
  if (placement.command_seq != 0)
    context_.metrics().observe(telemetry::Histogram::start_seconds,
                               static_cast<double>(now - job.ready_at) / 1000,
                               static_cast<std::size_t>(job.spec.priority));
}

// Tasks that were launched before this heartbeat was sent, and are not listed in it, have ended.
void HeartbeatProcessor::process_absent(Ms now, Machine& machine, std::uint64_t seq,
                                        CommandEvidence& evidence) {
  std::vector<TaskKey> absent;
  for (const auto& [key, placement] : machine.tasks) {
    if (placement.stage == PlacementStage::assigned || placement.command_seq >= seq ||
        placement.last_listing == machine.last_listing)
      continue;
    evidence.missed = evidence.missed || (placement.stage == PlacementStage::sent &&
                                          placement.command_seq != 0 && !placement.stopping);
    // A direct launch without a response may be executed until the machine has received the token
    // of a later epoch, and its task counts as present until then.
    if (!placement.in_flight || !machine.direct_launches.contains(placement.attempt))
      absent.push_back(key);
  }
  for (const auto& key : absent) tasks_.confirm_terminated(now, machine, key);
}

}  // namespace hitchfront::core
