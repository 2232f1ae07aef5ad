// A job as the leader knows it, with the state of each of its tasks.
#pragma once
#include <algorithm>
#include <deque>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/effects.hpp"
#include "portfolio/replay.hpp"
#include "wire/job.hpp"
#include "wire/progress.hpp"

namespace hitchfront::core {

// What one task of the job requests of its machine.
inline portfolio::Resources size_of(const wire::Job& job) {
  return {job.cpus, job.gpus, job.memory_gb};
}

// Run times are predicted from earlier jobs with the same key: those of the same team and class. By
// team alone, as in the design, a prediction would mix runs of 18 s with runs of 100 s.
inline std::string prediction_key_of(const wire::Job& job) {
  return job.team + "/" + job.job_class;
}

enum class TaskPhase : std::uint8_t {
  waiting,
  placed,   // assigned to a machine, or may be on one
  unknown,  // may have been launched by an earlier leader on a machine that is not known yet
  done,
};

struct JobState {
  wire::Job spec;
  std::uint64_t index = 0;       // unique in this process, never reused
  std::int64_t accepted_ms = 0;  // wall clock
  Ms submitted_at = 0;           // the acceptance by the steady clock
  // Since when the job could run: its submission, or when the last job that it awaits was done.
  // Waiting times count from here.
  Ms ready_at = 0;
  bool cancelled = false;
  // Some job that it awaits is not done. None of its tasks may start, and it does not count against
  // its team's limit or guarantee.
  bool blocked = false;
  wire::Priority priority = wire::Priority::normal;  // its own, or that of a job that awaits it
  // Only if cancelled: until then a response may renew the lease of a machine on which one of its
  // tasks continues to run.
  Ms renew_until = 0;
  std::uint64_t version = 0;             // of the record live/<job>
  std::uint32_t launch_watermark = 0;    // as stored: only tasks below it may have been launched
  std::uint32_t required_watermark = 0;  // needed to launch all assigned tasks
  // Indices in the team quotas and the machine catalog; -1: unknown, or no zone required.
  int team = -1, image = -1, zone = -1;
  std::string prediction_key;
  // The job fits its team's guarantee together with the team's earlier unfinished jobs.
  bool within_guarantee = false;
  std::uint32_t in_flight = 0;            // placements whose direct launch may still be carried out
  std::uint32_t running = 0;              // placements whose task is running or saving
  std::uint32_t possible_placements = 0;  // all placements, also of tasks that are done elsewhere
  std::uint64_t types = 0;                // bit i: machines of type i of the catalog are allowed

  // Tasks that an earlier leader may have launched on any machine; empty after reconciliation.
  std::set<std::uint32_t> unreconciled;
  std::vector<TaskPhase> phase;                 // by task
  std::vector<std::uint16_t> placement_counts;  // by task: machines that it may be on
  std::vector<bool> completion_stored;          // by task
  std::deque<std::uint32_t> requeued;           // waiting tasks below `first_fresh_task`
  std::uint32_t first_fresh_task = 0;           // from here on no task has ever been placed
  // Tasks by phase, and tasks whose completion is stored.
  std::uint32_t waiting = 0, placed = 0, unknown = 0, done = 0, stored_completions = 0;
  std::vector<std::uint32_t> placements_per_zone;

  // By chunk of progress.
  std::vector<std::uint64_t> chunk_version;    // in the store; 0: not stored
  std::vector<bool> chunk_dirty;               // has completions that are not stored
  std::vector<wire::ProgressForm> chunk_form;  // as stored, where chunk_version is not 0
  // `resync`: the job's records must be read again before the next write.
  bool write_in_progress = false, resync = false;
  Ms write_retry_at = 0;   // no write before this; 0: no retry is due
  bool large = false;      // among the largest of its class
  bool has_run = false;    // a task of it was reported as running, or is done
  Ms progress_due_at = 0;  // no progress is written before this; 0: none so far

  Ms backoff_until = 0;  // nothing of it is launched before this, after failures
  // Observed run times of completed tasks.
  double run_time_sum_s = 0;
  std::uint32_t run_time_count = 0;

  bool complete() const { return done == spec.tasks; }
  bool has_no_placements() const { return possible_placements == 0 && unknown == 0; }
  bool active() const { return !cancelled && !blocked && !complete(); }
  std::uint32_t unfinished() const { return spec.tasks - done; }

  // Sets up the state of each task and chunk; called once, when `spec` is set.
  void initialize_tasks(std::size_t zone_count);
  // The next waiting task, or -1. It stays waiting until set_phase().
  std::int64_t next_waiting();
  // Changes a task's phase and updates the counts by phase.
  void set_phase(std::uint32_t task, TaskPhase to);

  // The value of a chunk of progress.
  std::string encode_chunk(std::size_t chunk, wire::ProgressForm form) const;
  // Merges the stored value of a chunk. Tasks that are placed keep their phase.
  void merge_chunk(std::size_t chunk, std::uint64_t stored_version, const std::string& text);
  // The number of stored chunks that would have to be rewritten in this form.
  std::size_t chunks_in_other_form(wire::ProgressForm form) const;
  std::string chunk_key(std::size_t chunk) const;
  std::size_t chunks() const { return chunk_version.size(); }
  bool has_unwritten_progress() const {
    return std::find(chunk_dirty.begin(), chunk_dirty.end(), true) != chunk_dirty.end();
  }
};

}  // namespace hitchfront::core
