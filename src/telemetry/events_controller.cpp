// Events of the controller process: startup, feature levels, relayed heartbeats, refused requests.
#include "telemetry/event_tables.hpp"

namespace hitchfront::telemetry::tables {
namespace {

constexpr EventSpec kTable[] = {
    single(Event::node_started, Level::info, "node.started", {text("zone"), text("version")},
           "the process serves"),
    single(Event::node_cannot_start, Level::error, "node.cannot_start", {text("why")},
           "it ends; correct what `why` names"),
    single(Event::node_files_short, Level::error, "node.files_short",
           {integer("allowed"), integer("wanted")},
           "the process may have fewer files open than the settings' `max_connections` takes; "
           "raise its limit (`ulimit -Hn`)"),
    single(Event::member_announced, Level::info, "member.announced",
           {integer("process"), integer("from"), integer("to")},
           "this process has stored which feature levels it reads and writes, and serves from "
           "now on"),
    single(Event::level_active, Level::info, "feature_level.active",
           {integer("active"), integer("low"), integer("high")},
           "this node sees in which form values are written, and which forms may still stand in "
           "the store"),
    single(Event::level_held, Level::info, "feature_level.held",
           {integer("target"), text("why"), text("member")},
           "the switch to level `target` waits for `member`: `silent`, `unannounced` (a version "
           "that announces nothing), `absent`, `restarted`, `old`; or for `settings` that name "
           "every controller, or `for_good`: the active level can't be undone"),
    single(Event::level_switched, Level::info, "feature_level.switched",
           {integer("level"), integer("term")},
           "every controller supports the level; values are written in its form from now on"),
    single(Event::level_migrated, Level::info, "feature_level.migrated",
           {integer("level"), integer("term")}, "every stored value is of this level's form"),
    single(Event::level_unsupported, Level::error, "feature_level.unsupported",
           {text("stored"), integer("from"), integer("to")},
           "the stored state is of a feature level that this program does not read; it serves "
           "nobody, writes nothing and goes on reading the level: start the version that was "
           "rolled out, or take the level back with `level_most` first"),
    aggregated(Event::relay_passing, "relay.passing", {listed("machine"), counted("route")},
               "its heartbeats are passed on: it can't reach the leader, or this node can't"),
    aggregated(Event::request_refused, "request.refused", {integer("status"), counted("reason")},
               "users asked to come again, with `Retry-After`"),
    single(Event::log_unwritten, Level::error, "log.unwritten", {integer("lines")},
           "lines that could not be formatted"),
};

}  // namespace

std::span<const EventSpec> controller_events() {
  return kTable;
}

}  // namespace hitchfront::telemetry::tables
