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
  if (job->cancelled) job->renew_until = renew_until(*job);
  job->large = state_.large_jobs.among(job->spec.job_class, job->spec.cpus * job->spec.tasks);
  state_.served.accepted(LeaderState::who(*job));
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

// ---- cancellation -------------------------------------------------------------------------------

void JobLifecycle::note_cancelled(Ms now, const std::string& id) {
  if (auto* job = state_.jobs.find(id); job != nullptr && !job->cancelled) cancel(now, *job);
}

void JobLifecycle::on_dependency_cancelled(Ms now, JobState& job) {
  cancel(now, job);
  writer_.persist(now, job);
}

// The least that it can be whenever the cancellation was told: not before the job was accepted, by
// the clocks of two nodes.
Ms JobLifecycle::renew_until(const JobState& job) const {
  return job.submitted_at - static_cast<Ms>(2 * context_.platform.time_bound_ms) +
         cancellation_blind_ms(context_.platform);
}

void JobLifecycle::cancel(Ms now, JobState& job) {
  job.cancelled = true;
  // Nobody was told before the instant up to which each cancellation was known here.
  const Ms known =
      context_.feature_levels.lost() ? 0 : context_.election.cancellations_known_until();
  job.renew_until = std::max(renew_until(job), known);
  context_.log(Event::job_cancelled, job.spec.id);
  for (auto* machine : state_.machines.all()) {
    if (job.possible_placements == 0) break;
    if (stop_placements(*machine, job)) messenger_.deliver_stops(now, *machine);
  }
  dependencies_.settle(now, job.spec.id, Outcome::cancelled, false);
}

// True: there is something on the machine that is to be told to stop.
bool JobLifecycle::stop_placements(Machine& machine, const JobState& job) {
  bool any = false;
  for (auto it = machine.tasks.lower_bound({job.index, 0});
       it != machine.tasks.end() && it->first.job == job.index;) {
    const auto next = std::next(it);
    auto& placement = it->second;
    if (placement.stage == PlacementStage::assigned) {
      state_.placements.vacate(machine, it);
    } else {
      any = true;
      if (!placement.stopping)
        context_.metrics().add(telemetry::Count::stops, telemetry::StopReason::cancelled);
      placement.stopping = machine.stopping = true;
      placement.grace_s = 0;
    }
    it = next;
  }
  return any;
}

// ---- the end ------------------------------------------------------------------------------------

void JobLifecycle::finish(Ms now, const std::string& id, bool cancelled) {
  context_.log(cancelled ? Event::job_gone : Event::job_done, id);
  remove(now, id);
  dependencies_.forget(id);
  dependencies_.settle(now, id, cancelled ? Outcome::cancelled : Outcome::done, true);
}

void JobLifecycle::remove(Ms now, const std::string& id) {
  auto* job = state_.jobs.find(id);
  if (job == nullptr) return;
  state_.served.ended(now, LeaderState::who(*job), job->cancelled, job->has_run);
  for (auto* machine : state_.machines.all()) state_.placements.vacate_job(*machine, *job);
  state_.quotas.add_usage(*job, -static_cast<double>(job->unknown));
  state_.failures.forget_job(job->index);
  dependencies_.remove(id);
  state_.jobs.remove(id);
  dependencies_.look_for_outcome(id);
  state_.placement_needed = true;
}

}  // namespace hitchfront::core
