#include "scale/failures.hpp"

#include <cstdio>

namespace hitchfront::scale {
namespace {

constexpr double kFrom = 0.45;  // of the submissions' time
constexpr std::int64_t kCutBeyondLeaseMs = 6000;
constexpr std::int64_t kBetweenMs = 10'000;  // two failures of controllers

}  // namespace

Controller* stored_leader(simulators::Host& host, Controllers& controllers) {
  const auto* stored = host.store().value("leader");
  return stored == nullptr ? nullptr : controllers.find(stored->value("node", ""));
}

Failures::Failures(const Options& options, std::string zone, simulators::Host& host,
                   Controllers& controllers)
    : zone_(std::move(zone)), host_(host), controllers_(controllers) {
  const auto cut = static_cast<std::int64_t>(kFrom * options.seconds * 1000);
  const auto mended = cut + static_cast<std::int64_t>(options.lease_s * 1000) + kCutBeyondLeaseMs;
  steps_ = {{cut, &Failures::cut_zone},
            {mended, &Failures::mend_zone},
            {mended + kBetweenMs, &Failures::kill_leader},
            {mended + 2 * kBetweenMs, &Failures::replace_a_follower}};
}

void Failures::tick(std::int64_t now) {
  while (next_step_ < steps_.size() && now >= steps_[next_step_].at_ms) {
    std::printf("{\"s\":%.1f,\"step\":%zu}\n", static_cast<double>(now) / 1000, next_step_);
    (this->*steps_[next_step_++].play)(now);
  }
}

void Failures::cut_zone(std::int64_t) {
  leases_before_cut_ = host_.traffic().leases_lost;
  host_.cut(zone_);
}

void Failures::mend_zone(std::int64_t) {
  host_.mend(zone_);
  leases_after_cut_ = host_.traffic().leases_lost;
}

void Failures::kill_leader(std::int64_t now) {
  if (auto* leader = stored_leader(host_, controllers_)) controllers_.end(*leader, now, kRestartMs);
}

void Failures::replace_a_follower(std::int64_t now) {
  const auto* leader = stored_leader(host_, controllers_);
  for (auto& controller : controllers_.all())
    if (&controller != leader && controller.process.running())
      return controllers_.end(controller, now, kReplacedMs);
}

}  // namespace hitchfront::scale
