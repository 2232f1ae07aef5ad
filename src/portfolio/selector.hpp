// Algorithm 1 of the paper: divides a replay budget among the Smart, Stale and Poor policies and
// chooses the best of those replayed. The budget is in replay steps and not in time, so that the
// result does not depend on the machine. A selection can be interrupted between two policies.
#pragma once
#include <cstdint>
#include <deque>
#include <random>
#include <vector>

#include "portfolio/replay.hpp"

namespace hitchfront::portfolio {

class Selector {
 public:
  // `lambda` is the share of the replayed policies that become Smart. `admitted` has a flag for
  // each policy, in the order of all_policies(); if empty, all are admitted.
  explicit Selector(std::uint64_t seed, double lambda = 0.6,
                    const std::vector<bool>& admitted = {});
  void set_lambda(double lambda) { lambda_ = lambda; }

  // Starts a selection, which step() carries out.
  void begin(Snapshot snapshot, double budget_steps, const PolicyParams& params);
  bool running() const { return running_; }
  // Replays one policy and returns the steps taken. The selection may have ended afterwards.
  std::uint64_t step();

  struct ScoredPolicy {
    std::uint8_t policy;
    double utility;
  };
  const Policy& chosen() const { return policies_[chosen_]; }
  double chosen_utility() const { return utility_; }
  std::size_t replayed() const { return replayed_count_; }
  const std::deque<std::uint8_t>& smart() const { return smart_; }
  const std::deque<std::uint8_t>& stale() const { return stale_; }
  const std::vector<std::uint8_t>& poor() const { return poor_; }

 private:
  void finish();

  std::array<Policy, kPolicyCount> policies_ = all_policies();
  std::deque<std::uint8_t> smart_, stale_;  // in the order of replay: the stalest first
  std::vector<std::uint8_t> poor_;
  std::vector<ScoredPolicy> scored_policies_;  // Q of the paper
  std::mt19937_64 random_;
  double lambda_;
  Snapshot snapshot_;
  PolicyParams params_;
  double budget_[3] = {0, 0, 0};
  int phase_ = 0;
  bool running_ = false;
  std::uint8_t chosen_ = 0;
  double utility_ = 0;
  std::size_t replayed_count_ = 0;
};

}  // namespace hitchfront::portfolio
