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
    if (!job->writing && now >= job->write_after &&
        (job->resync || job->write_after != 0 ||
         (now >= job->progress_at && job->progress_waits())))
      unwritten.push_back(id);
  for (const auto& id : unwritten)
    if (auto* job = state_.jobs.find(id)) {
      job->write_after = 0;
      persist(now, *job);
    }
}

void JobWriter::persist(Ms now, JobState& job) {
  if (job.writing || now < job.write_after || !context_.election.leading()) return;
  if (job.resync) return resync(now, job);
  // Not while a task of it may be launched yet, though it is done elsewhere: until then it counts
  // against its team's limit. Found as a limit that was passed for an instant, 38 s after the
  // command.
  if (!job.cancelled && job.complete() && job.in_flight == 0) return finish(now, job);
  if (job.cancelled) {
    // Nor while one of a cancelled job may be somewhere, though it is done elsewhere: with its end
    // the job leaves the list of cancellations, and a late launch would be nobody's to stop. What
    // its tasks still do is not stored.
    if (job.unplaced()) finish(now, job);
    return;
  }
  write_progress(now, job);
}

// ---- watermark and progress ---------------------------------------------------------------------

// One write for each task that ends took most of what a fleet may write; until then the worker goes
// on listing it. Where the store is the bottleneck it waits longer: with 30 writes a second for
// 1,650 machines two hundred transactions waited, and launches behind them for half a minute.
bool JobWriter::may_write_progress(Ms now, const JobState& job) {
  return now >= job.progress_at && (now - job.progress_at >= kMaxProgressDelayMs ||
                                    (context_.store.backlog_s() <= kMaxBacklogForProgressS &&
                                     progress_budget_.has_tokens(now, 1)));
}

std::vector<std::size_t> JobWriter::dirty_chunks(Ms now, const JobState& job) {
  std::vector<std::size_t> chunks;
  if (!may_write_progress(now, job)) return chunks;
  const auto most = static_cast<std::size_t>(context_.platform.store.transaction_changes - 1);
  for (std::size_t chunk = 0; chunk < job.chunks() && chunks.size() < most; ++chunk)
    if (job.chunk_dirty[chunk]) chunks.push_back(chunk);
  return chunks;
}

void JobWriter::write_progress(Ms now, JobState& job) {
  Write write{job.spec.id,
              job.index,
              job.wanted_watermark > job.launch_watermark,
              job.wanted_watermark,
              dirty_chunks(now, job),
              {},
              {}};
  if (write.chunks.empty() && !write.has_watermark) return;
  const auto key = wire::unfinished_job_key(job.spec.id);
  wire::Txn txn;
  txn.if_version(wire::kLeaderKey, context_.leader_version).if_version(key, job.version);
  if (write.has_watermark)
    txn.put(key, wire::encode_within({job.spec, job.accepted_ms, false, write.watermark},
                                     context_.platform.store.value_bytes(),
                                     state_.catalog.type_names()));
  add_chunks(txn, job, write);
  job.writing = true;
  if (!write.chunks.empty()) {
    job.progress_at = now + kProgressWriteIntervalMs;
    progress_budget_.take(static_cast<double>(write.chunks.size()));
  }
  const auto rank = is_best_effort(job)   ? Rank::best_effort
                    : write.has_watermark ? Rank::launch
                                          : Rank::leader;
  context_.store.commit(now, rank, txn,
                        context_.guarded([this, write](Ms t, int status, std::string_view body) {
                          on_written(t, write, status, body);
                        }));
}

void JobWriter::add_chunks(wire::Txn& txn, JobState& job, Write& write) const {
  write.form = context_.feature_levels.progress_form();
  for (const auto chunk : write.chunks) {
    job.chunk_dirty[chunk] = false;
    const auto key = job.chunk_key(chunk);
    txn.if_version(key, job.chunk_version[chunk]).put_text(key, job.chunk_text(chunk, write.form));
    const auto first = static_cast<std::uint32_t>(chunk) * kTasksPerProgressChunk;
    for (auto task = first; task < std::min(job.spec.tasks, first + kTasksPerProgressChunk); ++task)
      if (job.phase[task] == TaskPhase::done && !job.stored[task]) write.completed.push_back(task);
  }
}

