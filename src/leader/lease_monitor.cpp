#include "leader/lease_monitor.hpp"

namespace hitchfront::core {

// A leader whose own lease may have expired must not expire workers' leases: a successor may have
// renewed them.
void LeaseMonitor::tick(Ms now) {
  if (!context_.can_act(now)) return;
  for (auto* machine : state_.machines.all()) {
    messenger_.probe(now, *machine);
    const bool may_have_tasks = machine->up || machine->recovered;
    if (!machine->lost && may_have_tasks && now > machine->lease_expires_at) expire(now, *machine);
  }
}

void LeaseMonitor::expire(Ms now, Machine& machine) {
  if (machine.recovered) {
    reconciliation_.count_silent_machine();
    reconciliation_.count_unplaced_tasks(machine.tasks.size());
    machine.recovered = false;
  }
  machine.lost = true;
  machine.lost_at = now;
  machine.expired_incarnation = machine.incarnation;
  machine.confirmed = false;
  messenger_.refuse_deferred(machine, "lease over");
  machine.direct_launches.end_incarnation();
  context_.log(Event::machine_lost, machine.name, machine.tasks.size());
  context_.metrics().add(telemetry::Count::leases_lost);
  context_.metrics().add(telemetry::Count::tasks_lost, static_cast<double>(machine.tasks.size()));
  tasks_.confirm_all_terminated(now, machine);
}

}  // namespace hitchfront::core
