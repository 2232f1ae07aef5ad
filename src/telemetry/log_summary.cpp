#include "telemetry/log_summary.hpp"

#include <algorithm>
#include <cmath>
#include <deque>
#include <set>
#include <unordered_map>
#include <utility>

#include "settings/constants.hpp"
#include "telemetry/log_tally.hpp"
#include "telemetry/log_text.hpp"

namespace hitchfront::telemetry {
namespace {

using ClockOffsets = std::map<std::string, std::int64_t>;  // by node, ms ahead
using Pair = std::pair<std::string, std::string>;          // follower, leader

std::string ms_as_seconds(std::int64_t ms) {
  return seconds_text(static_cast<double>(ms) / 1000);
}

struct Election {
  std::string leader;
  std::int64_t at = 0;
};
using Elections = std::map<std::uint64_t, Election>;  // by term

Elections elections_of(const std::vector<LogRecord>& records) {
  Elections elections;
  for (const auto& r : records)
    if (r.event == "leader.elected") elections[count_field(r.fields, "term")] = {r.node, r.at};
  return elections;
}

// By follower and leader: the minimum difference between the follower's timestamp of observing an
// election and the leader's timestamp of it, in milliseconds.
std::map<Pair, std::int64_t> min_delays(const std::vector<LogRecord>& records,
                                        const Elections& elections) {
  std::map<Pair, std::int64_t> delays;
  for (const auto& r : records) {
    if (r.event != "leader.followed") continue;
    const auto election = elections.find(count_field(r.fields, "term"));
    if (election == elections.end() || election->second.leader == r.node) continue;
    const auto delay = r.at - election->second.at;
    const auto [it, first] = delays.emplace(Pair{r.node, election->second.leader}, delay);
    if (!first) it->second = std::min(it->second, delay);
  }
  return delays;
}

// How far the clock of `node` is ahead of that of `other`. If both directions are known, their
// message delays are assumed equal and cancel out.
std::optional<std::int64_t> offset_between(const std::map<Pair, std::int64_t>& delays,
                                           const std::string& node, const std::string& other) {
  const auto forward = delays.find({node, other}), backward = delays.find({other, node});
  if (forward != delays.end() && backward != delays.end())
    return (forward->second - backward->second) / 2;
  if (forward != delays.end()) return forward->second;
  if (backward != delays.end()) return -backward->second;
  return std::nullopt;
}

// Sets the offsets of all nodes that are connected to `root`, directly or through others.
void propagate_offsets(const std::string& root, const std::map<Pair, std::int64_t>& delays,
                       ClockOffsets& clock_offsets) {
  std::set<std::string> known = {root};
  std::deque<std::string> pending = {root};
  while (!pending.empty()) {
    const auto from = pending.front();
    pending.pop_front();
    for (auto& [node, offset] : clock_offsets) {
      if (known.contains(node)) continue;
      const auto ms = offset_between(delays, node, from);
      if (!ms) continue;
      offset = clock_offsets[from] + *ms;
      known.insert(node);
      pending.push_back(node);
    }
  }
}

// Formats records as a timeline, one event per line, with totals of aggregated events in between.
class TimelineWriter {
 public:
  void add(const LogRecord& record) {
    tally_.add(record);
    const auto handler = handlers().find(record.event);
    if (handler != handlers().end()) (this->*handler->second)(record);
    last_record_at_[record.node] = record.at;
  }
  std::string finish() {
    write_tally();
    return std::move(out_);
  }

 private:
  using Handler = void (TimelineWriter::*)(const LogRecord&);
  static const std::unordered_map<std::string, Handler>& handlers();

  void write_line(std::int64_t at, const std::string& text) {
    out_ += time_of_day_text(at) + "  " + text + "\n";
  }
  void write_tally() {
    constexpr const char* kIndent = "                  ";
    for (const auto& line : tally_.lines()) out_ += kIndent + line + "\n";
    tally_ = {};
  }
  std::string time_since_last_record(const std::string& node, std::int64_t now) const {
    return ms_as_seconds(now - last_record_at_.at(node)) + " before";
  }

