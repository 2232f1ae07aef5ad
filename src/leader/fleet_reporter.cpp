#include "leader/fleet_reporter.hpp"

#include <vector>

#include "settings/constants.hpp"

namespace hitchfront::core {
using namespace settings;
using telemetry::Gauge;
namespace {

// Indices of label values; their texts are in telemetry/metric_tables.hpp.
enum class TaskLabel : std::uint8_t { waiting, placed, unknown };
enum class MachineLabel : std::uint8_t { up, booting, lost, unusable };

template <class Label>
void set(telemetry::Metrics& metrics, Gauge gauge, Label label, std::size_t value) {
  metrics.set(gauge, static_cast<double>(value), static_cast<std::size_t>(label));
}

}  // namespace

void FleetReporter::tick(Ms now) {
  if (now >= next_state_log_at_) {
    next_state_log_at_ = now + kStateLogIntervalMs;
    log_fleet_state(now);
  }
  if (now >= next_served_share_log_at_) {
    next_served_share_log_at_ = now + kStateLogIntervalMs;
    log_served_shares(now);
  }
}

// --- gauges ---

void FleetReporter::update_gauges(Ms now) const {
  auto& metrics = context_.metrics();
  metrics.set(Gauge::jobs, static_cast<double>(state_.jobs.size()));
  metrics.set(Gauge::jobs_waiting, static_cast<double>(dependencies_.waiting()));
  update_task_gauges();
  update_machine_gauges(now);
  update_served_gauges();
}

void FleetReporter::update_task_gauges() const {
  std::size_t waiting = 0, placed = 0, unknown = 0, unconfirmed = 0;
  for (const auto& [id, job] : state_.jobs) {
    waiting += job->waiting;
    placed += job->placed;
    unknown += job->unknown;
  }
  for (const auto* machine : state_.machines.all())
    if (machine->recovered && !machine->lost) unconfirmed += machine->tasks.size();
  auto& metrics = context_.metrics();
  set(metrics, Gauge::tasks, TaskLabel::waiting, waiting);
  set(metrics, Gauge::tasks, TaskLabel::placed, placed);
  set(metrics, Gauge::tasks, TaskLabel::unknown, unknown);
  metrics.set(Gauge::unknown_tasks, static_cast<double>(unknown + unconfirmed));
}

void FleetReporter::update_machine_gauges(Ms now) const {
  std::size_t up = 0, booting = 0, lost = 0, unusable = 0, deferred = 0;
  for (const auto* machine : state_.machines.all()) {
    if (machine->deferred_request) ++deferred;
    ++(machine->lost                           ? lost
       : !machine->up                          ? booting
       : state_.machines.usable(now, *machine) ? up
                                               : unusable);
  }
  auto& metrics = context_.metrics();
  set(metrics, Gauge::machines, MachineLabel::up, up);
  set(metrics, Gauge::machines, MachineLabel::booting, booting);
  set(metrics, Gauge::machines, MachineLabel::lost, lost);
  set(metrics, Gauge::machines, MachineLabel::unusable, unusable);
  metrics.set(Gauge::deferred_heartbeats, static_cast<double>(deferred));
}

void FleetReporter::update_served_gauges() const {
  for (const auto& row : state_.served_share.rows()) {
    const auto set_state = [&](const char* state, double value) {
      context_.metrics().set_served(telemetry::name(row.grouping), row.name, state, value);
    };
    set_state("accepted", row.accepted);
    set_state("started", row.started);
    set_state("done", row.done);
    set_state("cancelled", row.cancelled);
    set_state("waiting", static_cast<double>(row.waiting));
    set_state("oldest_s", row.oldest_s);
    set_state("share", row.share);
  }
}

// --- log ---

// Warns of job classes and teams of which few jobs are started.
void FleetReporter::log_served_shares(Ms now) {
  std::vector<telemetry::ServedShare::UnfinishedJob> unfinished_jobs;
  unfinished_jobs.reserve(state_.jobs.size());
  for (const auto& [id, job] : state_.jobs)
    if (!job->cancelled && !job->blocked)
      unfinished_jobs.push_back(
          {LeaderState::served_share_labels(*job), job->has_run, now - job->ready_at});
  for (const auto& row : state_.served_share.update(now, unfinished_jobs))
    context_.log(Event::served_low, telemetry::name(row.grouping), row.name, row.share, row.waiting,
                 row.oldest_s, static_cast<std::uint64_t>(row.accepted));
}

// The figures that tell apart the causes of a stall: no machines, no capacity, quotas, or tasks
// that are assigned but not launched.
void FleetReporter::log_fleet_state(Ms now) const {
  std::size_t up = 0, usable = 0, booting = 0, assigned = 0, stopping = 0;
  double usable_cpus = 0, placed_cpus = 0, running_cpus = 0;
  for (const auto* machine : state_.machines.all()) {
    if (!machine->lost) ++(machine->up ? up : booting);
    if (state_.machines.usable(now, *machine)) {
      ++usable;
      usable_cpus += machine->capacity.cpus;
    }
    for (const auto& [key, placement] : machine->tasks) {
      const double cpus = placement.job->spec.cpus;
      placed_cpus += cpus;
      if (placement.stage == PlacementStage::running) running_cpus += cpus;
      if (placement.stage == PlacementStage::assigned) ++assigned;
      if (placement.stopping) ++stopping;
    }
  }
  std::size_t waiting = 0, within_guarantee = 0, at_limit = 0;
  for (const auto& [id, job] : state_.jobs) {
    if (!job->active() || job->team < 0) continue;
    waiting += job->waiting;
    if (job->within_guarantee) within_guarantee += job->waiting;
    if (!state_.quotas.fits_limit(*job)) at_limit += job->waiting;
  }
  context_.log(Event::fleet_state, up, usable, booting, usable_cpus, placed_cpus, running_cpus,
               assigned, stopping, waiting, within_guarantee, at_limit);
}

}  // namespace hitchfront::core
