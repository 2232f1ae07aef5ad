#include "autoscaling/machine_lister.hpp"

#include <algorithm>
#include <utility>

#include "settings/constants.hpp"

namespace hitchfront::core {
using namespace settings;

void MachineLister::tick(Ms now) {
  if (paused_after_) return read_page(now, *std::exchange(paused_after_, std::nullopt));
  if (now < next_at_ || listing_) return;
  next_at_ = now + kMachineListIntervalMs;
  listing_ = true;
  read_page(now, "");
}

void MachineLister::read_page(Ms now, const std::string& after) {
  if (!cloud_.take(now)) {
    if (after.empty())
      listing_ = false;
    else
      paused_after_ = after;
    return;
  }
  if (after.empty()) {
    seen_.clear();
    since_ = now;
  }
  cloud_.get(wire::list_path(after, kMaxMachinesPerListPage),
             context_.guarded(
                 [this](Ms t, int status, std::string_view body) { on_page(t, status, body); }));
}

void MachineLister::on_page(Ms now, int status, std::string_view body) {
  listing_ = false;
  cloud_.note_status(now, status);
  const auto page = status == 200 ? wire::parse_machines(body) : std::nullopt;
  if (!page) return;
  for (const auto& listed : page->machines) take(now, listed);
  if (!page->more || page->machines.empty()) return find_vanished(now);
  listing_ = true;
  read_page(now, page->machines.back().name);
}

void MachineLister::take(Ms now, const wire::ListedMachine& listed) {
  seen_.insert(listed.name);
  if (state_.machines.was_returned(listed.name)) return;
  const Ms billed_since = now - static_cast<Ms>(listed.age_s * 1000);
  auto* machine = state_.machines.find(listed.name);
  if (machine == nullptr) {
    // An earlier leader's, or a request that was carried out late: used or returned like any other.
    machine = registry_.add(now, listed.name, listed.type, listed.zone, listed.spot);
    if (machine == nullptr) return;
    machine->billed_since = billed_since;
  }
  // The age is as old as the list, so the true beginning is no later than this.
  machine->billed_since = std::min(machine->billed_since, billed_since);
  if (machine->addr.empty()) machine->addr = listed.addr;
  if (listed.status == wire::ListedMachine::Status::failed && !machine->failed) {
    machine->failed = true;
    context_.log(Event::machine_failed, listed.name);
  }
}

// What is in no list though every list must have it by now is gone: taken without notice, or
// returned by an earlier leader. It is returned at once, and the cloud's answer to that, not the
// list, proves that nothing is left on it. Waiting for leases held two fifths of a fleet's tasks
// for 34 s after a wave.
void MachineLister::find_vanished(Ms now) {
  const Ms oldest_list =
      since_ -
      static_cast<Ms>(context_.platform.cloud_list_lag_s * 1000 * kMaxMachineListLagFactor) -
      kMachineListIntervalMs;
  for (auto* machine : state_.machines.all()) {
    if (machine->vanished || machine->releasing || machine->lost ||
        machine->billed_since >= oldest_list || machine->known_since >= since_ ||
        seen_.contains(machine->name))
      continue;
    // Heard since the list may have been made: not gone then.
    if (machine->up && now - machine->last_heartbeat_at < kMachineListIntervalMs) continue;
    machine->vanished = true;
    context_.log(Event::machine_vanished, machine->name, machine->tasks.size());
  }
  seen_.clear();
}

}  // namespace hitchfront::core
