// What a scale run breaks: a zone is cut off for longer than a lease, then the leader is killed,
// then another controller is replaced.
#pragma once
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "scale/controllers.hpp"
#include "scale/options.hpp"
#include "simulators/host.hpp"

namespace hitchfront::scale {

// The controller that the state service names as leader; none: there is none.
Controller* stored_leader(simulators::Host& host, Controllers& controllers);

class Failures {
 public:
  // `zone`: the one that is cut off.
  Failures(const Options& options, std::string zone, simulators::Host& host,
           Controllers& controllers);
  // Does what is due, and says so on standard output. `now`: ms since the run's start.
  void tick(std::int64_t now);
  std::uint64_t leases_lost_in_cut() const { return leases_after_cut_ - leases_before_cut_; }

 private:
  struct Step {
    std::int64_t at_ms;
    void (Failures::*play)(std::int64_t now);
  };
  void cut_zone(std::int64_t now);
  void mend_zone(std::int64_t now);
  void kill_leader(std::int64_t now);
  void replace_a_follower(std::int64_t now);

  std::string zone_;
  simulators::Host& host_;
  Controllers& controllers_;
  std::vector<Step> steps_;
  std::size_t next_step_ = 0;
  std::uint64_t leases_before_cut_ = 0, leases_after_cut_ = 0;
};

}  // namespace hitchfront::scale
