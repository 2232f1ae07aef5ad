// A machine, and the tasks that may be on it, as the leader knows them: data, and the questions
// that need nothing else.
#pragma once
#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/effects.hpp"
#include "machines/command_reachability.hpp"
#include "machines/in_flight_launches.hpp"
#include "portfolio/replay.hpp"
#include "settings/constants.hpp"
#include "wire/worker.hpp"

namespace hitchfront::core {

struct JobState;

// How far a placed task has come: not launched yet, launched, and what the machine says of it.
enum class PlacementStage : std::uint8_t { assigned, sent, fetching, running, saving };

// Whether users are shown a task of this stage as running.
constexpr bool is_running(PlacementStage stage) {
  return stage == PlacementStage::running || stage == PlacementStage::saving;
}

// A task on a machine: assigned to it, or possibly on it.
struct Placement {
  JobState* job = nullptr;
  std::uint32_t task = 0;
  std::uint64_t attempt = 0;
  PlacementStage stage = PlacementStage::assigned;
  Ms since = 0;                // assigned or launched
  Ms run_since = 0;            // first seen running; 0: not yet
  std::uint64_t sent_seq = 0;  // the heartbeat whose response carried the launch
  // The machine's incarnation that it is of: as launched, or as listed by a heartbeat sent in this
  // term. 0: not known.
  std::uint64_t incarnation = 0;
  bool stopping = false;
  bool capacity_reassigned = false;  // what it frees is assigned to another task already
  double grace_s = 0;                // that it gets to save when it is stopped
  Ms stop_sent = 0;
  std::uint64_t listed = 0;             // the last heartbeat that listed it, by the leader's count
  std::uint64_t recorded_in_batch = 0;  // the allocation log's batch that names it
  bool recorded = false;                // that batch is stored: it may be launched
  // Launched by a direct command that may still be carried out: absence proves nothing.
  bool in_flight = false;

  // Seconds that it has been seen running.
  double ran_s(Ms now) const {
    return run_since == 0 ? 0 : static_cast<double>(now - run_since) / 1000;
  }
};

using Placements = std::map<TaskKey, Placement>;

struct Machine {
  std::string name, addr;
  int type = -1, zone = -1;  // indices of the machine catalog; -1: none of ours
  bool spot = false;
  portfolio::Size whole, free_capacity;
  std::uint64_t incarnation = 0, seq = 0;  // of its newest heartbeat
  std::uint64_t expired_incarnation = 0;   // the newest whose lease was declared over
  bool up = false;                         // has sent a heartbeat
  bool confirmed = false;  // its last heartbeat was sent after hearing from this leader
  bool lost = false;       // its lease is over
  // By the stored allocation log it was up, or may have tasks; it has sent no heartbeat in this
  // term.
  bool recovered = false;
  bool draining = false;  // its tasks move elsewhere, then it is returned
  bool cordoned = false;  // gets nothing more, and is returned once it is empty
  bool releasing = false, failed = false;
  bool vanished = false;  // the cloud's list, which had it or must have had it, lacks it
  Ms born = 0;            // since when it is paid for
  Ms known = 0;           // to this leader, since
  Ms last_heartbeat_at = 0, lease_expires_at = 0, lost_at = 0, idle_since = 0;
  Ms termination_at = 0;           // by a notice of the cloud; 0: none
  std::uint64_t reserved_for = 0;  // job that waits for capacity here; set anew by each placement
  std::uint32_t assigned = 0;      // placements not yet launched
  bool stopping = false;           // some placement is, or was, to be stopped
  double pace = 1;                 // its tasks' run times against their jobs' means
  std::optional<std::uint64_t> held;  // heartbeat whose response is deferred
  Ms held_since = 0, held_most = 0;
  Placements tasks;
  std::vector<wire::TaskStatus> task_statuses;  // the newest heartbeat's
  std::uint64_t listed = 0;                     // that heartbeat, by the leader's count
  InFlightLaunches in_flight;                   // of this incarnation
  bool direct_out = false;                      // a direct launch waits for its answer
  CommandReachability reachability;
  Ms answered_at = 0;
  std::vector<int> images;  // that it has cached, as far as known; the most recent last

  // Nothing that anybody waits for is left of what it listed. An attempt that is kept listed
  // because its launch may still come is nothing of that kind.
  bool nothing_left() const {
    return std::all_of(
        task_statuses.begin(), task_statuses.end(), [this](const wire::TaskStatus& status) {
          return status.state == wire::TaskState::ended && in_flight.contains(status.attempt);
        });
  }
  void remember_image(int image) {
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
