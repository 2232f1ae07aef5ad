// Reads the cloud's list of machines page by page, to find machines that an earlier leader rented,
// that have failed, or that the cloud has reclaimed without notice.
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

  // Begins a listing when it is due, or resumes one that was deferred by the cloud's rate limit.
  void tick(Ms now);

 private:
  // Reads the page that follows the machine `after`; empty: the first page.
  void read_page(Ms now, const std::string& after);
  void on_page(Ms now, int status, std::string_view body);
  void apply_listed(Ms now, const wire::ListedMachine& listed);
  void mark_vanished_machines(Ms now);

  LeaderContext& context_;
  LeaderState& state_;
  MachineRegistry& registry_;
  CloudCalls& cloud_;
  bool listing_ = false;
  // The last machine read, while the next page waits for the rate limit. The listing resumes there:
  // restarted from the first page, a listing of 2,000 machines or more would never complete.
  std::optional<std::string> deferred_page_after_;
  Ms listing_started_at_ = 0;
  std::unordered_set<std::string> listed_names_;  // by the current listing
  Ms next_listing_at_ = 0;
};

}  // namespace hitchfront::core
