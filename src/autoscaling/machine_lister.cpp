#include "autoscaling/machine_lister.hpp"

#include <algorithm>
#include <utility>

#include "settings/constants.hpp"

namespace hitchfront::core {
using namespace settings;

void MachineLister::tick(Ms now) {
  if (deferred_page_after_)
    return read_page(now, *std::exchange(deferred_page_after_, std::nullopt));
  if (now < next_listing_at_ || listing_) return;
  next_listing_at_ = now + kMachineListIntervalMs;
  listing_ = true;
  read_page(now, "");
}

void MachineLister::read_page(Ms now, const std::string& after) {
  if (!cloud_.try_acquire(now)) {
    if (after.empty())
      listing_ = false;
    else
      deferred_page_after_ = after;
    return;
  }
  if (after.empty()) {
    listed_names_.clear();
    listing_started_at_ = now;
  }
  cloud_.get(wire::list_machines_path(after, kMaxMachinesPerListPage),
             context_.guarded(
                 [this](Ms t, int status, std::string_view body) { on_page(t, status, body); }));
}

void MachineLister::on_page(Ms now, int status, std::string_view body) {
  listing_ = false;
  cloud_.record_status(now, status);
  const auto page = status == 200 ? wire::parse_machines(body) : std::nullopt;
  if (!page) return;
  for (const auto& listed : page->machines) apply_listed(now, listed);
  if (!page->more || page->machines.empty()) return mark_vanished_machines(now);
  listing_ = true;
  read_page(now, page->machines.back().name);
}

void MachineLister::apply_listed(Ms now, const wire::ListedMachine& listed) {
  listed_names_.insert(listed.name);
  if (state_.machines.was_returned(listed.name)) return;
  const Ms billed_since = now - static_cast<Ms>(listed.age_s * 1000);
  auto* machine = state_.machines.find(listed.name);
  if (machine == nullptr) {
    // Rented by an earlier leader, or by a request that the cloud carried out late. It is managed
    // like any other.
    machine = registry_.add(now, listed.name, listed.type, listed.zone, listed.spot);
    if (machine == nullptr) return;
    machine->billed_since = billed_since;
  }
  // The list may be outdated, so the machine is at least this old.
  machine->billed_since = std::min(machine->billed_since, billed_since);
  if (machine->addr.empty()) machine->addr = listed.addr;
  if (listed.status == wire::ListedMachine::Status::failed && !machine->failed) {
    machine->failed = true;
    context_.log(Event::machine_failed, listed.name);
  }
}

// A machine that is absent from a list which has to include it was reclaimed without notice, or
// returned by an earlier leader. It is released at once, without waiting for its lease to expire,
// so that its tasks restart soon: after a wave of reclaimed machines these may be two fifths of the
// fleet's tasks. Only the cloud's response to the release, not the list, proves
// that nothing runs on it any more.
void MachineLister::mark_vanished_machines(Ms now) {
  const Ms earliest_list_at =
      listing_started_at_ -
      static_cast<Ms>(context_.platform.cloud_list_lag_s * 1000 * kMaxMachineListLagFactor) -
      kMachineListIntervalMs;
  for (auto* machine : state_.machines.all()) {
    if (machine->vanished || machine->releasing || machine->lost ||
        machine->billed_since >= earliest_list_at || machine->known_since >= listing_started_at_ ||
        listed_names_.contains(machine->name))
      continue;
    // It sent a heartbeat after the list may have been made, so the list may be outdated.
    if (machine->up && now - machine->last_heartbeat_at < kMachineListIntervalMs) continue;
    machine->vanished = true;
    context_.log(Event::machine_vanished, machine->name, machine->tasks.size());
  }
  listed_names_.clear();
}

}  // namespace hitchfront::core
