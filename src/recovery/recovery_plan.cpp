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

// JSON in canonical key order and spacing, so that texts can be compared.
std::string normalized(const std::string& text) {
  return json::parse(text).dump();
}

void put_if_different(Writes& writes, const StoredValues& stored, const std::string& key,
                      std::string text) {
  const auto it = stored.find(key);
  if (it == stored.end() || it->second.text != text) writes.push_back({key, std::move(text)});
}

// Whether an equivalent outcome is stored. Counts of completed tasks may differ.
bool outcome_is_stored(const StoredValues& stored, const std::string& key,
                       const wire::JobOutcome& outcome) {
  const auto it = stored.find(key);
  if (it == stored.end()) return false;
  const auto stored_outcome = wire::decode_job_outcome(json::parse(it->second.text));
  return stored_outcome && stored_outcome->cancelled == outcome.cancelled;
}

Writes plan_outcome(const std::string& job, const wire::JobOutcome& outcome,
                    const StoredValues& stored) {
  Writes writes;
  const auto outcome_key = wire::job_outcome_key(job);
  if (!outcome_is_stored(stored, outcome_key, outcome))
    writes.push_back({outcome_key, normalized(wire::encode(outcome))});
  const auto unfinished_key = wire::unfinished_job_key(job);
  if (stored.contains(unfinished_key)) writes.push_back({unfinished_key, {}});
  // A store that was rolled back may still hold the job's progress. Nothing else would remove these
  // keys or migrate them to another format.
  const auto prefix = wire::job_progress_prefix(job);
  for (auto it = stored.lower_bound(prefix); it != stored.end() && it->first.starts_with(prefix);
       ++it)
    writes.push_back({it->first, {}});
  return writes;
}

// The tasks of a chunk that are done according to any of the texts. Skips texts that do not decode.
std::vector<bool> merged_progress(const std::set<std::string>& texts, std::uint32_t chunk_tasks) {
  std::vector<bool> done(chunk_tasks);
  for (const auto& text : texts) {
    const auto progress = wire::decode_progress(text, chunk_tasks);
    if (!progress) continue;
    for (const auto task : progress->done) done[task] = true;
  }
  return done;
}

// A leader sends a job's launch watermark to the other controllers before it launches tasks beyond
// it, so the highest known watermark covers every task that may be running.
Writes plan_unfinished(const std::string& job, const ReplicatedJob& unfinished,
                       const StoredValues& stored, const RecoveryPlanOptions& options) {
  auto record = wire::decode_unfinished_job(json::parse(unfinished.record, nullptr, false));
  // Only progress is known: the job was never accepted or has ended.
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
  if (!writes.empty()) job_writes_.push_back(std::move(writes));
}

std::vector<PlannedWrite> RecoveryPlan::next_batch(const RecoveryBatchLimits& limits) const {
  std::vector<PlannedWrite> batch;
  std::size_t bytes = 0;
  for (const auto& writes : job_writes_) {
    if (bytes >= limits.bytes) break;
    if (!batch.empty() && batch.size() + writes.size() > limits.writes) break;
    for (const auto& write : writes) {
      if (batch.size() >= limits.writes) break;  // the rest of the job goes into later batches
      bytes += write.bytes();
      batch.push_back(write);
    }
  }
  return batch;
}

void RecoveryPlan::confirm(std::size_t write_count) {
  while (write_count > 0 && !job_writes_.empty()) {
    auto& writes = job_writes_.front();
    const auto confirmed = std::min(write_count, writes.size());
    write_count -= confirmed;
    writes.erase(writes.begin(), writes.begin() + static_cast<std::ptrdiff_t>(confirmed));
    if (writes.empty()) job_writes_.pop_front();
  }
}

}  // namespace hitchfront::recovery
