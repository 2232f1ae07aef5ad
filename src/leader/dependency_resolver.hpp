// Jobs that await others: released and cancelled by what is stored of those. docs/safety.md, "Jobs
// that await others".
#pragma once
#include <map>
#include <set>
#include <string>

#include "dependencies/graph.hpp"
#include "leader/leader_context.hpp"
#include "leader/leader_state.hpp"

namespace hitchfront::core {

// Who cancels a job with one that it awaits.
class DependencyListener {
 public:
  virtual ~DependencyListener() = default;
  virtual void on_dependency_cancelled(Ms now, JobState& job) = 0;
};

class DependencyResolver {
 public:
  DependencyResolver(LeaderContext& context, LeaderState& state, DependencyListener& listener)
      : context_(context), state_(state), listener_(listener) {}

  // A job that has become known: it waits for what it names, if it names anything.
  void add(JobState& job);
  // A job that others await goes with the highest priority among them.
  void inherit_priority(const JobState& job);
  // Looks for the outcomes of jobs that are awaited and not among the unfinished ones.
  void resolve(Ms now);
  // The job's outcome is stored. `ended_now`: it was stored at this moment, from which its
  // dependents' waits are counted.
  void settle(Ms now, const std::string& id, dependencies::Outcome outcome, bool ended_now);
  // The job waits for nothing more.
  void remove(const std::string& id) { graph_.remove(id); }
  // The job is gone from the unfinished ones; what became of it is not known here.
  void look_for_outcome(const std::string& id);
  // The job's outcome has become known by other means.
  void forget(const std::string& id) { unresolved_.erase(id); }

  bool is_awaited(const std::string& id) const { return graph_.is_awaited(id); }
  std::string first_awaited(const std::string& id) const { return graph_.first_awaited(id); }
  std::size_t waiting() const { return graph_.waiting(); }

 private:
  void resolve_one(Ms now, const std::string& id, bool ended_now);
  void ask_outcome(Ms now, const std::string& id);
  void release(Ms now, const std::string& id, const std::string& after, bool ended_now);
  void cancel(Ms now, const std::string& id, const std::string& cause);

  LeaderContext& context_;
  LeaderState& state_;
  DependencyListener& listener_;
  dependencies::Graph graph_;
  // Awaited, and their outcomes are to be found out; true: it ended while this leader knew it as
  // unfinished, so that its dependents' waits begin now.
  std::map<std::string, bool> unresolved_;
  std::set<std::string> asked_;  // of those, whose outcomes the store is being asked for
  Ms resolve_at_ = 0;
};

}  // namespace hitchfront::core
