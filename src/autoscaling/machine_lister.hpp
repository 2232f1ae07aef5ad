// Reads the cloud's list of machines, page by page: what an earlier leader rented, what failed, and
// what is gone without notice.
#pragma once
#include <optional>
#include <string>
#include <unordered_set>

#include "autoscaling/cloud_calls.hpp"
#include "leader/leader_context.hpp"
#include "leader/leader_state.hpp"
#include "leader/machine_registry.hpp"
#include "wire/cloud.hpp"

namespace hitchfront::core {

class MachineLister {
 public:
  MachineLister(LeaderContext& context, LeaderState& state, MachineRegistry& registry,
                CloudCalls& cloud)
      : context_(context), state_(state), registry_(registry), cloud_(cloud) {}

  // Begins a listing when its time has come, or goes on with one that waits for the cloud's rate.
  void tick(Ms now);

 private:
  void read_page(Ms now, const std::string& after);
  void on_page(Ms now, int status, std::string_view body);
  void take(Ms now, const wire::ListedMachine& listed);
  void find_vanished(Ms now);

  LeaderContext& context_;
  LeaderState& state_;
  MachineRegistry& registry_;
  CloudCalls& cloud_;
  bool listing_ = false;
  // The last machine read, while the next page waits for the cloud's rate. A listing that was given
  // up there never came to its end from some 2,000 machines on.
  std::optional<std::string> paused_after_;
  Ms since_ = 0;                          // of the listing under way
  std::unordered_set<std::string> seen_;  // by it
  Ms next_at_ = 0;
};

}  // namespace hitchfront::core
