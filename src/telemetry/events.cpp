#include "telemetry/events.hpp"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

namespace hitchfront::telemetry {
namespace {

using E = Event;
using K = Kind;
using R = Role;

std::string number(double v) {
  char buffer[32];
  const auto [end, ec] =
      std::to_chars(buffer, buffer + sizeof(buffer), v, std::chars_format::general, 6);
  return ec == std::errc() ? std::string(buffer, end) : "0";
}

nlohmann::json to_json(const Value& v) {
  return std::visit([](const auto& x) { return nlohmann::json(x); }, v);
}

bool plain(std::string_view s) {
  return !s.empty() && std::all_of(s.begin(), s.end(), [](char c) {
    return static_cast<unsigned char>(c) > ' ' && c != '"' && c != '=' && c != 127 &&
           static_cast<unsigned char>(c) < 128;
  });
}

std::string as_word(const std::string& s) {
  return plain(s) ? s
                  : nlohmann::json(s).dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
}

std::string to_text(const Value& v) {
  struct Writer {
    std::string operator()(const std::string& s) const { return as_word(s); }
    std::string operator()(std::int64_t n) const { return std::to_string(n); }
    std::string operator()(double d) const { return number(d); }
    std::string operator()(bool b) const { return b ? "true" : "false"; }
    std::string operator()(const std::vector<std::string>& list) const {
      std::string out;
      for (const auto& s : list) out += (out.empty() ? "" : ",") + s;
      return as_word(out);
    }
    std::string operator()(const Counts& counts) const {
      std::string out;
      for (const auto& [what, n] : counts)
        out += (out.empty() ? "" : ",") + what + ":" + std::to_string(n);
      return as_word(out);
    }
  };
  return std::visit(Writer{}, v);
}

}  // namespace

std::string_view name(Level level) {
  return level == Level::error ? "error" : level == Level::info ? "info" : "debug";
}
std::string_view name(Kind kind) {
  return kind == K::text      ? "text"
         : kind == K::integer ? "integer"
         : kind == K::number  ? "number"
                              : "boolean";
}

const std::vector<EventSpec>& events() {
  static const std::vector<EventSpec> table = {
      {E::node_started,
       "node.started",
       Level::info,
       false,
       {{"zone", K::text}, {"version", K::text}},
       "the process serves"},
      {E::node_cannot_start,
       "node.cannot_start",
       Level::error,
       false,
       {{"why", K::text}},
       "it ends; mend what `why` names"},
      {E::leader_elected,
       "leader.elected",
       Level::info,
       false,
       {{"term", K::integer}},
       "this node leads; more than a few a minute: look at the store and the network"},
      {E::leader_followed,
       "leader.followed",
       Level::info,
       false,
       {{"term", K::integer}, {"leader", K::text}},
       "this node sees who leads"},
      {E::leader_lost,
       "leader.lost",
       Level::info,
       false,
       {{"term", K::integer}, {"why", K::text}},
       "this node no longer leads"},
      {E::leader_former_ended,
       "leader.former_ended",
       Level::info,
       false,
       {},
       "the lease of this node's former process is ended at once"},
      {E::outage_abstentions,
       "outage.abstentions",
       Level::info,
       false,
       {{"term", K::integer}},
       "the store can't be reached; the leader goes on while the others promise not to take over"},
      {E::leader_fenced,
       "leader.fenced",
       Level::info,
       false,
       {{"term", K::integer}, {"missing", K::text}},
       "the leader can't know what has been cancelled for too long and answers no machine; "
       "`missing`: controllers that have not vouched"},
      {E::leader_unfenced,
       "leader.unfenced",
       Level::info,
       false,
       {{"term", K::integer}, {"seconds", K::number}},
       "it knows again, after so long"},
      {E::store_down,
       "store.down",
       Level::info,
       false,
       {},
       "nothing has come from the state service for a second and more"},
      {E::store_up, "store.up", Level::info, false, {{"seconds", K::number}}, "it answers again"},
      {E::store_writes,
       "store.writes",
       Level::debug,
       false,
       {{"user", K::integer},
        {"watermark", K::integer},
        {"progress", K::integer},
        {"final", K::integer},
        {"allocation", K::integer},
        {"relay", K::integer},
        {"lead", K::integer},
        {"users_wait", K::integer},
        {"leader_waits", K::integer}},
       "every 5 s: what this node has sent to the state service since, by kind "
       "(`hitchfront_store_writes_total`), and the transactions of users and of the leader that "
       "wait for the budget"},
      {E::store_too_large,
       "store.too_large",
       Level::error,
       false,
       {{"bytes", K::integer}, {"changes", K::integer}, {"answer", K::text}},
       "the state service calls a transaction malformed: its limits are most likely below those of "
       "the settings; what it holds is formed anew and tried again after some seconds; told once "
       "for each process"},
      {E::takeover_loaded,
       "takeover.loaded",
       Level::info,
       false,
       {{"term", K::integer},
        {"jobs", K::integer},
        {"allocation", K::text},
        {"machines", K::integer},
        {"placed", K::integer},
        {"unknown", K::integer}},
       "the new leader has read the store: `placed` tasks may be on `machines` of the roster; "
       "where that is not `whole`, `doubt` tasks may be anywhere until found, for up to `lease_s`"},
      {E::takeover_reconciled,
       "takeover.reconciled",
       Level::info,
       false,
       {{"term", K::integer},
        {"seconds", K::number},
        {"silent", K::integer},
        {"unplaced", K::integer}},
       "every machine of the roster has spoken, or its lease is over (`silent`), and nothing is in "
       "doubt any more; `nowhere` tasks were found on no machine and go to the queue: more than a "
       "few, and workers lost their leases on the way to this leader"},
      {E::allocation_unreadable,
       "allocation.unreadable",
       Level::error,
       false,
       {{"key", K::text}},
       "a part of the stored roster can't be read; what may be running is found by waiting for "
       "`lease_s`, as without a roster"},
      {E::allocation_log_complete,
       "allocation.complete",
       Level::info,
       false,
       {{"term", K::integer}},
       "everything that may be running is in the stored roster from now on"},
      {E::member_announced,
       "member.announced",
       Level::info,
       false,
       {{"life", K::integer}, {"from", K::integer}, {"to", K::integer}},
       "this process has said in the store which levels of the stored state it reads and writes, "
       "and serves from now on"},
      {E::level_active,
       "level.active",
       Level::info,
       false,
       {{"active", K::integer}, {"low", K::integer}, {"high", K::integer}},
       "this node sees in which form values are written, and which forms may still stand in the "
       "store"},
      {E::level_held,
       "level.held",
       Level::info,
       false,
       {{"target", K::integer}, {"why", K::text}, {"member", K::text}},
       "the switch to level `target` waits for `member`: `silent`, `mute` (a version that "
       "announces nothing), `absent`, `restarted`, `old`; or for `settings` that name every "
       "controller, or `for_good`: the active level can't be undone"},
      {E::level_switched,
       "level.switched",
       Level::info,
       false,
       {{"level", K::integer}, {"term", K::integer}},
       "every controller supports the level; values are written in its form from now on"},
      {E::level_settled,
       "level.settled",
       Level::info,
       false,
       {{"level", K::integer}, {"term", K::integer}},
       "every stored value is of this level's form"},
      {E::level_unsupported,
       "level.unsupported",
       Level::error,
       false,
       {{"stored", K::text}, {"from", K::integer}, {"to", K::integer}},
       "the stored state is of a level that this program does not read; it serves nobody, writes "
       "nothing and goes on looking: start the version that was rolled out, or take the level back "
       "with `level_most` first"},
      {E::state_lost,
       "state.lost",
       Level::error,
       false,
       {{"generation", K::integer}, {"why", K::text}},
       "the state service has lost data: its `revision`, `term` or `generation` is below one that "
       "was known before it was asked, a `record` is gone, or another controller has `told` so; "
       "users get 503, running work goes on, and a leader rebuilds the state"},
      {E::state_gathered,
       "state.gathered",
       Level::info,
       false,
       {{"replicas", K::integer},
        {"missing", K::integer},
        {"unfinished", K::integer},
        {"finals", K::integer}},
       "the rebuild has joined so many controllers' copies with what is still stored; `missing` "
       "controllers gave none"},
      {E::state_restored,
       "state.restored",
       Level::info,
       false,
       {{"generation", K::integer}, {"written", K::integer}, {"seconds", K::number}},
       "everything known is stored again; `written` records were missing or older"},
      {E::state_recovered,
       "state.recovered",
       Level::info,
       false,
       {{"generation", K::integer}},
       "this node serves on the rebuilt state"},
      {E::state_waits,
       "state.waits",
       Level::info,
       false,
       {{"seconds", K::number}, {"for", K::text}, {"leader", K::text}, {"generation", K::integer}},
       "the stored state has been lost for so long, and this node serves nobody; it waits for `a "
       "leader`, or for the rebuild by the leader that is named"},
      {E::served_low,
       "served.low",
       Level::error,
       false,
       {{"by", K::text},
        {"name", K::text},
        {"share", K::number},
        {"waiting", K::integer},
        {"oldest_s", K::number},
        {"accepted", K::integer}},
       "for a minute and more fewer than half of this class's or team's jobs, or of a class's "
       "`largest`, that are over, or have waited for two minutes, were started; told each minute "
       "while it lasts"},
      {E::recovery_abandoned,
       "recovery.abandoned",
       Level::info,
       false,
       {{"why", K::text}, {"answer", K::text}},
       "this leader's rebuild is refused by the store and it gives up the lead; the next leader "
       "begins anew"},
      {E::cloud_down,
       "cloud.down",
       Level::info,
       false,
       {{"status", K::integer}},
       "the cloud can't be used (0: no answer); nothing is rented or returned meanwhile"},
      {E::cloud_up,
       "cloud.up",
       Level::info,
       false,
       {{"seconds", K::number}},
       "the cloud can be used again"},
      {E::cloud_malformed,
       "cloud.malformed",
       Level::error,
       false,
       {{"offer", K::text}},
       "the cloud calls a rental request malformed"},
      {E::policy_chosen,
       "policy.chosen",
       Level::info,
       false,
       {{"policy", K::text}, {"utility", K::number}, {"replayed", K::integer}},
       "the selection changed"},
      {E::selection_replayed,
       "selection.replayed",
       Level::debug,
       false,
       {{"jobs", K::integer},
        {"machines", K::integer},
        {"replayed", K::integer},
        {"steps", K::integer},
        {"steps_per_ms", K::integer}},
       "how much of the portfolio had its turn; 0 or 1 for long: the share is too small"},
      {E::fleet_state,
       "fleet.state",
       Level::debug,
       false,
       {{"up", K::integer},
        {"usable", K::integer},
        {"booting", K::integer},
        {"cpus", K::number},
        {"placed_cpus", K::number},
        {"running_cpus", K::number},
        {"assigned", K::integer},
        {"stopping", K::integer},
        {"waiting", K::integer},
        {"within_guarantee_waiting", K::integer},
        {"at_limit", K::integer}},
       "every 5 s: machines, processors of usable ones and what is placed and runs on them, tasks "
       "that wait, of jobs within a guarantee, and of teams at their limit"},
      {E::job_unreadable,
       "job.unreadable",
       Level::error,
       false,
       {{"job", K::text}},
       "a stored record can't be read; the job is left alone"},
      {E::job_quarantined,
       "job.quarantined",
       Level::info,
       false,
       {{"job", K::text}},
       "fails on several machines and completes nowhere: submitted with a mistake, most likely; "
       "tried one task at a time until its user cancels it"},
      {E::job_cancelled,
       "job.cancelled",
       Level::info,
       true,
       {{"job", K::text, R::listed}},
       "its user cancelled it"},
      {E::job_waits,
       "job.waits",
       Level::info,
       true,
       {{"job", K::text, R::listed}, {"for", K::text}},
       "it awaits other jobs, of which one is named, and starts nothing before they are done"},
      {E::job_released,
       "job.released",
       Level::info,
       true,
       {{"job", K::text, R::listed}, {"after", K::text}},
       "all that it awaits is done, the named job last, and its tasks may start"},
      {E::job_cancelled_with,
       "job.cancelled_with",
       Level::info,
       true,
       {{"job", K::text, R::listed}, {"cause", K::text}},
       "a job that it needs, directly or through others, was cancelled: `cause`, or one between "
       "the two"},
      {E::job_gone,
       "job.gone",
       Level::info,
       true,
       {{"job", K::text, R::listed}},
       "cancelled, and all its tasks are gone"},
      {E::job_done,
       "job.done",
       Level::info,
       true,
       {{"job", K::text, R::listed}},
       "all its tasks are done, and that is stored"},
      {E::machine_faulty,
       "machine.faulty",
       Level::info,
       false,
       {{"machine", K::text}},
       "fails tasks of jobs that complete elsewhere; drained and returned"},
      {E::machine_slow,
       "machine.slow",
       Level::info,
       false,
       {{"machine", K::text}, {"pace", K::number}},
       "takes `pace` times as long as its peers; drained and returned"},
      {E::machine_registered,
       "machine.registered",
       Level::info,
       true,
       {{"machine", K::text, R::listed}, {"offer", K::text, R::counted}, {"session", K::integer}},
       "its first report to this leader; in a later session: it lost its lease before this leader "
       "heard of it"},
      {E::machine_restarted,
       "machine.restarted",
       Level::info,
       true,
       {{"machine", K::text, R::listed}, {"session", K::integer}},
       "it lost its lease and begins anew, without tasks"},
      {E::machine_notice,
       "machine.notice",
       Level::info,
       true,
       {{"machine", K::text, R::listed}, {"seconds", K::number}},
       "the cloud takes it away in about so long"},
      {E::machine_lost,
       "machine.lost",
       Level::info,
       true,
       {{"machine", K::text, R::listed}, {"tasks", K::integer, R::added}},
       "its lease is over; its tasks go elsewhere"},
      {E::machine_unreachable,
       "machine.unreachable",
       Level::info,
       true,
       {{"machine", K::text, R::listed}, {"tasks", K::integer, R::added}},
       "its reports arrive, and what it is told does not reach it; it gets no work, and its tasks "
       "stay its own until its lease is over"},
      {E::machine_reachable,
       "machine.reachable",
       Level::info,
       true,
       {{"machine", K::text, R::listed}},
       "it can be reached again, and gets work"},
      {E::machine_lease_refused,
       "machine.lease_refused",
       Level::info,
       true,
       {{"machine", K::text, R::listed}},
       "a task of a cancelled job may come to it or go on there, and no answer can end it in time: "
       "its report is refused and its lease is not renewed"},
      {E::machine_vanished,
       "machine.vanished",
       Level::info,
       true,
       {{"machine", K::text, R::listed}, {"tasks", K::integer, R::added}},
       "the cloud's list has it no longer; it is returned, which proves its tasks gone, and they "
       "go elsewhere"},
      {E::machine_failed,
       "machine.failed",
       Level::info,
       true,
       {{"machine", K::text, R::listed}},
       "the cloud lists it as stopped by itself"},
      {E::machine_scaled_out,
       "machine.scaled_out",
       Level::info,
       true,
       {{"offer", K::text, R::counted},
        {"asked", K::integer, R::added},
        {"got", K::integer, R::added}},
       "what the cloud gave of what was asked for"},
      {E::machine_refused,
       "machine.refused",
       Level::info,
       true,
       {{"offer", K::text, R::counted}},
       "the cloud has none of it"},
      {E::machine_released,
       "machine.released",
       Level::info,
       true,
       {{"machine", K::text, R::listed}, {"why", K::text, R::counted}},
       "given back to the cloud: idle, lost, emptied, taken, failed, faulty, deaf, never came up"},
      {E::machine_drained,
       "machine.drained",
       Level::info,
       true,
       {{"machine", K::text, R::listed}, {"tasks", K::integer, R::added}},
       "its tasks save and move, so that it can be returned"},
      {E::capacity_freed,
       "capacity.freed",
       Level::info,
       true,
       {{"machine", K::text, R::listed}, {"job", K::text}, {"tasks", K::integer, R::added}},
       "tasks that save were stopped for a job"},
      {E::relay_passing,
       "relay.passing",
       Level::info,
       true,
       {{"machine", K::text, R::listed}, {"way", K::text, R::counted}},
       "its reports are passed on: it can't reach the leader, or this node can't"},
      {E::request_refused,
       "request.refused",
       Level::info,
       true,
       {{"status", K::integer}, {"reason", K::text, R::counted}},
       "users told to come again, with `Retry-After`"},
      {E::task_ended,
       "task.ended",
       Level::debug,
       false,
       {{"job", K::text},
        {"task", K::integer},
        {"machine", K::text},
        {"cause", K::text},
        {"ran_s", K::number}},
       "a task that did not complete"},
      {E::log_unwritten,
       "log.unwritten",
       Level::error,
       false,
       {{"lines", K::integer}},
       "lines that could not be formatted"},
  };
  return table;
}

const EventSpec& spec(Event event) {
  return events()[static_cast<std::size_t>(event)];
}

bool fits_table(const Line& l) {
  const auto& s = spec(l.event);
  if (l.values.size() != s.fields.size()) return false;
  for (std::size_t i = 0; i < l.values.size(); ++i)
    if (l.values[i].index() != static_cast<std::size_t>(s.fields[i].kind)) return false;
  return true;
}

Entry entry(const Line& l) {
  const auto& s = spec(l.event);
  Entry e;
  e.level = s.aggregated ? Level::debug : s.level;
  e.event = s.name;
  for (std::size_t i = 0; i < l.values.size() && i < s.fields.size(); ++i)
    e.fields.emplace_back(s.fields[i].name, l.values[i]);
  return e;
}

std::string text(const Entry& e) {
  std::string out = e.event;
  for (const auto& [name, v] : e.fields) out += " " + name + "=" + to_text(v);
  return out;
}

std::string json_line(const Entry& e, std::string_view time, std::string_view node) {
  nlohmann::ordered_json o;
  o["time"] = time;
  o["level"] = name(e.level);
  o["node"] = node;
  o["event"] = e.event;
  auto& fields = o["fields"] = nlohmann::ordered_json::object();
  for (const auto& [name, v] : e.fields) fields[name] = to_json(v);
  // Names come from outside; what is no UTF-8 must not cost the line.
  return o.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

std::string markdown_table() {
  std::string out = "| event | level | fields | means |\n|---|---|---|---|\n";
  for (const auto& s : events()) {
    std::string fields;
    for (const auto& f : s.fields)
      fields += (fields.empty() ? "" : ", ") + std::string("`") + f.name + "` " +
                std::string(name(f.kind));
    out += "| `" + std::string(s.name) + "` | " + (s.aggregated ? "debug, summary at " : "") +
           std::string(name(s.level)) + " | " + (fields.empty() ? "none" : fields) + " | " +
           s.meaning + " |\n";
  }
  return out;
}

}  // namespace hitchfront::telemetry
