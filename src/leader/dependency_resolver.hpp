// Dependencies between jobs (`Awaits`): releases or cancels dependent jobs according to the stored
// outcomes of the jobs that they depend on. docs/safety.md, "Jobs that await others".
#pragma once
#include <map>
#include <set>
#include <string>

#include "dependencies/graph.hpp"
#include "leader/leader_context.hpp"
#include "leader/leader_state.hpp"

namespace hitchfront::core {

// Cancels a job because one of its dependencies was cancelled.
class DependencyListener {
 public:
  virtual ~DependencyListener() = default;
  virtual void on_dependency_cancelled(Ms now, JobState& job) = 0;
};

class DependencyResolver {
 public:
  DependencyResolver(LeaderContext& context, LeaderState& state, DependencyListener& listener)
      : context_(context), state_(state), listener_(listener) {}

  // Adds a job that has become known. It waits if it has dependencies, unless it is cancelled.
  void add(JobState& job);
  // Raises the priority of all direct and indirect dependencies of the job to at least its own.
  void inherit_priority(const JobState& job);
  // Looks up the outcomes of dependencies that are not among the unfinished jobs.
  void resolve(Ms now);
  // Releases or cancels the job's dependents. The outcome is stored, or the job is cancelled and
  // will get this outcome. `ended_now`: the outcome was stored just now, and the waiting time of
  // released dependents counts from here.
  void apply_outcome(Ms now, const std::string& id, dependencies::Outcome outcome, bool ended_now);
  // The job has ended: it no longer waits for its dependencies.
  void remove(const std::string& id) { graph_.remove(id); }
  // The job is no longer among the unfinished jobs, and its outcome is not known here. Does nothing
  // if no job depends on it.
  void schedule_outcome_lookup(const std::string& id);
  // The job's outcome has become known otherwise.
  void cancel_outcome_lookup(const std::string& id) { unresolved_.erase(id); }

  bool is_awaited(const std::string& id) const { return graph_.is_awaited(id); }
  std::string first_awaited(const std::string& id) const { return graph_.first_awaited(id); }
  // Jobs that wait for a dependency.
  std::size_t waiting() const { return graph_.waiting(); }

 private:
  void resolve_outcome(Ms now, const std::string& id, bool ended_now);
  void read_outcome(Ms now, const std::string& id);
  void release(Ms now, const std::string& id, const std::string& dependency, bool ended_now);
  void cancel(Ms now, const std::string& id, const std::string& dependency);

  LeaderContext& context_;
  LeaderState& state_;
  DependencyListener& listener_;
  dependencies::Graph graph_;
  // Dependencies whose outcomes are to be looked up. Value: `ended_now` of apply_outcome(), true
  // for jobs that this leader has known as unfinished.
  std::map<std::string, bool> unresolved_;
  std::set<std::string> pending_reads_;  // dependencies whose outcomes are being read
  Ms next_resolve_at_ = 0;
};

}  // namespace hitchfront::core
