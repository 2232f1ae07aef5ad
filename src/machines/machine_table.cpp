#include "machines/machine_table.hpp"

#include <algorithm>

#include "core/timing.hpp"

namespace hitchfront::core {
using namespace settings;

Machine* MachineTable::find(const std::string& name) {
  const auto it = machines_.find(name);
  return it == machines_.end() ? nullptr : it->second.get();
}

Machine& MachineTable::add(std::unique_ptr<Machine> machine) {
  auto* added = machine.get();
  machines_[added->name] = std::move(machine);
  fleet_.push_back(added);
  return *added;
}

void MachineTable::remove_returned(const std::string& name) {
  const auto it = machines_.find(name);
  if (it == machines_.end()) return;
  std::erase(fleet_, it->second.get());
  machines_.erase(it);
  if (returned_.insert(name).second) returned_order_.push_back(name);
  if (returned_order_.size() >
      std::max(kMinReturnedMachinesKept, static_cast<std::size_t>(platform_.max_connections))) {
    returned_.erase(returned_order_.front());
    returned_order_.pop_front();
  }
}

bool MachineTable::usable(Ms now, const Machine& machine) const {
  return machine.up && machine.confirmed && !machine.lost && !machine.reachability.unreachable() &&
         !machine.vanished && !machine.cordoned && !machine.draining && !machine.releasing &&
         !machine.failed && machine.termination_at == 0 &&
         now - machine.last_heartbeat_at < silence_timeout_ms(platform_);
}

bool MachineTable::is_missing(Ms now, const Machine& machine) const {
  return machine.up && !machine.lost && !machine.failed && !machine.releasing &&
         machine.termination_at == 0 &&
         (machine.reachability.unreachable() || machine.vanished ||
          now - machine.last_heartbeat_at > silence_timeout_ms(platform_) + kMissingMachineDelayMs);
}

}  // namespace hitchfront::core
