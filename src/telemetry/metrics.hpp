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
  leads_lost,
  heartbeats,    // by route
  relayed,       // by route
  refusals,      // by reason
  store_calls,   // by result
  store_writes,  // by what
  launches,
  direct_launches,
  completions,
  failures,
  stops,  // by why
  leases_lost,
  tasks_lost,
  lease_renewals_refused,
  scaled_out,
  returned,  // by why
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
  held,
  level,
  level_held,
  level_left,
  members_up,
  state_lost,
  replica_bytes,
  jobs_waiting
};
inline constexpr std::size_t kGauges = static_cast<std::size_t>(Gauge::jobs_waiting) + 1;

enum class Histogram : std::uint8_t {
  start_s,
  store_s,
  reconcile_s,
  confirm_s,
  record_s,
  replayed
};
inline constexpr std::size_t kHistograms = static_cast<std::size_t>(Histogram::replayed) + 1;

// Labels, as places in the table's lists.
enum class HeartbeatRoute : std::uint8_t { direct, peer, store };
enum class Refusal : std::uint8_t {
  busy,
  store,
  types,
  malformed,
  never,
  again,
  unknown,
  level,
  abstaining
};
enum class CallResult : std::uint8_t {
  ok,
  conflict,
  missing,
  crowded,
  refused,
  unanswered,
  other,
  too_large
};
enum class Write : std::uint8_t {
  user,
  launch_watermark,
  progress,
  final,
  allocation,
  relay,
  lead
};
enum class StopReason : std::uint8_t { preempted, drained, notice, cancelled };
enum class ReleaseReason : std::uint8_t {
  idle,
  lost,
  drained,
  taken,
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

  void add(Count what, double n = 1) { add_at(what, 0, n); }
  template <class Label>
  void add(Count what, Label label, double n = 1) requires std::is_enum_v<Label> {
    add_at(what, static_cast<std::size_t>(label), n);
  }
  void set(Gauge what, double v, std::size_t label = 0);
  void observe(Histogram what, double v, std::size_t label = 0);
  // One class of jobs or team: the caller bounds how many names there are.
  void served(const std::string& by, const std::string& name, const std::string& state, double v);
  // The exposition (text format 0.0.4).
  std::string exposition() const;
  double total(Count what) const;  // over all labels

 private:
  void add_at(Count what, std::size_t label, double n);
  struct Registered;
  std::unique_ptr<Registered> r_;
};

struct MetricSpec {
  std::string name, type, label, help;
  std::vector<std::string> values;  // of the label; empty: none
};
std::vector<MetricSpec> metrics();
std::string metrics_markdown();  // the table of docs/operations.md

}  // namespace hitchfront::telemetry
