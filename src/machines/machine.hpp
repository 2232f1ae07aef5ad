// A machine and the tasks that may be on it, as the leader knows them.
#pragma once
#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/effects.hpp"
#include "machines/command_reachability.hpp"
#include "machines/direct_launches.hpp"
#include "portfolio/replay.hpp"
#include "settings/constants.hpp"
#include "wire/worker.hpp"

namespace hitchfront::core {

struct JobState;

// Progress of a placed task: not launched yet, launched, and then as the machine reports it.
enum class PlacementStage : std::uint8_t { assigned, sent, fetching, running, saving };

// Whether users are shown a task of this stage as running.
constexpr bool is_running(PlacementStage stage) {
  return stage == PlacementStage::running || stage == PlacementStage::saving;
}

// A task that is assigned to a machine, or may be on it.
struct Placement {
  JobState* job = nullptr;
  std::uint32_t task = 0;
  std::uint64_t attempt = 0;
  PlacementStage stage = PlacementStage::assigned;
  Ms placed_at = 0;      // when it was assigned, launched or first reported, whichever was last
  Ms running_since = 0;  // when it was first reported as running; 0: not yet
  // Sequence number of the machine's newest heartbeat when the latest command to launch or end this
  // attempt was sent: only later heartbeats show its effect. 0: this leader has sent none.
  std::uint64_t command_seq = 0;
  // The incarnation in which the task was launched, or in which a heartbeat sent in this term
  // listed it. 0: unknown.
  std::uint64_t incarnation = 0;
  bool stopping = false;
  bool capacity_reassigned = false;  // its capacity is already assigned to another task
  double grace_s = 0;                // time to save a checkpoint when it is stopped
  Ms stop_sent_at = 0;
  std::uint64_t last_listing = 0;       // the last heartbeat that listed it (Machine::last_listing)
  std::uint64_t recorded_in_batch = 0;  // batch of the allocation log that contains it
  bool recorded = false;                // that batch is stored, so the task may be launched
  // Launched by a direct command that may not have been executed yet: absence from a heartbeat does
  // not prove that the task is gone while Machine::direct_launches contains the attempt.
  bool in_flight = false;

  // Seconds since it was first reported as running.
  double elapsed_s(Ms now) const {
    return running_since == 0 ? 0 : static_cast<double>(now - running_since) / 1000;
  }
};

using Placements = std::map<TaskKey, Placement>;

struct Machine {
  std::string name, addr;
  int type = -1, zone = -1;  // indices in the machine catalog; -1: unknown
  bool spot = false;
  portfolio::Resources capacity, free_capacity;
  std::uint64_t incarnation = 0, seq = 0;  // of its newest heartbeat
  std::uint64_t expired_incarnation = 0;   // the newest whose lease was declared expired
  bool up = false;                         // has sent a heartbeat
  // Its newest heartbeat carries this leader's fencing token.
  bool confirmed = false;
  bool lost = false;  // its lease has expired
  // According to the stored allocation log it was up or may have tasks, and it has not yet sent a
  // heartbeat that carries this leader's fencing token.
  bool recovered = false;
  bool draining = false;                   // its tasks are moved elsewhere, then it is returned
  bool cordoned = false;                   // gets no new tasks, and is returned once it is empty
  bool releasing = false, failed = false;  // being returned; listed as failed by the cloud
  bool vanished = false;  // missing from the cloud's list although it must be in it by now
  Ms billed_since = 0;
  Ms known_since = 0;  // when this leader learned of it
  Ms last_heartbeat_at = 0, lease_expires_at = 0, lost_at = 0, idle_since = 0;
  Ms termination_at = 0;           // announced by a termination notice; 0: none
  std::uint64_t reserved_for = 0;  // job index, set by each scheduling pass; 0: none
  std::uint32_t assigned = 0;      // placements not yet launched
  bool stopping = false;           // some placement may have to be stopped
  // Moving average of its tasks' run times relative to their jobs' means; 1 is average.
  double pace = 1;
  // The request whose response is deferred, since when, and for how long at most.
  std::optional<std::uint64_t> deferred_request;
  Ms deferred_since = 0, max_deferral_ms = 0;
  Placements tasks;
  std::vector<wire::TaskStatus> task_statuses;  // listed by its newest heartbeat
  std::uint64_t last_listing = 0;  // that heartbeat's number among all that this leader processed
  // The epoch of all commands to the machine from now on; it has reported this one or an earlier
  // one.
  CommandEpoch command_epoch = 0;
  CommandEpoch reported_epoch = 0;  // by its newest heartbeat of this term
  DirectLaunches direct_launches;
  bool direct_launch_pending = false;  // a direct launch has not been answered yet
  CommandReachability reachability;
  Ms last_response_at = 0;
  std::vector<int> images;  // probably in its cache, by catalog index; the most recent last

  // Not while a direct launch waits for its answer: the machine would refuse it. Below the last
  // epoch direct launches may be sent, so the last one fences them all.
  bool can_raise_epoch() const {
    return !direct_launch_pending && command_epoch < election::kLastCommandEpoch;
  }
  // Whether all commands from now on may be of a later epoch than the attempt's direct launch, if
  // there was one. Begins a new epoch if that is necessary.
  bool fence(std::uint64_t attempt) {
    return direct_launches.fenced_by(command_epoch, attempt) || raise_epoch();
  }
  // The same for all attempts of a task: then another one may be launched.
  bool fence_task(TaskKey key) {
    return direct_launches.task_fenced_by(command_epoch, key) || raise_epoch();
  }
  // What fence_task() would return.
  bool can_fence_task(TaskKey key) const {
    return direct_launches.task_fenced_by(command_epoch, key) || can_raise_epoch();
  }
  bool raise_epoch() {
    if (!can_raise_epoch()) return false;
    ++command_epoch;
    return true;
  }
  void record_image(int image) {
    std::erase(images, image);
    images.push_back(image);
    if (images.size() > settings::kMaxTrackedImages) images.erase(images.begin());
  }
  std::vector<TaskKey> task_keys() const {
    std::vector<TaskKey> keys;
    keys.reserve(tasks.size());
    for (const auto& [key, placement] : tasks) keys.push_back(key);
    return keys;
  }
};

}  // namespace hitchfront::core