void JobWriter::on_written(Ms now, const Write& write, int status, std::string_view body) {
  auto* job = find(write.id, write.index);
  if (job == nullptr) return;
  job->writing = false;
  const auto revision = status == 200 ? wire::parse_revision(body) : std::nullopt;
  if (!revision) {
    for (const auto chunk : write.chunks) job->chunk_dirty[chunk] = true;
    return retry_after_refusal(now, *job, status);
  }
  note_stored(*job, write, *revision);
  persist(now, *job);
  // Completions now stored are cleared in each machine's next response.
  if (write.has_watermark) listener_.on_launches_allowed(now);
}

void JobWriter::note_stored(JobState& job, const Write& write, std::uint64_t revision) {
  if (write.has_watermark) {
    job.version = std::max(job.version, revision);
    job.launch_watermark = std::max(job.launch_watermark, write.watermark);
    context_.environment.on_launch_watermark_stored(
        {job.spec, job.accepted_ms, job.cancelled, job.launch_watermark});
  }
  for (const auto chunk : write.chunks) {
    job.chunk_version[chunk] = revision;
    job.chunk_form[chunk] = write.form;
  }
  for (const auto task : write.completed)
    if (!job.stored[task]) {
      job.stored[task] = true;
      ++job.stored_done;
    }
}

// 409: somebody changed the job, or we don't lead. Anything else: unknown whether it applies.
// Either way nothing more is written before the records have been read again.
void JobWriter::retry_after_refusal(Ms now, JobState& job, int status) {
  job.resync = true;
  if (status != 409)
    job.write_after = now + (status == 400 ? kTooLargeWriteRetryDelayMs : kStoreRetryDelayMs);
  persist(now, job);
}

// ---- final states -------------------------------------------------------------------------------

void JobWriter::finish(Ms now, JobState& job) {
  const auto& id = job.spec.id;
  wire::Txn txn;
  txn.if_version(wire::kLeaderKey, context_.leader_version)
      .if_version(wire::unfinished_job_key(id), job.version);
  txn.put(wire::job_outcome_key(id), wire::encode(wire::JobOutcome{job.cancelled, job.done}))
      .drop(wire::unfinished_job_key(id));
  const auto most = context_.platform.store.transaction_changes;
  for (std::size_t chunk = 0; chunk < job.chunks() && txn.writes() < most; ++chunk)
    if (job.chunk_version[chunk] != 0) txn.drop(job.chunk_key(chunk));
  job.writing = true;
  // What awaits it can't start before this is stored.
  const auto rank = listener_.is_awaited(id) ? Rank::launch
                    : is_best_effort(job)    ? Rank::best_effort
                                             : Rank::leader;
  context_.store.commit(now, rank, txn,
                        context_.guarded([this, id, index = job.index, cancelled = job.cancelled](
                                             Ms t, int status, std::string_view) {
                          on_finished(t, id, index, cancelled, status);
                        }));
}

void JobWriter::on_finished(Ms now, const std::string& id, std::uint64_t index, bool cancelled,
                            int status) {
  auto* job = find(id, index);
  if (job == nullptr) return;
  job->writing = false;
  if (status == 200) return listener_.on_job_finished(now, id, cancelled);
  retry_after_refusal(now, *job, status);
}

// ---- reading again ------------------------------------------------------------------------------

// Reads a job's records again after a write whose conditions failed or whose outcome is unknown:
// first the record, then its progress.
void JobWriter::resync(Ms now, JobState& job) {
  job.writing = true;
  context_.store.get(now, Rank::leader, wire::unfinished_job_key(job.spec.id),
                     context_.guarded([this, id = job.spec.id, index = job.index](
                                          Ms t, int status, std::string_view body) {
                       auto* known = find(id, index);
                       if (known == nullptr) return;
                       if (status == 404) return resync_outcome(t, id, index);
                       if (status == 200) return resync_record(t, *known, body);
                       resync_again(t, *known);
                     }));
}

