#include "leader/machine_registry.hpp"

#include <memory>
#include <utility>

#include "wire/job.hpp"

namespace hitchfront::core {

Machine* MachineRegistry::add(Ms now, const std::string& name, const std::string& type_name,
                              const std::string& zone, bool spot) {
  const int type = state_.catalog.type_index(type_name);
  if (type < 0) return nullptr;
  const auto& machine_type = state_.catalog.type(type);
  auto machine = std::make_unique<Machine>();
  machine->name = name;
  machine->type = type;
  machine->zone = state_.catalog.zone_index(zone);
  machine->spot = spot;
  machine->capacity =
      machine->free_capacity = {machine_type.cpus, machine_type.gpus, machine_type.memory_gb};
  machine->billed_since = machine->idle_since = machine->known_since = now;
  auto& added = state_.machines.add(std::move(machine));
  recorder_.add(now, name);
  return &added;
}

void MachineRegistry::remove_returned(Ms now, const std::string& name) {
  const auto* machine = state_.machines.find(name);
  if (machine == nullptr) return;
  if (machine->deferred_request)
    context_.outbox.reply(*machine->deferred_request, 503, wire::error_body("machine returned"));
  state_.failures.forget_machine(name);
  recorder_.remove(now, name);
  state_.machines.remove_returned(name);
}

}  // namespace hitchfront::core
