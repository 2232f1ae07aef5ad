#include "portfolio/selector.hpp"

#include <algorithm>
#include <cmath>

namespace hitchfront::portfolio {

Selector::Selector(std::uint64_t seed, double lambda, const std::vector<bool>& admitted)
    : random_(seed), lambda_(lambda) {
  // On the first call all policies are Smart (paper, section 4; the design says the same).
  for (std::uint8_t i = 0; i < kPolicies; ++i)
    if (admitted.empty() || admitted[i]) smart_.push_back(i);
  if (!smart_.empty()) chosen_ = smart_.front();
}

void Selector::begin(Snapshot snapshot, double budget, const Params& params) {
  snapshot_ = std::move(snapshot);
  params_ = params;
  scored_.clear();
  const double n =
      static_cast<double>(std::max<std::size_t>(smart_.size() + stale_.size() + poor_.size(), 1));
  budget_[0] = static_cast<double>(smart_.size()) / n * budget;
  budget_[1] = static_cast<double>(stale_.size()) / n * budget;
  budget_[2] = budget - budget_[0] - budget_[1];
  phase_ = 0;
  running_ = true;
}

std::uint64_t Selector::step() {
  if (!running_) return 0;
  if (phase_ == 0 && (smart_.empty() || budget_[0] <= 0)) phase_ = 1;
  if (phase_ == 1 && (stale_.empty() || budget_[1] <= 0)) {
    phase_ = 2;
    // Line 13: what the first two phases left over (or overdrew) goes to Poor.
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
    std::uniform_int_distribution<std::size_t> pick(0, poor_.size() - 1);
    const auto at = pick(random_);
    i = poor_[at];
    poor_.erase(poor_.begin() + static_cast<std::ptrdiff_t>(at));
  }
  const auto outcome = replay(snapshot_, policies_[i], params_);
  scored_.push_back({i, std::isfinite(outcome.utility) ? outcome.utility : 0});
  budget_[phase_] -= static_cast<double>(outcome.steps);
  return std::max<std::uint64_t>(outcome.steps, 1);
}

void Selector::finish() {
  running_ = false;
  snapshot_ = {};
  last_replayed_ = scored_.size();
  if (scored_.empty()) return;
  // Line 20: Smart policies that were not reached are Stale now.
  stale_.insert(stale_.end(), smart_.begin(), smart_.end());
  smart_.clear();
  std::stable_sort(scored_.begin(), scored_.end(),
                   [](const Scored& a, const Scored& b) { return a.utility > b.utility; });
  const auto top =
      static_cast<std::size_t>(std::ceil(lambda_ * static_cast<double>(scored_.size()) - 1e-9));
  for (std::size_t i = 0; i < scored_.size(); ++i) {
    if (i < top)
      smart_.push_back(scored_[i].policy);
    else
      poor_.push_back(scored_[i].policy);
  }
  chosen_ = scored_.front().policy;
  utility_ = scored_.front().utility;
}

}  // namespace hitchfront::portfolio
