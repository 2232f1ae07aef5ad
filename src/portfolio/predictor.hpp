// Run-time prediction (paper, section 3.2): the mean of the last two completed jobs of the same
// owner replaces the user's estimate.
#pragma once
#include <array>
#include <string>
#include <unordered_map>

namespace hitchfront::portfolio {

class RunTimePredictor {
 public:
  // Records the run time of a completed job.
  void observe(const std::string& owner, double run_s) {
    auto& last = last_run_times_[owner];
    last.run_s[last.count % 2] = run_s;
    ++last.count;
  }
  // Falls back to the user's estimate until the owner has completed a job.
  double predict(const std::string& owner, double estimate_s) const {
    const auto it = last_run_times_.find(owner);
    if (it == last_run_times_.end()) return estimate_s > 0 ? estimate_s : 1;
    const auto& last = it->second;
    return last.count == 1 ? last.run_s[0] : (last.run_s[0] + last.run_s[1]) / 2;
  }

 private:
  struct LastRunTimes {
    std::array<double, 2> run_s{};
    unsigned count = 0;
  };
  std::unordered_map<std::string, LastRunTimes> last_run_times_;
};

}  // namespace hitchfront::portfolio
