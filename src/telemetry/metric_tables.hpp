// Definitions of the metrics: name, help, label and label values. Internal to metrics.cpp. Rows and
// label values are in the order of the enumerations in telemetry/metrics.hpp, which index them.
#pragma once
#include <array>
#include <span>

#include "telemetry/metrics.hpp"

namespace hitchfront::telemetry::tables {

template <class Metric>
struct MetricRow {
  Metric metric;
  const char* name;
  const char* help;
  const char* label = "";
  std::span<const char* const> values{};  // of the label; empty if unlabeled
  std::span<const double> bounds{};       // upper bounds of histogram buckets
};

// Label values and histogram bucket bounds.
inline constexpr const char* kRoutes[] = {"direct", "peer", "store"};
inline constexpr const char* kRefusals[] = {"busy",      "store",         "types",
                                            "malformed", "never_runs",    "try_again",
                                            "unknown",   "feature_level", "abstaining"};
inline constexpr const char* kCallResults[] = {"ok",      "conflict",   "missing", "crowded",
                                               "refused", "unanswered", "other",   "too_large"};
inline constexpr const char* kWrites[] = {"user",           "watermark", "progress",  "outcome",
                                          "allocation_log", "relay",     "leadership"};
inline constexpr const char* kStopReasons[] = {"preempted", "drained", "termination_notice",
                                               "cancelled"};
inline constexpr const char* kReleaseReasons[] = {"idle",   "lost",   "drained",     "taken",
                                                  "failed", "faulty", "unreachable", "stuck"};
inline constexpr const char* kTaskStates[] = {"waiting", "placed", "unknown"};
inline constexpr const char* kMachineStates[] = {"up", "booting", "lost", "unusable"};
inline constexpr const char* kLevelForms[] = {"active", "low", "high"};
inline constexpr const char* kPriorities[] = {"idle", "standard", "urgent", "production"};
inline constexpr double kStartSecondsBounds[] = {1, 2, 5, 10, 20, 30, 60, 120, 300};
inline constexpr double kStoreSecondsBounds[] = {0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2};
inline constexpr double kReconciliationSecondsBounds[] = {1, 2, 3, 5, 8, 13, 20, 30, 60};
inline constexpr double kConfirmationSecondsBounds[] = {0.5, 1, 2, 3, 5, 8, 13, 20, 30};
inline constexpr double kAllocationLogSecondsBounds[] = {0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5};
inline constexpr double kReplayedPoliciesBounds[] = {1, 2, 5, 10, 20, 30, 45, 60};
inline constexpr const char* kServedStates[] = {"accepted", "started",  "done", "cancelled",
                                                "waiting",  "oldest_s", "share"};

inline constexpr std::array<MetricRow<Count>, kCounts> kCountRows = {{
    {Count::takeovers, "hitchfront_takeovers_total", "Terms in which this process led"},
    {Count::leaderships_lost, "hitchfront_leaderships_lost_total",
     "Terms that ended while this process lived"},
    {Count::heartbeats, "hitchfront_heartbeats_total", "Workers' heartbeats that the leader took",
     "route", kRoutes},
    {Count::relayed, "hitchfront_heartbeats_relayed_total",
     "Workers' heartbeats passed on to the leader", "route", kRoutes},
    {Count::refusals, "hitchfront_refusals_total", "Requests of users that were refused", "reason",
     kRefusals},
    {Count::store_calls, "hitchfront_store_calls_total", "Calls of the key-value store", "result",
     kCallResults},
    {Count::store_writes, "hitchfront_store_writes_total",
     "Puts and deletes asked of the store: what users submit and cancel, launch "
     "watermarks, progress, final states, the allocation log, relayed heartbeats, and what "
     "leadership and feature levels take",
     "what", kWrites},
    {Count::launches, "hitchfront_launches_total", "Launch commands sent"},
    {Count::direct_launches, "hitchfront_direct_launches_total",
     "Of those, sent to the machine itself between two of its heartbeats"},
    {Count::command_epochs, "hitchfront_command_epochs_total",
     "Epochs reported by machines: each fences their direct launches so far"},
    {Count::unexpected_tasks, "hitchfront_unexpected_tasks_total",
     "Attempts listed by a machine on which they were confirmed terminated"},
    {Count::completions, "hitchfront_completions_total", "Tasks found completed"},
    {Count::failures, "hitchfront_failures_total", "Tasks that failed"},
    {Count::stops, "hitchfront_stops_total", "Stops of tasks commanded", "why", kStopReasons},
    {Count::leases_lost, "hitchfront_leases_lost_total", "Machines whose lease has expired"},
    {Count::tasks_lost, "hitchfront_tasks_lost_total", "Tasks that were on such machines"},
    {Count::lease_renewals_refused, "hitchfront_lease_renewals_refused_total",
     "Heartbeats refused because a task of a cancelled job could not be ended by the "
     "response"},
    {Count::scaled_out, "hitchfront_machines_scaled_out_total", "Machines that the cloud granted"},
    {Count::machines_released, "hitchfront_machines_released_total",
     "Machines given back to the cloud", "why", kReleaseReasons},
    {Count::placement_work, "hitchfront_placement_work_total",
     "Machines and tasks that placement looked at"},
    {Count::replay_steps, "hitchfront_replay_steps_total", "Steps of replayed policies"},
    {Count::selections, "hitchfront_selections_total", "Selections that came to an end"},
    {Count::allocation_writes, "hitchfront_allocation_log_writes_total",
     "Chunks of the allocation log written"},
    {Count::allocation_bytes, "hitchfront_allocation_log_bytes_total",
     "Characters of those chunks"},
    {Count::level_refused, "hitchfront_feature_level_refused_total",
     "Transactions refused because they were formed under another feature level"},
    {Count::recoveries, "hitchfront_state_recoveries_total",
     "Recoveries of the stored state from data loss that this process finished"},
    {Count::log_lines, "hitchfront_log_lines_total", "Lines written to the log"},
}};

inline constexpr std::array<MetricRow<Gauge>, kGauges> kGaugeRows = {{
    {Gauge::leading, "hitchfront_leading", "1 while this process leads"},
    {Gauge::term, "hitchfront_term", "The newest term that this process knows"},
    {Gauge::jobs, "hitchfront_jobs", "Unfinished jobs that the leader knows"},
    {Gauge::tasks, "hitchfront_tasks", "Their tasks, as the leader knows them", "state",
     kTaskStates},
    {Gauge::machines, "hitchfront_machines", "Machines, as the leader knows them", "state",
     kMachineStates},
    {Gauge::unknown_tasks, "hitchfront_unreconciled_tasks",
     "Tasks that may be on a machine which is not confirmed in this term"},
    {Gauge::deferred_heartbeats, "hitchfront_deferred_heartbeats",
     "Heartbeats whose response is deferred (long poll)"},
    {Gauge::level, "hitchfront_feature_level",
     "Feature level of the stored state: in whose form values are written, and the forms "
     "that may still stand",
     "form", kLevelForms},
    {Gauge::level_held, "hitchfront_feature_level_held",
     "1 while something holds the next level back; the log says what"},
    {Gauge::level_unmigrated, "hitchfront_feature_level_unmigrated",
     "Stored values that are not of the active level's form yet, by the leader's last look"},
    {Gauge::members_up, "hitchfront_members_up",
     "Other controllers whose last peer heartbeat is recent"},
    {Gauge::state_lost, "hitchfront_state_lost",
     "1 while the store is known to have lost data and the state is not recovered"},
    {Gauge::replica_bytes, "hitchfront_state_replica_bytes",
     "This process's replica of the stored state, about"},
    {Gauge::jobs_waiting, "hitchfront_jobs_waiting",
     "Unfinished jobs that wait for other jobs, as the leader knows them"},
}};

inline constexpr std::array<MetricRow<Histogram>, kHistograms> kHistogramRows = {{
    {Histogram::start_seconds, "hitchfront_start_seconds",
     "From a job's acceptance to a task's first sight running", "standing", kPriorities,
     kStartSecondsBounds},
    {Histogram::store_seconds,
     "hitchfront_store_seconds",
     "A store call, waiting for the budget included",
     "",
     {},
     kStoreSecondsBounds},
    {Histogram::reconciliation_seconds,
     "hitchfront_reconciliation_seconds",
     "From taking over until no task was unknown",
     "",
     {},
     kReconciliationSecondsBounds},
    {Histogram::confirmation_seconds,
     "hitchfront_confirmation_seconds",
     "From taking over until a machine was confirmed",
     "",
     {},
     kConfirmationSecondsBounds},
    {Histogram::allocation_log_seconds,
     "hitchfront_allocation_log_seconds",
     "From a task's assignment until the allocation log that names it was stored",
     "",
     {},
     kAllocationLogSecondsBounds},
    {Histogram::replayed_policies,
     "hitchfront_replayed_policies",
     "Policies replayed in a selection",
     "",
     {},
     kReplayedPoliciesBounds},
}};

// A gauge with three labels: `by`, `name` and `state`. The names are known only at run time.
struct ServedRow {
  const char* name;
  const char* help;
  const char* label;
  std::span<const char* const> values;
};
inline constexpr ServedRow kServedRow = {
    "hitchfront_served",
    "By `by` (`class`, `team`, or `largest`: the largest jobs of a class) and `name` (64 "
    "of each, then `other`), on the leader: jobs since its takeover, those that wait now, "
    "the longest wait in seconds, and the share started of those that have ended or have "
    "waited for two minutes",
    "state", kServedStates};

// Whether each row's index equals the value of its enumerator.
template <class Metric, std::size_t N>
constexpr bool in_order(const std::array<MetricRow<Metric>, N>& rows) {
  for (std::size_t i = 0; i < N; ++i)
    if (static_cast<std::size_t>(rows[i].metric) != i) return false;
  return true;
}
static_assert(in_order(kCountRows) && in_order(kGaugeRows) && in_order(kHistogramRows));

}  // namespace hitchfront::telemetry::tables
