#include "simulation/simulated_network.hpp"

#include <algorithm>

namespace hitchfront::testing {
namespace {

constexpr std::int64_t kMinDelayMs = 1, kMaxDelayMs = 4;  // one way
constexpr std::int64_t kRetransmissionMs = 300;           // a lost packet is sent again

bool is_machine(const std::string& endpoint) {
  return endpoint.starts_with("n-");
}

bool matches_endpoint(const std::string& pattern, const std::string& endpoint) {
  return pattern == "*" || pattern == endpoint || (pattern == "workers" && is_machine(endpoint)) ||
         (pattern == "users" && endpoint == "user");
}

bool links(const Scenario::Cut& cut, const std::string& a, const std::string& b) {
  return (matches_endpoint(cut.a, a) && matches_endpoint(cut.b, b)) ||
         (matches_endpoint(cut.a, b) && matches_endpoint(cut.b, a));
}

}  // namespace

void SimulatedNetwork::send(const std::string& from, const std::string& to, Action deliver,
                            Action lost) {
  auto delay = context_.random.between(kMinDelayMs, kMaxDelayMs);
  if (is_unreachable(from, to)) {
    if (lost) context_.events.after(delay, std::move(lost));
    return;
  }
  if (context_.random.chance(context_.scenario.loss)) delay += kRetransmissionMs;
  if (const auto* cut = find_cut(from, to)) {
    if (!cut->hold) {
      if (lost) context_.events.after(delay, std::move(lost));
      return;
    }
    delay += cut->to - context_.now();  // held back, delivered in order after the cut
  }
  context_.events.after(delay, std::move(deliver));
}

const Scenario::Cut* SimulatedNetwork::find_cut(const std::string& a, const std::string& b) const {
  for (const auto& cut : context_.scenario.zone_cuts)
    if (is_active(cut) && crosses_zone_cut(cut, a, b)) return &cut;
  for (const auto& cut : context_.scenario.cuts)
    if (is_active(cut) && links(cut, a, b)) return &cut;
  return nullptr;
}

bool SimulatedNetwork::crosses_zone_cut(const Scenario::Cut& cut, const std::string& a,
                                        const std::string& b) const {
  const auto zone_a = zone_of_(a), zone_b = zone_of_(b);
  return (zone_a == cut.a && zone_b == cut.b) || (zone_a == cut.b && zone_b == cut.a);
}

bool SimulatedNetwork::is_unreachable(const std::string& controller,
                                      const std::string& machine) const {
  if (!is_machine(machine)) return false;
  const auto& cuts = context_.scenario.unreachable;
  return std::any_of(cuts.begin(), cuts.end(), [&](const auto& cut) {
    return is_active(cut) && (cut.a == "*" || cut.a == controller) && matches(cut.b, machine);
  });
}

bool SimulatedNetwork::can_send(const std::string& machine) const {
  const auto& cuts = context_.scenario.outbound_cuts;
  return std::none_of(cuts.begin(), cuts.end(),
                      [&](const auto& cut) { return is_active(cut) && matches(cut.b, machine); });
}

// "tenth": every tenth machine.
bool SimulatedNetwork::matches(const std::string& pattern, const std::string& machine) const {
  if (pattern == "*" || pattern == machine) return true;
  if (pattern == "tenth" && machine.back() == '3') return true;
  const auto zone = zone_of_(machine);
  return !zone.empty() && pattern == "zone " + zone;
}

void SimulatedNetwork::duplicate(double share, Action action) {
  if (share <= 0 || !context_.random.chance(share)) return;
  delay_like_duplicate(std::move(action));
}

void SimulatedNetwork::delay_like_duplicate(Action action) {
  const auto& scenario = context_.scenario;
  context_.events.after(
      context_.random.between(scenario.duplicate_delay_min, scenario.duplicate_delay_max),
      std::move(action));
}

}  // namespace hitchfront::testing
