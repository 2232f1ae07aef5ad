#include "api/submit_request.hpp"

#include <algorithm>
#include <utility>

#include "api/job_keys.hpp"
#include "settings/constants.hpp"

namespace hitchfront::core {
using namespace settings;
using Rank = StoreClient::Rank;
using telemetry::Refusal;
namespace {

// Absorbs floating-point rounding of CPUs, GPUs and GB.
constexpr double kResourceTolerance = 1e-9;

wire::FieldError service_dependency_error(const std::string& service) {
  return {"Awaits", service + " is a service, which is never done"};
}

bool allows(const wire::Job& job, const wire::MachineType& type) {
  if (job.types && std::find(job.types->begin(), job.types->end(), type.name) == job.types->end())
    return false;
  return !job.zone ||
         std::find(type.zones.begin(), type.zones.end(), *job.zone) != type.zones.end();
}

bool fits(const wire::Job& job, const wire::MachineType& type) {
  return job.cpus <= type.cpus + kResourceTolerance && job.gpus <= type.gpus + kResourceTolerance &&
         job.memory_gb <= type.memory_gb + kResourceTolerance;
}

}  // namespace

void SubmitRequest::start(Ms now, JobApiContext& context, std::uint64_t request,
                          std::string_view body, std::int64_t wall_ms) {
  auto parsed = wire::parse_job(body);
  const std::shared_ptr<SubmitRequest> submit(new SubmitRequest(context, request, parsed.known_id));
  if (!parsed.job && parsed.known_id.empty()) return submit->reject(400, *parsed.error);
  // The resubmission of an accepted job is never refused because of load: it needs no write.
  if (submit->is_known_resubmission(parsed)) return submit->respond_to_resubmission(now);
  if (context.store.unreachable(now)) return submit->refuse(Refusal::store);
  if (context.store.is_queue_full(Rank::user)) return submit->refuse(Refusal::busy);
  const auto rejection = submit->rejection_for(parsed);
  if (rejection || context.machine_types.empty())
    return submit->look_up_before_rejecting(now, rejection);
  if (const auto outcome = context.records.known_outcome(parsed.known_id)) {
    JobLookup lookup;
    lookup.outcome = *outcome;
    return submit->respond_existing(now, lookup);
  }
  submit->accept(now, std::move(*parsed.job), wall_ms);
}

// --- resubmissions ---

bool SubmitRequest::is_known_resubmission(const wire::ParsedJob& parsed) const {
  const auto& records = context_.records;
  return parsed.job && !records.has_cached_outcome(id_) && records.replica().contains(id_) &&
         !records.replica().outcome_of(id_);
}

void SubmitRequest::respond_to_resubmission(Ms now) {
  if (context_.store.unreachable(now)) return refuse(Refusal::store);
  context_.cache.query(now, id_,
                       [submit = self<SubmitRequest>()](Ms t, bool store_answered,
                                                        const UnfinishedJobCache::Job* job) {
                         if (!store_answered) return submit->refuse(Refusal::store);
                         if (job == nullptr) return submit->look_up_resubmission(t);
                         submit->respond_from_cache(t, *job);
                       });
}

void SubmitRequest::respond_from_cache(Ms now, const UnfinishedJobCache::Job& job) {
  if (job.cancelled) {
    context_.records.cache_outcome(id_, {true, 0});
    return respond_cancelled_status(now);
  }
  const auto status = job.has_launched ? wire::kRunning : wire::kPending;
  continue_unless_dependency_cancelled(
      now, job.dependencies,
      [submit = self<SubmitRequest>(), status](Ms) { submit->respond_status(200, status); });
}

void SubmitRequest::look_up_resubmission(Ms now) {
  context_.records.look_up(now, id_,
                           [submit = self<SubmitRequest>()](Ms t, const JobLookup& lookup) {
                             if (lookup.failed) return submit->refuse(Refusal::store);
                             if (lookup.exists()) return submit->respond_existing(t, lookup);
                             // The job is known to have been accepted, and the store has neither of
                             // its records.
                             submit->context_.host.report_data_loss_evidence(t);
                             submit->refuse(Refusal::level);
                           });
}

// --- invalid submissions ---

std::optional<SubmitRequest::Rejection> SubmitRequest::rejection_for(
    const wire::ParsedJob& parsed) const {
  if (!parsed.job) return Rejection{400, *parsed.error};
  if (context_.machine_types.empty()) return std::nullopt;
  if (auto error = unsatisfiable_requirement(*parsed.job)) return Rejection{422, std::move(*error)};
  return std::nullopt;
}

std::optional<wire::FieldError> SubmitRequest::unsatisfiable_requirement(
    const wire::Job& job) const {
  const auto& teams = context_.platform.teams;
  const auto team = std::find_if(teams.begin(), teams.end(),
                                 [&](const Team& candidate) { return candidate.name == job.team; });
  if (team == teams.end()) return wire::FieldError{"Desk", "unknown team"};
  const double concurrent_tasks = job.form == wire::JobForm::service ? job.tasks : 1;
  if (job.cpus * concurrent_tasks > team->cpus_max + kResourceTolerance)
    return wire::FieldError{"Cpus", "over the team's limit"};
  if (job.gpus * concurrent_tasks > team->gpus_max + kResourceTolerance)
    return wire::FieldError{"Cards", "over the team's limit"};
  const bool can_run =
      std::any_of(context_.machine_types.begin(), context_.machine_types.end(),
                  [&](const auto& type) { return allows(job, type) && fits(job, type); });
  if (can_run) return std::nullopt;
  return wire::FieldError{"Rigs", "a task fits no allowed machine type"};
}

// The resubmission of an accepted job must get 200, even if its body is now invalid or the machine
// types are not loaded. Without `rejection`, only the machine types are missing.
void SubmitRequest::look_up_before_rejecting(Ms now, std::optional<Rejection> rejection) {
  const bool was_known = context_.records.replica().contains(id_);
  context_.records.look_up(now, id_,
                           [submit = self<SubmitRequest>(), rejection = std::move(rejection),
                            was_known](Ms t, const JobLookup& lookup) {
                             if (lookup.failed) return submit->refuse(Refusal::store);
                             if (lookup.exists()) return submit->respond_existing(t, lookup);
                             if (!rejection) return submit->refuse(Refusal::machine_types_unknown);
                             if (!submit->confirm_unknown_or_refuse(t, was_known)) return;
                             submit->reject(rejection->status, rejection->error);
                           });
}

// --- acceptance ---

void SubmitRequest::accept(Ms now, wire::Job job, std::int64_t wall_ms) {
  // The first tasks count as possibly launched from the start, which saves a watermark write before
  // they are launched. A watermark may be too high but never too low. Too high only means that,
  // when the allocation log cannot be trusted, tasks that were never launched are treated as
  // unknown.
  const std::uint32_t launch_watermark = std::min(job.tasks, kInitialLaunchWatermark);
  record_ = {std::move(job), wall_ms, false, launch_watermark};
  const auto bytes = wire::encode(record_).size() + wire::kMaxRecordGrowthBytes;
  if (bytes > context_.platform.store.value_bytes())
    return reject(400, {"", "description too large"});
  // Until this process has heard from another controller, it cannot rule out that the store has
  // lost this job's final state.
  if (!context_.host.may_accept(now)) return refuse(Refusal::try_again);
  if (!record_.job.dependencies.empty()) return check_dependencies(now);
  store(now);
}

void SubmitRequest::store(Ms now) {
  if (!record_.job.dependencies.empty() && !context_.host.supports_dependencies())
    return refuse(Refusal::level);
  wire::Txn txn;
  txn.if_version(unfinished_key(id_), 0)
      .if_version(outcome_key(id_), 0)
      .put(unfinished_key(id_), wire::encode(record_));
  const bool was_known = context_.records.replica().contains(id_);
  context_.store.commit(
      now, Rank::user, txn,
      [submit = self<SubmitRequest>(), was_known](Ms t, int status, std::string_view) {
        submit->on_stored(t, was_known, status);
      });
}

void SubmitRequest::on_stored(Ms now, bool was_known, int status) {
  if (status == 409) return resolve_conflict(now);
  // Without a response it is unknown whether the job has been or will be stored. The user's retry
  // with the same id resolves this.
  if (status != 200) return refuse(Refusal::store);
  // The job is known to have been accepted, and the store had neither of its records.
  if (was_known) {
    context_.host.report_data_loss_evidence(now);
    return refuse(Refusal::level);
  }
  context_.records.publish_unfinished(id_, record_);
  if (record_.cancelled) return respond_cancelled_status(now);
  respond_status(201, wire::kPending);
}

void SubmitRequest::resolve_conflict(Ms now) {
  context_.records.look_up(now, id_,
                           [submit = self<SubmitRequest>()](Ms t, const JobLookup& lookup) {
                             if (lookup.exists()) return submit->respond_existing(t, lookup);
                             // The conflict was with the feature level, which has changed and been
                             // read again: retry once.
                             if (!lookup.failed && std::exchange(submit->may_retry_store_, false))
                               return submit->store(t);
                             submit->refuse(Refusal::try_again);
                           });
}

// --- dependencies ---

void SubmitRequest::check_dependencies(Ms now) {
  for (const auto& dependency_id : record_.job.dependencies)
    if (!context_.records.replica().contains(dependency_id))
      unchecked_dependencies_.push_back(dependency_id);
  const bool supported = context_.host.supports_dependencies();
  if (supported && unchecked_dependencies_.empty()) return apply_dependencies(now);
  // The resubmission of an accepted job is answered whatever its dependencies.
  context_.records.look_up(
      now, id_, [submit = self<SubmitRequest>(), supported](Ms t, const JobLookup& lookup) {
        if (lookup.failed) return submit->refuse(Refusal::store);
        if (lookup.exists()) return submit->respond_existing(t, lookup);
        if (!supported) return submit->refuse(Refusal::level);
        submit->look_up_dependencies(t);
      });
}

// Looks them up sequentially.
void SubmitRequest::look_up_dependencies(Ms now) {
  if (unchecked_dependencies_.empty()) return apply_dependencies(now);
  const auto dependency_id = std::move(unchecked_dependencies_.back());
  unchecked_dependencies_.pop_back();
  const bool was_known = context_.records.replica().contains(dependency_id);
  context_.records.look_up(
      now, dependency_id,
      [submit = self<SubmitRequest>(), dependency_id, was_known](Ms t, const JobLookup& lookup) {
        submit->process_dependency(t, dependency_id, was_known, lookup);
      });
}

void SubmitRequest::process_dependency(Ms now, const std::string& dependency_id, bool was_known,
                                       const JobLookup& lookup) {
  if (lookup.failed) return refuse(Refusal::store);
  if (lookup.unfinished && lookup.unfinished->job.form == wire::JobForm::service)
    return reject(422, service_dependency_error(dependency_id));
  if (lookup.exists()) return look_up_dependencies(now);
  if (confirm_unknown_or_refuse(now, was_known))
    reject(422, {"Awaits", dependency_id + " was never accepted"});
}

// Called once all dependencies are known to have been accepted. If one of them is cancelled, the
// job is stored as cancelled.
void SubmitRequest::apply_dependencies(Ms now) {
  for (const auto& dependency_id : record_.job.dependencies) {
    if (const auto error = invalid_dependency(dependency_id)) return reject(422, *error);
    record_.cancelled = record_.cancelled || context_.records.is_known_cancelled(dependency_id);
  }
  store(now);
}

std::optional<wire::FieldError> SubmitRequest::invalid_dependency(const std::string& id) const {
  const auto& unfinished = context_.records.replica().unfinished();
  const auto it = unfinished.find(id);
  if (it == unfinished.end()) return std::nullopt;
  const auto record =
      wire::decode_unfinished_job(nlohmann::json::parse(it->second.record, nullptr, false));
  if (!record || record->job.form != wire::JobForm::service) return std::nullopt;
  return service_dependency_error(id);
}

}  // namespace hitchfront::core
