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

constexpr double kRounding = 1e-9;

wire::BadField never_done(const std::string& service) {
  return {"Awaits", service + " is a service, which is never done"};
}

bool allows(const wire::Job& job, const wire::MachineType& type) {
  if (job.types && std::find(job.types->begin(), job.types->end(), type.name) == job.types->end())
    return false;
  return !job.zone ||
         std::find(type.zones.begin(), type.zones.end(), *job.zone) != type.zones.end();
}

bool fits(const wire::Job& job, const wire::MachineType& type) {
  return job.cpus <= type.cpus + kRounding && job.gpus <= type.gpus + kRounding &&
         job.memory_gb <= type.memory_gb + kRounding;
}

}  // namespace

void SubmitRequest::start(Ms now, JobApiContext& context, std::uint64_t request,
                          std::string_view body, std::int64_t wall_ms) {
  auto parsed = wire::parse_job(body);
  const std::shared_ptr<SubmitRequest> submit(new SubmitRequest(context, request, parsed.known_id));
  if (!parsed.job && parsed.known_id.empty()) return submit->deny(400, *parsed.bad);
  // A repeat of what was accepted is never refused for load: it has no write to wait for.
  if (submit->is_known_repeat(parsed)) return submit->respond_to_repeat(now);
  if (context.store.unreachable(now)) return submit->refuse(Refusal::store);
  if (context.store.is_queue_full(Rank::user)) return submit->refuse(Refusal::busy);
  const auto denial = submit->denial_of(parsed);
  if (denial || context.types.empty()) return submit->look_up_before_denying(now, denial);
  if (const auto outcome = context.records.known_outcome(parsed.known_id)) {
    FoundJob found;
    found.outcome = *outcome;
    return submit->respond_found(now, found);
  }
  submit->check(now, std::move(*parsed.job), wall_ms);
}

// ---- repeats ------------------------------------------------------------------------------------

bool SubmitRequest::is_known_repeat(const wire::ParsedJob& parsed) const {
  const auto& records = context_.records;
  return parsed.job && !records.has_answered_outcome(id_) && records.replica().knows(id_) &&
         !records.replica().outcome_of(id_);
}

void SubmitRequest::respond_to_repeat(Ms now) {
  if (context_.store.unreachable(now)) return refuse(Refusal::store);
  context_.cache.ask(now, id_,
                     [submit = self<SubmitRequest>()](Ms t, bool store_answered,
                                                      const UnfinishedJobCache::Job* job) {
                       if (!store_answered) return submit->refuse(Refusal::store);
                       if (job == nullptr) return submit->look_up_repeat(t);
                       submit->respond_to_cached(t, *job);
                     });
}

void SubmitRequest::respond_to_cached(Ms now, const UnfinishedJobCache::Job& job) {
  if (job.cancelled) {
    context_.records.remember_outcome(id_, {true, 0});
    return respond_cancelled_status(now);
  }
  const auto status = job.surely_launched ? wire::kRunning : wire::kPending;
  unless_cancelled_with(now, job.awaits, [submit = self<SubmitRequest>(), status](Ms) {
    submit->respond_status(200, status);
  });
}

void SubmitRequest::look_up_repeat(Ms now) {
  context_.records.look_up(now, id_, [submit = self<SubmitRequest>()](Ms t, const FoundJob& found) {
    if (found.failed) return submit->refuse(Refusal::store);
    if (found.exists()) return submit->respond_found(t, found);
    // Neither unfinished nor over by the store, and known all the same.
    submit->context_.host.data_loss_proven(t);
    submit->refuse(Refusal::level);
  });
}

// ---- submissions that can't be accepted ---------------------------------------------------------

std::optional<SubmitRequest::Denial> SubmitRequest::denial_of(const wire::ParsedJob& parsed) const {
  if (!parsed.job) return Denial{400, *parsed.bad};
  if (context_.types.empty()) return std::nullopt;
  if (auto bad = can_never_run(*parsed.job)) return Denial{422, std::move(*bad)};
  return std::nullopt;
}

std::optional<wire::BadField> SubmitRequest::can_never_run(const wire::Job& job) const {
  const auto& teams = context_.platform.teams;
  const auto team =
      std::find_if(teams.begin(), teams.end(), [&](const Team& t) { return t.name == job.team; });
  if (team == teams.end()) return wire::BadField{"Desk", "unknown team"};
  const double at_once = job.form == wire::Form::service ? job.tasks : 1;
  if (job.cpus * at_once > team->cpus_max + kRounding)
    return wire::BadField{"Cpus", "over the team's limit"};
  if (job.gpus * at_once > team->gpus_max + kRounding)
    return wire::BadField{"Cards", "over the team's limit"};
  const bool can_run =
      std::any_of(context_.types.begin(), context_.types.end(),
                  [&](const auto& type) { return allows(job, type) && fits(job, type); });
  if (can_run) return std::nullopt;
  return wire::BadField{"Rigs", "a task fits no allowed machine type"};
}

// A repeat of an accepted job must get 200, whatever its body says now and however little this node
// knows about machines. Nothing to deny: only the machine types are missing.
void SubmitRequest::look_up_before_denying(Ms now, std::optional<Denial> denial) {
  const bool known = context_.records.replica().knows(id_);
  context_.records.look_up(now, id_,
                           [submit = self<SubmitRequest>(), denial = std::move(denial), known](
                               Ms t, const FoundJob& found) {
                             if (found.failed) return submit->refuse(Refusal::store);
                             if (found.exists()) return submit->respond_found(t, found);
                             if (!denial) return submit->refuse(Refusal::types);
                             if (!submit->may_be_new(t, known)) return;
                             submit->deny(denial->status, denial->bad);
                           });
}

