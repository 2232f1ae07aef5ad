// How much replay goes into a slice of processor time, and how long it then pauses so as to keep
// within its share.
#pragma once
#include <cstdint>

namespace hitchfront::net {

class ReplayPacing {
 public:
  // `share`: of what the node gets of the processor.
  explicit ReplayPacing(double share) : share_(share) {}

  // Steps in one slice.
  std::uint64_t slice_steps() const;
  // So many steps took so many ms of processor time. True: the rate was measured anew.
  bool record(std::uint64_t steps, double took_ms);
  // ms to wait after a slice that took so long, where the node gets so much of a processor.
  double pause_ms(double took_ms, double given) const { return took_ms / (given * share_); }
  // Steps in a millisecond of processor time.
  double steps_per_ms() const { return steps_per_ms_; }

 private:
  double share_;
  double steps_per_ms_ = 20000;  // measured from the first slice on
};

}  // namespace hitchfront::net
