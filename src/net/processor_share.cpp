#include "net/processor_share.hpp"

#include <algorithm>

#include "settings/constants.hpp"

namespace hitchfront::net {

ProcessorShare::ProcessorShare(double cores) : cores_(cores), given_(std::min(cores, 1.0)) {}

bool ProcessorShare::is_due(std::int64_t now) const {
  return now - measured_at_ >= settings::kCpuMeasurementPeriodMs;
}

void ProcessorShare::measure(std::int64_t now, double cpu_ms) {
  if (measured_at_ != 0) {
    const double used = (cpu_ms - cpu_ms_) / static_cast<double>(now - measured_at_);
    given_ = std::clamp(used, given_, 1.0);
  }
  measured_at_ = now;
  cpu_ms_ = cpu_ms;
}

}  // namespace hitchfront::net
