// What the service counts and measures, for GET /metrics (Prometheus' text format, by
// prometheus-cpp). Names, helps and label values are in metric_tables.hpp; every label value is
// known beforehand, so that the number of series never grows with machines or jobs. A registry for
// each controller: no global state.
#pragma once
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <type_traits>
#include <vector>

namespace hitchfront::telemetry {

enum class Count : std::uint8_t {
  takeovers,
  leaderships_lost,
  heartbeats,    // by route
  relayed,       // by route
  refusals,      // by reason
  store_calls,   // by result
  store_writes,  // by what
  launches,
  direct_launches,
  command_epochs,
  unexpected_tasks,
  completions,
  failures,
  stops,  // by why
  leases_lost,
  tasks_lost,
  lease_renewals_refused,
  scaled_out,
  machines_released,  // by why
  placement_work,
  replay_steps,
  selections,
  allocation_writes,
  allocation_bytes,
  level_refused,
  recoveries,
  log_lines,
};
inline constexpr std::size_t kCounts = static_cast<std::size_t>(Count::log_lines) + 1;

enum class Gauge : std::uint8_t {
  leading,
  term,
  jobs,
  tasks,
  machines,
  unknown_tasks,
  deferred_heartbeats,
  level,
  level_held,
  level_unmigrated,
  members_up,
  state_lost,
  replica_bytes,
  jobs_waiting
};
inline constexpr std::size_t kGauges = static_cast<std::size_t>(Gauge::jobs_waiting) + 1;

enum class Histogram : std::uint8_t {
  start_seconds,
  store_seconds,
  reconciliation_seconds,
  confirmation_seconds,
  allocation_log_seconds,
  replayed_policies
};
inline constexpr std::size_t kHistograms =
    static_cast<std::size_t>(Histogram::replayed_policies) + 1;

// Labels, as places in the table's lists.
enum class HeartbeatRoute : std::uint8_t { direct, peer, store };
enum class Refusal : std::uint8_t {
  busy,
  store,
  machine_types_unknown,
  malformed,
  never_runs,
  try_again,
  unknown,
  level,
  abstaining
};
enum class CallResult : std::uint8_t {
  ok,
  conflict,
  missing,
  rate_limited,
  refused,
  unanswered,
  other,
  too_large
};
enum class Write : std::uint8_t {
  user,
  launch_watermark,
  progress,
  outcome,
  allocation_log,
  relay,
  leadership
};
enum class StopReason : std::uint8_t { preempted, drained, termination_notice, cancelled };
enum class ReleaseReason : std::uint8_t {
  idle,
  lost,
  drained,
  reclaimed,
  failed,
  faulty,
  unreachable,
  stuck
};

class Metrics {
 public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  void add(Count metric, double n = 1) { increment(metric, 0, n); }
  template <class Label>
  void add(Count metric, Label label, double n = 1) requires std::is_enum_v<Label> {
    increment(metric, static_cast<std::size_t>(label), n);
  }
  void set(Gauge metric, double v, std::size_t label = 0);
  void observe(Histogram metric, double v, std::size_t label = 0);
  // One class of jobs or team: the caller bounds how many names there are.
  void set_served(const std::string& by, const std::string& name, const std::string& state,
                  double v);
  // The exposition (text format 0.0.4).
  std::string exposition() const;
  double total(Count metric) const;  // over all labels

 private:
  void increment(Count metric, std::size_t label, double n);
  struct RegisteredMetrics;
  std::unique_ptr<RegisteredMetrics> registered_;
};

struct MetricSpec {
  std::string name, type, label, help;
  std::vector<std::string> values;  // of the label; empty: none
};
std::vector<MetricSpec> metrics();
std::string metrics_markdown();  // the table of docs/operations.md

}  // namespace hitchfront::telemetry