  void node_started(const LogRecord& r);
  void node_cannot_start(const LogRecord& r);
  void leader_elected(const LogRecord& r);
  void leader_lost(const LogRecord& r);
  void takeover_loaded(const LogRecord& r);
  void takeover_reconciled(const LogRecord& r);
  void outage_abstentions(const LogRecord& r);
  void store_down(const LogRecord& r);
  void store_up(const LogRecord& r);
  void cloud_down(const LogRecord& r);
  void cloud_up(const LogRecord& r);

  std::string out_;
  LogTally tally_;
  std::map<std::string, std::int64_t> last_record_at_;  // by node
  std::string leader_;
  std::uint64_t term_ = 0;
  std::set<std::string> nodes_without_store_;
  bool store_outage_reported_ = false;
};

const std::unordered_map<std::string, TimelineWriter::Handler>& TimelineWriter::handlers() {
  static const std::unordered_map<std::string, Handler> table = {
      {"node.started", &TimelineWriter::node_started},
      {"node.cannot_start", &TimelineWriter::node_cannot_start},
      {"leader.elected", &TimelineWriter::leader_elected},
      {"leader.lost", &TimelineWriter::leader_lost},
      {"takeover.loaded", &TimelineWriter::takeover_loaded},
      {"takeover.reconciled", &TimelineWriter::takeover_reconciled},
      {"outage.abstentions", &TimelineWriter::outage_abstentions},
      {"store.down", &TimelineWriter::store_down},
      {"store.up", &TimelineWriter::store_up},
      {"cloud.down", &TimelineWriter::cloud_down},
      {"cloud.up", &TimelineWriter::cloud_up},
  };
  return table;
}

void TimelineWriter::node_started(const LogRecord& r) {
  write_tally();
  std::string text = r.node + " starts";
  if (last_record_at_.contains(r.node))
    text += ", last line " + time_since_last_record(r.node, r.at);
  write_line(r.at, text);
}

void TimelineWriter::node_cannot_start(const LogRecord& r) {
  write_line(r.at, r.node + " can't start: " + text_field(r.fields, "why"));
}

void TimelineWriter::leader_elected(const LogRecord& r) {
  write_tally();
  const auto term = count_field(r.fields, "term");
  std::string text = r.node + " leads in term " + std::to_string(term);
  if (term <= term_) text += " (a term that was seen before: logs of several deployments?)";
  if (!leader_.empty() && leader_ != r.node && last_record_at_.contains(leader_))
    text += "; the last line of " + leader_ + " was " + time_since_last_record(leader_, r.at);
  leader_ = r.node;
  term_ = std::max(term_, term);
  write_line(r.at, text);
}

void TimelineWriter::leader_lost(const LogRecord& r) {
  write_tally();
  write_line(r.at, r.node + " no longer leads: " + text_field(r.fields, "why"));
}

void TimelineWriter::takeover_loaded(const LogRecord& r) {
  const auto& f = r.fields;
  std::string text = "took over " + count_text(count_field(f, "jobs"), "job");
  if (f.contains("placed"))
    text += ", " + count_text(count_field(f, "placed"), "task") + " on " +
            count_text(count_field(f, "machines"), "machine") + " of the allocation log";
  text += ", " + count_text(count_field(f, "unknown"), "task") + " unknown until reconciled";
  write_line(r.at, text);
}

void TimelineWriter::takeover_reconciled(const LogRecord& r) {
  const auto silent = count_field(r.fields, "silent"), unplaced = count_field(r.fields, "unplaced");
  std::string text =
      "reconciled " + seconds_text(number_field(r.fields, "seconds")) + " after taking over";
  if (silent > 0) text += "; " + count_text(silent, "machine") + " sent no heartbeat";
  if (unplaced > 0) text += "; " + count_text(unplaced, "task") + " found on no machine";
  write_line(r.at, text);
}

void TimelineWriter::outage_abstentions(const LogRecord& r) {
  write_line(r.at, r.node + " goes on leading without the store: the others abstain");
}

void TimelineWriter::store_down(const LogRecord& r) {
  nodes_without_store_.insert(r.node);
  if (std::exchange(store_outage_reported_, true)) return;
  write_line(r.at, "the store does not respond to " + r.node);
}

void TimelineWriter::store_up(const LogRecord& r) {
  nodes_without_store_.erase(r.node);
  if (!store_outage_reported_ || !nodes_without_store_.empty()) return;
  write_line(r.at, "the store responds to everybody again; " + r.node + " was without it for " +
                       seconds_text(number_field(r.fields, "seconds")));
  store_outage_reported_ = false;
}

void TimelineWriter::cloud_down(const LogRecord& r) {
  write_line(r.at,
             "the cloud can't be used (" + std::to_string(count_field(r.fields, "status")) + ")");
}

void TimelineWriter::cloud_up(const LogRecord& r) {
  write_line(r.at, "the cloud can be used again, after " +
                       seconds_text(number_field(r.fields, "seconds")));
}

}  // namespace

void LogSummary::read(std::istream& in) {
  std::string line;
  while (std::getline(in, line)) {
    if (line.find_first_not_of(" \t\r") == std::string::npos) continue;
    if (auto record = parse_log_record(line))
      records_.push_back(std::move(*record));
    else
      ++unparsed_lines_;
  }
}

// The leader logs its election when the store confirms it, and followers log it when their watch
// delivers it, shortly after. The delay is never negative, so the minimum difference in each
// direction is the best estimate.
std::map<std::string, std::int64_t> LogSummary::clock_offsets() const {
  ClockOffsets clock_offsets;
  for (const auto& r : records_) clock_offsets[r.node];
  std::map<std::string, std::size_t> times_led;
  for (const auto& r : records_)
    if (r.event == "leader.elected") ++times_led[r.node];
  if (times_led.empty()) return clock_offsets;
  const auto root =
      std::max_element(times_led.begin(), times_led.end(), [](const auto& a, const auto& b) {
        return a.second < b.second;
      })->first;
  propagate_offsets(root, min_delays(records_, elections_of(records_)), clock_offsets);
  for (auto& [node, ms] : clock_offsets)
    if (std::abs(ms) <= settings::kMaxIgnoredClockOffsetMs) ms = 0;
  return clock_offsets;
}

std::string LogSummary::header(const std::vector<LogRecord>& sorted_records,
                               const ClockOffsets& offsets) const {
  std::string out = count_text(offsets.size(), "controller") + ", " +
                    time_of_day_text(sorted_records.front().at) + " to " +
                    time_of_day_text(sorted_records.back().at) + ", " +
                    count_text(sorted_records.size(), "line");
  if (unparsed_lines_ > 0) out += ", " + count_text(unparsed_lines_, "line") + " not understood";
  out += "\n";
  for (const auto& [node, ms] : offsets) {
    if (ms == 0) continue;
    out += "the clock of " + node + " is " + ms_as_seconds(std::abs(ms)) +
           (ms > 0 ? " ahead" : " behind") + "; its times are shown corrected\n";
  }
  return out;
}

std::string LogSummary::render() const {
  if (records_.empty()) return "no lines that could be read\n";
  const auto offsets = clock_offsets();
  std::vector<LogRecord> sorted_records = records_;
  for (auto& r : sorted_records) r.at -= offsets.at(r.node);
  std::stable_sort(sorted_records.begin(), sorted_records.end(),
                   [](const LogRecord& a, const LogRecord& b) { return a.at < b.at; });
  TimelineWriter timeline;
  for (const auto& r : sorted_records) timeline.add(r);
  return header(sorted_records, offsets) + timeline.finish();
}

}  // namespace hitchfront::telemetry
