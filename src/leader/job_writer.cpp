#include "leader/job_writer.hpp"

#include <algorithm>

#include "settings/constants.hpp"
#include "wire/election_record.hpp"
#include "wire/job_keys.hpp"

namespace hitchfront::core {
using namespace settings;

JobState* JobWriter::find(const std::string& id, std::uint64_t index) {
  auto* job = state_.jobs.find(id);
  return job != nullptr && job->index == index ? job : nullptr;
}

void JobWriter::set_write_rate(double writes_per_s) {
  const double rate = std::max(1.0, writes_per_s * kProgressWriteShare);
  progress_budget_.set_rate(rate, rate);
}

void JobWriter::tick(Ms now) {
  std::vector<std::string> unwritten;
  for (const auto& [id, job] : state_.jobs)
    if (!job->write_in_progress && now >= job->write_retry_at &&
        (job->resync || job->write_retry_at != 0 ||
         (now >= job->progress_due_at && job->has_unwritten_progress())))
      unwritten.push_back(id);
  for (const auto& id : unwritten)
    if (auto* job = state_.jobs.find(id)) {
      job->write_retry_at = 0;
      persist(now, *job);
    }
}

void JobWriter::persist(Ms now, JobState& job) {
  if (job.write_in_progress || now < job.write_retry_at || !context_.election.leading()) return;
  if (job.resync) return resync(now, job);
  // A direct launch in transit may still start a task that has completed elsewhere. The job has to
  // count against its team's limit until then. Found as a limit exceeded 38 s after the command.
  if (!job.cancelled && job.complete() && job.in_flight == 0) return finish(now, job);
  if (job.cancelled) {
    // While a task may still be on a machine, even one that has completed elsewhere, the job must
    // stay among the known cancellations: a late launch could not be stopped otherwise. Progress of
    // cancelled jobs is not stored.
    if (job.has_no_placements()) finish(now, job);
    return;
  }
  write_progress(now, job);
}

// --- launch watermark and progress ---

// Limits progress writes, so that they don't delay launches when the store's write rate is scarce.
// Workers keep listing completed tasks until their completion is stored, so a delay loses nothing.
// Without the limit 200 transactions waited at 30 writes a second for 1,650 machines, and launches
// behind them for half a minute.
bool JobWriter::may_write_progress(Ms now, const JobState& job) {
  return now >= job.progress_due_at && (now - job.progress_due_at >= kMaxProgressDelayMs ||
                                        (context_.store.backlog_s() <= kMaxBacklogForProgressS &&
                                         progress_budget_.has_tokens(now, 1)));
}

std::vector<std::size_t> JobWriter::dirty_chunks(Ms now, const JobState& job) {
  std::vector<std::size_t> chunks;
  if (!may_write_progress(now, job)) return chunks;
  // One change is left for the watermark.
  const auto max_chunks = static_cast<std::size_t>(context_.platform.store.transaction_changes - 1);
  for (std::size_t chunk = 0; chunk < job.chunks() && chunks.size() < max_chunks; ++chunk)
    if (job.chunk_dirty[chunk]) chunks.push_back(chunk);
  return chunks;
}

void JobWriter::write_progress(Ms now, JobState& job) {
  Write write{job.spec.id,
              job.index,
              job.required_watermark > job.launch_watermark,
              job.required_watermark,
              dirty_chunks(now, job),
              {},
              {}};
  if (write.chunks.empty() && !write.has_watermark) return;
  const auto key = wire::unfinished_job_key(job.spec.id);
  wire::Txn txn;
  txn.if_version(wire::kLeaderKey, context_.leader_key_version).if_version(key, job.version);
  if (write.has_watermark)
    txn.put(key, wire::encode_within({job.spec, job.accepted_ms, false, write.watermark},
                                     context_.platform.store.value_bytes(),
                                     state_.catalog.type_names()));
  add_chunks(txn, job, write);
  job.write_in_progress = true;
  if (!write.chunks.empty()) {
    job.progress_due_at = now + kProgressWriteIntervalMs;
    progress_budget_.take(static_cast<double>(write.chunks.size()));
  }
  const auto rank = is_best_effort(job)   ? Rank::best_effort
                    : write.has_watermark ? Rank::launch
                                          : Rank::leader;
  context_.store.commit(
      now, rank, txn,
      context_.guarded([this, write](Ms received_at, int status, std::string_view body) {
        on_written(received_at, write, status, body);
      }));
}

void JobWriter::add_chunks(wire::Txn& txn, JobState& job, Write& write) const {
  write.format = context_.feature_levels.progress_form();
  for (const auto chunk : write.chunks) {
    job.chunk_dirty[chunk] = false;
    const auto key = job.chunk_key(chunk);
    txn.if_version(key, job.chunk_version[chunk])
        .put_text(key, job.encode_chunk(chunk, write.format));
    const auto first = static_cast<std::uint32_t>(chunk) * kTasksPerProgressChunk;
    for (auto task = first; task < std::min(job.spec.tasks, first + kTasksPerProgressChunk); ++task)
      if (job.phase[task] == TaskPhase::done && !job.completion_stored[task])
        write.completed.push_back(task);
  }
}

void JobWriter::on_written(Ms now, const Write& write, int status, std::string_view body) {
  auto* job = find(write.id, write.job_index);
  if (job == nullptr) return;
  job->write_in_progress = false;
  const auto revision = status == 200 ? wire::parse_revision(body) : std::nullopt;
  if (!revision) {
    for (const auto chunk : write.chunks) job->chunk_dirty[chunk] = true;
    return retry_after_failure(now, *job, status);
  }
  apply_stored_write(*job, write, *revision);
  persist(now, *job);
  // Only a new watermark triggers responses. Stored completions are cleared by the workers' next
  // regular responses.
  if (write.has_watermark) listener_.on_launches_allowed(now);
}

void JobWriter::apply_stored_write(JobState& job, const Write& write, std::uint64_t revision) {
  if (write.has_watermark) {
    job.version = std::max(job.version, revision);
    job.launch_watermark = std::max(job.launch_watermark, write.watermark);
    context_.environment.on_launch_watermark_stored(
        {job.spec, job.accepted_ms, job.cancelled, job.launch_watermark});
  }
  for (const auto chunk : write.chunks) {
    job.chunk_version[chunk] = revision;
    job.chunk_form[chunk] = write.format;
  }
  for (const auto task : write.completed)
    if (!job.completion_stored[task]) {
      job.completion_stored[task] = true;
      ++job.stored_completions;
    }
}

// Status 409: the job was changed by another node, or this node no longer leads. Status 400: the
// write was too large. Otherwise the write may have been applied. In all cases the records are read
// again before the next write.
void JobWriter::retry_after_failure(Ms now, JobState& job, int status) {
  job.resync = true;
  if (status != 409)
    job.write_retry_at = now + (status == 400 ? kTooLargeWriteRetryDelayMs : kStoreRetryDelayMs);
  persist(now, job);
}

// --- outcomes ---

void JobWriter::finish(Ms now, JobState& job) {
  const auto& id = job.spec.id;
  wire::Txn txn;
  txn.if_version(wire::kLeaderKey, context_.leader_key_version)
      .if_version(wire::unfinished_job_key(id), job.version);
  txn.put(wire::job_outcome_key(id), wire::encode(wire::JobOutcome{job.cancelled, job.done}))
      .drop(wire::unfinished_job_key(id));
  const auto max_changes = context_.platform.store.transaction_changes;
  for (std::size_t chunk = 0; chunk < job.chunks() && txn.writes() < max_changes; ++chunk)
    if (job.chunk_version[chunk] != 0) txn.drop(job.chunk_key(chunk));
  job.write_in_progress = true;
  // Dependent jobs can't start before this is stored.
  const auto rank = listener_.is_awaited(id) ? Rank::launch
                    : is_best_effort(job)    ? Rank::best_effort
                                             : Rank::leader;
  context_.store.commit(now, rank, txn,
                        context_.guarded([this, id, index = job.index, cancelled = job.cancelled](
                                             Ms received_at, int status, std::string_view) {
                          on_finished(received_at, id, index, cancelled, status);
                        }));
}

void JobWriter::on_finished(Ms now, const std::string& id, std::uint64_t index, bool cancelled,
                            int status) {
  auto* job = find(id, index);
  if (job == nullptr) return;
  job->write_in_progress = false;
  if (status == 200) return listener_.on_job_finished(now, id, cancelled);
  retry_after_failure(now, *job, status);
}

// --- resync ---

// Reads a job's records again after a write that was rejected or whose result is unknown: first the
// job record, then its progress.
void JobWriter::resync(Ms now, JobState& job) {
  job.write_in_progress = true;
  context_.store.get(now, Rank::leader, wire::unfinished_job_key(job.spec.id),
                     context_.guarded([this, id = job.spec.id, index = job.index](
                                          Ms received_at, int status, std::string_view body) {
                       auto* current = find(id, index);
                       if (current == nullptr) return;
                       if (status == 404) return resync_outcome(received_at, id, index);
                       if (status == 200) return resync_record(received_at, *current, body);
                       retry_resync(received_at, *current);
                     }));
}

// The job record is missing. Either the outcome is stored, for example by a write whose response
// was lost, or the store has lost data: a record is deleted only in a transaction that stores the
// outcome.
void JobWriter::resync_outcome(Ms now, const std::string& id, std::uint64_t index) {
  context_.store.get(
      now, Rank::leader, wire::job_outcome_key(id),
      context_.guarded([this, id, index](Ms received_at, int status, std::string_view) {
        auto* job = find(id, index);
        if (job == nullptr) return;
        if (status == 200) return listener_.on_outcome_found(received_at, id);
        if (status == 404)
          context_.feature_levels.report_data_loss(received_at,
                                                   feature_level::DataLossEvidence::record);
        retry_resync(received_at, *job);
      }));
}

void JobWriter::resync_record(Ms now, JobState& job, std::string_view body) {
  const auto item = wire::parse_item(body);
  const auto record = item ? wire::decode_unfinished_job(item->value) : std::nullopt;
  if (!record) return retry_resync(now, job);
  job.version = std::max(job.version, item->version);
  job.launch_watermark = std::max(job.launch_watermark, record->launch_watermark);
  if (record->cancelled && !job.cancelled) listener_.on_cancellation_read(now, job);
  resync_progress(now, job.spec.id, job.index);
}

void JobWriter::resync_progress(Ms now, const std::string& id, std::uint64_t index) {
  context_.store.range(
      now, Rank::leader, wire::job_progress_prefix(id), "",
      context_.guarded([this, id, index](Ms received_at, int status, std::string_view body) {
        auto* job = find(id, index);
        if (job == nullptr) return;
        const auto page = status == 200 ? wire::parse_page(body) : std::nullopt;
        if (!page) return retry_resync(received_at, *job);
        for (const auto& item : page->items) {
          const auto key = wire::parse_progress_key(item.key);
          if (!key || key->chunk >= job->chunks() || !item.value.is_string()) continue;
          job->merge_chunk(key->chunk, item.version, item.value.get<std::string>());
        }
        job->write_in_progress = false;
        job->resync = false;
        persist(received_at, *job);
      }));
}

void JobWriter::retry_resync(Ms now, JobState& job) {
  job.write_in_progress = false;
  job.write_retry_at = now + kStoreRetryDelayMs;
}

// --- migration to the active feature level ---

// Keeps no state across leaders: a new leader sees from the values it reads what is left to
// rewrite.
void JobWriter::migrate(Ms now) {
  if (now < next_migration_at_) return;
  next_migration_at_ = now + kFeatureLevelStepIntervalMs;
  const auto& level = context_.feature_levels.level();
  const std::size_t remaining = level.low != level.high ? rewrite_values_in_other_formats(now) : 0;
  context_.feature_levels.advance(now, context_.term, context_.leader_key_version, remaining);
}

std::size_t JobWriter::rewrite_values_in_other_formats(Ms now) {
  std::size_t remaining = 0;
  const auto format = context_.feature_levels.progress_form();
  auto write_budget = std::max<std::size_t>(
      1, static_cast<std::size_t>(context_.platform.store.writes_per_s * kMigrationWriteShare));
  std::vector<JobState*> jobs_to_write;
  for (auto& [id, job] : state_.jobs) {
    const auto outdated_chunks = job->chunks_in_other_form(format);
    remaining += outdated_chunks;
    if (outdated_chunks == 0 || write_budget == 0 || job->write_in_progress) continue;
    for (std::size_t chunk = 0; chunk < job->chunks() && write_budget > 0; ++chunk) {
      if (job->chunk_version[chunk] == 0 || job->chunk_dirty[chunk] ||
          wire::is_current_form(job->chunk_form[chunk], format))
        continue;
      job->chunk_dirty[chunk] = true;
      --write_budget;
    }
    jobs_to_write.push_back(job.get());
  }
  for (auto* job : jobs_to_write) persist(now, *job);
  // Versions that may write at lower levels would drop the dependencies when rewriting a record.
  if (context_.feature_levels.level().active < kDependenciesFeatureLevel)
    remaining += static_cast<std::size_t>(
        std::count_if(state_.jobs.begin(), state_.jobs.end(),
                      [](const auto& job) { return !job.second->spec.dependencies.empty(); }));
  return remaining + context_.environment.values_in_other_formats();
}

}  // namespace hitchfront::core
