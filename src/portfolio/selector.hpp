// Algorithm 1 of the paper: shares a replay budget over the Smart, Stale and Poor policies and
// picks the best of those replayed. The budget is counted in replay steps, so that a selection is
// the same on every machine; it can be carried out in slices.
#pragma once
#include <cstdint>
#include <deque>
#include <random>
#include <vector>

#include "portfolio/replay.hpp"

namespace hitchfront::portfolio {

class Selector {
 public:
  // `admitted`: by policy, in the order of all_policies(); empty: all.
  explicit Selector(std::uint64_t seed, double lambda = 0.6,
                    const std::vector<bool>& admitted = {});
  void set_lambda(double lambda) { lambda_ = lambda; }

  // Starts a selection over a snapshot with a budget in steps.
  void begin(Snapshot snapshot, double budget_steps, const Params& params);
  bool running() const { return running_; }
  // Replays one policy. Returns the steps it took; the selection may be over afterwards.
  std::uint64_t step();

  struct Scored {
    std::uint8_t policy;
    double utility;
  };
  const Policy& chosen() const { return policies_[chosen_]; }
  double chosen_utility() const { return utility_; }
  std::size_t replayed() const { return last_replayed_; }
  const std::deque<std::uint8_t>& smart() const { return smart_; }
  const std::deque<std::uint8_t>& stale() const { return stale_; }
  const std::vector<std::uint8_t>& poor() const { return poor_; }

 private:
  void finish();

  std::array<Policy, kPolicies> policies_ = all_policies();
  std::deque<std::uint8_t> smart_, stale_;  // stale: the stalest first
  std::vector<std::uint8_t> poor_;
  std::vector<Scored> scored_;  // Q
  std::mt19937_64 random_;
  double lambda_;
  Snapshot snapshot_;
  Params params_;
  double budget_[3] = {0, 0, 0};
  int phase_ = 0;
  bool running_ = false;
  std::uint8_t chosen_ = 0;
  double utility_ = 0;
  std::size_t last_replayed_ = 0;
};

}  // namespace hitchfront::portfolio
