// Which unfinished jobs wait for others (`Awaits`), and what follows once one of those has its
// final state: a job is released when all that it awaits are done, and cancelled when one of them
// is, over any number of steps. Pure.
#pragma once
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace hitchfront::dependencies {

// A final state. Neither ever changes.
enum class Outcome { done, cancelled };

class Graph {
 public:
  // An unfinished job and the jobs that it awaits, of whose outcomes nothing is known here yet.
  void add(const std::string& job, const std::vector<std::string>& awaits);
  // It is over, or not known here any more. Those that await it go on waiting until its outcome is
  // told.
  void remove(const std::string& job);

  struct Consequences {
    std::vector<std::string> released, cancelled;
  };
  // A job has this final state, or has to have it. Told again, it has no further consequences.
  Consequences settle(const std::string& job, Outcome outcome);

  bool waits(const std::string& job) const { return awaited_by_.contains(job); }
  // Some unfinished job awaits it.
  bool is_awaited(const std::string& job) const { return waiting_for_.contains(job); }
  // One of the jobs that it still waits for; empty: none.
  std::string first_awaited(const std::string& job) const;
  std::size_t waiting() const { return awaited_by_.size(); }

 private:
  void cancel_dependents(const std::string& job, std::vector<std::string>& cancelled);

  std::unordered_map<std::string, std::set<std::string>>
      awaited_by_;  // waiting job -> jobs without a known outcome
  std::unordered_map<std::string, std::set<std::string>>
      waiting_for_;  // the same, the other way round
};

}  // namespace hitchfront::dependencies
