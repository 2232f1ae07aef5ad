// Follows the unfinished jobs in the store: what users submit and cancel at any controller.
#pragma once
#include <cstdint>

#include "leader/job_lifecycle.hpp"
#include "leader/job_writer.hpp"
#include "leader/leader_context.hpp"
#include "leader/leader_state.hpp"

namespace hitchfront::core {

// Who places what the changes let start.
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

  // `revision`: of the store, up to which everything has been read.
  void start(Ms now, std::uint64_t revision);
  void tick(Ms now);

 private:
  void open(Ms now);
  void on_answer(Ms now, Ms asked, int status, std::string_view body);
  void apply(Ms now, const wire::Event& event);
  void update(Ms now, JobState& job, const wire::Event& event);

  LeaderContext& context_;
  LeaderState& state_;
  JobLifecycle& jobs_;
  JobWriter& writer_;
  JobWatchListener& listener_;
  std::uint64_t revision_ = 0;
  Ms reopen_at_ = 0;   // 0: the watch is open
  Ms not_before_ = 0;  // of the next opening: changes that come densely are read together
};

}  // namespace hitchfront::core
