#include "telemetry/metrics.hpp"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <array>
#include <sstream>

namespace hitchfront::telemetry {
namespace {

using Names = std::vector<std::string>;
struct Spec {
  const char* name;
  const char* help;
  const char* label = "";
  Names values = {};
  std::vector<double> bounds = {};
};

const Names kRoutes = {"direct", "peer", "store"};

const std::array<Spec, kCounts>& counts() {
  static const std::array<Spec, kCounts> table = {{
      {"hitchfront_takeovers_total", "Terms in which this process led"},
      {"hitchfront_leaderships_lost_total", "Terms that ended while this process lived"},
      {"hitchfront_heartbeats_total", "Workers' heartbeats that the leader took", "route", kRoutes},
      {"hitchfront_heartbeats_relayed_total", "Workers' heartbeats passed on to the leader",
       "route", kRoutes},
      {"hitchfront_refusals_total",
       "Requests of users that were refused",
       "reason",
       {"busy", "store", "types", "malformed", "never_runs", "try_again", "unknown",
        "feature_level", "abstaining"}},
      {"hitchfront_store_calls_total",
       "Calls of the key-value store",
       "result",
       {"ok", "conflict", "missing", "crowded", "refused", "unanswered", "other", "too_large"}},
      {"hitchfront_store_writes_total",
       "Puts and deletes asked of the store: what users submit and cancel, launch watermarks, "
       "progress, final states, the allocation log, relayed heartbeats, and what leadership and "
       "feature levels take",
       "what",
       {"user", "watermark", "progress", "outcome", "allocation_log", "relay", "leadership"}},
      {"hitchfront_launches_total", "Launch commands sent"},
      {"hitchfront_direct_launches_total",
       "Of those, sent to the machine itself between two of its heartbeats"},
      {"hitchfront_completions_total", "Tasks found completed"},
      {"hitchfront_failures_total", "Tasks that failed"},
      {"hitchfront_stops_total",
       "Stops of tasks commanded",
       "why",
       {"preempted", "drained", "termination_notice", "cancelled"}},
      {"hitchfront_leases_lost_total", "Machines whose lease has expired"},
      {"hitchfront_tasks_lost_total", "Tasks that were on such machines"},
      {"hitchfront_lease_renewals_refused_total",
       "Heartbeats refused because a task of a cancelled job could not be ended by the response"},
      {"hitchfront_machines_scaled_out_total", "Machines that the cloud granted"},
      {"hitchfront_machines_released_total",
       "Machines given back to the cloud",
       "why",
       {"idle", "lost", "drained", "taken", "failed", "faulty", "unreachable", "stuck"}},
      {"hitchfront_placement_work_total", "Machines and tasks that placement looked at"},
      {"hitchfront_replay_steps_total", "Steps of replayed policies"},
      {"hitchfront_selections_total", "Selections that came to an end"},
      {"hitchfront_allocation_log_writes_total", "Chunks of the allocation log written"},
      {"hitchfront_allocation_log_bytes_total", "Characters of those chunks"},
      {"hitchfront_feature_level_refused_total",
       "Transactions refused because they were formed under another feature level"},
      {"hitchfront_state_recoveries_total",
       "Recoveries of the stored state from data loss that this process finished"},
      {"hitchfront_log_lines_total", "Lines written to the log"},
  }};
  return table;
}

const std::array<Spec, kGauges>& gauges() {
  static const std::array<Spec, kGauges> table = {{
      {"hitchfront_leading", "1 while this process leads"},
      {"hitchfront_term", "The newest term that this process knows"},
      {"hitchfront_jobs", "Unfinished jobs that the leader knows"},
      {"hitchfront_tasks",
       "Their tasks, as the leader knows them",
       "state",
       {"waiting", "placed", "unknown"}},
      {"hitchfront_machines",
       "Machines, as the leader knows them",
       "state",
       {"up", "booting", "lost", "unusable"}},
      {"hitchfront_unreconciled_tasks",
       "Tasks that may be on a machine which is not confirmed in this term"},
      {"hitchfront_deferred_heartbeats", "Heartbeats whose response is deferred (long poll)"},
      {"hitchfront_feature_level",
       "Feature level of the stored state: in whose form values are written, and the forms that "
       "may still stand",
       "form",
       {"active", "low", "high"}},
      {"hitchfront_feature_level_held",
       "1 while something holds the next level back; the log says what"},
      {"hitchfront_feature_level_unmigrated",
       "Stored values that are not of the active level's form yet, by the leader's last look"},
      {"hitchfront_members_up", "Other controllers whose last peer heartbeat is recent"},
      {"hitchfront_state_lost",
       "1 while the store is known to have lost data and the state is not recovered"},
      {"hitchfront_state_replica_bytes", "This process's replica of the stored state, about"},
      {"hitchfront_jobs_waiting",
       "Unfinished jobs that wait for other jobs, as the leader knows them"},
  }};
  return table;
}

const std::array<Spec, kHistograms>& histograms() {
  static const std::array<Spec, kHistograms> table = {{
      {"hitchfront_start_seconds",
       "From a job's acceptance to a task's first sight running",
       "standing",
       {"idle", "standard", "urgent", "production"},
       {1, 2, 5, 10, 20, 30, 60, 120, 300}},
      {"hitchfront_store_seconds",
       "A store call, waiting for the budget included",
       "",
       {},
       {0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2}},
      {"hitchfront_reconciliation_seconds",
       "From taking over until no task was unknown",
       "",
       {},
       {1, 2, 3, 5, 8, 13, 20, 30, 60}},
      {"hitchfront_confirmation_seconds",
       "From taking over until a machine was confirmed",
       "",
       {},
       {0.5, 1, 2, 3, 5, 8, 13, 20, 30}},
      {"hitchfront_allocation_log_seconds",
       "From a task's assignment until the allocation log that names it was stored",
       "",
       {},
       {0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5}},
      {"hitchfront_replayed_policies",
       "Policies replayed in a selection",
       "",
       {},
       {1, 2, 5, 10, 20, 30, 45, 60}},
  }};
  return table;
}

const Spec kServed = {
    "hitchfront_served",
    "By `by` (`class`, `team`, or `largest`: the largest jobs of a class) and `name` (64 of each, "
    "then `other`), on the leader: jobs since its takeover, those that wait now, the longest wait "
    "in seconds, and the share started of those that have ended or have waited for two minutes",
    "state",
    {"accepted", "started", "done", "cancelled", "waiting", "oldest_s", "share"}};

}  // namespace

struct Metrics::Registered {
  prometheus::Registry registry;
  std::array<std::vector<prometheus::Counter*>, kCounts> counts;
  std::array<std::vector<prometheus::Gauge*>, kGauges> gauges;
  std::array<std::vector<prometheus::Histogram*>, kHistograms> histograms;
  prometheus::Family<prometheus::Gauge>* served = nullptr;
};

namespace {
// One series for each value of the label, or a single one.
template <class Family, class Add>
void each_series(const Spec& s, Family& family, Add add) {
  if (s.values.empty()) return add(family, prometheus::Labels{});
  for (const auto& v : s.values) add(family, prometheus::Labels{{s.label, v}});
}
}  // namespace

Metrics::Metrics() : r_(std::make_unique<Registered>()) {
  for (std::size_t i = 0; i < kCounts; ++i) {
    auto& family = prometheus::BuildCounter()
                       .Name(counts()[i].name)
                       .Help(counts()[i].help)
                       .Register(r_->registry);
    each_series(counts()[i], family,
                [&](auto& f, const auto& labels) { r_->counts[i].push_back(&f.Add(labels)); });
  }
  for (std::size_t i = 0; i < kGauges; ++i) {
    auto& family = prometheus::BuildGauge()
                       .Name(gauges()[i].name)
                       .Help(gauges()[i].help)
                       .Register(r_->registry);
    each_series(gauges()[i], family,
                [&](auto& f, const auto& labels) { r_->gauges[i].push_back(&f.Add(labels)); });
  }
  r_->served =
      &prometheus::BuildGauge().Name(kServed.name).Help(kServed.help).Register(r_->registry);
  for (std::size_t i = 0; i < kHistograms; ++i) {
    auto& family = prometheus::BuildHistogram()
                       .Name(histograms()[i].name)
                       .Help(histograms()[i].help)
                       .Register(r_->registry);
    each_series(histograms()[i], family, [&](auto& f, const auto& labels) {
      r_->histograms[i].push_back(&f.Add(labels, histograms()[i].bounds));
    });
  }
}

Metrics::~Metrics() = default;

void Metrics::served(const std::string& by, const std::string& name, const std::string& state,
                     double v) {
  r_->served->Add({{"by", by}, {"name", name}, {"state", state}}).Set(v);
}

void Metrics::add_at(Count what, std::size_t label, double n) {
  const auto& series = r_->counts[static_cast<std::size_t>(what)];
  if (label < series.size()) series[label]->Increment(n);
}

void Metrics::set(Gauge what, double v, std::size_t label) {
  const auto& series = r_->gauges[static_cast<std::size_t>(what)];
  if (label < series.size()) series[label]->Set(v);
}

void Metrics::observe(Histogram what, double v, std::size_t label) {
  const auto& series = r_->histograms[static_cast<std::size_t>(what)];
  if (label < series.size()) series[label]->Observe(v);
}

double Metrics::total(Count what) const {
  double sum = 0;
  for (const auto* c : r_->counts[static_cast<std::size_t>(what)]) sum += c->Value();
  return sum;
}

std::string Metrics::exposition() const {
  std::ostringstream out;
  prometheus::TextSerializer().Serialize(out, r_->registry.Collect());
  return out.str();
}

std::vector<MetricSpec> metrics() {
  std::vector<MetricSpec> out;
  const auto add = [&out](const auto& table, const char* type) {
    for (const auto& s : table) out.push_back({s.name, type, s.label, s.help, s.values});
  };
  add(counts(), "counter");
  add(gauges(), "gauge");
  out.push_back({kServed.name, "gauge", kServed.label, kServed.help, kServed.values});
  add(histograms(), "histogram");
  return out;
}

std::string metrics_markdown() {
  std::string out = "| metric | type | label | means |\n|---|---|---|---|\n";
  for (const auto& f : metrics()) {
    std::string label = f.label.empty() ? "" : "`" + f.label + "`: ";
    for (std::size_t i = 0; i < f.values.size(); ++i) label += (i > 0 ? ", " : "") + f.values[i];
    out += "| `" + f.name + "` | " + f.type + " | " + (label.empty() ? "none" : label) + " | " +
           f.help + " |\n";
  }
  return out;
}

}  // namespace hitchfront::telemetry
