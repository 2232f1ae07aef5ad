// Events of the key-value store: outages, limits, data loss and recovery.
#include "telemetry/event_tables.hpp"

namespace hitchfront::telemetry::tables {
namespace {

constexpr EventSpec kTable[] = {
    single(Event::store_down, Level::info, "store.down", {},
           "no response from the store for a second and more"),
    single(Event::store_up, Level::info, "store.up", {number("seconds")}, "it responds again"),
    single(Event::store_writes, Level::debug, "store.writes",
           {integer("user"), integer("watermark"), integer("progress"), integer("outcome"),
            integer("allocation_log"), integer("relay"), integer("leadership"),
            integer("users_wait"), integer("leader_waits")},
           "every 5 s: what this node has sent to the store since, by kind "
           "(`hitchfront_store_writes_total`), and the transactions of users and of the leader "
           "that wait for the budget"),
    single(Event::store_too_large, Level::error, "store.too_large",
           {integer("bytes"), integer("changes"), text("answer")},
           "the store calls a transaction malformed: its limits are most likely below those of "
           "the settings; what it holds is formed anew and tried again after some seconds; "
           "logged once for each process"),
    single(Event::state_lost, Level::error, "state.lost", {integer("generation"), text("why")},
           "data loss: the store's `revision`, `term` or `generation` is below one that was "
           "known before it was asked, a `record` is gone, or another controller reported it "
           "(`told`); users get 503, running work goes on, and a leader restores the state"),
    single(Event::state_gathered, Level::info, "state.gathered",
           {integer("replicas"), integer("missing"), integer("unfinished"), integer("outcomes")},
           "the recovery has merged so many controllers' replicas with what is still stored; "
           "`missing` controllers sent none"),
    single(Event::state_restored, Level::info, "state.restored",
           {integer("generation"), integer("written"), number("seconds")},
           "everything known is stored again; `written` records were missing or older"),
    single(Event::state_recovered, Level::info, "state.recovered", {integer("generation")},
           "this node serves on the restored state"),
    single(Event::state_waits, Level::info, "state.waits",
           {number("seconds"), text("for"), text("leader"), integer("generation")},
           "data has been lost for so long, and this node serves nobody; it waits for `a "
           "leader`, or for the recovery by the leader that is named"),
    single(Event::recovery_abandoned, Level::info, "recovery.abandoned",
           {text("why"), text("answer")},
           "this leader's recovery is refused by the store and it resigns; the next leader "
           "begins anew"),
};

}  // namespace

std::span<const EventSpec> store_events() {
  return kTable;
}

}  // namespace hitchfront::telemetry::tables
