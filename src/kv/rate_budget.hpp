// This node's share of the key-value store's rate limits, for requests and for writes (puts and
// deletes). The leader has a larger share, and may use the write rate that followers do not need.
#pragma once
#include <optional>

#include "core/effects.hpp"
#include "kv/token_bucket.hpp"

namespace hitchfront::core {

class RateBudget {
 public:
  // The store's published limits, for all nodes together.
  RateBudget(double requests_per_s, double writes_per_s, int nodes);

  void set_leading(bool leading);
  bool leading() const { return leading_; }
  // Sum of the followers' write demand; ignored unless leading. nullopt: a follower's demand is
  // unknown, and the full share is reserved for the followers.
  void set_follower_write_demand(std::optional<double> writes_per_s);

  bool can_send(Ms now) { return requests_.has_tokens(now, 1); }
  bool can_write(Ms now, int writes) { return writes_.has_tokens(now, writes); }
  // Charges one request with this number of writes.
  void take(Ms now, int writes);
  // The users' share on the leader's node, to which they are limited while the leader's own writes
  // are queued.
  bool can_write_for_users(Ms now, int writes) { return user_writes_.has_tokens(now, writes); }
  void take_user_writes(int writes) { user_writes_.take(writes); }

  // Estimated write demand for the next second, from recent and queued writes. At most this node's
  // rate.
  double write_demand_per_s(Ms now, double waiting_writes);
  double requests_per_s() const { return requests_.rate(); }
  double writes_per_s() const { return writes_.rate(); }
  double user_writes_per_s() const { return user_writes_.rate(); }

 private:
  void decay_recent_writes(Ms now);

  const double total_requests_per_s_, total_writes_per_s_;  // for all nodes together
  const int nodes_;
  bool leading_ = false;
  TokenBucket requests_, writes_, user_writes_;
  double recent_writes_ = 0;  // decays exponentially, with a time constant of 1 s
  Ms decayed_at_ = 0;
};

}  // namespace hitchfront::core
