// Capacity reservations: machines that a scheduling pass keeps, until the next pass, for jobs that
// find no capacity.
#pragma once
#include <cstddef>
#include <cstdint>
#include <map>
#include <tuple>
#include <vector>

#include "leader/leader_state.hpp"

namespace hitchfront::core {

// Reserves the machines on which capacity is expected soonest. Without reservations, small tasks of
// later jobs take all capacity as it is freed, and a task that needs a whole machine starves.
//
// Each machine's task ends are computed once per pass, and jobs with the same requirements share
// one heap of machines. Placements made in the meantime can only delay a machine's availability, so
// an outdated entry is detected and updated when it comes to the top. Sorting the machines anew for
// each job takes two thirds of the CPU time when a thousand machines fail and everything waits.
class Reservations {
 public:
  Reservations(Ms now, LeaderState& state) : now_(now), state_(state) {}

  // Adds a machine that may be reserved. Call before start_reserving().
  void add(Machine& machine) { candidates_.push_back({&machine, false, {}}); }
  void start_reserving() { unreserved_ = candidates_.size(); }
  // Reserves machines for the job's waiting tasks, for `max_tasks` of them at most, as far as there
  // are enough. Sets Machine::reserved_for.
  void reserve(const JobState& job, std::uint32_t max_tasks);

 private:
  struct TaskEnd {
    double remaining_s = 0;
    portfolio::Resources size;
  };
  struct Candidate {
    Machine* machine = nullptr;
    bool task_ends_computed = false;
    std::vector<TaskEnd> task_ends;  // in ascending order of time
  };
  struct Availability {
    double available_in_s = 0;
    std::uint32_t candidate = 0;  // index in candidates_
  };
  // What decides which machines suit a job: CPUs, GPUs, memory, allowed types, spot or not, zone,
  // and the job's index if its other tasks restrict the zones.
  using RequestKey = std::tuple<double, double, double, std::uint64_t, bool, int, std::uint64_t>;

  static RequestKey request_key(const JobState& job);
  static bool is_later(const Availability& a, const Availability& b);
  std::vector<Availability>& availabilities_for(const JobState& job);
  // Seconds until the candidate has this much free capacity, by the predicted ends of its tasks.
  double available_in_s(std::uint32_t candidate_index, const portfolio::Resources& size);
  void compute_task_ends(Candidate& candidate);

  Ms now_;
  LeaderState& state_;
  std::vector<Candidate> candidates_;
  std::size_t unreserved_ = 0;                                      // candidates not reserved yet
  std::map<RequestKey, std::vector<Availability>> availabilities_;  // heaps, the soonest at the top
};

}  // namespace hitchfront::core
