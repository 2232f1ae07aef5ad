// Launches that were sent to a machine directly and may still be carried out there.
#pragma once
#include <algorithm>
#include <cstdint>
#include <map>

namespace hitchfront::core {

// A task of a job that this leader knows, by the job's index (JobState::index).
struct TaskKey {
  std::uint64_t job = 0;
  std::uint32_t task = 0;
  bool operator==(const TaskKey&) const = default;
  bool operator<(const TaskKey& other) const {
    return job != other.job ? job < other.job : task < other.task;
  }
};

// Attempts of a machine's incarnation whose direct launch may still be carried out: never cleared,
// nor replaced by another attempt of the same task, or it would start them again. docs/safety.md,
// "Direct launches".
class InFlightLaunches {
 public:
  using TaskKey = core::TaskKey;
  void add(std::uint64_t attempt, TaskKey key) { launched_.emplace(attempt, key); }
  // The machine has answered: the attempt was started, or never will be.
  void resolve(std::uint64_t attempt) { launched_.erase(attempt); }
  // Nothing of an earlier incarnation is carried out in a later one.
  void end_incarnation() { launched_.clear(); }
  bool empty() const { return launched_.empty(); }
  bool contains(std::uint64_t attempt) const { return launched_.contains(attempt); }
  bool of_task(TaskKey key) const {
    return std::any_of(launched_.begin(), launched_.end(),
                       [&](const auto& launch) { return launch.second == key; });
  }

 private:
  std::map<std::uint64_t, TaskKey> launched_;  // by attempt
};

}  // namespace hitchfront::core
