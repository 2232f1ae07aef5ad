// Paces policy replay on the event loop: how many steps run in one slice, and how long replay
// pauses after it to stay within its share of the CPU.
#pragma once
#include <cstdint>

namespace hitchfront::net {

class ReplayPacing {
 public:
  // `cpu_share`: the share of the CPU available to the node that replay may use.
  explicit ReplayPacing(double cpu_share) : cpu_share_(cpu_share) {}

  // The number of steps of the next slice.
  std::uint64_t slice_steps() const;
  // Records a slice. Returns whether the rate estimate was updated: slices with few steps are
  // ignored.
  bool record(std::uint64_t steps, double slice_cpu_ms);
  // The pause after a slice, in wall-clock milliseconds. `available`: CPU available to the node, in
  // cores.
  double pause_ms(double slice_cpu_ms, double available) const {
    return slice_cpu_ms / (available * cpu_share_);
  }
  // Steps per millisecond of CPU time.
  double steps_per_ms() const { return steps_per_ms_; }

 private:
  double cpu_share_;
  double steps_per_ms_ = 20000;  // initial estimate
};

}  // namespace hitchfront::net
