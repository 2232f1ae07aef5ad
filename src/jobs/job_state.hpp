// Jobs as the leader knows them: which tasks wait, may be somewhere, or are done.
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

// What one task of the job takes of its machine.
inline portfolio::Size size_of(const wire::Job& job) {
  return {job.cpus, job.gpus, job.memory_gb};
}

// Whose last two jobs predict the next: a team's jobs of one class. Averaged over all of a team's
// classes, as the design has it, a prediction mixes runs of 18 s with runs of 100 s.
inline std::string owner_of(const wire::Job& job) {
  return job.team + "/" + job.job_class;
}

enum class TaskPhase : std::uint8_t {
  waiting,
  placed,   // assigned to a machine, or possibly on it
  unknown,  // an earlier leader may have launched it; nobody has said where
  done,
};

struct JobState {
  wire::Job spec;
  std::uint64_t index = 0;       // of this process, never reused
  std::int64_t accepted_ms = 0;  // wall clock
  Ms submitted = 0;              // steady time that corresponds to the acceptance
  Ms seen = 0;  // the same, or when the last job that it awaits was done: waits count from here
  bool cancelled = false;
  bool waits = false;  // for other jobs: nothing of it may start, and it holds no part of a limit
                       // or guarantee
  wire::Priority priority = wire::Priority::normal;  // its own, or that of a job that awaits it
  // Cancelled: up to this instant an answer may renew the lease of a machine on which a task of it
  // goes on.
  Ms renew_until = 0;
  std::uint64_t version = 0;           // of live/<job>
  std::uint32_t launch_watermark = 0;  // stored: tasks below it may have been launched
  std::uint32_t wanted_watermark = 0;
  int team = -1, image = -1, zone = -1;
  std::string owner;  // whose last jobs predict this one
  bool within_guarantee =
      false;  // within its team's guarantee, with the team's earlier unfinished jobs
  std::uint32_t in_flight = 0;            // placements whose direct launch may still be carried out
  std::uint32_t running = 0;              // placements whose task runs or saves
  std::uint32_t possible_placements = 0;  // placements, those of tasks that are done elsewhere too
  std::uint64_t types = 0;

  std::set<std::uint32_t> unreconciled;  // tasks that an earlier leader may have launched anywhere,
                                         // until it is reconciled
  std::vector<TaskPhase> phase;
  std::vector<std::uint16_t> places;  // machines that each task may be on
  std::vector<bool> stored;           // completion is in the store
  std::deque<std::uint32_t> again;    // waiting tasks below `fresh`
  std::uint32_t fresh = 0;            // tasks from here on never left `waiting`
  std::uint32_t waiting = 0, placed = 0, unknown = 0, done = 0, stored_done = 0;
  std::vector<std::uint32_t> per_zone;  // placed tasks

  std::vector<std::uint64_t> chunk_version;
  std::vector<bool> chunk_dirty;
  std::vector<wire::ProgressForm> chunk_form;  // as stored, where chunk_version is not 0
  bool writing = false, resync = false;
  Ms write_after = 0;
  bool large = false;  // among the largest of its class
  bool ran = false;    // a task of it was seen running, or is done
  Ms progress_at = 0;  // the next write of progress, at the earliest

  Ms not_before = 0;  // pause after failures
  double run_sum_s = 0;
  std::uint32_t run_count = 0;

  bool complete() const { return done == spec.tasks; }
  bool unplaced() const { return possible_placements == 0 && unknown == 0; }
  bool active() const { return !cancelled && !waits && !complete(); }
  std::uint32_t unfinished() const { return spec.tasks - done; }

  void prepare(std::size_t zones);
  // The next waiting task, or none. It stays waiting until set().
  std::int64_t next_waiting();
  void set(std::uint32_t task, TaskPhase to);

  std::string chunk_text(std::size_t chunk,
                         wire::ProgressForm form) const;  // value of a progress chunk
  void merge_chunk(std::size_t chunk, std::uint64_t stamp,
                   const std::string& text);  // as it stands in the store
  // Stored chunks that are not of this form.
  std::size_t of_other_form(wire::ProgressForm form) const;
  std::string chunk_key(std::size_t chunk) const;
  std::size_t chunks() const { return chunk_version.size(); }
  bool progress_waits() const {
    return std::find(chunk_dirty.begin(), chunk_dirty.end(), true) != chunk_dirty.end();
  }
};

}  // namespace hitchfront::core
