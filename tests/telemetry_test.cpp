// The log and the metrics: tables, aggregation, the summary of several controllers' logs.
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <sstream>

#include "settings/constants.hpp"
#include "telemetry/event_aggregator.hpp"
#include "telemetry/former_names.hpp"
#include "telemetry/large_job_classifier.hpp"
#include "telemetry/log_summary.hpp"
#include "telemetry/metrics.hpp"
#include "telemetry/served_share.hpp"

namespace hitchfront::telemetry {
namespace {
using nlohmann::json;

std::string operations() {
  std::ifstream in(std::string(HITCHFRONT_SOURCE) + "/docs/operations.md");
  std::stringstream text;
  text << in.rdbuf();
  return text.str();
}

// The page and the tables can't drift apart.
TEST(Events, TheOperatorsPageIsTheTable) {
  ASSERT_EQ(events().size(), kEvents);
  std::set<std::string> names;
  for (std::size_t i = 0; i < kEvents; ++i) {
    EXPECT_EQ(static_cast<std::size_t>(events()[i].event), i) << events()[i].name;
    EXPECT_TRUE(names.insert(events()[i].name).second) << events()[i].name << " twice";
  }
  EXPECT_NE(operations().find(markdown_table()), std::string::npos)
      << "docs/operations.md should hold:\n"
      << markdown_table();
}

TEST(Metrics, TheOperatorsPageIsTheTable) {
  EXPECT_NE(operations().find(metrics_markdown()), std::string::npos)
      << "docs/operations.md should hold:\n"
      << metrics_markdown();
}

TEST(FormerNames, TheOperatorsPageIsTheTable) {
  EXPECT_NE(operations().find(former_names_markdown()), std::string::npos)
      << "docs/operations.md should hold:\n"
      << former_names_markdown();
}

const EventSpec* event_named(const std::string& event_name) {
  for (const auto& s : events())
    if (event_name == s.name) return &s;
  return nullptr;
}
bool has_field(const EventSpec& s, const std::string& field_name) {
  return std::any_of(s.fields.begin(), s.fields.end(),
                     [&](const FieldSpec& f) { return field_name == f.name; });
}

// A row that leads to a name which nobody writes, or from one that somebody does, is a mistake.
TEST(FormerNames, LeadToNamesOfTheTable) {
  std::set<std::string> former;
  for (const auto& r : renamed_events()) {
    EXPECT_TRUE(former.insert(r.former).second) << r.former << " twice";
    EXPECT_EQ(event_named(r.former), nullptr) << r.former;
    EXPECT_NE(event_named(r.current), nullptr) << r.current;
  }
  for (const auto& r : renamed_fields()) {
    const auto* s = event_named(r.event);
    ASSERT_NE(s, nullptr) << r.event;
    EXPECT_TRUE(has_field(*s, r.current)) << r.event << " " << r.current;
    EXPECT_FALSE(has_field(*s, r.former)) << r.event << " " << r.former;
  }
  for (const auto& r : renamed_values()) {
    const auto* s = event_named(r.event);
    ASSERT_NE(s, nullptr) << r.event;
    EXPECT_TRUE(has_field(*s, r.field)) << r.event << " " << r.field;
  }
}

TEST(Events, AreWrittenAsTextAndAsJson) {
  const auto e = entry(line(Event::leader_lost, 3U, "the \"lease\" ended\n"));
  EXPECT_EQ(text(e), "leader.lost term=3 why=\"the \\\"lease\\\" ended\\n\"");
  const auto o = json::parse(telemetry::json_line(e, "2026-01-02T03:04:05.678Z", "node-1"));
  EXPECT_EQ(o["event"], "leader.lost");
  EXPECT_EQ(o["level"], "info");
  EXPECT_EQ(o["fields"]["term"], 3);
  EXPECT_EQ(o["fields"]["why"], "the \"lease\" ended\n");
  // Names come from outside: what is no UTF-8 costs neither line.
  const auto odd = entry(line(Event::machine_faulty, "n-\xff\xfe"));
  EXPECT_TRUE(json::accept(telemetry::json_line(odd, "", "")));
  EXPECT_EQ(text(odd).find('\n'), std::string::npos);
  EXPECT_TRUE(matches_spec(line(Event::machine_lost, "n-1", 5)));
  EXPECT_FALSE(matches_spec(line(Event::machine_lost, "n-1")));
  EXPECT_FALSE(matches_spec(line(Event::machine_lost, "n-1", "five")));
}

// Random jobs against a plain recount of all that ever happened.
TEST(ServedShare, CountsAsARecountOfEverythingDoes) {
  struct Job {
    std::string job_class, team;
    ServedShare::Ms came = 0, over = 0;
    bool started = false, cancelled = false, large = false;
    ServedShare::JobLabels who() const { return {job_class, team, large}; }
  };
  const ServedShare::Limits limits{3, 10'000, 40'000, 0.5, 20'000};
  std::mt19937 random(5);
  ServedShare served(limits);
  std::vector<Job> jobs;
  std::map<std::pair<std::string, std::string>, ServedShare::Ms> low_since;
  std::size_t logged = 0, expected = 0;
  for (ServedShare::Ms now = 1000; now < 400'000; now += 1000) {
    for (auto n = random() % 3; n > 0; --n) {
      // Two classes of four share a name with others; one team starves for a while.
      jobs.push_back({"c" + std::to_string(random() % 2), random() % 2 == 0 ? "red" : "blue", now});
      jobs.back().large = random() % 4 == 0;
      served.accepted(jobs.back().who());
    }
    for (auto& j : jobs) {
      if (j.over != 0) continue;
      const bool starves = j.team == "red" && now > 100'000 && now < 250'000;
      if (!j.started && !starves && random() % 8 == 0) {
        j.started = true;
        served.started(j.who());
      }
      if (random() % 60 == 0 || (j.started && random() % 20 == 0)) {
        j.over = now;
        j.cancelled = !j.started || random() % 5 == 0;
        served.ended(now, j.who(), j.cancelled, j.started);
      }
    }
    if (now % 5000 != 0) continue;
    std::vector<ServedShare::UnfinishedJob> open;
    for (const auto& j : jobs)
      if (j.over == 0) open.push_back({j.who(), j.started, now - j.came});
    logged += served.update(now, open).size();
    for (const auto& r : served.rows()) {
      double accepted = 0, all = 0, started = 0, oldest = 0;
      std::size_t waiting = 0;
      for (const auto& j : jobs) {
        if ((r.grouping == Grouping::team ? j.team : j.job_class) != r.name ||
            (r.grouping == Grouping::large && !j.large))
          continue;
        ++accepted;
        if (j.over != 0) {
          const double weight =
              j.cancelled && !j.started
                  ? 0
                  : std::exp2(-static_cast<double>(now - j.over) / limits.half_life);
          all += weight;
          started += j.started ? weight : 0;
          continue;
        }
        if (!j.started) {
          ++waiting;
          oldest = std::max(oldest, static_cast<double>(now - j.came) / 1000);
        }
        if (!j.started && now - j.came < limits.due_wait) continue;
        ++all;
        started += j.started ? 1 : 0;
      }
      const double share = all < 1 ? 1 : started / all;
      EXPECT_EQ(r.accepted, accepted);
      EXPECT_EQ(r.waiting, waiting);
      EXPECT_NEAR(r.oldest_s, oldest, 1e-9);
      EXPECT_NEAR(r.share, share, 1e-6) << name(r.grouping) << " " << r.name << " at " << now;
      auto& since = low_since[{name(r.grouping), r.name}];
      if (share >= limits.min_share) since = 0;
      if (share < limits.min_share && since == 0) since = now;
      if (since != 0 && now > since && (now - since) % limits.low_log_interval == 0) ++expected;
    }
  }
  EXPECT_GT(logged, 0U) << "the team that starves";
  EXPECT_EQ(logged, expected);
}

TEST(ServedShare, NamesAreBounded) {
  ServedShare served({3, 10'000, 40'000, 0.5, 20'000});
  for (int i = 0; i < 1000; ++i) {
    const std::string name = "class-" + std::to_string(i);
    served.accepted({name, "red"});
  }
  ASSERT_EQ(served.rows().size(), 5U);  // three classes, the rest together, a team
  for (const auto& r : served.rows())
    if (r.name == "other") {
      EXPECT_EQ(r.accepted, 997);
    }
}

// Against the plain definition over the last hundred jobs of the class.
TEST(LargeJobClassifierTest, IsATenthOfTheLastHundred) {
  std::mt19937 random(8);
  LargeJobClassifier large(2);
  std::map<std::string, std::vector<double>> seen;
  std::size_t among = 0, all = 0;
  for (int i = 0; i < 4000; ++i) {
    const std::string name =
        "c" + std::to_string(random() % 3);  // the third shares a place with nobody else
    const double size = static_cast<double>(random() % 50);
    auto& sizes = seen[name];
    sizes.push_back(size);
    const auto from = sizes.size() > 100 ? sizes.end() - 100 : sizes.begin();
    const auto larger = std::count_if(from, sizes.end(), [&](double s) { return s > size; });
    const bool expected =
        static_cast<std::size_t>(larger) <
        std::max<std::size_t>(1, static_cast<std::size_t>(sizes.end() - from) / 10);
    ASSERT_EQ(large.classify(name, size), expected) << "job " << i;
    among += expected ? 1 : 0;
    ++all;
  }
  EXPECT_NEAR(static_cast<double>(among) / static_cast<double>(all), 0.1, 0.04);
}

std::vector<Entry> at_info(std::vector<Entry> entries) {
  std::erase_if(entries, [](const Entry& e) { return e.level == Level::debug; });
  return entries;
}
template <class T>
T field(const Entry& e, const std::string& name) {
  for (const auto& [n, v] : e.fields)
    if (n == name) return std::get<T>(v);
  ADD_FAILURE() << e.event << " has no " << name;
  return {};
}

// Nothing is lost in a summary: counts, sums and groups are those of the single lines, whatever
// their rhythm.
TEST(EventAggregatorTest, SummariesAddUpToTheSingleLines) {
  EventAggregator f;
  std::int64_t count = 0, tasks = 0;
  std::uint64_t idle = 0;
  std::vector<Entry> logged;
  const auto keep = [&](std::vector<Entry> e) {
    for (auto& x : at_info(std::move(e))) logged.push_back(std::move(x));
  };
  std::int64_t now = 1000;
  std::uint64_t r = 7;
  for (int i = 0; i < 5000; ++i) {
    r = r * 6364136223846793005ULL + 1442695040888963407ULL;
    now += static_cast<std::int64_t>(r >> 60) * ((r >> 50 & 63) == 0 ? 3000 : 20);
    ++count;
    tasks += i % 5;
    keep(f.process(now, line(Event::machine_lost, "n-" + std::to_string(i), i % 5)));
    idle += i % 3 == 0 ? 1 : 0;
    keep(f.process(now, line(Event::machine_released, "n-" + std::to_string(i),
                             i % 3 == 0 ? "idle" : "lost")));
    keep(f.tick(now));
  }
  keep(f.tick(now + 200'000));
  std::int64_t counted = 0, added = 0;
  std::uint64_t grouped = 0;
  for (const auto& e : logged) {
    if (e.event == "machine.lost.summary") {
      counted += field<std::int64_t>(e, "count");
      added += field<std::int64_t>(e, "tasks");
      EXPECT_LE(field<std::vector<std::string>>(e, "machine").size(),
                settings::kMaxAggregatedNames);
    } else {
      ASSERT_EQ(e.event, "machine.released.summary");
      grouped += field<Counts>(e, "why")["idle"];
    }
  }
  EXPECT_EQ(counted, count);
  EXPECT_EQ(added, tasks);
  EXPECT_EQ(grouped, idle);
  EXPECT_LT(logged.size(), 250U);
}

// What comes now and then is logged ever less often, but a surge in the middle of it at once.
TEST(EventAggregatorTest, ASurgeIsLoggedAtOnce) {
  EventAggregator f;
  std::int64_t now = 0;
  std::size_t lines = 0;
  for (; now < 600'000; now += 500) {
    lines += at_info(f.process(now, line(Event::machine_lost, "n", 1))).size();
    lines += at_info(f.tick(now)).size();
  }
  EXPECT_LT(lines, 30U);
  std::int64_t logged = -1;
  for (int i = 0; i < 2000 && logged < 0; ++i)
    if (!at_info(f.process(now + i, line(Event::machine_lost, "n", 1))).empty()) logged = i;
  EXPECT_GE(logged, 0);
  EXPECT_LT(logged, 2000);
}

TEST(EventAggregatorTest, WhatAnOperatorActsOnIsNeverAggregated) {
  for (const auto e :
       {Event::leader_elected, Event::leader_lost, Event::takeover_loaded,
        Event::takeover_reconciled, Event::store_down, Event::store_up, Event::cloud_down,
        Event::cloud_up, Event::policy_chosen, Event::machine_faulty, Event::machine_slow,
        Event::job_quarantined, Event::outage_abstentions})
    EXPECT_FALSE(spec(e).aggregated) << spec(e).name;
}

TEST(Metrics, AreCountedBySeriesKnownBeforehand) {
  Metrics f;
  const auto series = [](const std::string& text) {
    std::size_t n = 0;
    std::istringstream in(text);
    for (std::string l; std::getline(in, l);) n += l.empty() || l[0] == '#' ? 0 : 1;
    return n;
  };
  const auto before = series(f.exposition());
  f.add(Count::refusals, Refusal::busy, 3);
  f.add(Count::launches);
  f.observe(Histogram::start_seconds, 12.5, 1);
  f.observe(Histogram::start_seconds, 1, 99);  // no such label: nowhere
  EXPECT_EQ(f.total(Count::refusals), 3);
  EXPECT_EQ(series(f.exposition()), before);
  EXPECT_NE(f.exposition().find("hitchfront_refusals_total{reason=\"busy\"} 3"), std::string::npos);
  EXPECT_LT(before, 300U);
}

std::string log_line(std::int64_t ms, const std::string& node, const Line& l) {
  char time[40];
  std::snprintf(time, sizeof(time), "2026-03-04T10:%02d:%02d.%03dZ", static_cast<int>(ms / 60000),
                static_cast<int>(ms / 1000 % 60), static_cast<int>(ms % 1000));
  return telemetry::json_line(entry(l), time, node) + "\n";
}

// Two controllers, one with a clock that is 3 s ahead: the summary has one order.
TEST(LogSummary, PutsClocksRightAndShowsTakeovers) {
  const std::int64_t ahead = 3000;
  std::string a, b;
  a += log_line(1000, "a", line(Event::leader_elected, 1));
  b += log_line(1004 + ahead, "b", line(Event::leader_followed, 1, "a"));
  a += log_line(1200, "a", line(Event::takeover_loaded, 1, 0, "whole", 0, 0, 0));
  a += log_line(27'700, "a", line(Event::takeover_reconciled, 1, 26.7, 0, 12));
  b += log_line(60'000 + ahead, "b", line(Event::leader_elected, 2));
  a += log_line(60'003, "a", line(Event::leader_followed, 2, "b"));
  b += log_line(61'000 + ahead, "b", line(Event::store_down));
  b += log_line(70'000 + ahead, "b", line(Event::store_up, 10.0));
  EventAggregator f;
  for (int i = 0; i < 86; ++i) f.process(0, line(Event::machine_lost, "n-" + std::to_string(i), 4));
  const auto logged = f.tick(10'000);
  ASSERT_EQ(logged.size(), 1U);
  b += telemetry::json_line(logged[0], "2026-03-04T10:01:20.000Z", "b") +
       "\nnot a line\n{\"time\":3}\n";
  LogSummary log_summary;
  std::istringstream first(b), second(a);
  log_summary.read(first);
  log_summary.read(second);
  EXPECT_EQ(log_summary.unparsed_lines(), 2U);
  const auto clocks = log_summary.clock_offsets();
  EXPECT_NEAR(static_cast<double>(clocks.at("b") - clocks.at("a")), 3000, 10);
  const auto text = log_summary.render();
  const auto one = text.find("a leads in term 1"), reconciled = text.find("reconciled 26.7 s"),
             two = text.find("b leads in term 2");
  EXPECT_LT(one, reconciled) << text;
  EXPECT_LT(reconciled, two) << text;
  EXPECT_NE(text.find("12 tasks found on no machine"), std::string::npos) << text;
  EXPECT_NE(text.find("lost 86 machines with 344 tasks"), std::string::npos) << text;
  EXPECT_NE(text.find("was without it for 10.0 s"), std::string::npos) << text;
  EXPECT_NE(text.find("the clock of "), std::string::npos) << text;
  EXPECT_NE(text.find("2 lines not understood"), std::string::npos) << text;
}

// Versions run side by side, and an operator explains the logs of all of them together.
TEST(LogSummary, UnderstandsTheNamesOfEarlierVersions) {
  const auto line_of = [](const std::string& event, const std::string& fields) {
    return R"({"time":"2026-03-04T10:00:00.000Z","level":"info","node":"a","event":")" + event +
           R"(","fields":)" + fields + "}\n";
  };
  const std::string earlier =
      line_of("leader.elected", R"({"term":7})") +
      line_of("takeover.loaded",
              R"({"term":7,"jobs":3,"roster":"whole","machines":2,"placed":9,"doubt":4})") +
      line_of("takeover.settled", R"({"term":7,"seconds":2.5,"silent":1,"nowhere":5})") +
      line_of("outage.promised", R"({"term":7})") + line_of("job.suspect", R"({"job":"run-1"})") +
      line_of("job.withdrawn.summary", R"({"count":2,"job":["run-1","run-2"],"over_s":1.0})") +
      line_of("machine.reports.summary",
              R"({"count":4,"machine":["n-1"],"offer":{"g8":4},"over_s":1.0})") +
      line_of("machine.session.summary", R"({"count":6,"machine":["n-1"],"over_s":1.0})") +
      line_of("machine.notice.summary", R"({"count":8,"machine":["n-1"],"over_s":1.0})") +
      line_of("machine.rented.summary",
              R"({"count":1,"offer":{"g8":1},"asked":12,"got":10,"over_s":1.0})") +
      line_of("machine.returned.summary",
              R"({"count":3,"machine":["n-1"],"why":{"emptied":2,"deaf":1},"over_s":1.0})") +
      line_of("machine.emptied.summary",
              R"({"count":1,"machine":["n-1"],"tasks":11,"over_s":1.0})") +
      line_of("room.made.summary", R"({"count":1,"machine":["n-1"],"tasks":13,"over_s":1.0})");
  const std::string current =
      line_of("leader.elected", R"({"term":7})") +
      line_of(
          "takeover.loaded",
          R"({"term":7,"jobs":3,"allocation_log":"whole","machines":2,"placed":9,"unknown":4})") +
      line_of("takeover.reconciled", R"({"term":7,"seconds":2.5,"silent":1,"unplaced":5})") +
      line_of("outage.abstentions", R"({"term":7})") +
      line_of("job.quarantined", R"({"job":"run-1"})") +
      line_of("job.cancelled.summary", R"({"count":2,"job":["run-1","run-2"],"over_s":1.0})") +
      line_of("machine.registered.summary",
              R"({"count":4,"machine":["n-1"],"offer":{"g8":4},"over_s":1.0})") +
      line_of("machine.restarted.summary", R"({"count":6,"machine":["n-1"],"over_s":1.0})") +
      line_of("machine.termination_notice.summary",
              R"({"count":8,"machine":["n-1"],"over_s":1.0})") +
      line_of("machine.scaled_out.summary",
              R"({"count":1,"offer":{"g8":1},"requested":12,"granted":10,"over_s":1.0})") +
      line_of("machine.released.summary",
              R"({"count":3,"machine":["n-1"],"why":{"drained":2,"unreachable":1},"over_s":1.0})") +
      line_of("machine.drained.summary",
              R"({"count":1,"machine":["n-1"],"tasks":11,"over_s":1.0})") +
      line_of("capacity.freed.summary", R"({"count":1,"machine":["n-1"],"tasks":13,"over_s":1.0})");
  const auto explain = [](const std::string& log) {
    LogSummary log_summary;
    std::istringstream in(log);
    log_summary.read(in);
    return log_summary.render();
  };
  const auto text = explain(earlier);
  EXPECT_EQ(text, explain(current));
  for (const char* part :
       {"took over 3 jobs, 9 tasks on 2 machines of the allocation log, 4 tasks unknown",
        "reconciled 2.5 s after taking over; 1 machine sent no heartbeat",
        "; 5 tasks found on no machine", "the others abstain", "2 jobs cancelled",
        "1 job failing everywhere", "4 machines sent a first heartbeat",
        "6 machines lost their leases", "8 machines had a termination notice",
        "scaled out by 10 machines", "released machines: drained 2, unreachable 1",
        "moved 11 tasks", "preempted 13 tasks"})
    EXPECT_NE(text.find(part), std::string::npos) << part << "\n" << text;
}

TEST(LogSummary, OfNothingSaysSo) {
  LogSummary log_summary;
  std::istringstream in("\n\n");
  log_summary.read(in);
  EXPECT_EQ(log_summary.records(), 0U);
  EXPECT_EQ(log_summary.render(), "no lines that could be read\n");
  EXPECT_EQ(parse_time("yesterday"), -1);
  EXPECT_EQ(parse_time("1970-01-01T00:00:01.250Z"), 1250);
}

}  // namespace
}  // namespace hitchfront::telemetry
