// Launches that were sent to a machine directly, and that it would still execute if they reached it
// once more.
#pragma once
#include <algorithm>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "core/effects.hpp"
#include "election/fencing_token.hpp"

namespace hitchfront::core {

using election::CommandEpoch;

// Identifies a task by its job's index in this process (JobState::index) and its number in the job.
struct TaskKey {
  std::uint64_t job = 0;
  std::uint32_t task = 0;
  bool operator==(const TaskKey&) const = default;
  bool operator<(const TaskKey& other) const {
    return job != other.job ? job < other.job : task < other.task;
  }
};

// Direct launches of a machine's current incarnation. The machine executes each of them, as often
// as it is delivered, until it has received the token of a later epoch; an attempt that it already
// lists is not affected. So whatever lets the machine forget an attempt, or starts another attempt
// of the task there, is sent in a later epoch than the attempt's launch, and the absence of an
// unanswered attempt proves nothing before the machine has reported such an epoch.
// docs/safety.md, "Direct launches".
class DirectLaunches {
 public:
  struct Launch {
    TaskKey key;
    CommandEpoch epoch = 0;
    Ms sent_at = 0;
    Ms answered_at = 0;  // 0: not answered
  };

  void add(std::uint64_t attempt, const Launch& launch) { launches_.emplace(attempt, launch); }
  void answered(Ms now, std::uint64_t attempt) {
    if (const auto it = launches_.find(attempt); it != launches_.end())
      it->second.answered_at = now;
  }
  // The machine refused the launch, as it will refuse every copy of it.
  void refused(std::uint64_t attempt) { launches_.erase(attempt); }
  // The machine has reported a token of this epoch.
  void epoch_reported(CommandEpoch epoch) {
    std::erase_if(launches_, [this, epoch](const auto& entry) {
      const bool fenced = entry.second.epoch < epoch;
      if (fenced) remember(entry.first, entry.second);
      return fenced;
    });
  }
  // Launches of an earlier incarnation are not executed in a later one.
  void end_incarnation() {
    launches_.clear();
    fenced_.clear();
  }

  bool empty() const { return launches_.empty(); }
  // Whether the machine may still execute the attempt's launch, or a copy of it.
  bool contains(std::uint64_t attempt) const { return launches_.contains(attempt); }
  // Whether a machine that executes a command of this epoch refuses the attempt's launch from then
  // on.
  bool fenced_by(CommandEpoch epoch, std::uint64_t attempt) const {
    const auto it = launches_.find(attempt);
    return it == launches_.end() || it->second.epoch < epoch;
  }
  // The same for the launches of all attempts of a task.
  bool task_fenced_by(CommandEpoch epoch, TaskKey key) const {
    return std::none_of(launches_.begin(), launches_.end(), [&](const auto& entry) {
      return entry.second.key == key && entry.second.epoch >= epoch;
    });
  }
  // The attempt's launch, if it is one of these or of the last ones before; null otherwise.
  const Launch* find(std::uint64_t attempt) const {
    if (const auto it = launches_.find(attempt); it != launches_.end()) return &it->second;
    for (const auto& [fenced_attempt, launch] : fenced_)
      if (fenced_attempt == attempt) return &launch;
    return nullptr;
  }

 private:
  static constexpr std::size_t kMaxRemembered = 4;  // for the log

  void remember(std::uint64_t attempt, const Launch& launch) {
    if (fenced_.size() == kMaxRemembered) fenced_.erase(fenced_.begin());
    fenced_.emplace_back(attempt, launch);
  }

  std::map<std::uint64_t, Launch> launches_;              // by attempt
  std::vector<std::pair<std::uint64_t, Launch>> fenced_;  // the last ones, the newest last
};

}  // namespace hitchfront::core
