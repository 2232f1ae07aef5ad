#include "autoscaling/autoscaler.hpp"

#include <algorithm>
#include <utility>

#include "core/timing.hpp"
#include "leader/replay_snapshot.hpp"
#include "settings/constants.hpp"

namespace hitchfront::core {
using namespace settings;
using telemetry::ReleaseReason;
namespace {

const char* reason_text(ReleaseReason reason) {
  switch (reason) {
    case ReleaseReason::idle:
      return "idle";
    case ReleaseReason::lost:
      return "lost";
    case ReleaseReason::drained:
      return "drained";
    case ReleaseReason::reclaimed:
      return "taken";
    case ReleaseReason::failed:
      return "failed";
    case ReleaseReason::faulty:
      return "faulty";
    case ReleaseReason::unreachable:
      return "unreachable";
    case ReleaseReason::stuck:
      return "never came up";
  }
  return "";
}

}  // namespace

// --- scaling out ---

void Autoscaler::scale_out(Ms now) {
  for (auto& request : requests_)
    if (!request.in_flight && now >= request.retry_at) send_request(now, request);
  const auto snapshot = replay_snapshot(now, state_, requests_, context_.platform);
  if (snapshot.queue.empty()) return;
  const auto required = portfolio::scale_out_now(snapshot, policies_.policy(), policies_.params());
  for (std::size_t offer = 0; offer < required.size(); ++offer)
    for (auto remaining = required[offer]; remaining > 0;
         remaining -= std::min(remaining, kMaxMachinesPerScaleOut)) {
      const auto name =
          "r-" + std::to_string(context_.term) + "-" + std::to_string(next_request_number_++);
      send_request(now, requests_.add({name, offer, std::min(remaining, kMaxMachinesPerScaleOut),
                                       false, now}));
    }
}

void Autoscaler::send_request(Ms now, ScaleOutRequest& request) {
  if (!cloud_.try_acquire(now)) return;
  request.in_flight = true;
  const auto& offer = state_.catalog.offers()[request.offer];
  cloud_.post(
      "/machines",
      wire::scale_out_request(request.name, state_.catalog.type(offer.type).name,
                              state_.catalog.zone(offer.zone), offer.spot, request.count),
      context_.guarded([this, name = request.name](Ms t, int status, std::string_view body) {
        on_scale_out_response(t, name, status, body);
      }));
}

std::string Autoscaler::describe(const ScaleOutRequest& request) const {
  const auto& offer = state_.catalog.offers()[request.offer];
  return state_.catalog.describe(offer.type, offer.zone, offer.spot);
}

void Autoscaler::on_scale_out_response(Ms now, const std::string& name, int status,
                                       std::string_view body) {
  auto* request = requests_.find(name);
  if (request == nullptr) return;
  request->in_flight = false;
  const bool no_capacity = status == 503 && body.find("no capacity") != std::string_view::npos;
  cloud_.record_status(now, status, no_capacity);
  if (status == 200) {
    if (const auto names = wire::parse_scale_out_response(body))
      add_granted_machines(now, *request, *names);
  } else if (no_capacity) {
    state_.catalog.block_offer(request->offer, now + kNoCapacityBackoffMs);
    context_.log(Event::machine_refused, describe(*request));
  } else if (status == 400) {
    context_.log(Event::cloud_malformed, describe(*request));
    state_.catalog.block_offer(request->offer, now + kMachineTypesReadIntervalMs);
  } else {
    // The outcome is unknown, or the cloud refused for now. The request is repeated under the same
    // name, so that nothing is rented twice.
    request->retry_at = now + kCloudRoundIntervalMs;
    return;
  }
  requests_.remove(name);
}

void Autoscaler::add_granted_machines(Ms now, const ScaleOutRequest& request,
                                      const std::vector<std::string>& names) {
  const auto& offer = state_.catalog.offers()[request.offer];
  const auto& type = state_.catalog.type(offer.type).name;
  const auto& zone = state_.catalog.zone(offer.zone);
  for (const auto& name : names)
    if (!state_.machines.contains(name) && !state_.machines.was_returned(name))
      registry_.add(now, name, type, zone, offer.spot);
  context_.log(Event::machine_scaled_out, describe(request), request.count, names.size());
  context_.metrics().add(telemetry::Count::scaled_out, static_cast<double>(names.size()));
  // Partly granted: the offer has no more capacity for now.
  if (names.size() < request.count)
    state_.catalog.block_offer(request.offer, now + kNoCapacityBackoffMs);
}

// --- scaling in ---

// An idle spot machine is kept the longer the cheaper it is relative to the on-demand price of its
// type, because its replacement may be an on-demand machine, and has to boot first.
Ms Autoscaler::idle_retention_ms(const Machine& machine) const {
  if (machine.type < 0) return 0;
  const auto& type = state_.catalog.type(machine.type);
  const double ratio = machine.spot && type.spot_price > 0 ? type.price / type.spot_price : 1;
  return static_cast<Ms>(kIdleRetentionBaseS * 1000 * (ratio * ratio - 1));
}

// The machine has not come up within its boot time. After a takeover a running machine may be older
// than that without having sent this leader a heartbeat yet, so the time since the leader learned
// of it counts as well.
bool Autoscaler::is_stuck(Ms now, const Machine& machine) const {
  const double boot_s =
      machine.type < 0 ? kUnknownTypeBootTimeS : state_.catalog.type(machine.type).boot_s;
  return !machine.up &&
         now - machine.billed_since >
             static_cast<Ms>(boot_s * 1000 * kStuckBootFactor) + kStuckBootMarginMs &&
         now - machine.known_since > kStuckBootMarginMs + max_worker_lease_ms(context_.platform);
}

// The cloud has reclaimed the machine: it has vanished, or it has a termination notice and is
// either empty or silent. Returning it proves that its tasks are gone.
bool Autoscaler::is_reclaimed(Ms now, const Machine& machine) const {
  if (machine.vanished) return true;
  if (machine.termination_at == 0) return false;
  return (machine.tasks.empty() && machine.task_statuses.empty()) ||
         now - machine.last_heartbeat_at > silence_timeout_ms(context_.platform);
}

bool Autoscaler::is_idle_at_unit_end(Ms now, const Machine& machine) const {
  const Ms unit = static_cast<Ms>(policies_.params().charge_unit_s * 1000);
  const Ms age = now - machine.billed_since;
  return machine.up && machine.confirmed && !machine.lost && machine.tasks.empty() &&
         machine.task_statuses.empty() &&
         age >= static_cast<Ms>(kMinChargedTimeS * 1000) - kIdleReturnWindowMs &&
         unit - age % unit <= kIdleReturnWindowMs &&
         now - machine.idle_since >= idle_retention_ms(machine);
}

std::optional<ReleaseReason> Autoscaler::release_reason(Ms now, const Machine& machine) const {
  const bool empty = machine.tasks.empty();
  const bool reclaimed = is_reclaimed(now, machine);
  if (!empty && !machine.failed && !reclaimed) return std::nullopt;
  if (is_stuck(now, machine)) return ReleaseReason::stuck;
  if (machine.lost && now - machine.lost_at > kLostMachineReturnDelayMs) return ReleaseReason::lost;
  if (machine.draining && empty && machine.task_statuses.empty()) return ReleaseReason::drained;
  if (reclaimed) return ReleaseReason::reclaimed;
  if (machine.failed) return ReleaseReason::failed;
  if (machine.cordoned && empty) return ReleaseReason::faulty;
  // By now its replacement is up, and it has had time to become reachable again.
  if (machine.reachability.unreachable() && empty &&
      now - machine.reachability.unreachable_since() >
          max_worker_lease_ms(context_.platform) + kLostMachineReturnDelayMs)
    return ReleaseReason::unreachable;
  if (is_idle_at_unit_end(now, machine)) return ReleaseReason::idle;
  return std::nullopt;
}

std::vector<std::string> Autoscaler::select_releases(Ms now) {
  std::vector<std::string> names;
  for (auto* machine : state_.machines.all()) {
    if (!machine->releasing) {
      const auto reason = release_reason(now, *machine);
      if (!reason) continue;
      machine->releasing = true;
      context_.log(Event::machine_released, machine->name, reason_text(*reason));
      context_.metrics().add(telemetry::Count::machines_released, *reason);
    }
    names.push_back(machine->name);
    if (names.size() == kMaxMachinesPerRelease) break;
  }
  return names;
}

void Autoscaler::scale_in(Ms now) {
  if (release_in_flight_) return;
  const auto names = select_releases(now);
  if (names.empty() || !cloud_.try_acquire(now)) return;
  release_in_flight_ = true;
  cloud_.post("/machines/release", wire::release_request(names),
              context_.guarded([this, names](Ms t, int status, std::string_view) {
                on_release_response(t, names, status);
              }));
}

void Autoscaler::on_release_response(Ms now, const std::vector<std::string>& names, int status) {
  release_in_flight_ = false;
  cloud_.record_status(now, status);
  if (status != 200) return;  // the next round tries again
  for (const auto& name : names) {
    auto* machine = state_.machines.find(name);
    if (machine == nullptr) continue;
    // The cloud has confirmed that the machine is gone, with everything on it.
    tasks_.confirm_all_terminated(now, *machine);
    registry_.remove_returned(now, name);
  }
  state_.placement_needed = true;
}

}  // namespace hitchfront::core
