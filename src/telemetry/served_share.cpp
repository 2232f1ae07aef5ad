#include "telemetry/served_share.hpp"

#include <algorithm>
#include <cmath>

namespace hitchfront::telemetry {

const char* name(Grouping grouping) {
  return grouping == Grouping::team ? "team" : grouping == Grouping::large ? "largest" : "class";
}

// Job class names are user input, so the number of rows is bounded.
ServedShare::GroupState& ServedShare::group_of(Grouping grouping, const std::string& name) {
  if (const auto it = groups_.find({grouping, name}); it != groups_.end()) return it->second;
  const auto name_count = static_cast<std::size_t>(
      std::count_if(groups_.begin(), groups_.end(),
                    [&](const auto& entry) { return entry.first.first == grouping; }));
  const std::string row_name = name_count < limits_.max_names ? name : "other";
  auto& group = groups_[{grouping, row_name}];
  group.row.grouping = grouping;
  group.row.name = row_name;
  return group;
}

void ServedShare::decay(Ms now, GroupState& group) const {
  const double factor = std::exp2(-static_cast<double>(now - group.decayed_at) /
                                  static_cast<double>(limits_.half_life));
  if (group.decayed_at != 0) {
    group.ended_all *= factor;
    group.ended_started *= factor;
  }
  group.decayed_at = now;
}

void ServedShare::accepted(const JobLabels& labels) {
  for_each_group(labels, [](GroupState& group) { ++group.row.accepted; });
}

void ServedShare::started(const JobLabels& labels) {
  for_each_group(labels, [](GroupState& group) { ++group.row.started; });
}

void ServedShare::ended(Ms now, const JobLabels& labels, bool cancelled, bool ran) {
  for_each_group(labels, [&](GroupState& group) {
    ++(cancelled ? group.row.cancelled : group.row.done);
    decay(now, group);
    if (cancelled && !ran) return;
    ++group.ended_all;
    if (ran) ++group.ended_started;
  });
}

void ServedShare::reset_current_counts(GroupState& group) {
  group.row.waiting = 0;
  group.row.oldest_s = group.due_jobs = group.due_started_jobs = 0;
}

void ServedShare::count_unfinished(const UnfinishedJob& job, GroupState& group) const {
  if (!job.started) {
    ++group.row.waiting;
    group.row.oldest_s = std::max(group.row.oldest_s, static_cast<double>(job.waited) / 1000);
  }
  if (!job.started && job.waited < limits_.due_wait) return;
  ++group.due_jobs;
  if (job.started) ++group.due_started_jobs;
}

bool ServedShare::is_due_for_logging(Ms now, GroupState& group) const {
  if (group.row.share >= limits_.min_share) {
    group.low_since = group.logged_at = 0;
    return false;
  }
  if (group.low_since == 0) group.low_since = group.logged_at = now;
  if (now - group.logged_at < limits_.low_log_interval) return false;
  group.logged_at = now;
  return true;
}

std::vector<ServedShare::Row> ServedShare::update(Ms now, const std::vector<UnfinishedJob>& jobs) {
  for (auto& [key, group] : groups_) {
    reset_current_counts(group);
    decay(now, group);
  }
  for (const auto& job : jobs)
    for_each_group(job.labels, [&](GroupState& group) { count_unfinished(job, group); });
  std::vector<Row> low;
  for (auto& [key, group] : groups_) {
    const double all = group.ended_all + group.due_jobs;
    group.row.share = all < 1 ? 1 : (group.ended_started + group.due_started_jobs) / all;
    if (is_due_for_logging(now, group)) low.push_back(group.row);
  }
  return low;
}

std::vector<ServedShare::Row> ServedShare::rows() const {
  std::vector<Row> out;
  out.reserve(groups_.size());
  for (const auto& [key, group] : groups_) out.push_back(group.row);
  return out;
}

}  // namespace hitchfront::telemetry
