#include "kv/rate_budget.hpp"

#include <algorithm>
#include <cmath>

#include "settings/constants.hpp"

namespace hitchfront::core {
using namespace settings;
namespace {

// Of a node that does not lead.
double follower_share(int nodes) {
  return (1 - kLeaderRateShare) / (nodes - 1);
}

}  // namespace

RateBudget::RateBudget(double requests_per_s, double writes_per_s, int nodes)
    : all_requests_per_s_(requests_per_s * kRateLimitShare),
      all_writes_per_s_(writes_per_s * kRateLimitShare),
      nodes_(nodes),
      requests_(all_requests_per_s_ / nodes, all_requests_per_s_ / nodes),
      writes_(1, 1),
      users_(all_writes_per_s_ * (nodes > 1 ? follower_share(nodes) : kLeaderRateShare), 1) {
  lead(false);
}

void RateBudget::lead(bool leading) {
  leading_ = leading;
  double share = 1;
  if (nodes_ > 1) share = leading ? kLeaderRateShare : follower_share(nodes_);
  writes_.set_rate(all_writes_per_s_ * share, all_writes_per_s_ * share);
  requests_.set_rate(all_requests_per_s_ * share, all_requests_per_s_ * share);
}

void RateBudget::others_need(std::optional<double> writes_per_s) {
  if (!leading_ || nodes_ <= 1) return;
  const double theirs = all_writes_per_s_ * (1 - kLeaderRateShare);
  const double rate = all_writes_per_s_ - std::min(theirs, writes_per_s.value_or(theirs));
  writes_.set_rate(rate, rate);
}

void RateBudget::take(Ms now, int writes) {
  requests_.take(1);
  writes_.take(writes);
  if (writes == 0) return;
  fade_used(now);
  used_ += writes;
}

double RateBudget::needed_writes_per_s(Ms now, double waiting_writes) {
  fade_used(now);
  return std::min(writes_.rate(), 1 + kWriteDemandHeadroomFactor * used_ + waiting_writes);
}

void RateBudget::fade_used(Ms now) {
  used_ *= std::exp(-static_cast<double>(now - used_at_) / 1000);
  used_at_ = now;
}

}  // namespace hitchfront::core
