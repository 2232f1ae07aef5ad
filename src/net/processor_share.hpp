// What this process gets of the processor, in the clock that slices of replay are measured by. Time
// comes in.
#pragma once
#include <cstdint>

namespace hitchfront::net {

class ProcessorShare {
 public:
  // `cores`: the node's share of a processor, as the settings give it.
  explicit ProcessorShare(double cores);

  // A clock of processor time shows at most the node's share. Where more was seen over seconds, the
  // platform does not cap at the share, or its clock counts waiting for it too (as seen on a
  // platform that simulates time); either way that much is there. Taken for a cap, replay got a
  // twentieth of its part. True: the share was measured once more. `read_cpu_ms` is called only
  // then.
  template <class ReadCpu>
  bool update(std::int64_t now, ReadCpu read_cpu_ms) {
    if (!is_due(now)) return false;
    measure(now, read_cpu_ms());
    return true;
  }

  // Of a processor, at most 1.
  double given() const { return given_; }
  // The same in the node's own share: 1 where it gets just that.
  double given_of_cores() const { return given_ / cores_; }

 private:
  bool is_due(std::int64_t now) const;
  void measure(std::int64_t now, double cpu_ms);

  double cores_;
  double given_;
  std::int64_t measured_at_ = 0;
  double cpu_ms_ = 0;  // at that moment
};

}  // namespace hitchfront::net
