// This node's part of the state service's published rates, of requests and of writes (puts and
// deletes). The leader has the larger part, and of the write rate whatever the other nodes do not
// need.
#pragma once
#include <optional>

#include "core/effects.hpp"
#include "kv/token_bucket.hpp"

namespace hitchfront::core {

class RateBudget {
 public:
  // The store's rates a second, for all nodes together.
  RateBudget(double requests_per_s, double writes_per_s, int nodes);

  void lead(bool leading);
  bool leading() const { return leading_; }
  // While leading: what the others say they need of the write rate, in writes a second. Nothing:
  // somebody has not said, and may use its whole part.
  void others_need(std::optional<double> writes_per_s);

  bool can_send(Ms now) { return requests_.can(now, 1); }
  bool can_write(Ms now, int writes) { return writes_.can(now, writes); }
  // A request of so many writes is sent.
  void take(Ms now, int writes);
  // Users' part on the leader's node, which is all that they get while the leader's own writes
  // wait.
  bool users_can_write(Ms now, int writes) { return users_.can(now, writes); }
  void take_from_users(int writes) { users_.take(writes); }

  // Writes a second that this node needs in the next second, by the last one and by those that
  // wait; at most its part.
  double needed_writes_per_s(Ms now, double waiting_writes);
  double requests_per_s() const { return requests_.rate(); }
  double writes_per_s() const { return writes_.rate(); }
  double users_writes_per_s() const { return users_.rate(); }

 private:
  void fade_used(Ms now);

  const double all_requests_per_s_, all_writes_per_s_;  // of all nodes
  const int nodes_;
  bool leading_ = false;
  TokenBucket requests_, writes_, users_;
  double used_ = 0;  // writes sent, fading within a second
  Ms used_at_ = 0;
};

}  // namespace hitchfront::core
