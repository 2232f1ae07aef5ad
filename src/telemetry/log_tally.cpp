#include "telemetry/log_tally.hpp"

#include "telemetry/events.hpp"
#include "telemetry/log_text.hpp"

namespace hitchfront::telemetry {

void LogTally::merge(Totals& totals, const nlohmann::json& fields, const char* name) {
  const auto it = fields.find(name);
  if (it == fields.end() || !it->is_object()) return;
  for (const auto& [key, value] : it->items())
    if (value.is_number_unsigned()) totals[key] += value.get<std::uint64_t>();
}

std::string LogTally::totals_text(const Totals& totals) {
  std::string text;
  for (const auto& [key, count] : totals)
    text += (text.empty() ? "" : ", ") + key + " " + std::to_string(count);
  return text;
}

void LogTally::add(const LogRecord& record) {
  const auto& event = record.event;
  if (event == "machine.faulty" || event == "machine.slow")
    faulty_machines_.push_back(text_field(record.fields, "machine"));
  if (event == "policy.chosen") {
    ++policy_changes_;
    last_policy_ = text_field(record.fields, "policy");
  }
  if (event == "job.quarantined") ++event_counts_[event];
  // Single lines of aggregated events are skipped: their summaries include them.
  if (event.ends_with(kSummarySuffix))
    add_summary(event.substr(0, event.size() - kSummarySuffix.size()), record.fields);
}

void LogTally::add_summary(const std::string& event, const nlohmann::json& fields) {
  event_counts_[event] += count_field(fields, "count");
  if (event == "machine.scaled_out") machines_granted_ += count_field(fields, "granted");
  if (event == "machine.lost") tasks_lost_ += count_field(fields, "tasks");
  if (event == "capacity.freed") tasks_preempted_ += count_field(fields, "tasks");
  if (event == "machine.drained") tasks_drained_ += count_field(fields, "tasks");
  if (event == "machine.released") merge(released_machines_, fields, "why");
  if (event == "request.refused") merge(refused_requests_, fields, "reason");
}

std::uint64_t LogTally::count(const char* event) const {
  const auto it = event_counts_.find(event);
  return it == event_counts_.end() ? 0 : it->second;
}

std::vector<std::string> LogTally::lines() const {
  std::vector<std::string> out;
  machine_lines(out);
  capacity_lines(out);
  job_lines(out);
  for (const auto& machine : faulty_machines_) out.push_back("faulty: " + machine);
  if (policy_changes_ > 0)
    out.push_back(count_text(policy_changes_, "change") + " of policy, last " + last_policy_);
  return out;
}

void LogTally::machine_lines(std::vector<std::string>& out) const {
  const auto machines = [this](const char* event) { return count_text(count(event), "machine"); };
  if (count("machine.lost") > 0)
    out.push_back("lost " + machines("machine.lost") + " with " + count_text(tasks_lost_, "task"));
  if (count("machine.restarted") > 0)
    out.push_back(machines("machine.restarted") + " lost their leases and began a new incarnation");
  if (count("machine.termination_notice") > 0)
    out.push_back(machines("machine.termination_notice") +
                  " had a termination notice from the cloud");
  if (count("machine.registered") > 0)
    out.push_back(machines("machine.registered") + " sent a first heartbeat");
}

void LogTally::capacity_lines(std::vector<std::string>& out) const {
  if (machines_granted_ > 0)
    out.push_back("scaled out by " + count_text(machines_granted_, "machine"));
  if (count("machine.refused") > 0)
    out.push_back("the cloud had no capacity " + count_text(count("machine.refused"), "time"));
  if (!released_machines_.empty())
    out.push_back("released machines: " + totals_text(released_machines_));
  if (tasks_preempted_ > 0) out.push_back("preempted " + count_text(tasks_preempted_, "task"));
  if (tasks_drained_ > 0)
    out.push_back("moved " + count_text(tasks_drained_, "task") + " off nearly empty machines");
  if (count("relay.passing") > 0)
    out.push_back("heartbeats passed on for " + count_text(count("relay.passing"), "machine"));
}

void LogTally::job_lines(std::vector<std::string>& out) const {
  const auto jobs = [this](const char* event) { return count_text(count(event), "job"); };
  if (count("job.done") > 0) out.push_back(jobs("job.done") + " done");
  if (count("job.cancelled") > 0) out.push_back(jobs("job.cancelled") + " cancelled");
  if (count("job.quarantined") > 0)
    out.push_back(jobs("job.quarantined") + " failing everywhere, quarantined");
  if (!refused_requests_.empty()) out.push_back("refused users: " + totals_text(refused_requests_));
}

}  // namespace hitchfront::telemetry