// ---- acceptance ---------------------------------------------------------------------------------

void SubmitRequest::check(Ms now, wire::Job job, std::int64_t wall_ms) {
  // Its first tasks count as launched from the start, which saves a job's leader one write in four
  // or more. A watermark may be too high, never too low: where no allocation log can be believed,
  // they are unknown though they may never have been launched.
  const std::uint32_t launch_watermark = std::min(job.tasks, kInitialLaunchWatermark);
  record_ = {std::move(job), wall_ms, false, launch_watermark};
  const auto bytes = wire::encode(record_).size() + wire::kRecordGrowth;
  if (bytes > context_.platform.store.value_bytes())
    return deny(400, {"", "description too large"});
  // A process that has just started and has heard nobody may stand before a store that has lost
  // this very job's end.
  if (!context_.host.may_accept(now)) return refuse(Refusal::again);
  if (!record_.job.awaits.empty()) return check_dependencies(now);
  store(now);
}

void SubmitRequest::store(Ms now) {
  if (!record_.job.awaits.empty() && !context_.host.supports_dependencies())
    return refuse(Refusal::level);
  wire::Txn txn;
  txn.if_version(unfinished_key(id_), 0)
      .if_version(outcome_key(id_), 0)
      .put(unfinished_key(id_), wire::encode(record_));
  const bool known = context_.records.replica().knows(id_);
  context_.store.commit(
      now, Rank::user, txn,
      [submit = self<SubmitRequest>(), known](Ms t, int status, std::string_view) {
        submit->stored(t, known, status);
      });
}

void SubmitRequest::stored(Ms now, bool known, int status) {
  if (status == 409) return look_up_conflict(now);
  // Without an answer the job may have been stored or may be later: the user's retry, under the
  // same id, finds out.
  if (status != 200) return refuse(Refusal::store);
  // Neither unfinished nor over by the store, and known all the same.
  if (known) {
    context_.host.data_loss_proven(now);
    return refuse(Refusal::level);
  }
  context_.records.publish_unfinished(id_, record_);
  if (record_.cancelled) return respond_cancelled_status(now);
  respond_status(201, wire::kPending);
}

void SubmitRequest::look_up_conflict(Ms now) {
  context_.records.look_up(now, id_, [submit = self<SubmitRequest>()](Ms t, const FoundJob& found) {
    if (found.exists()) return submit->respond_found(t, found);
    // The record was formed under a level that has passed; the new one has been read meanwhile.
    if (!found.failed && std::exchange(submit->may_store_again_, false)) return submit->store(t);
    submit->refuse(Refusal::again);
  });
}

// ---- dependencies -------------------------------------------------------------------------------

void SubmitRequest::check_dependencies(Ms now) {
  for (const auto& name : record_.job.awaits)
    if (!context_.records.replica().knows(name)) unchecked_dependencies_.push_back(name);
  const bool supported = context_.host.supports_dependencies();
  if (supported && unchecked_dependencies_.empty()) return take_dependencies(now);
  // A repeat of an accepted job is answered whatever it depends on.
  context_.records.look_up(
      now, id_, [submit = self<SubmitRequest>(), supported](Ms t, const FoundJob& found) {
        if (found.failed) return submit->refuse(Refusal::store);
        if (found.exists()) return submit->respond_found(t, found);
        if (!supported) return submit->refuse(Refusal::level);
        submit->look_up_dependencies(t);
      });
}

// One after the other.
void SubmitRequest::look_up_dependencies(Ms now) {
  if (unchecked_dependencies_.empty()) return take_dependencies(now);
  const auto name = std::move(unchecked_dependencies_.back());
  unchecked_dependencies_.pop_back();
  const bool known = context_.records.replica().knows(name);
  context_.records.look_up(
      now, name, [submit = self<SubmitRequest>(), name, known](Ms t, const FoundJob& found) {
        submit->dependency_found(t, name, known, found);
      });
}

void SubmitRequest::dependency_found(Ms now, const std::string& name, bool known,
                                     const FoundJob& found) {
  if (found.failed) return refuse(Refusal::store);
  if (found.unfinished && found.unfinished->job.form == wire::Form::service)
    return deny(422, never_done(name));
  if (found.exists()) return look_up_dependencies(now);
  if (may_be_new(now, known)) deny(422, {"Awaits", name + " was never accepted"});
}

// All of them were accepted. The job is cancelled from the start where one of them is.
void SubmitRequest::take_dependencies(Ms now) {
  for (const auto& name : record_.job.awaits) {
    if (const auto bad = cannot_be_awaited(name)) return deny(422, *bad);
    record_.cancelled = record_.cancelled || context_.records.is_known_cancelled(name);
  }
  store(now);
}

std::optional<wire::BadField> SubmitRequest::cannot_be_awaited(const std::string& id) const {
  const auto& unfinished = context_.records.replica().unfinished();
  const auto it = unfinished.find(id);
  if (it == unfinished.end()) return std::nullopt;
  const auto record =
      wire::decode_unfinished_job(nlohmann::json::parse(it->second.record, nullptr, false));
  if (!record || record->job.form != wire::Form::service) return std::nullopt;
  return never_done(id);
}

}  // namespace hitchfront::core
