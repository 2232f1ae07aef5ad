// Stores what becomes of jobs: launch watermarks, progress and final states, each conditioned on
// what was read, so that a late write of an earlier leader can't pass.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

#include "leader/leader_context.hpp"
#include "leader/leader_state.hpp"

namespace hitchfront::core {

// Who acts on what was stored, or on what a record turned out to say.
class JobWriteListener {
 public:
  virtual ~JobWriteListener() = default;
  // Launches up to a new watermark may go out.
  virtual void on_launches_allowed(Ms now) = 0;
  // The job's final state is stored. The job is still in the table.
  virtual void on_job_finished(Ms now, const std::string& id, bool cancelled) = 0;
  // The record is gone from the store, and a final state stands in its place.
  virtual void on_job_over(Ms now, const std::string& id) = 0;
  // The record says that the job is cancelled.
  virtual void on_cancellation_read(Ms now, JobState& job) = 0;
  // Another job waits for this one.
  virtual bool is_awaited(const std::string& id) const = 0;
};

class JobWriter {
 public:
  JobWriter(LeaderContext& context, LeaderState& state, JobWriteListener& listener)
      : context_(context), state_(state), listener_(listener) {}

  // Writes what there is to write of the job, if it may be written now.
  void persist(Ms now, JobState& job);
  // Writes what waited for a time.
  void tick(Ms now);
  // The leader's part of the store's write rate, of which progress has a share.
  void set_write_rate(double writes_per_s);
  // Brings values of another feature level's form into the active one's, some each second, and lets
  // the gate advance once none are left.
  void migrate(Ms now);

 private:
  using Rank = StoreClient::Rank;
  // One transaction of a job: a new watermark, chunks of progress, or both.
  struct Write {
    std::string id;
    std::uint64_t index = 0;  // of the job, which may be another one of this id by then
    bool has_watermark = false;
    std::uint32_t watermark = 0;
    std::vector<std::size_t> chunks;
    std::vector<std::uint32_t> completed;  // tasks whose completion the chunks store
    wire::ProgressForm form = wire::ProgressForm::bitmap;
  };
  bool may_write_progress(Ms now, const JobState& job);
  std::vector<std::size_t> dirty_chunks(Ms now, const JobState& job);
  void write_progress(Ms now, JobState& job);
  void add_chunks(wire::Txn& txn, JobState& job, Write& write) const;
  void on_written(Ms now, const Write& write, int status, std::string_view body);
  void note_stored(JobState& job, const Write& write, std::uint64_t revision);
  void finish(Ms now, JobState& job);
  void on_finished(Ms now, const std::string& id, std::uint64_t index, bool cancelled, int status);
  // The write's conditions failed, or nobody knows whether it was carried out.
  void retry_after_refusal(Ms now, JobState& job, int status);
  void resync(Ms now, JobState& job);
  void resync_outcome(Ms now, const std::string& id, std::uint64_t index);
  void resync_record(Ms now, JobState& job, std::string_view body);
  void resync_progress(Ms now, const std::string& id, std::uint64_t index);
  static void resync_again(Ms now, JobState& job);
  // The job that was meant when something was asked, if it is still known.
  JobState* find(const std::string& id, std::uint64_t index);
  bool is_best_effort(const JobState& job) const {
    return job.team >= 0 && state_.quotas.is_best_effort(job);
  }
  std::size_t rewrite_other_forms(Ms now);

  LeaderContext& context_;
  LeaderState& state_;
  JobWriteListener& listener_;
  TokenBucket progress_budget_{1, 1};  // chunks, in progress's share of the leader's rate
  Ms next_migration_ = 0;
};

}  // namespace hitchfront::core
