#include "recovery/recovery_plan.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "settings/constants.hpp"
#include "wire/job_keys.hpp"

namespace hitchfront::recovery {
using nlohmann::json;
using settings::kTasksPerProgressChunk;
namespace {

using Writes = std::vector<PlannedWrite>;

// In the order of keys and the spacing in which values of the store are compared.
std::string normalized(const std::string& text) {
  return json::parse(text).dump();
}

void put_if_different(Writes& writes, const StoredValues& stored, const std::string& key,
                      std::string text) {
  const auto it = stored.find(key);
  if (it == stored.end() || it->second.text != text) writes.push_back({key, std::move(text)});
}

// Whether the store says the same of a final state: two that differ in the count alone do.
bool outcome_is_stored(const StoredValues& stored, const std::string& key,
                       const wire::JobOutcome& outcome) {
  const auto it = stored.find(key);
  if (it == stored.end()) return false;
  const auto found = wire::decode_job_outcome(json::parse(it->second.text));
  return found && found->cancelled == outcome.cancelled;
}

Writes plan_outcome(const std::string& job, const wire::JobOutcome& outcome,
                    const StoredValues& stored) {
  Writes writes;
  const auto outcome_key = wire::job_outcome_key(job);
  if (!outcome_is_stored(stored, outcome_key, outcome))
    writes.push_back({outcome_key, normalized(wire::encode(outcome))});
  const auto unfinished_key = wire::unfinished_job_key(job);
  if (stored.contains(unfinished_key)) writes.push_back({unfinished_key, {}});
  // A store that went back has the job's progress still, which nobody would ever remove, nor bring
  // into another form.
  const auto prefix = wire::job_progress_prefix(job);
  for (auto it = stored.lower_bound(prefix); it != stored.end() && it->first.starts_with(prefix);
       ++it)
    writes.push_back({it->first, {}});
  return writes;
}

// Tasks of a chunk that any of the texts has as done.
std::vector<bool> merged_progress(const std::set<std::string>& texts, std::uint32_t chunk_tasks) {
  std::vector<bool> done(chunk_tasks);
  for (const auto& text : texts) {
    const auto progress = wire::decode_progress(text, chunk_tasks);
    if (!progress) continue;
    for (const auto task : progress->done) done[task] = true;
  }
  return done;
}

// A leader tells the others a job's launch watermark before it launches beyond it, so the highest
// that anybody knows says which tasks may be running.
Writes plan_unfinished(const std::string& job, const Unfinished& unfinished,
                       const StoredValues& stored, const RecoveryPlanOptions& options) {
  auto record = wire::decode_unfinished_job(json::parse(unfinished.record, nullptr, false));
  // Nothing but progress is known of it: it was never accepted, or is over.
  if (!record) return {};
  record->cancelled = record->cancelled || unfinished.cancelled;
  record->launch_watermark = options.assume_all_launched
                                 ? record->job.tasks
                                 : std::max(record->launch_watermark, unfinished.launch_watermark);
  Writes writes;
  put_if_different(writes, stored, wire::unfinished_job_key(job),
                   normalized(wire::encode(*record)));
  for (const auto& [chunk, texts] : unfinished.progress) {
    const auto first_task = static_cast<std::uint64_t>(chunk) * kTasksPerProgressChunk;
    if (first_task >= record->job.tasks) continue;
    const auto chunk_tasks = static_cast<std::uint32_t>(
        std::min<std::uint64_t>(kTasksPerProgressChunk, record->job.tasks - first_task));
    const auto text =
        wire::encode_progress(merged_progress(texts, chunk_tasks), options.progress_form);
    put_if_different(writes, stored, wire::encode(wire::ProgressKey{job, chunk}),
                     json(text).dump());
  }
  return writes;
}

}  // namespace

RecoveryPlan::RecoveryPlan(const StateReplica& merged, const StoredValues& stored,
                           const RecoveryPlanOptions& options) {
  for (const auto& [job, outcome] : merged.outcomes()) add(plan_outcome(job, outcome, stored));
  for (const auto& [job, unfinished] : merged.unfinished())
    add(plan_unfinished(job, unfinished, stored, options));
}

void RecoveryPlan::add(JobWrites writes) {
  if (!writes.empty()) jobs_.push_back(std::move(writes));
}

std::vector<PlannedWrite> RecoveryPlan::next_batch(const RecoveryBatchLimits& limits) const {
  std::vector<PlannedWrite> batch;
  std::size_t bytes = 0;
  for (const auto& job : jobs_) {
    if (bytes >= limits.bytes) break;
    if (!batch.empty() && batch.size() + job.size() > limits.writes) break;
    for (const auto& write : job) {
      if (batch.size() >= limits.writes) break;  // a job of many chunks: the rest follows
      bytes += write.bytes();
      batch.push_back(write);
    }
  }
  return batch;
}

void RecoveryPlan::confirm(std::size_t writes) {
  while (writes > 0 && !jobs_.empty()) {
    auto& job = jobs_.front();
    const auto confirmed = std::min(writes, job.size());
    writes -= confirmed;
    job.erase(job.begin(), job.begin() + static_cast<std::ptrdiff_t>(confirmed));
    if (job.empty()) jobs_.pop_front();
  }
}

}  // namespace hitchfront::recovery
