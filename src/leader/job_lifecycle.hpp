// Jobs as they become known, are cancelled and end.
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

  // `value`: the stored record. Null: it can't be read.
  JobState* add(Ms now, const std::string& id, const nlohmann::json& value, std::uint64_t version);
  // Names to indices, once machine types are known.
  void resolve_names(JobState& job);
  // Its final state is stored.
  void finish(Ms now, const std::string& id, bool cancelled);
  // The job is over; what it ended with is not known here.
  void remove(Ms now, const std::string& id);

  // A job is known to be cancelled, by whatever way. Nothing is stored for it before the record has
  // been read: another controller has told its user, which had it stored.
  void note_cancelled(Ms now, const std::string& id);
  // Its tasks are told to stop at once, by direct command and in each response until they are gone.
  void cancel(Ms now, JobState& job);
  void on_dependency_cancelled(Ms now, JobState& job) override;

  DependencyResolver& dependencies() { return dependencies_; }
  const DependencyResolver& dependencies() const { return dependencies_; }

 private:
  Ms renew_until(const JobState& job) const;
  bool stop_placements(Machine& machine, const JobState& job);

  LeaderContext& context_;
  LeaderState& state_;
  MachineMessenger& messenger_;
  JobWriter& writer_;
  DependencyResolver dependencies_;
};

}  // namespace hitchfront::core
