// Launches that were sent to a machine directly and may still be carried out there.
#pragma once
#include <algorithm>
#include <cstdint>
#include <map>

namespace hitchfront::core {

// Identifies a task by its job's index in this process (JobState::index) and its number in the job.
struct TaskKey {
  std::uint64_t job = 0;
  std::uint32_t task = 0;
  bool operator==(const TaskKey&) const = default;
  bool operator<(const TaskKey& other) const {
    return job != other.job ? job < other.job : task < other.task;
  }
};

// Attempts of a machine's current incarnation whose direct launch may still be carried out. Until
// that is resolved, the worker must keep the attempt listed, and no other attempt of the same task
// may be launched there: otherwise a delayed launch would start the task again.
// docs/safety.md, "Direct launches".
class InFlightLaunches {
 public:
  using TaskKey = core::TaskKey;
  void add(std::uint64_t attempt, TaskKey key) { launches_.emplace(attempt, key); }
  // The machine has answered: the attempt was started, or never will be.
  void resolve(std::uint64_t attempt) { launches_.erase(attempt); }
  // Launches of an earlier incarnation are not carried out in a later one.
  void end_incarnation() { launches_.clear(); }
  bool empty() const { return launches_.empty(); }
  bool contains(std::uint64_t attempt) const { return launches_.contains(attempt); }
  bool contains_task(TaskKey key) const {
    return std::any_of(launches_.begin(), launches_.end(),
                       [&](const auto& launch) { return launch.second == key; });
  }

 private:
  std::map<std::uint64_t, TaskKey> launches_;  // by attempt
};

}  // namespace hitchfront::core
