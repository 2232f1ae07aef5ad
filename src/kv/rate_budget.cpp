#include "kv/rate_budget.hpp"

#include <algorithm>
#include <cmath>

#include "settings/constants.hpp"

namespace hitchfront::core {
using namespace settings;
namespace {

// Share of one follower.
double follower_share(int nodes) {
  return (1 - kLeaderRateShare) / (nodes - 1);
}

}  // namespace

RateBudget::RateBudget(double requests_per_s, double writes_per_s, int nodes)
    : total_requests_per_s_(requests_per_s * kRateLimitShare),
      total_writes_per_s_(writes_per_s * kRateLimitShare),
      nodes_(nodes),
      requests_(total_requests_per_s_ / nodes, total_requests_per_s_ / nodes),
      writes_(1, 1),
      user_writes_(total_writes_per_s_ * (nodes > 1 ? follower_share(nodes) : kLeaderRateShare),
                   1) {
  set_leading(false);
}

void RateBudget::set_leading(bool leading) {
  leading_ = leading;
  double share = 1;
  if (nodes_ > 1) share = leading ? kLeaderRateShare : follower_share(nodes_);
  writes_.set_rate(total_writes_per_s_ * share, total_writes_per_s_ * share);
  requests_.set_rate(total_requests_per_s_ * share, total_requests_per_s_ * share);
}

void RateBudget::set_follower_write_demand(std::optional<double> writes_per_s) {
  if (!leading_ || nodes_ <= 1) return;
  const double max_follower_demand = total_writes_per_s_ * (1 - kLeaderRateShare);
  const double rate = total_writes_per_s_ -
                      std::min(max_follower_demand, writes_per_s.value_or(max_follower_demand));
  writes_.set_rate(rate, rate);
}

void RateBudget::take(Ms now, int writes) {
  requests_.take(1);
  writes_.take(writes);
  if (writes == 0) return;
  decay_recent_writes(now);
  recent_writes_ += writes;
}

double RateBudget::write_demand_per_s(Ms now, double waiting_writes) {
  decay_recent_writes(now);
  return std::min(writes_.rate(), 1 + kWriteDemandHeadroomFactor * recent_writes_ + waiting_writes);
}

void RateBudget::decay_recent_writes(Ms now) {
  recent_writes_ *= std::exp(-static_cast<double>(now - decayed_at_) / 1000);
  decayed_at_ = now;
}

}  // namespace hitchfront::core
