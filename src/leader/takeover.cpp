#include "leader/takeover.hpp"

#include <algorithm>

#include "settings/constants.hpp"
#include "wire/job_keys.hpp"

namespace hitchfront::core {
using namespace settings;
using Rank = StoreClient::Rank;

// --- loading the stored state ---

void Takeover::load_jobs(Ms now, const std::string& after, Ms requested_at) {
  context_.store.range(now, Rank::leader, wire::kUnfinishedJobPrefix, after,
                       context_.guarded([this, after, requested_at](Ms received_at, int status,
                                                                    std::string_view body) {
                         const auto page = status == 200 ? wire::parse_page(body) : std::nullopt;
                         if (!page) return load_jobs(received_at, after, requested_at);
                         if (after.empty())
                           revision_ = std::max(context_.leader_key_version, page->revision);
                         for (const auto& item : page->items)
                           jobs_.add(received_at,
                                     item.key.substr(wire::kUnfinishedJobPrefix.size()), item.value,
                                     item.version);
                         if (page->more && !page->items.empty())
                           return load_jobs(received_at, page->items.back().key, requested_at);
                         context_.environment.on_jobs_read(requested_at);
                         load_progress(received_at, "");
                       }));
}

void Takeover::load_progress(Ms now, const std::string& after) {
  context_.store.range(
      now, Rank::leader, wire::kJobProgressPrefix, after,
      context_.guarded([this, after](Ms received_at, int status, std::string_view body) {
        const auto page = status == 200 ? wire::parse_page(body) : std::nullopt;
        if (!page) return load_progress(received_at, after);
        for (const auto& item : page->items) apply_progress(item);
        if (page->more && !page->items.empty())
          return load_progress(received_at, page->items.back().key);
        recorder_.load(received_at,
                       [this](Ms loaded_at, const auto& chunks) { on_loaded(loaded_at, chunks); });
      }));
}

void Takeover::apply_progress(const wire::Item& item) {
  const auto key = wire::parse_progress_key(item.key);
  auto* job = key ? state_.jobs.find(key->job) : nullptr;
  if (job == nullptr || key->chunk >= job->chunks() || !item.value.is_string()) return;
  job->merge_chunk(key->chunk, item.version, item.value.get<std::string>());
  job->chunk_dirty[key->chunk] = false;
}

void Takeover::on_loaded(Ms now, const std::vector<AllocationRecorder::StoredChunk>& chunks) {
  state_.loaded = true;
  auto& dependencies = jobs_.dependencies();
  for (const auto& [id, job] : state_.jobs) dependencies.inherit_priority(*job);
  dependencies.resolve(now);
  reconciliation_.set_inherited_complete_log(recorder_.enabled() &&
                                             context_.election.allocation_log_complete());
  restore_allocations(now, chunks);
  for (auto& [id, job] : state_.jobs) {
    if (job->done > 0) {
      state_.failures.record_earlier_completion(job->index);
      state_.record_started(*job);
    }
    mark_unknown_tasks(*job);
  }
  log_loaded();
  std::vector<std::string> ids;
  for (const auto& [id, job] : state_.jobs) ids.push_back(id);
  for (const auto& id : ids)
    if (auto* job = state_.jobs.find(id); job != nullptr && (job->complete() || job->cancelled))
      writer_.persist(now, *job);
  listener_.on_takeover_loaded(now, revision_);
  state_.placement_needed = true;
}

void Takeover::mark_unknown_tasks(JobState& job) {
  // A job is never launched while one of its dependencies is unfinished.
  const auto dependency = jobs_.dependencies().first_awaited(job.spec.id);
  const bool never_launched = job.blocked && state_.jobs.find(dependency) != nullptr;
  if (context_.election.allocation_log_complete() || never_launched) return;
  for (std::uint32_t task = 0; task < std::min(job.launch_watermark, job.spec.tasks); ++task)
    if (job.phase[task] == TaskPhase::waiting) state_.placements.mark_unknown(job, task);
}

Takeover::TaskTotals Takeover::task_totals() const {
  TaskTotals totals;
  for (const auto& [id, job] : state_.jobs) {
    totals.placed += job->placed;
    totals.unknown += job->unknown;
  }
  return totals;
}

void Takeover::log_loaded() const {
  const auto& machines = state_.machines.all();
  const auto recovered = std::count_if(machines.begin(), machines.end(),
                                       [](const Machine* machine) { return machine->recovered; });
  const char* const log_status = context_.election.allocation_log_complete() ? "whole"
                                 : recorder_.enabled()                       ? "partial"
                                                                             : "none";
  const auto totals = task_totals();
  context_.log(Event::takeover_loaded, context_.term, state_.jobs.size(), log_status, recovered,
               totals.placed, totals.unknown);
}

// --- launches of earlier leaders ---

// Each task in the log is restored as if this leader had launched it: it counts as on its machine
// until it is proved gone. An incomplete log is not used: a task that is missing from it may still
// be running.
void Takeover::restore_allocations(Ms now,
                                   const std::vector<AllocationRecorder::StoredChunk>& chunks) {
  const bool complete = context_.election.allocation_log_complete();
  for (const auto& chunk : chunks) recorder_.adopt(chunk, complete);
  if (!complete) return;
  for (const auto& chunk : chunks)
    for (const auto& machine : chunk.machines) restore_machine(now, machine);
}

void Takeover::restore_machine(Ms now, const wire::MachineAllocation& stored) {
  auto* machine = state_.machines.find(stored.name);
  if (machine == nullptr)
    machine = registry_.add(now, stored.name, stored.type, stored.zone, stored.spot);
  if (machine == nullptr) return restore_unknown_type(stored);
  machine->recovered = machine->recovered || stored.up || !stored.tasks.empty();
  machine->lease_expires_at = reconciliation_.ends_at();
  machine->billed_since = std::min(now, context_.to_steady(stored.billed_since_s * 1000));
  for_each_task(stored,
                [&](JobState& job, std::uint32_t task) { restore_task(now, *machine, job, task); });
}

void Takeover::for_each_task(const wire::MachineAllocation& stored,
                             const std::function<void(JobState& job, std::uint32_t task)>& visit) {
  for (const auto& group : stored.tasks)
    if (auto* job = state_.jobs.find(group.job))
      for (const auto task : group.tasks)
        if (task < job->spec.tasks) visit(*job, task);
}

void Takeover::restore_task(Ms now, Machine& machine, JobState& job, std::uint32_t task) {
  // A completed task that is still in the allocation log has usually just ended there. With direct
  // launches, however, an earlier leader's command may still be in transit; until the machine has
  // learned of this term, the launch may still be carried out.
  const bool done = job.phase[task] == TaskPhase::done;
  if (done && !direct_launches_enabled_) return;
  if (machine.tasks.contains({job.index, task})) return;
  Placement placement;
  placement.placed_at = now;
  placement.stage = PlacementStage::sent;
  placement.recorded = true;
  placement.stopping = job.cancelled;
  auto& placed = state_.placements.add_placement(machine, job, task, placement);
  PlacementLedger::set_in_flight(placed, done);
  machine.record_image(job.image);  // the only information about the machine's image cache
}

// Without its type the machine can't be added to the machine table. Its tasks may be running, and
// stay unknown until its type is learned or its lease has expired. Its heartbeats are refused
// meanwhile, so its lease is not renewed.
void Takeover::restore_unknown_type(const wire::MachineAllocation& stored) {
  recorder_.keep_unknown_type(stored);
  for_each_task(stored, [this](JobState& job, std::uint32_t task) {
    state_.placements.mark_unknown(job, task);
  });
}

void Takeover::restore_learned_types(Ms now) {
  if (!state_.loaded || !reconciliation_.open() || !recorder_.has_unknown_types()) return;
  const auto entries = recorder_.take_unknown_types();
  for (const auto& [name, stored] : entries)
    for_each_task(stored, PlacementLedger::mark_reconciled);
  // Tasks of machines whose types are still unknown are marked as unknown again.
  for (const auto& [name, stored] : entries) restore_machine(now, stored);
  state_.placement_needed = true;
  const auto still_unknown = recorder_.unknown_type_count();
  if (still_unknown == entries.size()) return;
  const auto totals = task_totals();
  context_.log(Event::takeover_types_learned, context_.term, entries.size() - still_unknown,
               totals.placed, totals.unknown);
}

// --- reconciliation ---

void Takeover::close_reconciliation_if_due(Ms now) {
  if (!reconciliation_.open() || !state_.loaded || now <= reconciliation_.ends_at()) return;
  reconciliation_.close();
  state_.placements.set_reconciling(false);
  std::vector<JobState*> cancelled_jobs;
  recorder_.forget_unknown_types(now);
  for (auto& [id, job] : state_.jobs) {
    job->unreconciled.clear();
    if (job->unknown == 0) continue;
    reconciliation_.count_unplaced_tasks(job->unknown);
    state_.placements.requeue_unknown(*job);
    if (job->cancelled) cancelled_jobs.push_back(job.get());
  }
  for (auto* job : cancelled_jobs) writer_.persist(now, *job);
  state_.placement_needed = true;
}

void Takeover::finish_if_reconciled(Ms now) {
  if (reconciliation_.finished() || !state_.loaded) return;
  const bool complete =
      context_.election.allocation_log_complete() && !recorder_.has_unknown_types();
  if (!complete && reconciliation_.open()) return;
  const auto& machines = state_.machines.all();
  if (std::any_of(machines.begin(), machines.end(), [](const Machine* machine) {
        return machine->recovered && !machine->lost && !machine->tasks.empty();
      }))
    return;
  reconciliation_.finish();
  const double seconds = static_cast<double>(now - reconciliation_.began_at()) / 1000;
  context_.log(Event::takeover_reconciled, context_.term, seconds,
               reconciliation_.silent_machines(), reconciliation_.unplaced_tasks());
  context_.metrics().observe(telemetry::Histogram::reconciliation_seconds, seconds);
  // Even if the inherited log was incomplete, all tasks that may be running are known by now.
  if (recorder_.enabled() && !context_.election.allocation_log_complete())
    recorder_.rewrite_as_complete(now);
}

}  // namespace hitchfront::core