// Over: our write had been applied. Or the store has forgotten it; a record never goes without a
// final state.
void JobWriter::resync_outcome(Ms now, const std::string& id, std::uint64_t index) {
  context_.store.get(now, Rank::leader, wire::job_outcome_key(id),
                     context_.guarded([this, id, index](Ms t, int status, std::string_view) {
                       auto* job = find(id, index);
                       if (job == nullptr) return;
                       if (status == 200) return listener_.on_job_over(t, id);
                       if (status == 404)
                         context_.feature_levels.report_data_loss(
                             t, feature_level::DataLossEvidence::record);
                       resync_again(t, *job);
                     }));
}

void JobWriter::resync_record(Ms now, JobState& job, std::string_view body) {
  const auto item = wire::parse_item(body);
  const auto record = item ? wire::decode_unfinished_job(item->value) : std::nullopt;
  if (!record) return resync_again(now, job);
  job.version = std::max(job.version, item->version);
  job.launch_watermark = std::max(job.launch_watermark, record->launch_watermark);
  if (record->cancelled && !job.cancelled) listener_.on_cancellation_read(now, job);
  resync_progress(now, job.spec.id, job.index);
}

void JobWriter::resync_progress(Ms now, const std::string& id, std::uint64_t index) {
  context_.store.range(now, Rank::leader, wire::job_progress_prefix(id), "",
                       context_.guarded([this, id, index](Ms t, int status, std::string_view body) {
                         auto* job = find(id, index);
                         if (job == nullptr) return;
                         const auto page = status == 200 ? wire::parse_page(body) : std::nullopt;
                         if (!page) return resync_again(t, *job);
                         for (const auto& item : page->items) {
                           const auto key = wire::parse_progress_key(item.key);
                           if (!key || key->chunk >= job->chunks() || !item.value.is_string())
                             continue;
                           job->merge_chunk(key->chunk, item.version,
                                            item.value.get<std::string>());
                         }
                         job->writing = false;
                         job->resync = false;
                         persist(t, *job);
                       }));
}

void JobWriter::resync_again(Ms now, JobState& job) {
  job.writing = false;
  job.write_after = now + kStoreRetryDelayMs;
}

// ---- forms of another feature level -------------------------------------------------------------

// Whoever takes over goes on by what it reads.
void JobWriter::migrate(Ms now) {
  if (now < next_migration_) return;
  next_migration_ = now + kFeatureLevelStepIntervalMs;
  const auto& level = context_.feature_levels.level();
  const std::size_t left = level.low != level.high ? rewrite_other_forms(now) : 0;
  context_.feature_levels.advance(now, context_.term, context_.leader_version, left);
}

// Returns how many values of another form than the active one still stand.
std::size_t JobWriter::rewrite_other_forms(Ms now) {
  std::size_t left = 0;
  const auto form = context_.feature_levels.progress_form();
  auto most = std::max<std::size_t>(
      1, static_cast<std::size_t>(context_.platform.store.writes_per_s * kMigrationWriteShare));
  std::vector<JobState*> again;
  for (auto& [id, job] : state_.jobs) {
    const auto of_other_form = job->of_other_form(form);
    left += of_other_form;
    if (of_other_form == 0 || most == 0 || job->writing) continue;
    for (std::size_t chunk = 0; chunk < job->chunks() && most > 0; ++chunk) {
      if (job->chunk_version[chunk] == 0 || job->chunk_dirty[chunk] ||
          wire::is_of_form(job->chunk_form[chunk], form))
        continue;
      job->chunk_dirty[chunk] = true;
      --most;
    }
    again.push_back(job.get());
  }
  for (auto* job : again) persist(now, *job);
  // Below the level that brings them an earlier version would forget what they await.
  if (context_.feature_levels.level().active < kDependenciesFeatureLevel)
    left += static_cast<std::size_t>(
        std::count_if(state_.jobs.begin(), state_.jobs.end(),
                      [](const auto& job) { return !job.second->spec.awaits.empty(); }));
  return left + context_.environment.values_in_other_forms();
}

}  // namespace hitchfront::core
