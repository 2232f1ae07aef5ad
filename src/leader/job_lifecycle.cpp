#include "leader/job_lifecycle.hpp"

#include <algorithm>
#include <iterator>
#include <memory>
#include <utility>

#include "settings/constants.hpp"

namespace hitchfront::core {
using namespace settings;
using dependencies::Outcome;

JobState* JobLifecycle::add(Ms now, const std::string& id, const nlohmann::json& value,
                            std::uint64_t version) {
  auto record = wire::decode_unfinished_job(value);
  if (!record) {
    context_.log(Event::job_unreadable, id);
    return nullptr;
  }
  auto job = std::make_unique<JobState>();
  job->spec = std::move(record->job);
  job->accepted_ms = record->accepted_ms;
  job->submitted_at = job->ready_at = std::min(now, context_.to_steady(record->accepted_ms));
  job->priority = job->spec.priority;
  job->cancelled = record->cancelled || context_.environment.is_cancelled(id);
  job->launch_watermark = job->required_watermark = record->launch_watermark;
  job->version = version;
  job->initialize_tasks(state_.catalog.zone_count());
  resolve_names(*job);
  if (job->cancelled) job->renew_until = earliest_renewal_limit(*job);
  job->large = state_.large_jobs.classify(job->spec.job_class, job->spec.cpus * job->spec.tasks);
  state_.served_share.accepted(LeaderState::served_share_labels(*job));
  auto& added = state_.jobs.add(id, std::move(job));
  dependencies_.add(added);
  state_.placement_needed = true;
  return &added;
}

void JobLifecycle::resolve_names(JobState& job) {
  auto& catalog = state_.catalog;
  job.team = state_.quotas.index_of(job.spec.team);
  job.zone = job.spec.zone ? catalog.zone_index(*job.spec.zone) : -1;
  job.image = catalog.image_index(job.spec.image);
  job.prediction_key = prediction_key_of(job.spec);
  const bool no_such_zone = job.spec.zone && job.zone < 0;
  job.types = no_such_zone ? 0 : catalog.type_mask(job.spec.types);
}

// --- cancellation ---

void JobLifecycle::cancel_if_known(Ms now, const std::string& id) {
  if (auto* job = state_.jobs.find(id); job != nullptr && !job->cancelled) cancel(now, *job);
}

void JobLifecycle::on_dependency_cancelled(Ms now, JobState& job) {
  cancel(now, job);
  writer_.persist(now, job);
}

// A cancellation is acknowledged no earlier than the job was accepted. Both times are by the clocks
// of possibly different nodes, each of which may be off by time_bound_ms.
Ms JobLifecycle::earliest_renewal_limit(const JobState& job) const {
  return job.submitted_at - static_cast<Ms>(2 * context_.platform.time_bound_ms) +
         max_cancellation_staleness_ms(context_.platform);
}

void JobLifecycle::cancel(Ms now, JobState& job) {
  job.cancelled = true;
  // This node knows every cancellation that was acknowledged before a certain instant, so this one
  // was acknowledged later. Leases that cover its tasks may be renewed for as long as a response
  // could be sent without knowledge of it. While stored data is lost that instant is not known, and
  // the earliest possible limit applies.
  const Ms cancellations_known_until =
      context_.feature_levels.lost() ? 0 : context_.election.cancellations_known_until();
  job.renew_until = std::max(earliest_renewal_limit(job), cancellations_known_until);
  context_.log(Event::job_cancelled, job.spec.id);
  for (auto* machine : state_.machines.all()) {
    if (job.possible_placements == 0) break;
    if (stop_placements(*machine, job)) messenger_.deliver_stops(now, *machine);
  }
  dependencies_.apply_outcome(now, job.spec.id, Outcome::cancelled, false);
}

bool JobLifecycle::stop_placements(Machine& machine, const JobState& job) {
  bool any_to_stop = false;
  for (auto it = machine.tasks.lower_bound({job.index, 0});
       it != machine.tasks.end() && it->first.job == job.index;) {
    const auto next = std::next(it);
    auto& placement = it->second;
    if (placement.stage == PlacementStage::assigned) {
      state_.placements.remove_placement(machine, it);
    } else {
      any_to_stop = true;
      if (!placement.stopping)
        context_.metrics().add(telemetry::Count::stops, telemetry::StopReason::cancelled);
      placement.stopping = machine.stopping = true;
      placement.grace_s = 0;
    }
    it = next;
  }
  return any_to_stop;
}

// --- completion and removal ---

void JobLifecycle::finish(Ms now, const std::string& id, bool cancelled) {
  context_.log(cancelled ? Event::job_terminated : Event::job_done, id);
  remove(now, id);
  dependencies_.cancel_outcome_lookup(id);
  dependencies_.apply_outcome(now, id, cancelled ? Outcome::cancelled : Outcome::done, true);
}

void JobLifecycle::remove(Ms now, const std::string& id) {
  auto* job = state_.jobs.find(id);
  if (job == nullptr) return;
  state_.served_share.ended(now, LeaderState::served_share_labels(*job), job->cancelled,
                            job->has_run);
  for (auto* machine : state_.machines.all())
    state_.placements.remove_job_placements(*machine, *job);
  state_.quotas.add_usage(*job, -static_cast<double>(job->unknown));
  state_.failures.forget_job(job->index);
  dependencies_.remove(id);
  state_.jobs.remove(id);
  dependencies_.schedule_outcome_lookup(id);
  state_.placement_needed = true;
}

}  // namespace hitchfront::core
