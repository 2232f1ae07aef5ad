#include "net/processor_share.hpp"

#include <algorithm>

#include "settings/constants.hpp"

namespace hitchfront::net {

ProcessorShare::ProcessorShare(double cores) : cores_(cores), available_(std::min(cores, 1.0)) {}

bool ProcessorShare::is_due(std::int64_t now) const {
  return now - measured_at_ >= settings::kCpuMeasurementPeriodMs;
}

void ProcessorShare::measure(std::int64_t now, double cpu_ms) {
  if (measured_at_ != 0) {
    const double used_share = (cpu_ms - measured_cpu_ms_) / static_cast<double>(now - measured_at_);
    available_ = std::clamp(used_share, available_, 1.0);
  }
  measured_at_ = now;
  measured_cpu_ms_ = cpu_ms;
}

}  // namespace hitchfront::net
