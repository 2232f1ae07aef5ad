#include "leader/heartbeat_processor.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

#include "core/timing.hpp"
#include "settings/constants.hpp"

namespace hitchfront::core {
using namespace settings;
namespace {

std::uint64_t term_of(std::uint64_t attempt) {
  return attempt >> kAttemptSequenceBits;
}

PlacementStage stage_of(wire::TaskState state) {
  return state == wire::TaskState::fetching ? PlacementStage::fetching
         : state == wire::TaskState::saving ? PlacementStage::saving
                                            : PlacementStage::running;
}

}  // namespace

void HeartbeatProcessor::process(Ms now, std::uint64_t request, wire::Heartbeat heartbeat,
                                 HeartbeatRoute route) {
  const auto refuse = [&](const char* reason) {
    context_.out.reply(request, 503, wire::error_body(reason));
  };
  if (!context_.can_act(now)) return refuse("no leader");
  note_route(now, heartbeat, route);
  if (state_.machines.was_returned(heartbeat.machine)) return refuse("machine returned");
  if (!state_.loaded) return respond_before_loading(now, request, heartbeat);
  auto* machine = find_or_register(now, heartbeat);
  if (machine == nullptr) return refuse("machine type not known yet");
  if (is_repeat(*machine, heartbeat, route))
    return respond_to_repeat(now, request, *machine, heartbeat);
  if (const char* reason = refusal(*machine, heartbeat)) return refuse(reason);

  messenger_.refuse_held(*machine, "superseded");
  if (heartbeat.incarnation > machine->incarnation && machine->incarnation != 0)
    begin_incarnation(now, *machine, heartbeat.incarnation);
  update_machine(now, *machine, heartbeat);
  if (heartbeat.notice_s && machine->termination_at == 0)
    take_termination_notice(now, *machine, *heartbeat.notice_s);
  take_tasks(now, *machine, heartbeat);
  machine->task_statuses = std::move(heartbeat.tasks);
  machine->deferred_request = request;
  machine->deferred_since = now;
  state_.placement_needed = true;
  listener_.on_heartbeat_processed(now);
  if (machine->deferred_request) hold_or_respond(now, *machine, route);
}

void HeartbeatProcessor::note_route(Ms now, const wire::Heartbeat& heartbeat,
                                    HeartbeatRoute route) {
  context_.metrics().add(telemetry::Count::heartbeats, route);
  if (route == HeartbeatRoute::direct)
    last_direct_ = now;
  else if (heartbeat.zone == context_.platform.zone)
    last_detour_ = now;
}

// Keeps the worker's lease alive. Its tasks are unknown until its next heartbeat, and the response
// lets them live on for a lease from now: reconciliation has to last as long.
void HeartbeatProcessor::respond_before_loading(Ms now, std::uint64_t request,
                                                const wire::Heartbeat& heartbeat) {
  reconciliation_.extend_to(now + max_worker_lease_ms(context_.platform));
  // Of what is not loaded yet only cancellations are known, and that lease is not to keep such
  // tasks alive. When their users were told is not.
  heartbeat::Response response(kMaxCommandsPerResponse);
  for (const auto& status : heartbeat.tasks) {
    const auto* job = state_.jobs.find(status.job);
    const bool cancelled =
        job != nullptr ? job->cancelled : context_.environment.is_cancelled(status.job);
    if (cancelled && status.state != wire::TaskState::ended)
      response.end({status.job, status.task, status.attempt}, 0);
  }
  messenger_.respond(now, {request, heartbeat.machine, heartbeat.addr, heartbeat.incarnation},
                     response);
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

// The newest heartbeat once more, by another way: the response to the first copy got lost.
bool HeartbeatProcessor::is_repeat(const Machine& machine, const wire::Heartbeat& heartbeat,
                                   HeartbeatRoute route) {
  return route == HeartbeatRoute::store && heartbeat.incarnation == machine.incarnation &&
         heartbeat.seq == machine.seq && !machine.lost &&
         machine.expired_incarnation < heartbeat.incarnation;
}

// It renews the lease as the first one did, so that what has to end has to be in it again; a launch
// in the lost response shows as absent in the next heartbeat.
void HeartbeatProcessor::respond_to_repeat(Ms now, std::uint64_t request, Machine& machine,
                                           const wire::Heartbeat& heartbeat) {
  const auto response = messenger_.build_response(now, machine);
  if (messenger_.respond(now, {request, heartbeat.machine, heartbeat.addr, heartbeat.incarnation},
                         response))
    machine.lease_expires_at =
        std::max(machine.lease_expires_at,
                 machine.last_heartbeat_at + max_worker_lease_ms(context_.platform));
}

const char* HeartbeatProcessor::refusal(const Machine& machine, const wire::Heartbeat& heartbeat) {
  // Delayed in the network: its task list is old, and the worker has given up on it.
  if (heartbeat.incarnation < machine.incarnation ||
      (heartbeat.incarnation == machine.incarnation && heartbeat.seq <= machine.seq))
    return "stale report";
  // Its lease was declared over, and its tasks may run elsewhere by now: a response would revive
  // it.
  if (machine.expired_incarnation != 0 && heartbeat.incarnation <= machine.expired_incarnation)
    return "lease over";
  return nullptr;
}

// ---- the machine --------------------------------------------------------------------------------

// A new incarnation begins without tasks: what is known to be of an earlier one is gone. What the
// allocation log names may be of this incarnation or a later one: the first heartbeat of a term can
// be a late copy of an incarnation long past, and the next one, that of the incarnation in which
// the task runs, once made it start elsewhere (seed 70).
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
  machine.in_flight.end_incarnation();
  // Its lease ran out though it was answered all along. One that hung, or was cut off, was not.
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
  if (heartbeat.incarnation > machine.incarnation || machine.lease_expires_at == 0)
    machine.lease_expires_at = std::max({machine.lease_expires_at, reconciliation_.ends_at(),
                                         now + max_worker_lease_ms(context_.platform)});
  machine.incarnation = heartbeat.incarnation;
  machine.seq = heartbeat.seq;
  machine.last_heartbeat_at = now;
  update_confirmation(now, machine, heartbeat.fencing_token);
}

void HeartbeatProcessor::update_confirmation(Ms now, Machine& machine,
                                             std::uint64_t fencing_token) {
  const bool of_this_term = fencing_token == context_.term;
  if (of_this_term) machine.recovered = false;
  if (of_this_term && !machine.confirmed) {
    context_.metrics().observe(telemetry::Histogram::confirm_s,
                               static_cast<double>(now - reconciliation_.began()) / 1000);
    messenger_.command_arrived(machine);
  } else if (fencing_token < context_.term && machine.last_response_at != 0) {
    messenger_.command_missed(now, machine);
  }
  machine.confirmed = of_this_term;
}

void HeartbeatProcessor::take_termination_notice(Ms now, Machine& machine, double notice_s) {
  // The notice may be half as long as announced.
  machine.termination_at = now + static_cast<Ms>(notice_s * 500);
  context_.log(Event::machine_notice, machine.name, notice_s);
  for (auto it = machine.tasks.begin(); it != machine.tasks.end();) {
    const auto next = std::next(it);
    if (it->second.stage == PlacementStage::assigned)
      state_.placements.vacate(machine, it);
    else
      stop_for_termination(now, machine, it->second, notice_s);
    it = next;
  }
}

void HeartbeatProcessor::stop_for_termination(Ms now, Machine& machine, Placement& placement,
                                              double notice_s) {
  const auto& job = *placement.job;
  const bool can_save = job.spec.checkpoint_s > 0;
  // What can't save and won't be done in time may as well begin again elsewhere at once.
  const bool stop =
      can_save || state_.run_times.run_time_s(job) - placement.elapsed_s(now) > notice_s;
  const bool count = stop && !(can_save && placement.stopping);
  if (count) context_.metrics().add(telemetry::Count::stops, telemetry::StopReason::notice);
  placement.stopping = stop;
  if (can_save) placement.grace_s = job.spec.save_s + kStopGraceMarginS;
  machine.stopping = machine.stopping || stop;
}

// An assignment waits to be recorded; its launch is to be in this response, not in the next, a
// whole period later.
void HeartbeatProcessor::hold_or_respond(Ms now, Machine& machine, HeartbeatRoute route) {
  const bool by_store = route == HeartbeatRoute::store;
  const bool launches = machine.assigned > 0;
  const bool has_capacity = machine.free_capacity.cpus >= 1 && machine.free_capacity.memory_gb > 0;
  const bool worth_holding =
      defer_responses_ && state_.machines.usable(now, machine) && (launches || has_capacity);
  // The way back through the store takes long enough as it is.
  machine.max_deferral_ms =
      by_store ? kMaxRelayedResponseDeferralMs : max_response_deferral_ms(context_.platform);
  messenger_.respond_if_needed(now, machine, !worth_holding || (by_store && !launches));
}

// ---- its tasks ----------------------------------------------------------------------------------

void HeartbeatProcessor::take_tasks(Ms now, Machine& machine, const wire::Heartbeat& heartbeat) {
  machine.last_listing = ++processed_;
  // A heartbeat of before this term may be older than the launch that the allocation log names
  // here: what it lists as ended may be an earlier attempt of the same task. Found as tasks that
  // ran twice: two old heartbeats in a row, kept until the next leader began, the first with that
  // attempt running, which was taken for the recorded one, the second with its end.
  const bool of_this_term = heartbeat.fencing_token == context_.term;
  CommandEvidence evidence;
  for (const auto& status : heartbeat.tasks) {
    auto* job = state_.jobs.find(status.job);
    if (job == nullptr || status.task >= job->spec.tasks) continue;
    if (status.state == wire::TaskState::ended)
      take_ended(now, machine, *job, status, of_this_term, evidence);
    else
      take_present(now, machine, *job, status, heartbeat, evidence);
  }
  // Absence is proved only by a heartbeat that was sent after hearing from this leader and after
  // the worker dealt with the response that carried the launch.
  if (!of_this_term) return;
  take_absent(now, machine, heartbeat.seq, evidence);
  if (evidence.seen)
    messenger_.command_arrived(machine);
  else if (evidence.lost)
    messenger_.command_missed(now, machine);
}

void HeartbeatProcessor::take_ended(Ms now, Machine& machine, JobState& job,
                                    const wire::TaskStatus& status, bool of_this_term,
                                    CommandEvidence& evidence) {
  if (status.cause == wire::Cause::done)
    return take_completed(now, machine, job, status.task, of_this_term);
  const auto it = machine.tasks.find({job.index, status.task});
  if (!of_this_term || it == machine.tasks.end() || it->second.attempt != status.attempt ||
      it->second.stage == PlacementStage::assigned)
    return;
  evidence.seen = evidence.seen || it->second.stage == PlacementStage::sent;
  context_.log(Event::task_ended, status.job, status.task, machine.name, wire::name(status.cause),
               it->second.elapsed_s(now));
  take_failed(now, machine, job, status);
}

// `busy` means that another attempt of this task is on this very machine; the heartbeat lists it
// too, and then it is taken up there.
void HeartbeatProcessor::take_failed(Ms now, Machine& machine, JobState& job,
                                     const wire::TaskStatus& status) {
  tasks_.confirm_terminated(now, machine, {job.index, status.task});
  if (status.cause == wire::Cause::error) {
    context_.metrics().add(telemetry::Count::failures);
    tasks_.fail(now, machine, job);
  }
  if (status.cause == wire::Cause::unknown) job.backoff_until = now + kInitialFailureBackoffMs;
}

void HeartbeatProcessor::take_completed(Ms now, Machine& machine, JobState& job, std::uint32_t task,
                                        bool of_this_term) {
  const TaskKey key{job.index, task};
  const auto it = machine.tasks.find(key);
  const bool placed = it != machine.tasks.end();
  if (placed && it->second.running_since != 0) observe_run_time(now, machine, job, it->second);
  const bool end_confirmed =
      of_this_term || !placed || it->second.stage == PlacementStage::assigned;
  // Done for ever, and another attempt may be here all the same.
  if (!end_confirmed) PlacementLedger::set_in_flight(it->second, true);
  const auto id = job.spec.id;
  tasks_.complete(now, machine, job, task);
  if (state_.jobs.find(id) != &job) return;  // that was its last task
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

void HeartbeatProcessor::take_present(Ms now, Machine& machine, JobState& job,
                                      const wire::TaskStatus& status,
                                      const wire::Heartbeat& heartbeat, CommandEvidence& evidence) {
  if (job.phase[status.task] == TaskPhase::done) {  // told to stop in the response
    const auto it = machine.tasks.find({job.index, status.task});
    if (it != machine.tasks.end()) it->second.last_listing = machine.last_listing;
    return;
  }
  auto* placement = find_or_occupy(now, machine, job, status, heartbeat.fencing_token);
  if (placement == nullptr) return;
  evidence.seen =
      evidence.seen || (placement->stage == PlacementStage::sent && placement->command_seq != 0 &&
                        placement->attempt == status.attempt);
  placement->attempt = status.attempt;
  placement->last_listing = machine.last_listing;
  if (heartbeat.fencing_token == context_.term) placement->incarnation = heartbeat.incarnation;
  // It is there; what may still come of its launch finds it there.
  PlacementLedger::set_in_flight(*placement, false);
  const auto stage = stage_of(status.state);
  if (stage == PlacementStage::running && placement->running_since == 0 &&
      placement->stage != PlacementStage::assigned)
    note_running(now, *placement);
  if (placement->stage == PlacementStage::assigned) --machine.assigned;
  PlacementLedger::set_stage(*placement, stage);
}

// Null: the heartbeat is not to be believed.
Placement* HeartbeatProcessor::find_or_occupy(Ms now, Machine& machine, JobState& job,
                                              const wire::TaskStatus& status,
                                              std::uint64_t fencing_token) {
  const auto it = machine.tasks.find({job.index, status.task});
  if (it != machine.tasks.end()) return &it->second;
  // The allocation log that this leader was handed has all that its predecessors launched and
  // nobody proved gone. A heartbeat of before this term that lists something else is late, a copy
  // perhaps of one that came minutes ago: believed, it had work that runs elsewhere held for a
  // lease by a machine that was returned.
  if (reconciliation_.inherited_complete_log() && fencing_token < context_.term &&
      term_of(status.attempt) < context_.term)
    return nullptr;
  // An earlier leader's launch, or one that was thought gone. Presence is believed from anyone.
  Placement placement;
  placement.placed_at = now;
  placement.attempt = status.attempt;
  placement.stage = PlacementStage::sent;
  placement.stopping = job.cancelled;
  auto& placed = state_.placements.occupy(machine, job, status.task, placement);
  machine.record_image(job.image);
  return &placed;
}

void HeartbeatProcessor::note_running(Ms now, Placement& placement) {
  auto& job = *placement.job;
  placement.running_since = now;
  state_.note_started(job);
  if (placement.command_seq != 0)
    context_.metrics().observe(telemetry::Histogram::start_s,
                               static_cast<double>(now - job.ready_at) / 1000,
                               static_cast<std::size_t>(job.spec.priority));
}

// What was launched before this heartbeat, and is not in it, is gone.
void HeartbeatProcessor::take_absent(Ms now, Machine& machine, std::uint64_t seq,
                                     CommandEvidence& evidence) {
  std::vector<TaskKey> absent;
  for (const auto& [key, placement] : machine.tasks) {
    if (placement.stage == PlacementStage::assigned || placement.command_seq >= seq ||
        placement.last_listing == machine.last_listing)
      continue;
    evidence.lost = evidence.lost || (placement.stage == PlacementStage::sent &&
                                      placement.command_seq != 0 && !placement.stopping);
    // A direct launch that was not answered may be carried out as long as the incarnation lasts:
    // until then the task is here. One of an earlier term can't be any more: the worker has heard
    // of this one.
    if (!placement.in_flight || term_of(placement.attempt) < context_.term) absent.push_back(key);
  }
  for (const auto& key : absent) tasks_.confirm_terminated(now, machine, key);
}

}  // namespace hitchfront::core
