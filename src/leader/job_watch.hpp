// Watches the unfinished jobs in the store, so that the leader learns of jobs that users submit or
// cancel at any controller.
#pragma once
#include <cstdint>

#include "leader/job_lifecycle.hpp"
#include "leader/job_writer.hpp"
#include "leader/leader_context.hpp"
#include "leader/leader_state.hpp"

namespace hitchfront::core {

// Notified after changes of jobs have been applied.
class JobWatchListener {
 public:
  virtual ~JobWatchListener() = default;
  virtual void on_jobs_changed(Ms now) = 0;
};

class JobWatch {
 public:
  JobWatch(LeaderContext& context, LeaderState& state, JobLifecycle& jobs, JobWriter& writer,
           JobWatchListener& listener)
      : context_(context), state_(state), jobs_(jobs), writer_(writer), listener_(listener) {}

  // Watches changes after store revision `revision`, up to which all jobs have been read.
  void start(Ms now, std::uint64_t revision);
  void tick(Ms now);

 private:
  // Sends the watch request, or schedules it if the last one was sent too recently.
  void open(Ms now);
  void on_response(Ms now, Ms requested_at, int status, std::string_view body);
  void apply(Ms now, const wire::Event& event);
  void update(Ms now, JobState& job, const wire::Event& event);

  LeaderContext& context_;
  LeaderState& state_;
  JobLifecycle& jobs_;
  JobWriter& writer_;
  JobWatchListener& listener_;
  std::uint64_t revision_ = 0;
  Ms reopen_at_ = 0;         // 0: not scheduled
  Ms earliest_open_at_ = 0;  // see kMinJobWatchIntervalMs
};

}  // namespace hitchfront::core
