#include "leader/leader.hpp"

#include "core/timing.hpp"
#include "settings/constants.hpp"

namespace hitchfront::core {
using namespace settings;

Leader::Leader(const Dependencies& dependencies, std::uint64_t seed,
               std::int64_t wall_minus_steady_ms)
    : context_{dependencies.outbox,
               dependencies.store,
               dependencies.election,
               dependencies.feature_levels,
               dependencies.platform,
               dependencies.operator_settings,
               dependencies.environment,
               dependencies.election.term(),
               dependencies.election.key_version(),
               wall_minus_steady_ms},
      state_(dependencies.platform),
      recorder_(context_, state_, *this),
      writer_(context_, state_, *this),
      tasks_(context_, state_, recorder_, writer_),
      registry_(context_, state_, recorder_),
      messenger_(context_, state_, tasks_, recorder_),
      jobs_(context_, state_, messenger_, writer_),
      watch_(context_, state_, jobs_, writer_, *this),
      takeover_(context_, state_, jobs_, registry_, recorder_, writer_, reconciliation_, *this),
      leases_(context_, state_, messenger_, tasks_, reconciliation_),
      heartbeats_(context_, state_, registry_, messenger_, tasks_, reconciliation_, *this),
      policies_(context_, state_, scale_out_requests_, seed, *this),
      scheduler_(context_, state_, messenger_, recorder_, writer_, policies_),
      preemptor_(context_, state_, scheduler_, messenger_, recorder_, writer_),
      cloud_(context_),
      lister_(context_, state_, registry_, cloud_),
      autoscaler_(context_, state_, registry_, tasks_, policies_, scale_out_requests_, cloud_),
      consolidator_(context_, state_, messenger_),
      reporter_(context_, state_, jobs_.dependencies()) {}

void Leader::begin(Ms now, bool recovering) {
  context_.metrics().add(telemetry::Count::takeovers);
  heartbeats_.begin(now);
  reconciliation_.begin(now, max_worker_lease_ms(context_.platform));
  policies_.begin(now);
  // The leader from before the data loss may be unaware of it, and may act until its lease and the
  // last vote abstentions it was granted have expired.
  if (recovering)
    reconciliation_.extend_by(kLeaderLeaseTtlMs + kVoteAbstentionPeriodMs + kLeaseExpiryMarginMs);
  else
    load(now);
}

void Leader::resign() {
  for (auto* machine : state_.machines.all()) messenger_.refuse_deferred(*machine, "no leader");
}

void Leader::set_types(Ms now, const std::vector<wire::MachineType>& types) {
  const bool first = state_.catalog.empty();
  state_.catalog.update(types);
  for (auto& [id, job] : state_.jobs) jobs_.resolve_names(*job);
  takeover_.restore_learned_types(now);
  if (first) state_.placement_needed = true;
}

std::optional<Leader::TaskCounts> Leader::task_counts(const std::string& id) const {
  const auto* job = state_.jobs.find(id);
  if (job == nullptr || !state_.loaded) return std::nullopt;
  return TaskCounts{job->stored_completions, job->running};
}

void Leader::tick(Ms now) {
  // Refuses deferred heartbeats at once: this leader may never be able to act again.
  if (!context_.can_act(now)) respond_to_all_deferred(now);
  takeover_.close_reconciliation_if_due(now);
  leases_.tick(now);
  if (!state_.loaded) return;
  watch_.tick(now);
  writer_.tick(now);
  jobs_.dependencies().resolve(now);
  // Some changes, such as an expiring backoff, make tasks placeable without triggering placement.
  if (now >= next_placement_at_) {
    next_placement_at_ = now + kPlacementIntervalMs;
    state_.placement_needed = true;
  }
  scheduler_.schedule(now);
  preemptor_.tick(now);
  send_due_responses(now);
  takeover_.finish_if_reconciled(now);
  recorder_.write(now);
  writer_.migrate(now);
  scale(now);
  policies_.tick(now);
  reporter_.tick(now);
}

void Leader::respond_to_all_deferred(Ms now) {
  for (auto* machine : state_.machines.all())
    if (machine->deferred_request) messenger_.respond_if_needed(now, *machine, true);
}

void Leader::send_due_responses(Ms now) {
  for (auto* machine : state_.machines.all()) {
    if (machine->deferred_request && now - machine->deferred_since >= machine->max_deferral_ms)
      messenger_.respond_if_needed(now, *machine, true);
    if (machine->stopping && !machine->deferred_request) messenger_.stop_directly(now, *machine);
  }
}

// Runs one round of cloud calls.
void Leader::scale(Ms now) {
  if (now < next_cloud_round_at_ || state_.catalog.empty() || !context_.can_act(now)) return;
  next_cloud_round_at_ = now + kCloudRoundIntervalMs;
  consolidator_.tick(now);
  autoscaler_.scale_in(now);
  autoscaler_.scale_out(now);
  lister_.tick(now);
}

void Leader::on_launches_recorded(Ms now, Machine& machine) {
  if (machine.deferred_request)
    messenger_.respond_if_needed(now, machine, false);
  else
    messenger_.launch_directly(now, machine);
}

void Leader::on_launches_allowed(Ms now) {
  for (auto* machine : state_.machines.all())
    if (machine->deferred_request && machine->assigned > 0)
      messenger_.respond_if_needed(now, *machine, false);
}

void Leader::on_job_finished(Ms now, const std::string& id, bool cancelled) {
  jobs_.finish(now, id, cancelled);
  scheduler_.schedule(now);
}

}  // namespace hitchfront::core
