// Estimates how much CPU is available to this process, from the CPU time that it has used. Does not
// read clocks itself: times are passed in, in milliseconds.
#pragma once
#include <cstdint>

namespace hitchfront::net {

class ProcessorShare {
 public:
  // `cores`: the node's CPU quota from the settings, in cores.
  explicit ProcessorShare(double cores);

  // Measures the CPU use if a measurement is due, and returns whether it was. `read_cpu_ms` is
  // called only then. Use above the quota raises the estimate: the platform does not enforce the
  // quota, or its CPU clock also counts waiting time.
  template <class ReadCpu>
  bool update(std::int64_t now, ReadCpu read_cpu_ms) {
    if (!is_due(now)) return false;
    measure(now, read_cpu_ms());
    return true;
  }

  // In cores, at most 1 because the process is single-threaded. Never decreases.
  double available() const { return available_; }
  // 1 if exactly the quota is available.
  double available_to_quota_ratio() const { return available_ / cores_; }

 private:
  bool is_due(std::int64_t now) const;
  void measure(std::int64_t now, double cpu_ms);

  double cores_;
  double available_;
  std::int64_t measured_at_ = 0;
  double measured_cpu_ms_ = 0;  // CPU time at measured_at_
};

}  // namespace hitchfront::net
