// Events of leadership: election, fencing, failover, allocation log, policy selection, served
// shares.
#include "telemetry/event_tables.hpp"

namespace hitchfront::telemetry::tables {
namespace {

constexpr EventSpec kTable[] = {
    single(Event::leader_elected, Level::info, "leader.elected", {integer("term")},
           "this node leads; more than a few a minute: look at the store and the network"),
    single(Event::leader_followed, Level::info, "leader.followed",
           {integer("term"), text("leader")}, "this node sees who leads"),
    single(Event::leader_lost, Level::info, "leader.lost", {integer("term"), text("why")},
           "this node no longer leads"),
    single(Event::leader_former_ended, Level::info, "leader.former_ended", {},
           "the store lease of this node's former process is revoked at once"),
    single(Event::outage_abstentions, Level::info, "outage.abstentions", {integer("term")},
           "the store can't be reached; the leader goes on while all others abstain from taking "
           "over"),
    single(Event::leader_fenced, Level::info, "leader.fenced", {integer("term"), text("missing")},
           "the leader has not known all cancellations for too long and responds to no machine; "
           "`missing`: controllers whose cancellation logs it lacks"),
    single(Event::leader_unfenced, Level::info, "leader.unfenced",
           {integer("term"), number("seconds")}, "it knows them again, after so long"),
    single(Event::takeover_loaded, Level::info, "takeover.loaded",
           {integer("term"), integer("jobs"), text("allocation_log"), integer("machines"),
            integer("placed"), integer("unknown")},
           "the new leader has read the store: `placed` tasks may be on `machines` of the "
           "allocation log; where that is not `whole`, `unknown` tasks may be anywhere until "
           "found, for up to `lease_s`"),
    single(Event::takeover_types_learned, Level::info, "takeover.types_learned",
           {integer("term"), integer("machines"), integer("placed"), integer("unknown")},
           "the machine types of so many `machines` of the allocation log became known after it "
           "was read, and their tasks are placed there now; totals of all tasks"),
    single(Event::takeover_reconciled, Level::info, "takeover.reconciled",
           {integer("term"), number("seconds"), integer("silent"), integer("unplaced")},
           "every machine of the allocation log has sent a heartbeat, or its lease has expired "
           "(`silent`), and no task is unknown any more; `unplaced` tasks were found on no "
           "machine and go to the queue: more than a few, and workers lost their leases on the "
           "way to this leader"),
    single(Event::allocation_unreadable, Level::error, "allocation_log.unreadable", {text("key")},
           "a chunk of the stored allocation log can't be read; what may be running is found by "
           "waiting for `lease_s`, as without a log"),
    single(Event::allocation_log_complete, Level::info, "allocation_log.complete",
           {integer("term")},
           "everything that may be running is in the stored allocation log from now on"),
    single(Event::served_low, Level::error, "served.low",
           {text("by"), text("name"), number("share"), integer("waiting"), number("oldest_s"),
            integer("accepted")},
           "starvation: for a minute and more fewer than half of this class's or team's jobs, or "
           "of a class's `largest`, that have ended, or have waited for two minutes, were "
           "started; logged each minute while it lasts"),
    single(Event::policy_chosen, Level::info, "policy.chosen",
           {text("policy"), number("utility"), integer("replayed")}, "the selection changed"),
    single(Event::selection_replayed, Level::debug, "selection.replayed",
           {integer("jobs"), integer("machines"), integer("replayed"), integer("steps"),
            integer("steps_per_ms")},
           "how many policies of the portfolio were replayed; 0 or 1 for long: the share is too "
           "small"),
    single(Event::fleet_state, Level::debug, "fleet.state",
           {integer("up"), integer("usable"), integer("booting"), number("cpus"),
            number("placed_cpus"), number("running_cpus"), integer("assigned"), integer("stopping"),
            integer("waiting"), integer("within_guarantee_waiting"), integer("at_limit")},
           "every 5 s: machines, processors of usable ones and what is placed and runs on them, "
           "tasks that wait, of jobs within a guarantee, and of teams at their limit"),
};

}  // namespace

std::span<const EventSpec> leader_events() {
  return kTable;
}

}  // namespace hitchfront::telemetry::tables
