// A token bucket. Time comes in.
#pragma once
#include <algorithm>

#include "core/effects.hpp"

namespace hitchfront::core {

class TokenBucket {
 public:
  // `rate`: tokens a second; `most`: tokens that it holds, as it does at first.
  TokenBucket(double rate, double most) : rate_(rate), most_(most), level_(most) {}
  void set_rate(double rate, double most) {
    rate_ = rate;
    most_ = most;
  }
  // Whether `n` may be taken now. More than the bucket holds may be once it is full, and leaves a
  // debt.
  bool can(Ms now, double n) {
    if (now > last_)
      level_ = std::min(most_, level_ + rate_ * static_cast<double>(now - last_) / 1000);
    last_ = std::max(last_, now);
    return level_ >= std::min(n, most_);
  }
  void take(double n) { level_ -= n; }
  double rate() const { return rate_; }

 private:
  double rate_, most_, level_;
  Ms last_ = 0;
};

}  // namespace hitchfront::core
