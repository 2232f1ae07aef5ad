// A token bucket rate limiter. The caller passes the time.
#pragma once
#include <algorithm>

#include "core/effects.hpp"

namespace hitchfront::core {

class TokenBucket {
 public:
  // `rate` in tokens per second. The bucket starts full.
  TokenBucket(double rate, double capacity) : rate_(rate), capacity_(capacity), tokens_(capacity) {}
  void set_rate(double rate, double capacity) {
    rate_ = rate;
    capacity_ = capacity;
  }
  // Refills the bucket and returns whether `count` tokens may be taken. A count above the capacity
  // may be taken from a full bucket, whose level is then negative.
  bool has_tokens(Ms now, double count) {
    if (now > refilled_at_)
      tokens_ =
          std::min(capacity_, tokens_ + rate_ * static_cast<double>(now - refilled_at_) / 1000);
    refilled_at_ = std::max(refilled_at_, now);
    return tokens_ >= std::min(count, capacity_);
  }
  void take(double count) { tokens_ -= count; }
  double rate() const { return rate_; }

 private:
  double rate_, capacity_, tokens_;
  Ms refilled_at_ = 0;
};

}  // namespace hitchfront::core
