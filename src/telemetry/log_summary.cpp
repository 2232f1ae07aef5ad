#include "telemetry/log_summary.hpp"

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <deque>
#include <optional>
#include <set>

#include "settings/constants.hpp"
#include "telemetry/events.hpp"

namespace hitchfront::telemetry {
using nlohmann::json;
namespace {

constexpr std::string_view kSummary = ".summary";

std::string clock_text(std::int64_t ms) {
  const std::time_t s = static_cast<std::time_t>(ms / 1000);
  std::tm t{};
  gmtime_r(&s, &t);
  char out[40];
  std::snprintf(out, sizeof(out), "%02d:%02d:%02d.%03d", t.tm_hour, t.tm_min, t.tm_sec,
                static_cast<int>(ms % 1000));
  return out;
}

std::string seconds_text(double s) {
  char out[32];
  std::snprintf(out, sizeof(out), "%.1f s", s);
  return out;
}

// 1 machine, 2 machines, 1,295 machines
std::string many(std::uint64_t n, const std::string& what) {
  std::string digits = std::to_string(n);
  for (int at = static_cast<int>(digits.size()) - 3; at > 0; at -= 3)
    digits.insert(static_cast<std::size_t>(at), ",");
  return digits + " " + what + (n == 1 ? "" : "s");
}

std::uint64_t number(const json& fields, const char* name) {
  const auto it = fields.find(name);
  return it != fields.end() && it->is_number() && *it >= 0 ? it->get<std::uint64_t>() : 0;
}
double real(const json& fields, const char* name) {
  const auto it = fields.find(name);
  return it != fields.end() && it->is_number() ? it->get<double>() : 0;
}
std::string word(const json& fields, const char* name) {
  const auto it = fields.find(name);
  return it != fields.end() && it->is_string() ? it->get<std::string>() : "?";
}

// What happened per machine and per job in a stretch of time.
struct Tally {
  std::map<std::string, std::uint64_t> events;  // summed counts by event
  std::uint64_t got = 0, tasks_lost = 0, tasks_stopped = 0, tasks_moved = 0;
  std::map<std::string, std::uint64_t> returned, refused;
  std::vector<std::string> faulty;
  std::size_t policies = 0;
  std::string policy;

