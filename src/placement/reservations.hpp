// Machines that are kept for jobs that find no capacity, during one placement.
#pragma once
#include <cstddef>
#include <cstdint>
#include <map>
#include <tuple>
#include <vector>

#include "leader/leader_state.hpp"

namespace hitchfront::core {

// Work within a guarantee that finds no capacity has machines kept for it, those that will have
// capacity first: otherwise small tasks of later jobs take every piece of capacity as it comes
// free, and a task that needs a whole machine waits for as long as they keep arriving.
//
// The ends of a machine's tasks are worked out once, and machines are put in order once for all
// jobs that ask for the same. What is placed since can only make a machine's capacity come later,
// so each is looked at again when it is its turn: the same machines as ordering them anew for each
// job, which took two thirds of the processor time of a day on which a thousand machines fall and
// everything waits.
class Reservations {
 public:
  Reservations(Ms now, LeaderState& state) : now_(now), state_(state) {}

  // A machine that may be kept; before the first reservation.
  void add(Machine& machine) { candidates_.push_back({&machine, false, {}}); }
  void begin() { unreserved_ = candidates_.size(); }
  // Keeps machines for as many of the job's waiting tasks as `most`.
  void reserve(const JobState& job, std::uint32_t most);

 private:
  struct TaskEnd {
    double in_s = 0;
    portfolio::Size size;
  };
  struct Candidate {
    Machine* machine = nullptr;
    bool ends_known = false;
    std::vector<TaskEnd> ends;  // the soonest first
  };
  struct Offer {
    double free_in_s = 0;
    std::uint32_t candidate = 0;
  };
  // Size, types, spot or not, zone, and the job itself where its other tasks decide what is
  // allowed.
  using Wanted = std::tuple<double, double, double, std::uint64_t, bool, int, std::uint64_t>;

  static Wanted wanted_by(const JobState& job);
  static bool is_later(const Offer& a, const Offer& b);
  std::vector<Offer>& offers_for(const JobState& job);
  // Seconds until the machine has capacity for it, by the predicted ends of its tasks.
  double free_in_s(std::uint32_t at, const portfolio::Size& size);
  void work_out_ends(Candidate& candidate);

  Ms now_;
  LeaderState& state_;
  std::vector<Candidate> candidates_;
  std::size_t unreserved_ = 0;                   // of these, kept for no job yet
  std::map<Wanted, std::vector<Offer>> offers_;  // heaps, the soonest at the top
};

}  // namespace hitchfront::core
