// Events of machines and of the cloud provider.
#include "telemetry/event_tables.hpp"

namespace hitchfront::telemetry::tables {
namespace {

constexpr EventSpec kTable[] = {
    single(Event::cloud_down, Level::info, "cloud.down", {integer("status")},
           "the cloud can't be used (0: no response); nothing is scaled out or in meanwhile"),
    single(Event::cloud_up, Level::info, "cloud.up", {number("seconds")},
           "the cloud can be used again"),
    single(Event::cloud_malformed, Level::error, "cloud.malformed", {text("offer")},
           "the cloud calls a scale-out request malformed"),
    single(Event::machine_faulty, Level::info, "machine.faulty", {text("machine")},
           "fails tasks of jobs that complete elsewhere; drained and released"),
    single(Event::machine_slow, Level::info, "machine.slow", {text("machine"), number("pace")},
           "takes `pace` times as long as its peers; drained and released"),
    aggregated(
        Event::machine_registered, "machine.registered",
        {listed("machine"), counted("offer"), integer("incarnation")},
        "its first heartbeat to this leader; in a later incarnation: it lost its lease before "
        "this leader saw it"),
    aggregated(Event::machine_restarted, "machine.restarted",
               {listed("machine"), integer("incarnation")},
               "it lost its lease and begins anew, without tasks"),
    aggregated(Event::machine_termination_notice, "machine.termination_notice",
               {listed("machine"), number("seconds")}, "the cloud takes it away in about so long"),
    aggregated(Event::machine_lost, "machine.lost", {listed("machine"), summed("tasks")},
               "its lease has expired; its tasks go elsewhere"),
    aggregated(
        Event::machine_unreachable, "machine.unreachable", {listed("machine"), summed("tasks")},
        "its heartbeats arrive, and commands do not reach it; it gets no work, and its tasks "
        "stay its own until its lease expires"),
    aggregated(Event::machine_reachable, "machine.reachable", {listed("machine")},
               "commands reach it again, and it gets work"),
    aggregated(
        Event::machine_lease_refused, "machine.lease_refused", {listed("machine")},
        "a task of a cancelled job may come to it or go on there, and no response can end it "
        "in time: its heartbeat is refused and its lease is not renewed"),
    aggregated(Event::machine_vanished, "machine.vanished", {listed("machine"), summed("tasks")},
               "the cloud's list has it no longer; it is released, which confirms its tasks "
               "terminated, and they go elsewhere"),
    aggregated(Event::machine_failed, "machine.failed", {listed("machine")},
               "the cloud lists it as stopped by itself"),
    aggregated(Event::machine_scaled_out, "machine.scaled_out",
               {counted("offer"), summed("requested"), summed("granted")},
               "how many machines the cloud granted of those requested"),
    aggregated(Event::machine_refused, "machine.refused", {counted("offer")},
               "the cloud has no capacity for it"),
    aggregated(Event::machine_released, "machine.released", {listed("machine"), counted("why")},
               "given back to the cloud: idle, lost, drained, taken, failed, faulty, unreachable, "
               "never came up"),
    aggregated(Event::machine_drained, "machine.drained", {listed("machine"), summed("tasks")},
               "its tasks save and move, so that it can be released"),
    aggregated(Event::capacity_freed, "capacity.freed",
               {listed("machine"), text("job"), summed("tasks")},
               "tasks that can save were preempted for a job"),
};

}  // namespace

std::span<const EventSpec> machines_events() {
  return kTable;
}

}  // namespace hitchfront::telemetry::tables