  static void merge(std::map<std::string, std::uint64_t>& into, const json& fields,
                    const char* name) {
    if (const auto it = fields.find(name); it != fields.end() && it->is_object())
      for (const auto& [k, v] : it->items())
        if (v.is_number_unsigned()) into[k] += v.get<std::uint64_t>();
  }
  void add(const std::string& event, const json& f) {
    if (event == "machine.faulty" || event == "machine.slow") faulty.push_back(word(f, "machine"));
    if (event == "policy.chosen") {
      ++policies;
      policy = word(f, "policy");
    }
    if (event == "job.quarantined") ++events[event];
    if (!event.ends_with(kSummary)) return;  // single lines are in the summaries
    const auto kind = event.substr(0, event.size() - kSummary.size());
    events[kind] += number(f, "count");
    if (kind == "machine.scaled_out") got += number(f, "got");
    if (kind == "machine.lost") tasks_lost += number(f, "tasks");
    if (kind == "capacity.freed") tasks_stopped += number(f, "tasks");
    if (kind == "machine.drained") tasks_moved += number(f, "tasks");
    if (kind == "machine.released") merge(returned, f, "why");
    if (kind == "request.refused") merge(refused, f, "reason");
  }
  std::vector<std::string> render() const {
    std::vector<std::string> out;
    const auto n = [this](const char* event) {
      const auto it = events.find(event);
      return it == events.end() ? 0 : it->second;
    };
    const auto list = [](const std::map<std::string, std::uint64_t>& counts) {
      std::string text;
      for (const auto& [what, count] : counts)
        text += (text.empty() ? "" : ", ") + what + " " + std::to_string(count);
      return text;
    };
    if (n("machine.lost") > 0)
      out.push_back("lost " + many(n("machine.lost"), "machine") + " with " +
                    many(tasks_lost, "task"));
    if (n("machine.restarted") > 0)
      out.push_back(many(n("machine.restarted"), "machine") + " lost their leases and began anew");
    if (n("machine.notice") > 0)
      out.push_back(many(n("machine.notice"), "machine") + " had notice from the cloud");
    if (n("machine.registered") > 0)
      out.push_back(many(n("machine.registered"), "machine") + " reported for the first time");
    if (got > 0) out.push_back("rented " + many(got, "machine"));
    if (n("machine.refused") > 0)
      out.push_back("the cloud had no capacity " + many(n("machine.refused"), "time"));
    if (!returned.empty()) out.push_back("returned machines: " + list(returned));
    if (tasks_stopped > 0)
      out.push_back("stopped " + many(tasks_stopped, "task") + " to make room");
    if (tasks_moved > 0)
      out.push_back("moved " + many(tasks_moved, "task") + " off nearly empty machines");
    if (n("relay.passing") > 0)
      out.push_back("reports passed on for " + many(n("relay.passing"), "machine"));
    if (n("job.done") > 0) out.push_back(many(n("job.done"), "job") + " done");
    if (n("job.cancelled") > 0) out.push_back(many(n("job.cancelled"), "job") + " cancelled");
    if (n("job.quarantined") > 0)
      out.push_back(many(n("job.quarantined"), "job") + " failing everywhere");
    if (!refused.empty()) out.push_back("refused users: " + list(refused));
    for (const auto& m : faulty) out.push_back("faulty: " + m);
    if (policies > 0) out.push_back(many(policies, "change") + " of policy, last " + policy);
    return out;
  }
};

}  // namespace

std::int64_t parse_time(const std::string& text) {
  std::tm t{};
  int ms = 0;
  if (std::sscanf(text.c_str(), "%4d-%2d-%2dT%2d:%2d:%2d.%3d", &t.tm_year, &t.tm_mon, &t.tm_mday,
                  &t.tm_hour, &t.tm_min, &t.tm_sec, &ms) < 6)
    return -1;
  t.tm_year -= 1900;
  t.tm_mon -= 1;
  return static_cast<std::int64_t>(timegm(&t)) * 1000 + ms;
}

void LogSummary::read(std::istream& in) {
  std::string text;
  while (std::getline(in, text)) {
    if (text.find_first_not_of(" \t\r") == std::string::npos) continue;
    auto o = json::parse(text, nullptr, false);
    const auto is_text = [&o](const char* f) { return o.contains(f) && o[f].is_string(); };
    if (!o.is_object() || !is_text("time") || !is_text("node") || !is_text("event")) {
      ++bad_;
      continue;
    }
    Record r;
    r.at = parse_time(o["time"].get<std::string>());
    r.node = o["node"].get<std::string>();
    r.event = o["event"].get<std::string>();
    if (auto f = o.find("fields"); f != o.end() && f->is_object())
      r.fields = std::move(*f);
    else
      r.fields = json::object();
    if (r.at < 0) {
      ++bad_;
      continue;
    }
    records_.push_back(std::move(r));
  }
}

// A leader logs its election when the store has confirmed it, the others when the store's watch
// tells them: at nearly the same time. What a delay adds is never negative, so the least difference
// in each direction is the best; where both directions are known, half their difference.
std::map<std::string, std::int64_t> LogSummary::clocks() const {
  std::map<std::uint64_t, std::pair<std::string, std::int64_t>> elected;
  std::map<std::string, std::size_t> led;
  std::map<std::string, std::int64_t> out;
  for (const auto& r : records_) {
    out[r.node];
    if (r.event != "leader.elected") continue;
    elected[number(r.fields, "term")] = {r.node, r.at};
    ++led[r.node];
  }
  std::map<std::pair<std::string, std::string>, std::int64_t>
      least;  // follower, leader -> later by
  for (const auto& r : records_) {
    if (r.event != "leader.followed") continue;
    const auto e = elected.find(number(r.fields, "term"));
    if (e == elected.end() || e->second.first == r.node) continue;
    const auto late = r.at - e->second.second;
    const auto [it, first] = least.emplace(std::pair{r.node, e->second.first}, late);
    if (!first) it->second = std::min(it->second, late);
  }
  if (led.empty()) return out;
  const auto root = std::max_element(led.begin(), led.end(), [](const auto& a, const auto& b) {
                      return a.second < b.second;
                    })->first;
  std::set<std::string> known = {root};
  std::deque<std::string> open = {root};
  while (!open.empty()) {
    const auto from = open.front();
    open.pop_front();
    for (auto& [node, ahead] : out) {
      if (known.contains(node)) continue;
      const auto there = least.find({node, from}), back = least.find({from, node});
      if (there == least.end() && back == least.end()) continue;
      const std::int64_t ms = there == least.end()  ? -back->second
                              : back == least.end() ? there->second
                                                    : (there->second - back->second) / 2;
      ahead = out[from] + ms;
      known.insert(node);
      open.push_back(node);
    }
  }
  for (auto& [node, ms] : out)
    if (std::abs(ms) <= settings::kLogSummaryClockMs) ms = 0;
  return out;
}

std::string LogSummary::render() const {
  if (records_.empty()) return "no lines that could be read\n";
  const auto ahead = clocks();
  std::vector<Record> all = records_;
  for (auto& r : all) r.at -= ahead.at(r.node);
  std::stable_sort(all.begin(), all.end(),
                   [](const Record& a, const Record& b) { return a.at < b.at; });

  std::string out = many(ahead.size(), "controller") + ", " + clock_text(all.front().at) + " to " +
                    clock_text(all.back().at) + ", " + many(all.size(), "line") +
                    (bad_ > 0 ? ", " + many(bad_, "line") + " not understood" : "") + "\n";
  for (const auto& [node, ms] : ahead)
    if (ms != 0)
      out += "the clock of " + node + " is " +
             seconds_text(std::abs(static_cast<double>(ms)) / 1000) +
             (ms > 0 ? " ahead" : " behind") + "; its times are shown corrected\n";
  const auto write_line = [&out](std::int64_t at, const std::string& what) {
    out += clock_text(at) + "  " + what + "\n";
  };
  Tally tally;
  const auto close = [&] {
    for (const auto& text : tally.render()) out += "                  " + text + "\n";
    tally = {};
  };
  std::map<std::string, std::int64_t> last;  // a node's last line
  std::string leader;
  std::uint64_t term = 0;
  std::int64_t store_down_at = -1;
  std::set<std::string> down;
  for (const auto& r : all) {
    const auto& f = r.fields;
    tally.add(r.event, f);
    if (r.event == "node.started") {
      const auto before = last.find(r.node);
      close();
      write_line(r.at,
                 r.node + " starts" +
                     (before == last.end()
                          ? ""
                          : ", last heard " +
                                seconds_text(static_cast<double>(r.at - before->second) / 1000) +
                                " before"));
    } else if (r.event == "node.cannot_start") {
      write_line(r.at, r.node + " can't start: " + word(f, "why"));
    } else if (r.event == "leader.elected") {
      close();
      std::string text = r.node + " leads in term " + std::to_string(number(f, "term"));
      if (number(f, "term") <= term)
        text += " (a term that was told before: logs of several lives of a service?)";
      if (!leader.empty() && leader != r.node && last.contains(leader))
        text += "; " + leader + " was last heard " +
                seconds_text(static_cast<double>(r.at - last[leader]) / 1000) + " before";
      leader = r.node;
      term = std::max(term, number(f, "term"));
      write_line(r.at, text);
    } else if (r.event == "leader.lost") {
      close();
      write_line(r.at, r.node + " no longer leads: " + word(f, "why"));
    } else if (r.event == "takeover.loaded") {
      std::string text = "took over " + many(number(f, "jobs"), "job");
      if (f.contains("placed"))
        text += ", " + many(number(f, "placed"), "task") + " on " +
                many(number(f, "machines"), "machine") + " of the roster";
      write_line(r.at, text + ", " + many(number(f, "unknown"), "task") + " in doubt");
    } else if (r.event == "takeover.reconciled") {
      std::string text = "settled " + seconds_text(real(f, "seconds")) + " after taking over";
      if (number(f, "silent") > 0)
        text += "; " + many(number(f, "silent"), "machine") + " stayed silent";
      if (number(f, "unplaced") > 0)
        text += "; " + many(number(f, "unplaced"), "task") + " found nowhere";
      write_line(r.at, text);
    } else if (r.event == "outage.abstentions") {
      write_line(r.at, r.node + " goes on without the state service, by the others' promises");
    } else if (r.event == "store.down") {
      down.insert(r.node);
      if (store_down_at < 0)
        write_line(store_down_at = r.at, "the state service answers " + r.node + " no more");
    } else if (r.event == "store.up") {
      down.erase(r.node);
      if (store_down_at >= 0 && down.empty()) {
        write_line(r.at, "the state service answers everybody again; " + r.node +
                             " did without for " + seconds_text(real(f, "seconds")));
        store_down_at = -1;
      }
    } else if (r.event == "cloud.down") {
      write_line(r.at, "the cloud can't be used (" + std::to_string(number(f, "status")) + ")");
    } else if (r.event == "cloud.up") {
      write_line(r.at, "the cloud can be used again, after " + seconds_text(real(f, "seconds")));
    }
    last[r.node] = r.at;
  }
  close();
  return out;
}

}  // namespace hitchfront::telemetry
