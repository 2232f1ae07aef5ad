#include "portfolio/selector.hpp"

#include <algorithm>
#include <cmath>

namespace hitchfront::portfolio {

Selector::Selector(std::uint64_t seed, double lambda, const std::vector<bool>& admitted)
    : random_(seed), lambda_(lambda) {
  // Initially all admitted policies are Smart (paper, section 4).
  for (std::uint8_t i = 0; i < kPolicyCount; ++i)
    if (admitted.empty() || admitted[i]) smart_.push_back(i);
  if (!smart_.empty()) chosen_ = smart_.front();
}

void Selector::begin(Snapshot snapshot, double budget_steps, const PolicyParams& params) {
  snapshot_ = std::move(snapshot);
  params_ = params;
  scored_policies_.clear();
  const double n =
      static_cast<double>(std::max<std::size_t>(smart_.size() + stale_.size() + poor_.size(), 1));
  budget_[0] = static_cast<double>(smart_.size()) / n * budget_steps;
  budget_[1] = static_cast<double>(stale_.size()) / n * budget_steps;
  budget_[2] = budget_steps - budget_[0] - budget_[1];
  phase_ = 0;
  running_ = true;
}

std::uint64_t Selector::step() {
  if (!running_) return 0;
  if (phase_ == 0 && (smart_.empty() || budget_[0] <= 0)) phase_ = 1;
  if (phase_ == 1 && (stale_.empty() || budget_[1] <= 0)) {
    phase_ = 2;
    // Line 13: the remaining or overdrawn budget of the first two phases goes to Poor.
    budget_[2] += budget_[0] + budget_[1];
  }
  if (phase_ == 2 && (poor_.empty() || budget_[2] <= 0)) {
    finish();
    return 0;
  }
  std::uint8_t i = 0;
  if (phase_ == 0) {
    i = smart_.front();
    smart_.pop_front();
  } else if (phase_ == 1) {
    i = stale_.front();
    stale_.pop_front();
  } else {
    std::uniform_int_distribution<std::size_t> distribution(0, poor_.size() - 1);
    const auto index = distribution(random_);
    i = poor_[index];
    poor_.erase(poor_.begin() + static_cast<std::ptrdiff_t>(index));
  }
  const auto outcome = replay(snapshot_, policies_[i], params_);
  scored_policies_.push_back({i, std::isfinite(outcome.utility) ? outcome.utility : 0});
  budget_[phase_] -= static_cast<double>(outcome.steps);
  return std::max<std::uint64_t>(outcome.steps, 1);
}

void Selector::finish() {
  running_ = false;
  snapshot_ = {};
  replayed_count_ = scored_policies_.size();
  if (scored_policies_.empty()) return;
  // Line 20: Smart policies that were not replayed become Stale.
  stale_.insert(stale_.end(), smart_.begin(), smart_.end());
  smart_.clear();
  std::stable_sort(
      scored_policies_.begin(), scored_policies_.end(),
      [](const ScoredPolicy& a, const ScoredPolicy& b) { return a.utility > b.utility; });
  const auto smart_count = static_cast<std::size_t>(
      std::ceil(lambda_ * static_cast<double>(scored_policies_.size()) - 1e-9));
  for (std::size_t i = 0; i < scored_policies_.size(); ++i) {
    if (i < smart_count)
      smart_.push_back(scored_policies_[i].policy);
    else
      poor_.push_back(scored_policies_[i].policy);
  }
  chosen_ = scored_policies_.front().policy;
  utility_ = scored_policies_.front().utility;
}

}  // namespace hitchfront::portfolio
