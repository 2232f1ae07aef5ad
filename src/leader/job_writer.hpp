// Stores the jobs' launch watermarks, progress and outcomes. Each write is a compare-and-swap on
// the leader key and on the versions last read, so that late writes of an earlier leader are
// rejected.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

#include "leader/leader_context.hpp"
#include "leader/leader_state.hpp"

namespace hitchfront::core {

// Notified of completed writes, and of changes found when reading a job's records again.
class JobWriteListener {
 public:
  virtual ~JobWriteListener() = default;
  // A higher launch watermark is stored: tasks below it may be launched.
  virtual void on_launches_allowed(Ms now) = 0;
  // The job's outcome is stored. The job is still in the job table.
  virtual void on_job_finished(Ms now, const std::string& id, bool cancelled) = 0;
  // The store has an outcome in place of the job's record.
  virtual void on_outcome_found(Ms now, const std::string& id) = 0;
  // The stored record is marked as cancelled, and the job in the table is not.
  virtual void on_cancellation_read(Ms now, JobState& job) = 0;
  // Whether another unfinished job depends on this one.
  virtual bool is_awaited(const std::string& id) const = 0;
};

class JobWriter {
 public:
  JobWriter(LeaderContext& context, LeaderState& state, JobWriteListener& listener)
      : context_(context), state_(state), listener_(listener) {}

  // Starts a write of the job's outcome, watermark or progress, or a resync, if one is due. Does
  // nothing while another write of the job is in progress, or before its retry time.
  void persist(Ms now, JobState& job);
  // Starts writes that were deferred, and retries those that failed.
  void tick(Ms now);
  // `writes_per_s`: the leader's share of the store's write rate. Progress gets kProgressWriteShare
  // of it.
  void set_write_rate(double writes_per_s);
  // Rewrites values that are not in the active feature level's format, at a limited rate, and
  // reports the remaining number to the feature level gate, which advances the level when there are
  // none.
  void migrate(Ms now);

 private:
  using Rank = StoreClient::Rank;
  // One transaction for a job: a new launch watermark, progress chunks, or both.
  struct Write {
    std::string id;
    std::uint64_t job_index = 0;  // JobState::index; changes if the job is removed and added again
    bool has_watermark = false;
    std::uint32_t watermark = 0;
    std::vector<std::size_t> chunks;
    std::vector<std::uint32_t> completed;  // tasks whose completion the chunks store
    wire::ProgressForm format = wire::ProgressForm::bitmap;
  };
  bool may_write_progress(Ms now, const JobState& job);
  std::vector<std::size_t> dirty_chunks(Ms now, const JobState& job);
  void write_progress(Ms now, JobState& job);
  void add_chunks(wire::Txn& txn, JobState& job, Write& write) const;
  void on_written(Ms now, const Write& write, int status, std::string_view body);
  void apply_stored_write(JobState& job, const Write& write, std::uint64_t revision);
  void finish(Ms now, JobState& job);
  void on_finished(Ms now, const std::string& id, std::uint64_t index, bool cancelled, int status);
  // Handles a write that was rejected, or whose result is unknown.
  void retry_after_failure(Ms now, JobState& job, int status);
  void resync(Ms now, JobState& job);
  void resync_outcome(Ms now, const std::string& id, std::uint64_t index);
  void resync_record(Ms now, JobState& job, std::string_view body);
  void resync_progress(Ms now, const std::string& id, std::uint64_t index);
  static void retry_resync(Ms now, JobState& job);
  // The job for which a request was sent, or null if it is no longer in the table.
  JobState* find(const std::string& id, std::uint64_t index);
  bool is_best_effort(const JobState& job) const {
    return job.team >= 0 && state_.quotas.is_best_effort(job);
  }
  // Returns the number of stored values that are not in the active feature level's format.
  std::size_t rewrite_values_in_other_formats(Ms now);

  LeaderContext& context_;
  LeaderState& state_;
  JobWriteListener& listener_;
  TokenBucket progress_budget_{1, 1};  // one token per progress chunk
  Ms next_migration_at_ = 0;
};

}  // namespace hitchfront::core
