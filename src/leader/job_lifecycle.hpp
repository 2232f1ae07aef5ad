// The life cycle of a job in the leader: loading, cancellation, completion and removal.
#pragma once
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

#include "leader/dependency_resolver.hpp"
#include "leader/job_writer.hpp"
#include "leader/leader_context.hpp"
#include "leader/leader_state.hpp"
#include "leader/machine_messenger.hpp"

namespace hitchfront::core {

class JobLifecycle : public DependencyListener {
 public:
  JobLifecycle(LeaderContext& context, LeaderState& state, MachineMessenger& messenger,
               JobWriter& writer)
      : context_(context),
        state_(state),
        messenger_(messenger),
        writer_(writer),
        dependencies_(context, state, *this) {}

  // Adds an unfinished job from its stored record. Null if the record can't be decoded.
  JobState* add(Ms now, const std::string& id, const nlohmann::json& value, std::uint64_t version);
  // Resolves the names in the job's specification to indices. Repeated whenever the machine types
  // change.
  void resolve_names(JobState& job);
  // The job's outcome has been stored by this leader.
  void finish(Ms now, const std::string& id, bool cancelled);
  // The job has ended, with an outcome that is not known here: it is looked up if other jobs depend
  // on it.
  void remove(Ms now, const std::string& id);

  // Cancels the job if it is known here and not cancelled yet. Stores nothing: the controller that
  // acknowledged the cancellation to the user has stored it.
  void cancel_if_known(Ms now, const std::string& id);
  // Stops the job's tasks: by a direct command or the deferred response at once, and again in each
  // response until they are gone.
  void cancel(Ms now, JobState& job);
  void on_dependency_cancelled(Ms now, JobState& job) override;

  DependencyResolver& dependencies() { return dependencies_; }
  const DependencyResolver& dependencies() const { return dependencies_; }

 private:
  // Until when leases may be renewed for a cancelled job, assuming that its cancellation was
  // acknowledged as soon as it was accepted.
  Ms earliest_renewal_limit(const JobState& job) const;
  // Marks the job's tasks on the machine as stopping, and withdraws assignments that have not been
  // launched. Returns whether any of them has to be stopped by a command.
  bool stop_placements(Machine& machine, const JobState& job);

  LeaderContext& context_;
  LeaderState& state_;
  MachineMessenger& messenger_;
  JobWriter& writer_;
  DependencyResolver dependencies_;
};

}  // namespace hitchfront::core
