#include "api/job_api.hpp"
#include "leader/leader.hpp"
#include "leader/leader_parts.hpp"
#include "settings/constants.hpp"

namespace hitchfront::core {
using namespace settings;
using Rank = StoreClient::Rank;

void Leader::persist(Ms now, JobState& job) {
  if (job.writing || now < job.write_after || !election_.leading()) return;
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
  std::vector<std::size_t> chunks;
  // One write for each task that ends took most of what a fleet may write; until then the worker
  // goes on listing it. Where the store is the bottleneck it waits longer: with 30 writes a second
  // for 1,650 machines two hundred transactions waited, and launches behind them for half a minute.
  const bool progress = now >= job.progress_at &&
                        (now - job.progress_at >= kProgressMostMs ||
                         (store_.backlog_s() <= kProgressBacklogS && progress_.can(now, 1)));
  for (std::size_t c = 0; c < job.chunks() && progress; ++c)
    if (job.chunk_dirty[c] &&
        static_cast<int>(chunks.size()) < platform_.store.transaction_changes - 1)
      chunks.push_back(c);
  const bool launch_watermark = job.wanted_watermark > job.launch_watermark;
  if (chunks.empty() && !launch_watermark) return;
  wire::Txn txn;
  txn.if_version("leader", leader_version_).if_version(unfinished_key(job.spec.id), job.version);
  const auto launch_watermark_stored = job.wanted_watermark;
  if (launch_watermark)
    txn.put(unfinished_key(job.spec.id),
            wire::encode_within({job.spec, job.accepted_ms, false, launch_watermark_stored},
                                platform_.store.value_bytes(), type_names()));
  const auto form = feature_levels_.progress_form();
  std::vector<std::uint32_t> written;
  for (auto c : chunks) {
    job.chunk_dirty[c] = false;
    txn.if_version(job.chunk_key(c), job.chunk_version[c])
        .put_text(job.chunk_key(c), job.chunk_text(c, form));
    const auto from = static_cast<std::uint32_t>(c) * kChunkTasks;
    for (auto t = from; t < std::min(job.spec.tasks, from + kChunkTasks); ++t)
      if (job.phase[t] == TaskPhase::done && !job.stored[t]) written.push_back(t);
  }
  job.writing = true;
  if (!chunks.empty()) {
    job.progress_at = now + kProgressMs;
    progress_.take(static_cast<double>(chunks.size()));
  }
  const auto rank = job.team >= 0 && is_best_effort(job) ? Rank::late
                    : launch_watermark                   ? Rank::first
                                                         : Rank::leader;
  store_.commit(
      now, rank, txn,
      mine([this, id = job.spec.id, index = job.index, chunks, written, launch_watermark,
            launch_watermark_stored, form](Ms t, int status, std::string_view body) {
        auto* j = find(id);
        if (j == nullptr || j->index != index) return;
        j->writing = false;
        const auto rev = status == 200 ? wire::parse_revision(body) : std::nullopt;
        if (!rev) {
          // 409: somebody changed the job, or we don't lead. Anything else: unknown
          // whether it applies. Either way nothing more is written before the records
          // have been read again.
          j->resync = true;
          for (auto c : chunks) j->chunk_dirty[c] = true;
          if (status != 409)
            j->write_after = t + (status == 400 ? kTooLargeRetryMs : kStoreRetryMs);
          return persist(t, *j);
        }
        if (launch_watermark) {
          j->version = std::max(j->version, *rev);
          j->launch_watermark = std::max(j->launch_watermark, launch_watermark_stored);
          if (on_watermark_stored)
            on_watermark_stored({j->spec, j->accepted_ms, j->cancelled, j->launch_watermark});
        }
        for (auto c : chunks) {
          j->chunk_version[c] = *rev;
          j->chunk_form[c] = form;
        }
        for (auto task : written)
          if (!j->stored[task]) {
            j->stored[task] = true;
            ++j->stored_done;
          }
        persist(t, *j);
        // The mark frees launches; completions now stored are cleared in each machine's
        // next answer.
        if (launch_watermark)
          for (auto* m : fleet_)
            if (m->held && m->assigned > 0) respond_if_needed(t, *m, false);
      }));
}

void Leader::finish(Ms now, JobState& job) {
  wire::Txn txn;
  const auto& id = job.spec.id;
  const bool awaited = graph_.is_awaited(id);
  txn.if_version("leader", leader_version_).if_version(unfinished_key(id), job.version);
  txn.put(outcome_key(id), wire::encode(wire::JobOutcome{job.cancelled, job.done}))
      .drop(unfinished_key(id));
  for (std::size_t c = 0; c < job.chunks() && txn.writes() < platform_.store.transaction_changes;
       ++c)
    if (job.chunk_version[c] != 0) txn.drop(job.chunk_key(c));
  job.writing = true;
  // What awaits it can't start before this is stored.
  const auto rank = awaited                                ? Rank::first
                    : job.team >= 0 && is_best_effort(job) ? Rank::late
                                                           : Rank::leader;
  store_.commit(now, rank, txn,
                mine([this, id, index = job.index, cancelled = job.cancelled](Ms t, int status,
                                                                              std::string_view) {
                  auto* j = find(id);
                  if (j == nullptr || j->index != index) return;
                  j->writing = false;
                  if (status == 200) {
                    log(cancelled ? Event::job_gone : Event::job_done, id);
                    remove_job(t, id);
                    unresolved_.erase(id);
                    resolve_dependency(
                        t, id,
                        cancelled ? dependencies::Outcome::cancelled : dependencies::Outcome::done,
                        true);
                    return schedule(t);
                  }
                  j->resync = true;
                  if (status != 409)
                    j->write_after = t + (status == 400 ? kTooLargeRetryMs : kStoreRetryMs);
                  persist(t, *j);
                }));
}

// Brings what stands there in the form of another level into that of the active one, some each
// second, by writing it again; whoever takes over goes on by what it reads. Counts what is left.
void Leader::migrate(Ms now) {
  if (now < next_migrate_) return;
  next_migrate_ = now + kLevelStepMs;
  std::size_t left = 0;
  if (feature_levels_.level().low != feature_levels_.level().high) {
    const auto form = feature_levels_.progress_form();
    auto most = std::max<std::size_t>(
        1, static_cast<std::size_t>(platform_.store.writes_per_s * kMigrateShare));
    std::vector<JobState*> again;
    for (auto& [id, job] : jobs_) {
      const auto n = job->of_other_form(form);
      left += n;
      if (n == 0 || most == 0 || job->writing) continue;
      for (std::size_t c = 0; c < job->chunks() && most > 0; ++c)
        if (job->chunk_version[c] != 0 && !wire::is_of_form(job->chunk_form[c], form) &&
            !job->chunk_dirty[c]) {
          job->chunk_dirty[c] = true;
          --most;
        }
      again.push_back(job.get());
    }
    for (auto* job : again) persist(now, *job);
    // Below the level that brings them an earlier version would forget what they await.
    if (feature_levels_.level().active < kDependenciesLevel)
      left += static_cast<std::size_t>(std::count_if(jobs_.begin(), jobs_.end(), [](const auto& j) {
        return !j.second->spec.awaits.empty();
      }));
    if (other_forms) left += other_forms();
  }
  feature_levels_.advance(now, term_, leader_version_, left);
}

// Reads a job's records again after a write whose conditions failed or whose outcome is unknown.
void Leader::resync(Ms now, JobState& job) {
  job.writing = true;
  const auto again = [this](JobState* j, Ms t) {
    j->writing = false;
    j->write_after = t + kStoreRetryMs;
  };
  store_.get(now, Rank::leader, unfinished_key(job.spec.id),
             mine([this, again, id = job.spec.id, index = job.index](Ms t, int status,
                                                                     std::string_view body) {
               auto* j = find(id);
               if (j == nullptr || j->index != index) return;
               if (status == 404) {
                 // Over: our write had been applied. Or the store has forgotten it; a record never
                 // goes without a final state.
                 store_.get(t, Rank::leader, outcome_key(id),
                            mine([this, again, id, index](Ms t2, int status2, std::string_view) {
                              auto* k = find(id);
                              if (k == nullptr || k->index != index) return;
                              if (status2 == 200) return remove_job(t2, id);
                              if (status2 == 404)
                                feature_levels_.report_data_loss(
                                    t2, feature_level::DataLossEvidence::record);
                              again(k, t2);
                            }));
                 return;
               }
               auto item = status == 200 ? wire::parse_item(body) : std::nullopt;
               auto record = item ? wire::decode_unfinished_job(item->value) : std::nullopt;
               if (!record) return again(j, t);
               j->version = std::max(j->version, item->version);
               j->launch_watermark = std::max(j->launch_watermark, record->launch_watermark);
               if (record->cancelled && !j->cancelled) job_cancelled(t, *j);
               store_.range(
                   t, Rank::leader, std::string(kProgressPrefix) + id + "/", "",
                   mine([this, again, id, index](Ms t2, int status2, std::string_view body2) {
                     auto* k = find(id);
                     if (k == nullptr || k->index != index) return;
                     auto page = status2 == 200 ? wire::parse_page(body2) : std::nullopt;
                     if (!page) return again(k, t2);
                     for (auto& i : page->items) {
                       const auto c = static_cast<std::size_t>(
                           std::strtoul(i.key.c_str() + i.key.rfind('/') + 1, nullptr, 10));
                       if (c >= k->chunks() || !i.value.is_string()) continue;
                       k->merge_chunk(c, i.version, i.value.get<std::string>());
                     }
                     k->writing = false;
                     k->resync = false;
                     persist(t2, *k);
                   }));
             }));
}

}  // namespace hitchfront::core
