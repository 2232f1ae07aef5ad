// Dependencies between jobs (`Awaits`). A blocked job is released when all jobs that it awaits are
// done, and cancelled, transitively, when one of them is cancelled. Does no I/O.
#pragma once
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace hitchfront::dependencies {

// The final state of a job; it never changes.
enum class Outcome { done, cancelled };

class Graph {
 public:
  // Adds an unfinished job. All jobs that it awaits count as unfinished until settle() is called
  // for them; the caller must do so also for those whose outcome it knows already.
  void add(const std::string& job, const std::vector<std::string>& awaited);
  // Removes a job that has ended or is no longer known. Jobs that await it stay blocked until
  // settle() is called for it.
  void remove(const std::string& job);

  struct Consequences {
    std::vector<std::string> released, cancelled;
  };
  // Called when a job has this outcome, or is bound to have it. Returns the jobs that are released
  // or cancelled by it. Repeated calls have no effect.
  Consequences settle(const std::string& job, Outcome outcome);

  bool is_blocked(const std::string& job) const { return dependencies_.contains(job); }
  // Whether an unfinished job awaits it.
  bool is_awaited(const std::string& job) const { return dependents_.contains(job); }
  // The first by name of the jobs that it still waits for; empty if there are none.
  std::string first_awaited(const std::string& job) const;
  // The number of blocked jobs.
  std::size_t waiting() const { return dependencies_.size(); }

 private:
  void cancel_dependents(const std::string& job, std::vector<std::string>& cancelled);

  // By blocked job: the jobs that it awaits and whose outcome is not known.
  std::unordered_map<std::string, std::set<std::string>> dependencies_;
  // The reverse of dependencies_: by awaited job, the jobs blocked by it.
  std::unordered_map<std::string, std::set<std::string>> dependents_;
};

}  // namespace hitchfront::dependencies
